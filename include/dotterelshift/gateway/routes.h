#ifndef DOTTERELSHIFT_GATEWAY_ROUTES_H_
#define DOTTERELSHIFT_GATEWAY_ROUTES_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"     // for TeamId
#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/base/tokens.h"  // for Tokens

// Published routes: requests go by host and path to a service, whose endpoints
// announce themselves.
namespace dotterelshift::gateway {

using ServiceName = std::string;

// What may be repeated of a route's requests.
enum class RouteKind : uint8_t {
  kIdempotent,  // may run more than once
  kOnce,        // runs at most once for each request
  kStream,      // answered by a stream of events; runs once unless resumable
};

// One of the services among which a route's requests are split by weight.
struct ServiceShare {
  ServiceName service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<ServiceShare> services;
  Duration timeout = 0s;     // the longest time to a final answer
  Duration target = 0s;      // to the answer, or to a stream's first event
  int priority = 0;          // 0 is the most urgent
  int attempts = 1;          // endpoints that one request may run on
  bool open_to_all = false;  // takes requests without a key
  bool resumable = false;    // a broken stream may go on at another endpoint
};

// How much a model engine of a service carries.
struct EngineSize {
  uint32_t slots = 1;
  Tokens cache_tokens = 0;
  uint32_t tokens_per_event = 1;  // of a stream, at the most
};

struct Service {
  ServiceName name;
  uint32_t max_connections = 0;      // to one endpoint, by all callers
  std::optional<EngineSize> engine;  // none: a plain service
};

struct TeamAccess {
  TeamId team;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before the route's
  std::optional<Tokens> total;  // what the team may consume in all
};

// What a caller may send, and how long it may take.
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

// Published routes with their look-ups.
class RouteTable {
 public:
  explicit RouteTable(Routes routes);

  // The route of the host whose prefix is the longest that begins the path;
  // null when there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The team that holds a key; null when nobody does.
  const TeamAccess* FindTeam(const std::string& key) const;
  const Service* FindService(const ServiceName& name) const;
  // Whether requests need a key at all.
  bool HasTeams() const { return !m_routes.teams.empty(); }
  const Routes& Get() const { return m_routes; }

 private:
  Routes m_routes;
  // By host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_by_host;
  std::unordered_map<std::string, const TeamAccess*> m_by_key;
  std::unordered_map<ServiceName, const Service*> m_services;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ROUTES_H_
