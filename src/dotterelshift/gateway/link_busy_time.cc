#include "dotterelshift/gateway/link_busy_time.h"

#include <algorithm>  // for clamp, max
#include <utility>    // for exchange

namespace dotterelshift::gateway {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void LinkBusyTime::OnBytes(double bytes, Instant now) {
  const Instant before = std::exchange(m_since, now);
  if (before == Instant{}) return;
  const Duration passed = now - before;
  const double full = m_options.full_fraction * m_options.bytes_per_second;
  m_shortfall_bytes =
      std::max(0.0, m_shortfall_bytes + full * Seconds(passed) - bytes);
  m_busy_for += passed;
  const Duration turns = passed + std::exchange(m_last_iteration, passed);
  const Duration gap = std::clamp(turns, m_options.gap, m_options.max_gap);
  if (m_shortfall_bytes < full * Seconds(gap)) return;
  m_shortfall_bytes = 0;
  m_busy_for = 0s;
}

}  // namespace dotterelshift::gateway
