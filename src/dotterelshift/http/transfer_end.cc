#include "dotterelshift/http/transfer_end.h"

#include <chrono>  // for microseconds

namespace dotterelshift::http {
namespace {

// A relay's status if it could not connect to the server.
constexpr long kServerUnreachable = 502;  // NOLINT(google-runtime-int)

}  // namespace

bool HasNewConnection(CURL* handle) {
  long connections = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connections);
  return connections > 0;
}

HandOver HandOverOf(CURL* handle, size_t bytes) {
  curl_off_t connected_us = 0;
  curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connected_us);
  const bool fresh = HasNewConnection(handle);
  return {bytes, fresh, std::chrono::microseconds(fresh ? connected_us : 0)};
}

TransferEnd EndOfSent(const ResponseHead& head, CURLcode result) {
  if (result == CURLE_OK && head.IsReceived()) return TransferEnd::kWhole;
  if (result == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  // libcurl gives a single line up by itself, and says that it has no memory.
  const bool long_line = !head.IsReceived() && result == CURLE_OUT_OF_MEMORY;
  if (head.IsTooLarge() || long_line) return TransferEnd::kTooLarge;
  return head.IsReceived() ? TransferEnd::kCut : TransferEnd::kFailedBeforeHead;
}

// Only a relay that says so has tried to connect to the server.
TransferEnd EndOfUnsent(CURL* handle, bool relayed) {
  if (!relayed) return TransferEnd::kNotSent;
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(handle, CURLINFO_HTTP_CONNECTCODE, &status);
  return status == kServerUnreachable ? TransferEnd::kNotSent
                                      : TransferEnd::kRelayFailed;
}

}  // namespace dotterelshift::http
