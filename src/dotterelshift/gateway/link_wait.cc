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
  m_longest = std::max(m_longest, Wait(now));
}

Duration LinkWait::Wait(Instant now) const {
  return std::max<Duration>(0s, m_idle_at - now);
}

Duration LinkWait::TakeLongest() { return std::exchange(m_longest, {}); }

}  // namespace dotterelshift::gateway
