#ifndef DOTTERELSHIFT_SRC_APP_GAUGES_H_
#define DOTTERELSHIFT_SRC_APP_GAUGES_H_

#include <initializer_list>  // for initializer_list
#include <string_view>       // for string_view

#include "dotterelshift/app/control_replica.h"  // for ControlReplica
#include "dotterelshift/app/entry_pushes.h"     // for EntryPushes
#include "dotterelshift/gateway/core.h"         // for LinkQueue
#include "dotterelshift/peers/hub.h"            // for Hub
#include "dotterelshift/telemetry/metrics.h"    // for Metrics

namespace dotterelshift::app {

struct Gauge {
  std::string_view name;
  std::string_view help;
  double value = 0;
};

inline void SetGauges(telemetry::Metrics& metrics,
                      std::initializer_list<Gauge> gauges) {
  for (const Gauge& gauge : gauges)
    metrics.SetGauge(gauge.name, gauge.help, gauge.value);
}

// What both roles say of their connections to other daemons.
void SetHubMetrics(telemetry::Metrics& metrics, const peers::Hub& hub);

// What waits for an entry's way out.
void SetLinkQueueMetrics(telemetry::Metrics& metrics,
                         const gateway::LinkQueue& queue);

// What a control daemon has sent of published routes.
void SetRoutesSentCounters(telemetry::Metrics& metrics,
                           const EntryPushes::RoutesSentTotals& sent);

// What a replica of control says of itself; `entries`: connected to it.
void SetReplicaGauges(telemetry::Metrics& metrics,
                      const ControlReplica& replica, size_t entries);

// Where each token of the published totals is: every one is in one column.
void SetTokenGauges(telemetry::Metrics& metrics, const state::State& state);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_GAUGES_H_
