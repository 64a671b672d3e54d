#ifndef DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
#define DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_

#include <cstddef>  // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkLoadShedderOptions {
  double bytes_per_second = 0;  // capacity of the host's link; 0: not known
  // Shedding starts at this link utilization, averaged over `window`. The rest
  // of the capacity is for traffic that arrives before the load balancer reacts
  // and for established connections.
  double full_fraction = 0.6;
  Duration window = 1s;
  // Shedding ends at this utilization or below, but not before `min_shed_time`:
  // the balancer checks health once a second and acts on the second failure.
  double clear_fraction = 0.45;
  Duration min_shed_time = 3s;
  // Shedding ends after this time at any load, so that a caller that overloads
  // each entry it is assigned to does not take all entries out of rotation.
  Duration max_shed_time = 6s;
  // Once back in rotation, an entry is not taken out again by rejected
  // connections before this time has passed.
  Duration min_stay_time = 2s;
};

// Decides when an entry should direct new connections to other entries because
// its host's link is heavily used.
//
// Load pattern: connections are assigned to entries by hash, and one team sends
// many times as much as the others. The requests of a few callers then fill the
// link of one entry while other links are nearly idle. All messages to that
// entry arrive seconds late, including that an endpoint is leaving, and
// requests time out in the link's queue.
class LinkLoadShedder {
 public:
  explicit LinkLoadShedder(const LinkLoadShedderOptions& options)
      : m_options(options) {}

  // Bytes carried by the link, in its busier direction.
  void OnBytes(size_t bytes, Instant now);
  // A connection was rejected. Starts shedding, unless this entry has returned
  // to rotation less than `min_stay_time` ago.
  void OnRejected(Instant now);
  // Whether new connections should go to other entries.
  bool IsShedding(Instant now);

  // Fraction of the link's capacity in use, averaged over `window`.
  double Utilization(Instant now) const;

 private:
  const LinkLoadShedderOptions m_options;
  double m_rate = 0;  // bytes per second, exponentially decaying average
  Instant m_since{};
  Instant m_shedding_since{};  // the epoch: not shedding
  Instant m_restored_at{};     // the epoch: has not shed yet
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
