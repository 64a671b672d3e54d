#include "dotterelshift/routing/outliers.h"

#include <algorithm>  // for nth_element, max, min, count_if

namespace dotterelshift::routing {
namespace {

// Weight of a new measurement in the moving average.
constexpr double kSampleWeight = 0.2;

// Measured responses since the last ejection after which the count of
// consecutive ejections is reset.
constexpr int kEjectionResetSamples = 64;

void Eject(EndpointState* state, const OutlierOptions& options, Instant now) {
  const int doublings = std::min(state->ejections, 10);
  const Duration wanted = options.first_ejection * (1 << doublings);
  state->ejected_until = now + std::min(wanted, options.max_ejection);
  ++state->ejections;
  state->failures = 0;
  state->samples = 0;
  state->first_token_ms = 0;
}

// Whether one more of the endpoints may be ejected.
bool MayEject(const std::vector<EndpointState*>& peers,
              const OutlierOptions& options, Instant now) {
  const auto out =
      std::count_if(peers.begin(), peers.end(), [now](EndpointState* state) {
        return !state->usable || state->IsEjected(now);
      });
  return static_cast<double>(out + 1) <=
         options.max_ejected_fraction * static_cast<double>(peers.size());
}

}  // namespace

void RecordFirstToken(EndpointState* state, double milliseconds) {
  state->failures = 0;
  const bool first = state->samples++ == 0;
  if (first) {
    state->first_token_ms = milliseconds;
  } else {
    state->first_token_ms +=
        kSampleWeight * (milliseconds - state->first_token_ms);
  }
  if (state->samples == kEjectionResetSamples) state->ejections = 0;
}

void RecordAttemptEnd(EndpointState* state, bool failed,
                      const OutlierOptions& options, Instant now) {
  if (!failed) return;
  if (++state->failures >= options.failures) Eject(state, options, now);
}

void EjectSlow(const std::vector<EndpointState*>& peers,
               const OutlierOptions& options, Instant now) {
  std::vector<double> latencies;
  for (const EndpointState* state : peers) {
    if (state->samples >= options.min_samples)
      latencies.push_back(state->first_token_ms);
  }
  if (latencies.size() < 3) return;
  const auto middle =
      latencies.begin() + static_cast<ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  const double bound =
      std::max(options.slow_factor * *middle, *middle + options.slow_margin_ms);
  for (EndpointState* state : peers) {
    const bool slow =
        state->samples >= options.min_samples && state->first_token_ms > bound;
    if (slow && MayEject(peers, options, now)) Eject(state, options, now);
  }
}

}  // namespace dotterelshift::routing
