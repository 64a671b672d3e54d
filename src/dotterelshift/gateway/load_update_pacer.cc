#include "dotterelshift/gateway/load_update_pacer.h"

#include <algorithm>  // for max, min
#include <limits>     // for numeric_limits

namespace dotterelshift::gateway {

size_t LoadUpdatePacer::Most(size_t entries) const {
  if (m_options.bytes_per_second <= 0 || entries == 0)
    return std::numeric_limits<size_t>::max();
  const double seconds =
      std::chrono::duration<double>(m_options.max_send_gap).count();
  const auto batch = static_cast<size_t>(seconds * m_options.link_fraction *
                                         m_options.bytes_per_second /
                                         static_cast<double>(entries));
  if (batch <= m_options.frame_bytes) return 1;
  return std::max<size_t>(
      1, (batch - m_options.frame_bytes) / m_options.update_bytes);
}

void LoadUpdatePacer::OnSent(size_t notes, size_t entries, Instant now) {
  if (m_options.bytes_per_second <= 0) return;
  const size_t batch = m_options.frame_bytes + notes * m_options.update_bytes;
  const double seconds = static_cast<double>(batch * entries) /
                         (m_options.link_fraction * m_options.bytes_per_second);
  const auto gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  m_next = now + std::min(gap, m_options.max_send_gap);
}

}  // namespace dotterelshift::gateway
