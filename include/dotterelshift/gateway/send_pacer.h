#ifndef DOTTERELSHIFT_GATEWAY_SEND_PACER_H_
#define DOTTERELSHIFT_GATEWAY_SEND_PACER_H_

#include <cstdint>  // for uint64_t
#include <deque>    // for deque

#include "dotterelshift/base/ids.h"   // for AttemptId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct SendPacerOptions {
  double bytes_per_second = 0;  // capacity of the link; 0: not known
  // Fraction of the link for counted bytes. The rest is for what is not
  // counted, such as handshakes, acknowledgements and packet headers.
  double used_fraction = 0.9;
  // Limit on the bytes in the system's send queue including the prompt to be
  // sent, as transmission time on the link.
  Duration max_queued = 60ms;
  // A prompt of any size may be sent once no more than this is queued before
  // it, even if the limit is then exceeded.
  Duration min_queued = 20ms;
};

// Decides when a prompt may be sent, so that prompts queue in the entry and not
// in the system's send queue.
//
// Load pattern: callers of one entry send more prompts than its host's link can
// forward to endpoints, and many callers leave before their prompt is sent.
// Data that was passed to the system cannot be withdrawn: prompts of callers
// who have left are sent first and delay all responses, closes and frames to
// control for seconds. Prompts queued in the entry can be dropped at no cost.
//
// Estimates the system's queue as the bytes written minus the bytes that the
// link has carried since. Responses and frames are counted but never delayed.
class SendPacer {
 public:
  explicit SendPacer(const SendPacerOptions& options) : m_options(options) {}

  // Whether the link's capacity is known; otherwise nothing is delayed.
  bool IsBounded() const { return m_options.bytes_per_second > 0; }

  // Whether a prompt of this size may be sent now, and the earliest time at
  // which it may be sent if nothing else is written before then.
  bool MaySend(uint64_t bytes, Instant now) const;
  Instant Next(uint64_t bytes) const;
  // Time until a prompt may be sent if `bytes_before` are sent before it.
  Duration WaitBehind(uint64_t bytes_before, uint64_t bytes, Instant now) const;

  // The prompt of an attempt is released for sending.
  void OnPrompt(AttemptId attempt, uint64_t bytes, Instant now);
  // The attempt ended before any byte of its prompt was written.
  void OnNotSent(AttemptId attempt, Instant now);
  // Anything other than a prompt was written.
  void OnBytes(uint64_t bytes, Instant now);

  // Time that the link needs for the bytes written and not yet carried.
  Duration Held(Instant now) const;

 private:
  // Consecutive bytes in the send queue.
  struct Chunk {
    AttemptId attempt = 0;  // 0: not a prompt
    double bytes = 0;
  };

  double Rate() const {
    return m_options.bytes_per_second * m_options.used_fraction;
  }
  double BytesIn(Duration time) const;
  Duration TimeOf(double bytes) const;
  // Maximum bytes queued before a prompt of this size for it to be sent.
  double MaxQueuedBefore(uint64_t bytes) const;
  double QueuedBytes(Instant now) const;
  // Removes the bytes that the link has carried until now.
  void Carry(Instant now);
  void Add(AttemptId attempt, uint64_t bytes, Instant now);

  const SendPacerOptions m_options;
  std::deque<Chunk> m_chunks;  // front is sent first
  double m_bytes = 0;          // sum over all of them
  Instant m_drained_until{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SEND_PACER_H_
