#ifndef DOTTERELSHIFT_SRC_HTTP_CURL_REQUEST_H_
#define DOTTERELSHIFT_SRC_HTTP_CURL_REQUEST_H_

#include <curl/curl.h>  // for CURL

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/client.h"  // for ClientOptions, ClientRequest

namespace dotterelshift::http {

// The headers, as libcurl takes them, without those that it would add by
// default. The caller frees the list.
curl_slist* MakeHeaderList(const Headers& headers);

// The server that a URL names, as IP:port.
std::string ServerOf(std::string_view url);

// Sets where the request goes, and how its connection is made and used.
void SetConnection(CURL* handle, const ClientRequest& request,
                   const ClientOptions& options);

// Sets the method and the body, which must outlive the transfer.
void SetMethod(CURL* handle, const ClientRequest& request);

// Sets the relay, if any, and returns the headers for it. The caller frees the
// list once the transfer has ended. Without a relay, no proxy of the
// environment is used either.
curl_slist* SetRelay(CURL* handle, const std::optional<Relay>& relay);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_CURL_REQUEST_H_
