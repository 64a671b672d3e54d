#ifndef DOTTERELSHIFT_GATEWAY_DIALECT_H_
#define DOTTERELSHIFT_GATEWAY_DIALECT_H_

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/gateway/core.h"     // for StartAttempt
#include "dotterelshift/gateway/request.h"  // for RequestInfo
#include "dotterelshift/gateway/routes.h"   // for Routes
#include "dotterelshift/http/server.h"      // for Request, Headers

namespace dotterelshift::gateway {

// Translates between a site's protocol and the gateway: header names and the
// format of the published routes. Implemented by an adapter, which alone knows
// these names.
class Dialect {
 public:
  virtual ~Dialect() = default;

  // Extracts what a caller's request states: its id, key, timeout and size.
  virtual RequestInfo ReadRequestInfo(const http::Request& request) const = 0;
  // The headers to pass on to an endpoint. The gateway removes hop-by-hop
  // headers itself.
  virtual http::Headers OnwardHeaders(const http::Request& request,
                                      const StartAttempt& start) const = 0;
  virtual ResponseInfo ReadResponseInfo(int status,
                                        const http::Headers& headers) const = 0;

  // Parses the routes in a published document. Returns nullopt and sets `why`
  // to the reason if the document is not valid.
  virtual std::optional<Routes> ReadRoutes(std::string_view document,
                                           std::string* why) const = 0;
  // The path that the site's load balancer polls for readiness.
  virtual std::string_view ReadyPath() const = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_DIALECT_H_
