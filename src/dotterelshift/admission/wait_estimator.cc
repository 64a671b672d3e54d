#include "dotterelshift/admission/wait_estimator.h"

#include <algorithm>  // for max
#include <cmath>      // for exp

namespace dotterelshift::admission {
namespace {

// Time constant of the decay, in seconds during which requests were queued.
constexpr double kDecaySeconds = 5;

// No estimate is made from less observed queueing time than this.
constexpr double kMinObservedSeconds = 0.2;

// Fraction of the time left that the expected wait may take. The estimate is
// rough, and a request that misses its deadline in the queue has waited for
// nothing; docs/decisions/admission.md has the figures.
constexpr double kTimeLeftFraction = 0.8;

}  // namespace

void WaitEstimator::OnWaiting(const std::string& target, bool first,
                              Instant now) {
  Rate& rate = m_rates[target];
  if (!first && rate.waiting) return;
  rate.waiting = true;
  rate.last = now;
}

void WaitEstimator::OnStarted(const std::string& target, double cost, bool more,
                              Instant now) {
  Rate& rate = m_rates[target];
  rate = At(rate, now);
  rate.cost += cost;
  rate.waiting = more;
}

WaitEstimator::Rate WaitEstimator::At(Rate rate, Instant now) {
  if (rate.waiting && now > rate.last) {
    const double passed =
        std::chrono::duration<double>(now - rate.last).count();
    const double kept = std::exp(-passed / kDecaySeconds);
    rate.cost *= kept;
    rate.seconds = rate.seconds * kept + kDecaySeconds * (1 - kept);
  }
  rate.last = now;
  return rate;
}

Duration WaitEstimator::Expected(const std::string& target, double cost_ahead,
                                 Instant now) const {
  const auto found = m_rates.find(target);
  if (found == m_rates.end()) return 0s;
  const Rate rate = At(found->second, now);
  if (rate.seconds < kMinObservedSeconds || rate.cost <= 0) return 0s;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(cost_ahead * rate.seconds / rate.cost));
}

std::optional<Duration> WaitEstimator::RefuseFor(const std::string& target,
                                                 double cost_ahead,
                                                 Duration time_left,
                                                 Instant now) const {
  const Duration expected = Expected(target, cost_ahead, now);
  if (expected <=
      std::chrono::duration_cast<Duration>(time_left * kTimeLeftFraction))
    return std::nullopt;
  return expected -
         std::chrono::duration_cast<Duration>(time_left * kTimeLeftFraction);
}

}  // namespace dotterelshift::admission
