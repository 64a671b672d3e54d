#include <algorithm>  // for clamp
#include <cmath>      // for sqrt

#include "dotterelshift/admission/fair_queue.h"

namespace dotterelshift::admission {
namespace {

// Weight of a new measurement in the recent latency.
constexpr double kRecentWeight = 0.1;

// Weight of a latency below the best one, so that a single fast response, such
// as one from a cached prefix, does not become the reference.
constexpr double kBestWeight = 0.1;

// The limit shrinks when latency exceeds this multiple of the best.
constexpr double kTolerance = 1.5;

// Weight of a new limit, and the factor applied after a refusal.
constexpr double kChangeWeight = 0.2;
constexpr double kRefusedFactor = 0.8;

// Growth per measurement until latency first rises: a factor of 1.5 per round
// of requests.
constexpr double kFastGrowth = 0.5;

// Lower bound on the factor by which one round may shrink the limit.
constexpr double kMinGradient = 0.5;

// Only one refusal per interval counts, as requests that were in flight
// together report the same overload.
constexpr Duration kRefusalInterval = 100ms;

double AsMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(double start, double min_limit,
                                   double max_limit)
    : m_start(start),
      m_limit(start),
      m_min_limit(min_limit),
      m_max_limit(max_limit) {}

void ConcurrencyLimit::OnFirstToken(Duration latency, Instant, int in_flight) {
  const double ms = std::max(AsMs(latency), 0.01);
  if (m_recent_ms == 0) m_recent_ms = ms;
  m_recent_ms += (ms - m_recent_ms) * kRecentWeight;
  if (m_best_ms == 0) m_best_ms = ms;
  if (ms < m_best_ms) m_best_ms += (ms - m_best_ms) * kBestWeight;
  const double gradient =
      std::clamp(kTolerance * m_best_ms / m_recent_ms, kMinGradient, 1.0);
  if (gradient < 1) m_fast_growth = false;
  if (gradient <= kMinGradient && m_limit <= m_start + 1) {
    m_best_ms = m_recent_ms;
    m_fast_growth = true;
    return;
  }
  const bool used = in_flight == kUnknownInFlight || 2 * in_flight >= Current();
  Grow(gradient, used);
}

void ConcurrencyLimit::Grow(double gradient, bool used) {
  const double wanted = m_limit * gradient + std::sqrt(m_limit);
  // Each measurement moves the limit by its share of one round of requests.
  double step = (wanted - m_limit) * kChangeWeight / std::max(1.0, m_limit);
  if (m_fast_growth) step = kFastGrowth;
  if (step > 0 && !used) return;
  m_limit = std::clamp(m_limit + step, m_min_limit, m_max_limit);
}

void ConcurrencyLimit::Begin(double slots) {
  m_limit = std::clamp(slots, m_min_limit, m_max_limit);
  m_fast_growth = false;
}

void ConcurrencyLimit::OnRefused(Instant now) {
  if (m_last_change != Instant{} && now - m_last_change < kRefusalInterval)
    return;
  m_last_change = now;
  m_limit = std::clamp(m_limit * kRefusedFactor, m_min_limit, m_max_limit);
}

int ConcurrencyLimit::Current() const { return static_cast<int>(m_limit); }

}  // namespace dotterelshift::admission
