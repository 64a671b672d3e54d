#ifndef DOTTERELSHIFT_GATEWAY_LOAD_NOTE_PACER_H_
#define DOTTERELSHIFT_GATEWAY_LOAD_NOTE_PACER_H_

#include <cstddef>  // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LoadNotePacerOptions {
  double bytes_per_second = 0;  // what the host's link carries; 0: not known
  // Of the link, the part that load notes may take.
  double part = 0.15;
  // Notes do not get older than this: the others place requests by them.
  Duration longest_gap = 100ms;
  // Of a batch to one entry: the frame and its packet, and each note.
  size_t frame_bytes = 120;
  size_t note_bytes = 32;
};

// Says when load notes go to the other entries, as one batch.
//
// Load pattern: an entry whose callers send a hundred requests a second tells
// some twenty others of each one's begin and end. One frame for each takes more
// of a slow link than the requests do, and endpoints and callers wait behind
// them. Notes that gather are told together, no more than the link has room
// for; where it is fast or little happens, they go at once.
class LoadNotePacer {
 public:
  explicit LoadNotePacer(const LoadNotePacerOptions& options)
      : m_options(options) {}

  bool MaySend(Instant now) const { return now >= m_next; }
  // From when on it may.
  Instant Next() const { return m_next; }
  // How many notes a batch to so many entries may hold, so that the longest gap
  // pays for it.
  size_t Most(size_t entries) const;
  // A batch of so many notes goes to so many entries.
  void OnSent(size_t notes, size_t entries, Instant now);

 private:
  const LoadNotePacerOptions m_options;
  Instant m_next{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LOAD_NOTE_PACER_H_
