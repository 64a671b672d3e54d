#ifndef DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_
#define DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// Estimates how long the next byte written to a link is queued: the bytes
// written since the link was last idle, at the link's rate. Overhead added by
// the system, such as packet headers, is not included, and bytes that were
// withdrawn are still counted.
class LinkWait {
 public:
  // 0 bytes per second: the rate is not known, and the wait is always 0.
  explicit LinkWait(double bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  // Bytes were written to the link.
  void OnBytes(uint64_t bytes, Instant now);
  Duration Wait(Instant now) const;
  // The longest wait after any write since the last call.
  Duration TakeMaxWait();

 private:
  const double m_bytes_per_second;
  Instant m_idle_at{};  // when the link will have carried all bytes
  Duration m_max_wait{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_WAIT_H_
