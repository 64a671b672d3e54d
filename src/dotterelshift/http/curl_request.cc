#include "dotterelshift/http/curl_request.h"

#include <algorithm>    // for max
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/field_rules.h"  // for HasField

namespace dotterelshift::http {
namespace {

// Size of the receive buffer, one per open transfer.
constexpr long kReadBuffer = 4 << 10;  // NOLINT(google-runtime-int)

}  // namespace

curl_slist* MakeHeaderList(const Headers& headers) {
  curl_slist* list = nullptr;
  std::string line;
  for (const auto& [name, value] : headers) {
    line.assign(name).append(": ").append(value);
    list = curl_slist_append(list, line.c_str());
  }
  // Send the body without waiting for "100 Continue".
  list = curl_slist_append(list, "Expect:");
  // Suppress headers that curl would add by default.
  for (const char* own : {"accept", "content-type"}) {
    if (HasField(headers, own)) continue;
    line.assign(own).append(":");
    list = curl_slist_append(list, line.c_str());
  }
  return list;
}

std::string ServerOf(std::string_view url) {
  const size_t scheme = url.find("://");
  if (scheme != std::string_view::npos) url.remove_prefix(scheme + 3);
  return std::string(url.substr(0, url.find('/')));
}

void SetConnection(CURL* handle, const ClientRequest& request,
                   const ClientOptions& options) {
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReadBuffer);
  // A response to it that arrives once more would have a length, and no body.
  if (request.method == "HEAD")
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  const auto max_idle =
      std::chrono::duration_cast<std::chrono::seconds>(options.max_idle);
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(  // NOLINT(google-runtime-int)
                       max_idle.count()));
  if (!options.source_address.empty()) {
    // The prefix says that it is an address and no name of an interface.
    const std::string source = "host!" + options.source_address;
    curl_easy_setopt(handle, CURLOPT_INTERFACE, source.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMs(request.connect_timeout));
  if (request.total_timeout > 0s)
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     std::max<int64_t>(1, ToMs(request.total_timeout)));
}

void SetMethod(CURL* handle, const ClientRequest& request) {
  if (request.method == "GET" && request.Body().empty()) {
    curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    return;
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(handle, CURLOPT_POST, 1L);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.Body().data());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(request.Body().size()));
  if (request.method != "POST")
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

curl_slist* SetRelay(CURL* handle, const std::optional<Relay>& relay) {
  const std::string proxy = relay ? "http://" + relay->address : "";
  curl_easy_setopt(handle, CURLOPT_PROXY, proxy.c_str());
  if (!relay) return nullptr;
  // Overrides the environment's list of hosts that are reached directly.
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTPPROXYTUNNEL, 1L);
  // The relay's own response is not passed to the callbacks.
  curl_easy_setopt(handle, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
  const std::string line = "Proxy-Authorization: Bearer " + relay->token;
  curl_slist* headers = curl_slist_append(nullptr, line.c_str());
  curl_easy_setopt(handle, CURLOPT_HEADEROPT,
                   static_cast<long>(  // NOLINT(google-runtime-int)
                       CURLHEADER_SEPARATE));
  curl_easy_setopt(handle, CURLOPT_PROXYHEADER, headers);
  return headers;
}

}  // namespace dotterelshift::http
