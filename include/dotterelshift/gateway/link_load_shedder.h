#ifndef DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
#define DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_

#include <cstddef>  // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkLoadShedderOptions {
  double bytes_per_second = 0;  // what the host's link carries; 0: not known
  // So much of the link may be in use for `window`; the rest is for what comes
  // until the balancer has seen it, and on connections that stay.
  double full_part = 0.6;
  Duration window = 1s;
  // Back in rotation once no more than this part is in use, and not before
  // `shed_least`: the balancer asks once a second and believes the second miss.
  double clear_part = 0.45;
  Duration shed_least = 3s;
  // A caller that fills any entry must not keep all of them away.
  Duration shed_most = 6s;
  // Back in rotation, callers who are turned away send it out again after this
  // at the earliest.
  Duration stay_least = 2s;
};

// Says when an entry should let new connections go to other entries because its
// host's link is well in use.
//
// Load pattern: a hash assigns connections to entries, and one team sends many
// times what the others do, so that the requests of a few callers fill the link
// of one entry while the links of the others are nearly idle. All that the
// entry is told then comes seconds late, among it that an endpoint leaves, and
// requests outlast their callers' patience in the link's queue.
class LinkLoadShedder {
 public:
  explicit LinkLoadShedder(const LinkLoadShedderOptions& options)
      : m_options(options) {}

  // So many bytes have gone over the link, the busier way of the two.
  void OnBytes(size_t bytes, Instant now);
  // A connection that comes now is not taken: new ones go elsewhere from here
  // on, unless this entry has just come back.
  void OnTurnedAway(Instant now);
  // Whether new connections should go elsewhere.
  bool IsShedding(Instant now);

  // Of the link, the part that was in use lately.
  double FilledPart(Instant now) const;

 private:
  const LinkLoadShedderOptions m_options;
  double m_rate = 0;  // bytes a second, an exponentially decaying average
  Instant m_since{};
  Instant m_shedding_since{};  // the epoch: not shedding
  Instant m_back_since{};      // the epoch: has not shed yet
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
