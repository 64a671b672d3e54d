#include "dotterelshift/routing/outliers.h"

#include <algorithm>  // for nth_element, max, min, count_if

namespace dotterelshift::routing {
namespace {

// Weight of a new measurement in the moving average.
constexpr double kNewWeight = 0.2;

// Measured responses since the last ejection after which the count of
// consecutive ejections is reset.
constexpr int kForgiven = 64;

void Eject(Seat* seat, const OutlierOptions& options, Instant now) {
  const int doublings = std::min(seat->ejections, 10);
  const Duration wanted = options.first_ejection * (1 << doublings);
  seat->ejected_until = now + std::min(wanted, options.longest_ejection);
  ++seat->ejections;
  seat->failures = 0;
  seat->samples = 0;
  seat->first_token_ms = 0;
}

// Whether one more of the endpoints may be ejected.
bool MayEject(const std::vector<Seat*>& kin, const OutlierOptions& options,
              Instant now) {
  const auto out = std::count_if(kin.begin(), kin.end(), [now](Seat* seat) {
    return !seat->usable || seat->IsEjected(now);
  });
  return static_cast<double>(out + 1) <=
         options.most_ejected * static_cast<double>(kin.size());
}

}  // namespace

void NoteFirstToken(Seat* seat, double milliseconds) {
  seat->failures = 0;
  const bool first = seat->samples++ == 0;
  if (first) {
    seat->first_token_ms = milliseconds;
  } else {
    seat->first_token_ms += kNewWeight * (milliseconds - seat->first_token_ms);
  }
  if (seat->samples == kForgiven) seat->ejections = 0;
}

void NoteEnd(Seat* seat, bool failed, const OutlierOptions& options,
             Instant now) {
  if (!failed) return;
  if (++seat->failures >= options.failures) Eject(seat, options, now);
}

void EjectSlow(const std::vector<Seat*>& kin, const OutlierOptions& options,
               Instant now) {
  std::vector<double> paces;
  for (const Seat* seat : kin) {
    if (seat->samples >= options.enough_samples)
      paces.push_back(seat->first_token_ms);
  }
  if (paces.size() < 3) return;
  const auto middle = paces.begin() + static_cast<ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  const double bound =
      std::max(options.slow_factor * *middle, *middle + options.slow_margin_ms);
  for (Seat* seat : kin) {
    const bool slow =
        seat->samples >= options.enough_samples && seat->first_token_ms > bound;
    if (slow && MayEject(kin, options, now)) Eject(seat, options, now);
  }
}

}  // namespace dotterelshift::routing
