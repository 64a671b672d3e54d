#ifndef DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
#define DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct LinkAdmissionOptions {
  double bytes_per_second = 0;  // what the link carries each way; 0: not known
  // Of the link, the part that may be in use for long: the rest is for what is
  // not counted, as handshakes and packets' heads.
  double used_part = 0.9;
  // What may come at once beyond that, as time of the link.
  Duration burst = 150ms;
  // A link that was overrun for longer is looked at again after this.
  Duration longest_debt = 300ms;
  // What a first request brings, until some have been seen.
  double first_request_bytes = 8 << 10;
};

// What becomes of a connection that comes.
enum class Entrance {
  kTakes,
  kTurnsAway,  // it is closed unread, though what it brings is on its way
  kShut,       // it is not made, and brings nothing
};

// Bytes that have gone over a link, counted from any moment on.
struct LinkBytes {
  uint64_t in = 0;
  uint64_t out = 0;

  LinkBytes operator+(const LinkBytes& other) const {
    return {in + other.in, out + other.out};
  }
  // Since an earlier count.
  LinkBytes operator-(const LinkBytes& earlier) const {
    return {in - earlier.in, out - earlier.out};
  }
};

// Says when an entry should take new connections, so that what they bring does
// not queue before its host's link.
//
// Load pattern: a hash assigns connections to entries, and one team sends many
// times what the others do, prompts of more bytes than the link of one entry
// carries. They are sent as soon as their connections are there, so that no
// answer and no later decision shortens the queue: answers of endpoints, news
// of control and callers' closes stand behind it for seconds. Only who is not
// let in sends nothing, and may ask another entry at once.
//
// An allowance grows with time and is used up by all that goes over the link; a
// connection uses what its first request should bring. While a queue stands
// before the link, the link is in full use, so that the allowance stays used up
// until the queue has gone.
class LinkAdmission {
 public:
  explicit LinkAdmission(const LinkAdmissionOptions& options);

  // A connection was accepted.
  void OnConnected();
  // Its first request, of so many bytes, has come in whole.
  void OnFirstRequest(uint64_t bytes);
  // It has ended without one.
  void OnUnusedEnd();
  // What has gone over the link since the last call, first requests apart.
  void OnBytes(const LinkBytes& bytes);

  // Once not taken, connections are when half of what may come at once has
  // gathered. Shut is who could not even be turned away in time.
  Entrance Decide(Instant now);

  // Whether the link's rate is known.
  bool IsBounded() const { return m_options.bytes_per_second > 0; }

 private:
  // What may go one way by now, in bytes; below zero after an overrun.
  struct Allowance {
    double in = 0;
    double out = 0;
    double Least() const { return in < out ? in : out; }
  };

  double BytesIn(Duration time) const;
  void Grow(Instant now);

  const LinkAdmissionOptions m_options;
  double m_request_bytes;  // of a first request, an average over the last ones
  Allowance m_allowance;
  Instant m_since{};
  Entrance m_entrance = Entrance::kTakes;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
