#ifndef DOTTERELSHIFT_GATEWAY_DRAIN_H_
#define DOTTERELSHIFT_GATEWAY_DRAIN_H_

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// When an entry that was told to stop does what. Callers that were idle then
// still hold connections to it, and each may bring one more request until the
// very end.
struct DrainTimes {
  Instant begun{};        // the signal
  Instant notice_end{};   // until then the balancer may not know of the stop
  Instant last_answer{};  // what is open then is cut
  Instant exit{};         // the process ends, whoever has its last reports
};

// The times of a stop that begins now and must be over within `limit`; the
// balancer learns of it within `notice`.
DrainTimes PlanDrain(Instant now, Duration notice, Duration limit);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_DRAIN_H_
