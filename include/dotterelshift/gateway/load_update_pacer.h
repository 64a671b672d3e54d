#ifndef DOTTERELSHIFT_GATEWAY_LOAD_UPDATE_PACER_H_
#define DOTTERELSHIFT_GATEWAY_LOAD_UPDATE_PACER_H_

#include <cstddef>  // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LoadUpdatePacerOptions {
  double bytes_per_second = 0;  // capacity of the host's link; 0: not known
  // Fraction of the link that load updates may use.
  double link_fraction = 0.15;
  // Maximum delay of an update. Other entries choose endpoints by the load that
  // updates report.
  Duration max_send_gap = 100ms;
  // Size of a batch to one entry: its frame and packet, and each update.
  size_t frame_bytes = 120;
  size_t update_bytes = 32;
};

// Decides when load updates are sent to the other entries, as one batch.
//
// Load pattern: an entry that receives a hundred requests a second notifies
// some twenty others of the start and end of each. With one frame per event,
// the updates use more of a slow link than the requests, and delay endpoints
// and callers. Updates are therefore batched at the rate that the link's
// fraction allows. On a fast link or at a low rate they are sent immediately.
class LoadUpdatePacer {
 public:
  explicit LoadUpdatePacer(const LoadUpdatePacerOptions& options)
      : m_options(options) {}

  bool MaySend(Instant now) const { return now >= m_next; }
  // Earliest time at which a batch may be sent.
  Instant Next() const { return m_next; }
  // Maximum number of updates in a batch to this many entries, such that
  // sending one batch per `max_send_gap` stays within the link's fraction.
  size_t Most(size_t entries) const;
  // A batch of `notes` updates was sent to each of `entries` entries.
  void OnSent(size_t notes, size_t entries, Instant now);

 private:
  const LoadUpdatePacerOptions m_options;
  Instant m_next{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LOAD_UPDATE_PACER_H_
