#ifndef DOTTERELSHIFT_SRC_APP_GAUGES_H_
#define DOTTERELSHIFT_SRC_APP_GAUGES_H_

#include <initializer_list>  // for initializer_list
#include <map>               // for map
#include <string_view>       // for string_view
#include <vector>            // for vector

#include "dotterelshift/app/control_replica.h"       // for ControlReplica
#include "dotterelshift/app/entry_pushes.h"          // for EntryPushes
#include "dotterelshift/gateway/core.h"              // for LinkQueue
#include "dotterelshift/gateway/fleet_load.h"        // for EndpointCounts
#include "dotterelshift/gateway/held_grants.h"       // for HeldGrants
#include "dotterelshift/gateway/retry_share.h"       // for RetryUse
#include "dotterelshift/origins/service_versions.h"  // for VersionCount
#include "dotterelshift/peers/hub.h"                 // for Hub
#include "dotterelshift/telemetry/metrics.h"         // for Metrics

namespace dotterelshift::app {

struct Gauge {
  std::string_view name;
  std::string_view help;
  double value = 0;
};

// The value of a metric.
template <typename Value>
double Number(Value value) {
  return static_cast<double>(value);
}

inline void SetGauges(telemetry::Metrics& metrics,
                      std::initializer_list<Gauge> gauges) {
  for (const Gauge& gauge : gauges)
    metrics.SetGauge(gauge.name, gauge.help, gauge.value);
}

// Metrics of both roles about their connections to other daemons.
void SetHubMetrics(telemetry::Metrics& metrics, const peers::Hub& hub);

// Metrics of the requests queued for an entry's outbound link.
void SetLinkQueueMetrics(telemetry::Metrics& metrics,
                         const gateway::LinkQueue& queue);

// Metrics of the retries to each service.
void SetRetryMetrics(telemetry::Metrics& metrics,
                     const std::vector<gateway::RetryUse>& uses);

// Metrics of the limits that endpoints name, and of the permits for these.
void SetLimitMetrics(telemetry::Metrics& metrics,
                     const gateway::FleetLimits& limits,
                     const gateway::Core& core, Instant now);

// Metrics of the endpoints of each service, as this entry believes of them.
void SetEndpointMetrics(
    telemetry::Metrics& metrics,
    const std::map<ServiceName, gateway::EndpointCounts>& counts);

// Endpoints that serve, by service and software version.
void SetVersionMetrics(telemetry::Metrics& metrics,
                       const std::vector<origins::VersionCount>& counts);

// Streams that callers resumed, and origins of streams held.
void SetResumptionMetrics(telemetry::Metrics& metrics,
                          const gateway::ResumptionCounts& counts,
                          size_t origins);

// Responses to other requests than the one that was due.
void SetResponseMetrics(telemetry::Metrics& metrics, const gateway::Core& core);

// Prompt segments that are suspected of crashing endpoints.
void SetSuspectMetrics(telemetry::Metrics& metrics,
                       const gateway::CrashSuspects& suspects,
                       const gateway::Core& core, Instant now);

// Counters of the published routes that a control daemon has sent.
void SetRoutesSentCounters(telemetry::Metrics& metrics,
                           const EntryPushes::RoutesSentTotals& sent);

// Gauges of a control replica; `entries` is the number connected to it.
void SetReplicaGauges(telemetry::Metrics& metrics,
                      const ControlReplica& replica, size_t entries);

// Gauges of the tokens that an entry holds.
void SetHeldTokenGauges(telemetry::Metrics& metrics,
                        const gateway::HeldGrants::Sums& tokens);

// Gauges that split the published totals: each token is counted in exactly one
// of the categories.
void SetTokenGauges(telemetry::Metrics& metrics, const state::State& state);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_GAUGES_H_
