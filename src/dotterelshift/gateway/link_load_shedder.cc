#include "dotterelshift/gateway/link_load_shedder.h"

#include <cmath>  // for exp

namespace dotterelshift::gateway {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void LinkLoadShedder::OnBytes(size_t bytes, Instant now) {
  if (m_options.bytes_per_second <= 0 || bytes == 0) return;
  m_rate = Utilization(now) * m_options.bytes_per_second;
  m_rate += static_cast<double>(bytes) / Seconds(m_options.window);
  m_since = now;
}

double LinkLoadShedder::Utilization(Instant now) const {
  if (m_options.bytes_per_second <= 0 || m_rate == 0) return 0;
  const double windows = Seconds(now - m_since) / Seconds(m_options.window);
  return m_rate * std::exp(-windows) / m_options.bytes_per_second;
}

void LinkLoadShedder::OnRejected(Instant now) {
  const bool just_back = m_restored_at != Instant{} &&
                         now - m_restored_at < m_options.min_stay_time;
  if (m_shedding_since == Instant{} && !just_back) m_shedding_since = now;
}

bool LinkLoadShedder::IsShedding(Instant now) {
  const double filled = Utilization(now);
  if (m_shedding_since == Instant{}) {
    if (filled >= m_options.full_fraction) m_shedding_since = now;
    return m_shedding_since != Instant{};
  }
  const Duration away = now - m_shedding_since;
  const bool clear =
      away >= m_options.min_shed_time && filled <= m_options.clear_fraction;
  if (clear || away >= m_options.max_shed_time) {
    m_shedding_since = Instant{};
    m_restored_at = now;
  }
  return m_shedding_since != Instant{};
}

}  // namespace dotterelshift::gateway
