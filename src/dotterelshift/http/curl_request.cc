#include "dotterelshift/http/curl_request.h"

#include <algorithm>    // for any_of, equal
#include <cctype>       // for tolower
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift::http {
namespace {

bool HasHeader(const Headers& headers, std::string_view name) {
  return std::ranges::any_of(headers, [name](const auto& header) {
    return std::ranges::equal(header.first, name, [](char a, char b) {
      return std::tolower(static_cast<unsigned char>(a)) == b;
    });
  });
}

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
    if (HasHeader(headers, own)) continue;
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

void SetMethod(CURL* handle, const ClientRequest& request) {
  if (request.method == "GET" && request.body.empty()) {
    curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    return;
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(handle, CURLOPT_POST, 1L);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(request.body.size()));
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
