#ifndef DOTTERELSHIFT_GATEWAY_RESPONSE_VERDICT_H_
#define DOTTERELSHIFT_GATEWAY_RESPONSE_VERDICT_H_

#include <cstdint>      // for uint8_t
#include <string_view>  // for string_view

#include "dotterelshift/gateway/request.h"  // for ResponseInfo

namespace dotterelshift::gateway {

// What the head of a response proves about the request that is due on its
// connection. All that an entry learns from a response rests on this: whether
// the request may be sent again, what its caller is told, what it costs, and
// what is believed of the endpoint.
//
// Load pattern: an endpoint that refuses many requests sends a refusal once
// more, where the response to the next request is due, while that one runs.
enum class ResponseVerdict : uint8_t {
  kOfAnother,    // nothing: it answers another request
  kNotRun,       // the endpoint did not run it, and will not
  kMisdirected,  // the same, as another endpoint has the address now
  kRan,          // the endpoint may have run it
};
std::string_view NameOf(ResponseVerdict verdict);

// How the request was sent.
struct SentRequest {
  std::string_view caller_id;
  bool new_connection = false;  // the first one on its connection
};

ResponseVerdict Judge(const SentRequest& request, int status,
                      const ResponseInfo& response);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RESPONSE_VERDICT_H_
