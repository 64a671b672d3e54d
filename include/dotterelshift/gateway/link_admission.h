#ifndef DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
#define DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"               // for Instant
#include "dotterelshift/gateway/link_busy_time.h"  // for LinkBusyTime

namespace dotterelshift::gateway {

struct LinkAdmissionOptions {
  // Capacity of the link in each direction; 0: not known.
  double bytes_per_second = 0;
  // Fraction of the link that may be in use continuously.
  double used_fraction = 0.92;
  // Replaces `used_fraction` once the link has been full for longer than
  // `max_busy_time`, so that the queue in front of the link shrinks.
  double draining_fraction = 0.85;
  Duration max_busy_time = 300ms;
  // While the link stays full, the fraction falls by this much per second, down
  // to the minimum: traffic that is not counted may use more of the link than
  // estimated.
  double fraction_decay_per_second = 0.5;
  double min_fraction = 0.4;
  // Burst allowed in addition, as transmission time on the link.
  Duration burst = 120ms;
  // No connection is accepted while more than this, as transmission time on the
  // link, is in transit inbound.
  Duration max_wait = 220ms;
  // Limit on the bytes that idle kept-alive connections could send at the same
  // time, as transmission time on the link. It does not apply to links of
  // `fast_bytes_per_second` (100 Mbit/s) or more, which can carry all the
  // connections that the server accepts.
  Duration keep_alive_burst = 120ms;
  double fast_bytes_per_second = 12.5e6;
  // An overrun counts at most this much, as transmission time, so that the link
  // is tried again after this time.
  Duration max_debt = 300ms;
  // Estimated size of a request until some have been measured.
  double initial_request_bytes = 8 << 10;
};

// Size of a packet's headers on the link.
inline constexpr uint64_t kPacketHeaderBytes = 66;

// What happens to an incoming connection.
enum class AdmissionDecision {
  kAccept,
  kReject,         // closed unread, although its request is in transit
  kStopAccepting,  // not accepted, so that nothing is sent on it
};

// Bytes carried by a link since an arbitrary point in time.
struct LinkBytes {
  uint64_t in = 0;
  uint64_t out = 0;

  LinkBytes operator+(const LinkBytes& other) const {
    return {in + other.in, out + other.out};
  }
  // Bytes carried since an earlier count.
  LinkBytes operator-(const LinkBytes& earlier) const {
    return {in - earlier.in, out - earlier.out};
  }
};

// Decides when an entry accepts new connections and which ones callers may keep
// alive, so that requests do not queue in front of its host's link.
//
// Load pattern: connections are assigned to entries by hash, and one team sends
// many times as much as the others. Its prompts, on new and on kept-alive
// connections, exceed the capacity of one entry's link. They are sent as soon
// as the connection exists, so no response or later decision shortens the
// queue. Responses of endpoints, updates from control and callers' closes are
// then delayed behind it for seconds.
//
// A token bucket is refilled over time and drained by all traffic on the link;
// a new connection reserves the expected size of its first request. Rejected
// callers have already sent their prompts: these are counted too, and no
// connection is accepted while too much is in transit. Unsolicited requests on
// kept-alive connections are bounded by limiting their number. Since the
// counted bytes never exceed the link's rate, they do not show a queue. It is
// detected by how long the link has been busy without a gap; less is then
// admitted until a gap occurs.
class LinkAdmission {
 public:
  explicit LinkAdmission(const LinkAdmissionOptions& options);

  // A connection was accepted.
  void OnConnected();
  // A connection was closed unread.
  void OnRejected();
  // The first request of a connection, of this size, was received completely.
  void OnFirstRequest(uint64_t bytes);
  // A later request on a connection was received completely.
  void OnKeepAliveRequest(uint64_t bytes) { OnRequestSize(bytes); }
  // A connection ended without a request.
  void OnClosedUnused();
  // Bytes that the link carried since the last call, requests included.
  void OnBytes(const LinkBytes& bytes, Instant now);
  // Sets the bytes of requests that are queued here for the outbound link.
  void SetQueuedOutbound(uint64_t bytes) {
    m_queued_outbound = static_cast<double>(bytes);
  }

  // Decides about a connection that arrives now. After a rejection, connections
  // are accepted again once a quarter of the burst has accumulated.
  // kStopAccepting is returned if connections could not even be rejected in
  // time.
  AdmissionDecision Decide(Instant now);

  // Whether a caller may keep its connection alive while this many others may
  // send a request at any moment.
  bool MayKeep(size_t connections) const;

  // Whether there may be a lasting queue in front of the link, so that less is
  // admitted. Idle kept-alive connections should then be closed, as each may
  // add to the queue at any moment.
  bool IsDrainingQueue() const { return BusyFor() > m_options.max_busy_time; }

  // How long the inbound link has been full without a gap.
  Duration BusyFor() const { return m_busy_in.BusyFor(); }

  // Whether the link's capacity is known.
  bool IsBounded() const { return m_options.bytes_per_second > 0; }

 private:
  // Bytes that may be carried now in each direction; negative after an overrun.
  struct Allowance {
    double in = 0;
    double out = 0;
  };

  double BytesIn(Duration time) const;
  // Fraction of the link that may currently be in use continuously.
  double UsedFraction() const;
  double FirstRequestOnWire() const;
  // Releases the reservation of one connection, as the average of all
  // reservations.
  void ReleaseReservation();
  void OnRequestSize(uint64_t bytes);
  void Grow(Instant now);

  const LinkAdmissionOptions m_options;
  LinkBusyTime m_busy_in;
  double m_request_bytes;       // average size of recent requests
  double m_reserved_bytes = 0;  // by connections without a request so far
  size_t m_reservations = 0;
  // Bytes that would be queued in front of the link if everything expected had
  // arrived and the link had carried data without a gap.
  double m_in_transit = 0;
  double m_rejected_bytes = 0;  // estimated, since OnBytes()
  size_t m_connected = 0;       // since OnBytes()
  Allowance m_allowance;
  double m_queued_outbound = 0;
  Instant m_since{};
  AdmissionDecision m_decision = AdmissionDecision::kAccept;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_LINK_ADMISSION_H_
