#ifndef DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
#define DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_

#include <cstddef>  // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkLoadShedderOptions {
  double bytes_per_second = 0;  // what the host's link carries; 0: not known
  // Callers' requests may fill this part of the link for `window`; the rest is
  // for answers, endpoints and the other daemons.
  double full_part = 0.6;
  Duration window = 1s;
  // Back in rotation once requests need no more than this part, and not before
  // `shed_least`: the balancer asks once a second and believes the second miss.
  double clear_part = 0.3;
  Duration shed_least = 3s;
  // A caller that fills any entry must not keep all of them away.
  Duration shed_most = 6s;
};

// Says when an entry should let new connections go to other entries because
// callers' requests fill its host's link.
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

  // A request of so many bytes has come in.
  void OnRequest(size_t bytes, Instant now);
  // Whether new connections should go elsewhere.
  bool IsShedding(Instant now);

  // Of the link, the part that requests filled lately.
  double FilledPart(Instant now) const;

 private:
  const LinkLoadShedderOptions m_options;
  double m_rate = 0;  // bytes a second, an exponentially decaying average
  Instant m_since{};
  Instant m_shedding_since{};  // the epoch: not shedding
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_LOAD_SHEDDER_H_
