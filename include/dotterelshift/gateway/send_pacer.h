#ifndef DOTTERELSHIFT_GATEWAY_SEND_PACER_H_
#define DOTTERELSHIFT_GATEWAY_SEND_PACER_H_

#include <cstdint>  // for uint64_t
#include <deque>    // for deque

#include "dotterelshift/base/ids.h"   // for AttemptId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct SendPacerOptions {
  double bytes_per_second = 0;  // what the link carries; 0: not known
  // Of the link, the part that what is counted may take: the rest is for what
  // is not, as handshakes, acknowledgements and packets' heads.
  double used_part = 0.9;
  // What the system may hold with a prompt that is let go, as time of the link.
  Duration most_held = 60ms;
  // A prompt that is longer than that by itself goes when no more than this is
  // before it.
  Duration least_held = 20ms;
};

// Says when a prompt may go out, so that what waits for the link waits at the
// entry and not in the system's queue.
//
// Load pattern: callers of one entry send more prompts than its host's link
// carries on to endpoints, and many leave before theirs has gone out. What the
// system was given cannot be taken back and goes out first: prompts of callers
// who have left, and behind these all answers, closes and frames to control,
// for seconds. What waits at the entry costs nothing to drop.
//
// Models the system's queue: what was handed over, less what the link has
// carried since. Answers and frames are counted, never held back.
class SendPacer {
 public:
  explicit SendPacer(const SendPacerOptions& options) : m_options(options) {}

  // Whether the link's rate is known; else nothing is held back.
  bool IsBounded() const { return m_options.bytes_per_second > 0; }

  // Whether a prompt of so many bytes may go, and from when on it may if
  // nothing else is handed over before.
  bool MaySend(uint64_t bytes, Instant now) const;
  Instant Next(uint64_t bytes) const;
  // How long a prompt waits until it may go, when so many bytes go before it.
  Duration WaitBehind(uint64_t bytes_before, uint64_t bytes, Instant now) const;

  // The prompt of an attempt is let go.
  void OnPrompt(AttemptId attempt, uint64_t bytes, Instant now);
  // It turned out that none of it was handed to a connection.
  void OnNotSent(AttemptId attempt, Instant now);
  // Anything else has gone out.
  void OnBytes(uint64_t bytes, Instant now);

  // How long the link needs for what it was given and has not carried.
  Duration Held(Instant now) const;

 private:
  // A run of bytes that go out in order.
  struct Piece {
    AttemptId attempt = 0;  // 0: no prompt
    double bytes = 0;
  };

  double Rate() const {
    return m_options.bytes_per_second * m_options.used_part;
  }
  double BytesIn(Duration time) const;
  Duration TimeOf(double bytes) const;
  // The most that may be held before a prompt that goes.
  double Room(uint64_t bytes) const;
  double HeldBytes(Instant now) const;
  // Drops what the link has carried until now.
  void Carry(Instant now);
  void Add(AttemptId attempt, uint64_t bytes, Instant now);

  const SendPacerOptions m_options;
  std::deque<Piece> m_pieces;  // the first one goes out first
  double m_bytes = 0;          // of all pieces
  Instant m_carried_to{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SEND_PACER_H_
