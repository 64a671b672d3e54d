#ifndef DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_
#define DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// Estimates how long the next byte that is handed to a link waits before it:
// what was handed over, at the link's rate, since the link was last idle. What
// the system adds, as packets' heads, is not in it, and what is taken back is
// still counted.
class LinkWait {
 public:
  // 0 bytes a second: the rate is not known, and there is no wait.
  explicit LinkWait(double bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  // So many bytes are handed to the link.
  void OnBytes(uint64_t bytes, Instant now);
  Duration Wait(Instant now) const;
  // The longest wait that there was after any bytes since the last call.
  Duration TakeLongest();

 private:
  const double m_bytes_per_second;
  Instant m_idle_at{};  // when the link will have carried all
  Duration m_longest{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_
