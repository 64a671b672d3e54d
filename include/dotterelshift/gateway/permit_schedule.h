#ifndef DOTTERELSHIFT_GATEWAY_PERMIT_SCHEDULE_H_
#define DOTTERELSHIFT_GATEWAY_PERMIT_SCHEDULE_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                 // for HostId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/gateway/endpoint_id_key.h"  // for EndpointIdKey
#include "dotterelshift/gateway/request.h"          // for EndpointLimits

namespace dotterelshift::gateway {

struct PermitScheduleOptions {
  // Requests are spaced so that those which arrive in such a time stay within
  // the limit, although each may take up to `max_travel` from its permit.
  Duration window = 4s;
  Duration max_travel = 200ms;
  // Lowest limit that is kept to exactly. An endpoint that names less gets a
  // request now and then, from whose response the end of its limit is learned.
  double min_requests_per_second = 0.1;
  // Fraction of an endpoint's limit on refusals that may be at risk.
  double refusal_fraction = 0.5;
  // How long a refusal counts.
  Duration refusal_window = 1200ms;
  // Entries that were denied come back in groups of this many, one group for
  // each permit, so that a large fleet does not ask for each permit at once.
  size_t asks_per_permit = 10;
  Duration max_spread = 4s;
};

// A request of an entry to send one of its requests to a limited endpoint.
struct PermitRequest {
  HostId from;
  uint64_t id = 0;  // unique at the entry
  EndpointIdKey endpoint = 0;
  Duration max_wait = 0s;
  Duration time_left = 0s;
  int priority = 0;  // lower is more urgent
};

struct PermitDecision {
  HostId to;
  uint64_t id = 0;
  bool granted = false;
  // Granted: how long it has waited here. Denied: until it may ask again.
  Duration wait = 0s;
};

// Decides when requests may be sent to limited endpoints, for the entry that
// holds the lease on that. The load pattern that it answers: many entries send
// more than an endpoint takes. Permits of an endpoint are spaced evenly; a
// request that can wait for one gets it by its priority, then by the time that
// it has left, and one that cannot is denied at once.
//
// Where an endpoint limits refusals, each request that it may refuse holds one
// of a few tokens until its outcome is known, and a refusal keeps its token for
// a while. All incarnations of an endpoint share its permits.
class PermitSchedule {
 public:
  explicit PermitSchedule(const PermitScheduleOptions& options)
      : m_options(options) {}

  // The lease begins at `now`. What was granted before it is not known.
  void Begin(Instant now);
  // The lease has ended. All waiting requests are denied.
  void End();

  void OnRequest(const PermitRequest& request, const EndpointLimits& limits,
                 Instant now);
  // The limits of an endpoint have changed.
  void OnLimits(EndpointIdKey endpoint, const EndpointLimits& limits,
                Instant now);
  // The outcome of a request with a permit is known, or it is not sent.
  void OnOutcome(const HostId& from, uint64_t id, EndpointIdKey endpoint,
                 bool refused, Instant now);

  // Decisions that are due.
  std::vector<PermitDecision> Take(Instant now);
  Instant NextTimer() const;
  size_t Waiting() const;

 private:
  using Asker = std::pair<HostId, uint64_t>;
  struct Rank {
    int priority = 0;
    Instant deadline{};
    uint64_t number = 0;  // order of arrival
    auto operator<=>(const Rank&) const = default;
  };
  struct WaitingRequest {
    Asker asker;
    Instant asked{};
    Instant latest{};  // it cannot wait longer
    Instant deadline{};
  };
  struct Endpoint {
    EndpointLimits limits;
    Instant last{};  // when the last permit was granted
    bool granted = false;
    std::map<Rank, WaitingRequest> waiting;
    // Entries denied since the last permit, in their order.
    std::map<HostId, size_t> denied;
    // Tokens held: by whom and until when, and until when by refusals.
    std::map<Asker, Instant> at_risk;
    std::vector<Instant> refused_until;
  };

  Duration SpacingOf(const Endpoint& endpoint) const;
  // When the next permit may be granted.
  Instant NextOf(const Endpoint& endpoint, Instant now) const;
  bool HasToken(const Endpoint& endpoint) const;
  // When the next held token expires.
  static Instant NextToken(const Endpoint& endpoint);
  static void ExpireTokens(Endpoint& endpoint, Instant now);
  void Decide(Endpoint& endpoint, Instant now);
  void Grant(Endpoint& endpoint, const WaitingRequest& request, Instant now);
  void DenyOverdue(Endpoint& endpoint, Instant now);
  void Deny(Endpoint& endpoint, const WaitingRequest& request, Instant free,
            Instant now);

  PermitScheduleOptions m_options;
  Instant m_begin{};
  uint64_t m_number = 0;
  std::unordered_map<EndpointIdKey, Endpoint> m_endpoints;
  std::vector<PermitDecision> m_decisions;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_PERMIT_SCHEDULE_H_
