#ifndef DOTTERELSHIFT_GATEWAY_DRAIN_H_
#define DOTTERELSHIFT_GATEWAY_DRAIN_H_

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// Schedule of an entry's shutdown. Callers that are idle when it begins still
// hold connections to the entry, and each may send one more request until the
// process exits.
struct DrainSchedule {
  Instant begun{};       // when the signal was received
  Instant notice_end{};  // until then the balancer may still send requests
  Instant response_deadline{};  // open requests are ended with an error
  Instant exit{};  // the process exits, even if its last reports are in flight
};

// Returns the schedule of a shutdown that begins now and must end within
// `limit`. The balancer is notified of it within `notice`.
DrainSchedule MakeDrainSchedule(Instant now, Duration notice, Duration limit);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_DRAIN_H_
