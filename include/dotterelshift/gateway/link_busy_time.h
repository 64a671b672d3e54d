#ifndef DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_
#define DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkBusyTimeOptions {
  double bytes_per_second = 0;  // capacity of the link; 0: not known
  // Fraction of the capacity at which the link counts as full; the rest allows
  // for errors in the estimate of packet headers and handshakes.
  double full_fraction = 0.93;
  // Shortfall against a full link, as transmission time, that counts as a gap.
  // After long iterations of the event loop, the time of the last two
  // iterations is used instead, up to the maximum, as received bytes may be
  // counted one iteration late.
  Duration gap = 30ms;
  Duration max_gap = 200ms;
};

// Measures how long one direction of a link has been fully used without a gap.
//
// Load pattern: the length of the queue in front of a full link cannot be
// observed, as bytes never arrive faster than the link's rate. A link that had
// a gap had no queue at that time, so a queue has existed at most since the
// last gap.
class LinkBusyTime {
 public:
  explicit LinkBusyTime(const LinkBusyTimeOptions& options)
      : m_options(options) {}

  // Bytes carried since the last call, packet headers included.
  void OnBytes(double bytes, Instant now);

  // As of the last OnBytes().
  Duration BusyFor() const { return m_busy_for; }

 private:
  LinkBusyTimeOptions m_options;
  Instant m_since{};
  Duration m_last_iteration = 0s;
  Duration m_busy_for = 0s;
  double m_shortfall_bytes = 0;  // bytes carried less than by a full link
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_
