#include <algorithm>  // for clamp
#include <cmath>      // for sqrt

#include "dotterelshift/admission/fair_queue.h"

namespace dotterelshift::admission {
namespace {

// Weight of a new measurement in the recent latency.
constexpr double kRecentWeight = 0.1;

// How fast the best latency follows the recent one upwards, so that an endpoint
// that has become slower for good is not held down for ever.
constexpr double kBestDrift = 0.002;

// Latency may be this many times the best before the limit shrinks.
constexpr double kTolerance = 1.5;

// Weight of a new limit, and the factor after a refusal.
constexpr double kChangeWeight = 0.2;
constexpr double kRefusedFactor = 0.8;

// One refusal a while counts: those in flight together say the same thing.
constexpr Duration kRefusalPause = 100ms;

double AsMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(double start, double least, double most)
    : m_limit(start), m_least(least), m_most(most) {}

void ConcurrencyLimit::OnFirstToken(Duration latency, Instant) {
  const double ms = std::max(AsMs(latency), 0.01);
  if (m_recent_ms == 0) m_recent_ms = ms;
  m_recent_ms += (ms - m_recent_ms) * kRecentWeight;
  if (m_best_ms == 0 || ms < m_best_ms) m_best_ms = ms;
  m_best_ms += (m_recent_ms - m_best_ms) * kBestDrift;
  const double gradient =
      std::clamp(kTolerance * m_best_ms / m_recent_ms, 0.5, 1.0);
  const double wanted = m_limit * gradient + std::sqrt(m_limit);
  // Each measurement moves the limit by its share of one round of requests.
  const double step = kChangeWeight / std::max(1.0, m_limit);
  m_limit = std::clamp(m_limit + (wanted - m_limit) * step, m_least, m_most);
}

void ConcurrencyLimit::OnRefused(Instant now) {
  if (m_last_change != Instant{} && now - m_last_change < kRefusalPause) return;
  m_last_change = now;
  m_limit = std::clamp(m_limit * kRefusedFactor, m_least, m_most);
}

int ConcurrencyLimit::Current() const { return static_cast<int>(m_limit); }

}  // namespace dotterelshift::admission
