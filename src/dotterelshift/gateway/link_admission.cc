#include "dotterelshift/gateway/link_admission.h"

#include <algorithm>  // for clamp, max, min
#include <utility>    // for exchange

namespace dotterelshift::gateway {
namespace {

// Weight of the newest request in the average request size.
constexpr double kNewest = 1.0 / 8;

// Overhead on a link besides the counted bytes: the headers of full packets, an
// acknowledgement for every two packets received, and three packets to
// establish a connection.
constexpr double kFullPacketBytes = 1448;
constexpr double kHeads = 1 + kPacketHeadBytes / kFullPacketBytes;
constexpr double kAcknowledgements = kPacketHeadBytes / (2 * kFullPacketBytes);
constexpr double kHandshakeBytes = 3 * kPacketHeadBytes;

LinkBusyTimeOptions BusyOptionsOf(const LinkAdmissionOptions& options) {
  LinkBusyTimeOptions busy;
  busy.bytes_per_second = options.bytes_per_second;
  return busy;
}

}  // namespace

LinkAdmission::LinkAdmission(const LinkAdmissionOptions& options)
    : m_options(options),
      m_busy_in(BusyOptionsOf(options)),
      m_request_bytes(options.first_request_bytes) {
  m_allowance = {BytesIn(options.burst), BytesIn(options.burst)};
}

double LinkAdmission::FirstRequestOnWire() const {
  return m_request_bytes * kHeads + kHandshakeBytes;
}

void LinkAdmission::OnConnected() {
  m_allowance.in -= FirstRequestOnWire();
  m_on_its_way += FirstRequestOnWire();
  m_booked += FirstRequestOnWire();
  ++m_bookings;
  ++m_connected;
}

void LinkAdmission::OnTurnedAway() {
  m_on_its_way += FirstRequestOnWire();
  m_unread += FirstRequestOnWire();
}

void LinkAdmission::OnFirstRequest(uint64_t bytes) {
  EndBooking();
  OnRequestSize(bytes);
}

void LinkAdmission::OnUnusedEnd() { EndBooking(); }

void LinkAdmission::EndBooking() {
  if (m_bookings == 0) return;
  const double booked = m_booked / static_cast<double>(m_bookings--);
  m_booked -= booked;
  m_allowance.in += booked - kHandshakeBytes;
  m_on_its_way -= booked - kHandshakeBytes;
}

void LinkAdmission::OnRequestSize(uint64_t bytes) {
  m_request_bytes += kNewest * (static_cast<double>(bytes) - m_request_bytes);
}

void LinkAdmission::OnBytes(const LinkBytes& bytes, Instant now) {
  const auto in = static_cast<double>(bytes.in);
  const auto out = static_cast<double>(bytes.out);
  const double came = in * kHeads + out * kAcknowledgements;
  m_allowance.in -= came;
  m_on_its_way += came;
  m_allowance.out -= out * kHeads + in * kAcknowledgements;
  const double handshakes =
      kHandshakeBytes * static_cast<double>(std::exchange(m_connected, 0));
  const double unread = std::exchange(m_unread, 0);
  m_busy_in.OnBytes(came + handshakes + unread, now);
}

double LinkAdmission::BytesIn(Duration time) const {
  return m_options.bytes_per_second *
         std::chrono::duration<double>(time).count();
}

double LinkAdmission::UsedPart() const {
  if (!DrainsQueue()) return m_options.used_part;
  const double full_for =
      std::chrono::duration<double>(BusyFor() - m_options.longest_busy).count();
  return std::max(
      m_options.least_part,
      m_options.draining_part - m_options.fall_per_second * full_for);
}

void LinkAdmission::Grow(Instant now) {
  const double most = BytesIn(m_options.burst);
  const double least = -BytesIn(m_options.longest_debt);
  const bool first = m_since == Instant{};
  const Duration passed = first ? 0s : now - m_since;
  m_since = now;
  const double part = UsedPart();
  const double all = BytesIn(passed);
  m_allowance.in = std::clamp(m_allowance.in + part * all, least, most);
  // The full rate is available outbound: all traffic there is counted, and what
  // can wait is queued before the link.
  m_allowance.out = std::clamp(m_allowance.out + all, least, most);
  const double carried = DrainsQueue() ? part * all : all;
  m_on_its_way =
      std::clamp(m_on_its_way - carried, 0.0, BytesIn(m_options.longest_debt));
}

Entrance LinkAdmission::Decide(Instant now) {
  if (!IsBounded()) return Entrance::kTakes;
  Grow(now);
  const bool takes = m_entrance == Entrance::kTakes;
  const bool shut = m_entrance == Entrance::kShut;
  const double enough = takes ? 0 : BytesIn(m_options.burst) / 4;
  const double most = BytesIn(m_options.longest_wait) / (shut ? 2 : 1);
  const bool out_overrun =
      m_allowance.out <= -BytesIn(m_options.longest_debt) / 2;
  if (m_on_its_way > most || out_overrun)
    m_entrance = Entrance::kShut;
  else if (std::min(m_allowance.in, m_allowance.out - m_held_out) > enough)
    m_entrance = Entrance::kTakes;
  else
    m_entrance = Entrance::kTurnsAway;
  return m_entrance;
}

bool LinkAdmission::MayKeep(size_t connections) const {
  const bool fast =
      m_options.bytes_per_second >= m_options.fast_bytes_per_second;
  if (!IsBounded() || fast) return true;
  if (DrainsQueue()) return false;
  const double unasked = static_cast<double>(connections) * m_request_bytes;
  return unasked < BytesIn(m_options.kept_burst);
}

}  // namespace dotterelshift::gateway
