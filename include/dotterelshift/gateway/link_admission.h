#ifndef DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
#define DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"               // for Instant
#include "dotterelshift/gateway/link_busy_time.h"  // for LinkBusyTime

namespace dotterelshift::gateway {

struct LinkAdmissionOptions {
  double bytes_per_second = 0;  // what the link carries each way; 0: not known
  // Of the link, the part that may be in use for long.
  double used_part = 0.92;
  // The same while it has been full for longer than `longest_busy`, so that
  // what waits before it gets less.
  double draining_part = 0.85;
  Duration longest_busy = 300ms;
  // While it stays full, that part falls by so much a second, down to the
  // least: what is not counted may take more of the link than is reckoned.
  double fall_per_second = 0.5;
  double least_part = 0.4;
  // What may come at once beyond that, as time of the link.
  Duration burst = 120ms;
  // No connection is made while more than this, as time of the link, is on its
  // way in.
  Duration longest_wait = 220ms;
  // What connections that are kept may bring unasked, all at once. Links as
  // fast as this, 100 Mbit/s, bear all that the server takes.
  Duration kept_burst = 120ms;
  double fast_bytes_per_second = 12.5e6;
  // A link that was overrun for longer is looked at again after this.
  Duration longest_debt = 300ms;
  // What a request brings, until some have been seen.
  double first_request_bytes = 8 << 10;
};

// Heads of a packet on the link, besides the bytes that it carries.
inline constexpr uint64_t kPacketHeadBytes = 66;

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

// Says when an entry should take new connections and which of them its callers
// may keep, so that what they bring does not queue before its host's link.
//
// Load pattern: a hash assigns connections to entries, and one team sends many
// times what the others do, prompts of more bytes than the link of one entry
// carries, on new connections and on those that it has kept. They are sent as
// soon as their connections are there, so that no answer and no later decision
// shortens the queue: answers of endpoints, news of control and callers' closes
// stand behind it for seconds.
//
// An allowance grows with time and is used up by all that goes over the link; a
// connection books what its first request should bring. Callers who are turned
// away have sent their prompts by then: with these in reckoning, no connection
// is made while too much is on its way. What comes unasked on connections that
// are kept is bounded by their number. As no more than the link's rate is ever
// counted, a queue that stands nevertheless is seen by the time for which the
// link had no gap: it then gets less until it has one.
class LinkAdmission {
 public:
  explicit LinkAdmission(const LinkAdmissionOptions& options);

  // A connection was accepted.
  void OnConnected();
  // It was closed unread.
  void OnTurnedAway();
  // Its first request, of so many bytes, has come in whole.
  void OnFirstRequest(uint64_t bytes);
  // A later one has.
  void OnKeptRequest(uint64_t bytes) { OnRequestSize(bytes); }
  // It has ended without one.
  void OnUnusedEnd();
  // What has gone over the link since the last call, requests included.
  void OnBytes(const LinkBytes& bytes, Instant now);
  // So many bytes of requests wait here until the way out has room.
  void SetHeldOut(uint64_t bytes) { m_held_out = static_cast<double>(bytes); }

  // Once not taken, connections are when a quarter of what may come at once has
  // gathered. Shut is who could not even be turned away in time.
  Entrance Decide(Instant now);

  // Whether a caller may keep its connection when so many others may bring a
  // request at any moment.
  bool MayKeep(size_t connections) const;

  // Whether a queue may stand before the link, so that less is let in.
  // Connections that wait for their caller's next request should end then: each
  // may add to it at any moment.
  bool DrainsQueue() const { return BusyFor() > m_options.longest_busy; }

  // For how long the way in has been full without a gap.
  Duration BusyFor() const { return m_busy_in.BusyFor(); }

  // Whether the link's rate is known.
  bool IsBounded() const { return m_options.bytes_per_second > 0; }

 private:
  // What may go one way by now, in bytes; below zero after an overrun.
  struct Allowance {
    double in = 0;
    double out = 0;
  };

  double BytesIn(Duration time) const;
  // Of the link, what may be let in now for long.
  double UsedPart() const;
  double FirstRequestOnWire() const;
  // Gives back what a connection had booked, as an average of all that wait.
  void EndBooking();
  void OnRequestSize(uint64_t bytes);
  void Grow(Instant now);

  const LinkAdmissionOptions m_options;
  LinkBusyTime m_busy_in;
  double m_request_bytes;  // of a request, an average over the last ones
  double m_booked = 0;     // by connections that have not spoken
  size_t m_bookings = 0;
  // Bytes that would wait before the link if all that is expected had come, and
  // the link had carried on without a gap.
  double m_on_its_way = 0;
  double m_unread = 0;     // estimated of those turned away, since OnBytes()
  size_t m_connected = 0;  // since OnBytes()
  Allowance m_allowance;
  double m_held_out = 0;
  Instant m_since{};
  Entrance m_entrance = Entrance::kTakes;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
