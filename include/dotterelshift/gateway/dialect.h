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

// How the callers and endpoints of a site write down what the gateway needs:
// which headers, and the form of the published routes. An adapter implements
// it; nothing else knows those names.
class Dialect {
 public:
  virtual ~Dialect() = default;

  // What a caller's request says of itself.
  virtual RequestInfo ReadRequestInfo(const http::Request& request) const = 0;
  // The headers that go on to an endpoint; those of one connection are left out
  // by the gateway.
  virtual http::Headers OnwardHeaders(const http::Request& request,
                                      const StartAttempt& start) const = 0;
  virtual AnswerMarks ReadMarks(int status,
                                const http::Headers& headers) const = 0;

  // The routes in a published document; none, with the reason in `why`, when it
  // is not valid.
  virtual std::optional<Routes> ReadRoutes(std::string_view document,
                                           std::string* why) const = 0;
  // The path at which the site's balancer asks whether an entry is ready.
  virtual std::string_view ReadyPath() const = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_DIALECT_H_
