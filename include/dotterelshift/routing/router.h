#ifndef DOTTERELSHIFT_ROUTING_ROUTER_H_
#define DOTTERELSHIFT_ROUTING_ROUTER_H_

#include <cstdint>   // for uint64_t
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for EndpointId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/base/tokens.h"            // for Tokens
#include "dotterelshift/directory/directory.h"    // for Directory
#include "dotterelshift/state/configuration.h"    // for Configuration
#include "dotterelshift/wire/frames_generated.h"  // for CacheEventT

namespace dotterelshift::routing {

// The request to choose an endpoint for.
struct RouteQuery {
  TeamId team;
  std::string target;  // model (with adapter as "model:adapter") or service
  bool service = false;
  Tokens prompt_tokens = 0;
  Tokens output_tokens = 0;
  const std::vector<uint64_t>* prefix_hashes = nullptr;
  const std::vector<EndpointId>* exclude =
      nullptr;  // endpoints that this request tried before
};

enum class RouteOutcome {
  kChosen,
  kBusy,  // all usable endpoints are at their limits
  kNone,  // no usable endpoint
};

struct RouteChoice {
  RouteOutcome outcome = RouteOutcome::kNone;
  EndpointId endpoint;
  uint64_t incarnation = 0;
  std::string address;
  Duration expected_wait =
      0s;  // for kBusy: estimated time until an endpoint is free
};

// The selection policies (policy.h). docs/decisions/routing.md explains the
// default by the results of bench/routing_bench.cc.
enum class PolicyKind {
  kRoundRobin,
  kLeastInFlight,
  kTwoChoices,
  kSixChoices,
  kLocalTwoChoices,
  kPrefixAffinity,
  kLocalPrefixAffinity,
};

struct RouterOptions {
  PolicyKind policy = PolicyKind::kPrefixAffinity;
  bool eject_outliers = true;
  DataCentreId data_centre;  // of this entry
  uint64_t seed = 1;
  Duration remote_penalty = 3ms;  // extra latency of another data centre
};

// Chooses endpoints and tracks the state of each: this entry's requests in
// flight there, the adaptive concurrency limit, lagged load reports, cached
// prefixes, and its latency compared with its peers. Policies are classes
// behind a concept (policy.h).
class Router {
 public:
  virtual ~Router() = default;
  virtual RouteChoice Choose(const RouteQuery& query, Instant now) = 0;
  virtual void OnStarted(const EndpointId& endpoint, Tokens expected,
                         Instant now) = 0;
  virtual void OnFirstToken(const EndpointId& endpoint, Duration latency,
                            Instant now) = 0;
  virtual void OnTokens(const EndpointId& endpoint, Tokens tokens,
                        Instant now) = 0;
  virtual void OnRefused(const EndpointId& endpoint, Instant now) = 0;
  virtual void OnEnded(const EndpointId& endpoint, Tokens expected, bool failed,
                       Instant now) = 0;
  virtual void OnCacheEvents(const std::vector<wire::CacheEventT>& events,
                             Instant now) = 0;
  // To be called when the directory's generation or the configuration's version
  // has changed. Both must stay valid until the next call.
  virtual void Refresh(const directory::Directory& directory,
                       const state::Configuration& configuration,
                       Instant now) = 0;
};

std::unique_ptr<Router> MakeRouter(const RouterOptions& options);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_ROUTER_H_
