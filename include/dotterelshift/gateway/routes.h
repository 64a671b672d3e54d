#ifndef DOTTERELSHIFT_GATEWAY_ROUTES_H_
#define DOTTERELSHIFT_GATEWAY_ROUTES_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"          // for TeamId
#include "dotterelshift/base/service_ids.h"  // for ServiceName
#include "dotterelshift/base/time.h"         // for Duration
#include "dotterelshift/base/tokens.h"       // for Tokens

// Published routes map the host and path of a request to a service, whose
// endpoints announce themselves.
namespace dotterelshift::gateway {

// Which requests of a route may be retried.
enum class RouteKind : uint8_t {
  kIdempotent,  // may run more than once
  kOnce,        // a request runs at most once
  kStream,      // the response is an event stream; runs once unless resumable
};

// One of the services over which a route's requests are distributed by weight.
struct WeightedService {
  ServiceName service;
  double weight = 1;  // of all weights of the route
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // starts and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<WeightedService> services;
  Duration timeout = 0s;     // maximum time to the complete response
  Duration target = 0s;      // to the response, or to a stream's first event
  int priority = 0;          // 0 is the most urgent
  int attempts = 1;          // endpoints that one request may run on
  bool open_to_all = false;  // accepts requests without a key
  bool resumable = false;    // a broken stream may resume at another endpoint
};

// Capacity of a model engine of a service.
struct EngineCapacity {
  uint32_t slots = 1;
  Tokens cache_tokens = 0;
  uint32_t tokens_per_event = 1;  // maximum in one event of a stream
};

struct Service {
  ServiceName name;
  uint32_t max_connections = 0;          // to one endpoint, for all callers
  std::optional<EngineCapacity> engine;  // nullopt: a plain service
};

struct TeamAccess {
  TeamId team;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's
  std::optional<Tokens> total;  // the team's total budget
};

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  size_t max_head_bytes = 16 << 10;
  size_t max_body_bytes = 4 << 20;
  Duration head_timeout = 3s;
  Duration idle_timeout = 15s;
};

struct Routes {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<TeamAccess> teams;
  CallerLimits limits;
};

// What a RouteTable could not tell apart: two routes with one host and prefix,
// or two teams with one key. nullopt: nothing.
std::optional<std::string> FindConflict(const Routes& routes);

// Published routes, indexed for look-up. Of those with a conflict, any may be
// found.
class RouteTable {
 public:
  explicit RouteTable(Routes routes);

  // The host's route with the longest prefix that matches the path; null if
  // none matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The team that a key belongs to; null if the key is unknown.
  const TeamAccess* FindTeam(const std::string& key) const;
  const Service* FindService(const ServiceName& name) const;
  // Whether any team is published. If not, requests need no key.
  bool HasTeams() const { return !m_routes.teams.empty(); }
  const Routes& Get() const { return m_routes; }

 private:
  Routes m_routes;
  // By host, sorted by descending prefix length.
  std::unordered_map<std::string, std::vector<const Route*>> m_by_host;
  std::unordered_map<std::string, const TeamAccess*> m_by_key;
  std::unordered_map<ServiceName, const Service*> m_services;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ROUTES_H_
