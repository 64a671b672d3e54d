#ifndef DOTTERELSHIFT_ROUTING_OUTLIERS_H_
#define DOTTERELSHIFT_ROUTING_OUTLIERS_H_

#include <vector>  // for vector

#include "dotterelshift/routing/endpoint_state.h"  // for EndpointState

namespace dotterelshift::routing {

struct OutlierOptions {
  // An endpoint is slow if its first-token time exceeds the median of the
  // endpoints that serve the same target by both this factor and this margin.
  double slow_factor = 3;
  double slow_margin_ms = 50;
  int min_samples = 8;           // before a first-token time is judged
  int failures = 3;              // consecutive
  Duration first_ejection = 2s;  // doubled with each consecutive ejection
  Duration max_ejection = 60s;
  double max_ejected_fraction =
      0.34;  // of the endpoints that serve the same target
};

// Records the time to a response's first token.
void RecordFirstToken(EndpointState* state, double milliseconds);

// Records the end of an attempt. Consecutive failures eject the endpoint.
void RecordAttemptEnd(EndpointState* state, bool failed,
                      const OutlierOptions& options, Instant now);

// Temporarily ejects the slow endpoints among those that serve the same target.
// At most OutlierOptions::max_ejected_fraction of them may be ejected or
// unusable after an ejection, so that the others can carry the load. After its
// ejection an endpoint starts without measurements.
void EjectSlow(const std::vector<EndpointState*>& peers,
               const OutlierOptions& options, Instant now);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_OUTLIERS_H_
