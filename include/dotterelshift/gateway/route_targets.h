#ifndef DOTTERELSHIFT_GATEWAY_ROUTE_TARGETS_H_
#define DOTTERELSHIFT_GATEWAY_ROUTE_TARGETS_H_

#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "dotterelshift/base/time.h"       // for Instant
#include "dotterelshift/gateway/routes.h"  // for RouteTable

namespace dotterelshift::gateway {

// Since when the routes have led to the same services.
//
// Load pattern: documents move routes from one service to another, split, add
// and remove them, while callers resume streams. The service of the route that
// a resumed request matches now need not be the one that began its stream.
class RouteTargets {
 public:
  void Update(const RouteTable& routes, Instant now);
  // nullopt: there were no routes yet.
  std::optional<Instant> UnchangedSince() const { return m_since; }

 private:
  uint64_t m_fingerprint = 0;
  std::optional<Instant> m_since;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ROUTE_TARGETS_H_
