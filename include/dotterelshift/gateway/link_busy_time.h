#ifndef DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_
#define DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkBusyTimeOptions {
  double bytes_per_second = 0;  // what the link carries; 0: not known
  // Of it, the part at which the link counts as full; the rest is for what the
  // estimate of packets' heads and handshakes misses.
  double full_part = 0.93;
  // A link that has carried so much less than when it is full had a gap; after
  // long turns of the loop so much less as in the last two of them, up to the
  // most: what has come may be counted in the next turn only.
  Duration gap = 30ms;
  Duration most_gap = 200ms;
};

// Tells for how long one way of a link has been in full use without a gap.
//
// Load pattern: behind a full link nothing shows how much waits before it, as
// never more than its rate comes through. But a link in which there was a gap
// had no queue then, and what waits now has come since: so a queue is at most
// as old as this time.
class LinkBusyTime {
 public:
  explicit LinkBusyTime(const LinkBusyTimeOptions& options)
      : m_options(options) {}

  // So many bytes, packets' heads included, have come through since the last
  // call.
  void OnBytes(double bytes, Instant now);

  // As of the last OnBytes().
  Duration BusyFor() const { return m_busy_for; }

 private:
  LinkBusyTimeOptions m_options;
  Instant m_since{};
  Duration m_last_turn = 0s;
  Duration m_busy_for = 0s;
  double m_missing = 0;  // bytes that a full link would have carried besides
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_BUSY_TIME_H_
