#include "dotterelshift/gateway/link_wait.h"

#include <algorithm>  // for max
#include <utility>    // for exchange

namespace dotterelshift::gateway {

void LinkWait::OnBytes(uint64_t bytes, Instant now) {
  if (m_bytes_per_second <= 0 || bytes == 0) return;
  const std::chrono::duration<double> carried(static_cast<double>(bytes) /
                                              m_bytes_per_second);
  m_idle_at =
      std::max(m_idle_at, now) + std::chrono::duration_cast<Duration>(carried);
  m_max_wait = std::max(m_max_wait, Wait(now));
}

Duration LinkWait::Wait(Instant now) const {
  return std::max<Duration>(0s, m_idle_at - now);
}

Duration LinkWait::TakeMaxWait() { return std::exchange(m_max_wait, {}); }

}  // namespace dotterelshift::gateway
