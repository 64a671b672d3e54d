#include "dotterelshift/http/response_writer.h"

#include <algorithm>                    // for any_of
#include <array>                        // for array
#include <boost/beast/http/status.hpp>  // for obsolete_reason
#include <charconv>                     // for to_chars
#include <ctime>                        // for strftime

#include "dotterelshift/http/field_rules.h"  // for IsToken

namespace dotterelshift::http {
namespace {

void AppendField(std::string_view name, std::string_view value,
                 std::string* head) {
  head->append(name).append(": ").append(value).append("\r\n");
}

// The time of day as heads write it, made once a second.
std::string_view DateNow() {
  static std::time_t made_at = 0;
  static std::array<char, 32> text{};
  static size_t size = 0;
  const std::time_t now = std::time(nullptr);
  if (now != made_at) {
    std::tm parts{};
    gmtime_r(&now, &parts);
    size = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT",
                         &parts);
    made_at = now;
  }
  return {text.data(), size};
}

// The writer's own fields are not taken from a handler.
bool IsOwnField(std::string_view name) {
  return EqualsIgnoringCase(name, "content-length") ||
         EqualsIgnoringCase(name, "transfer-encoding") ||
         EqualsIgnoringCase(name, "connection");
}

}  // namespace

ResponseFraming FramingOf(int status, std::optional<size_t> length,
                          const ResponseTerms& terms) {
  if (HasNoBody(status) || terms.head_only) return ResponseFraming::kNoBody;
  if (length) return ResponseFraming::kLength;
  return terms.http_1_0 ? ResponseFraming::kClose : ResponseFraming::kChunked;
}

bool AsksToClose(const Headers& headers) {
  return std::ranges::any_of(headers, [](const auto& header) {
    return EqualsIgnoringCase(header.first, "connection") &&
           EqualsIgnoringCase(header.second, "close");
  });
}

std::string MakeResponseHead(int status, const Headers& headers,
                             ResponseFraming framing,
                             std::optional<size_t> length, bool close,
                             const ResponseTerms& terms) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason.data(), reason.size()).append("\r\n");
  if (!HasField(headers, "date")) AppendField("Date", DateNow(), &head);
  if (close) {
    AppendField("Connection", "close", &head);
  } else if (terms.http_1_0) {
    AppendField("Connection", "Keep-Alive", &head);
  }
  for (const auto& [name, value] : headers) {
    const bool is_proper = IsToken(name) && !HasControl(value);
    if (is_proper && !IsOwnField(name)) AppendField(name, value, &head);
  }
  // The length of the body that a GET would have got.
  const bool tells_length =
      framing == ResponseFraming::kLength ||
      (framing == ResponseFraming::kNoBody && terms.head_only && length);
  if (tells_length)
    AppendField("Content-Length", std::to_string(*length), &head);
  if (framing == ResponseFraming::kChunked)
    AppendField("Transfer-Encoding", "chunked", &head);
  return head.append("\r\n");
}

void AppendChunk(std::string_view data, std::string* out) {
  constexpr int kHexadecimal = 16;
  std::array<char, 17> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(),
                                 data.size(), kHexadecimal);
  out->append(size.data(), end.ptr).append("\r\n").append(data).append("\r\n");
}

}  // namespace dotterelshift::http
