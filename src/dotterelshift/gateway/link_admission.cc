#include "dotterelshift/gateway/link_admission.h"

#include <algorithm>  // for clamp, max, min
#include <utility>    // for exchange

namespace dotterelshift::gateway {
namespace {

// Weight of the newest request in the average request size.
constexpr double kNewestWeight = 1.0 / 8;

// Overhead on a link besides the counted bytes: the headers of full packets, an
// acknowledgement for every two packets received, and three packets to
// establish a connection.
constexpr double kFullPacketBytes = 1448;
constexpr double kHeaderFactor = 1 + kPacketHeaderBytes / kFullPacketBytes;
constexpr double kAckFactor = kPacketHeaderBytes / (2 * kFullPacketBytes);
constexpr double kHandshakeBytes = 3 * kPacketHeaderBytes;

LinkBusyTimeOptions BusyOptionsOf(const LinkAdmissionOptions& options) {
  LinkBusyTimeOptions busy;
  busy.bytes_per_second = options.bytes_per_second;
  return busy;
}

}  // namespace

LinkAdmission::LinkAdmission(const LinkAdmissionOptions& options)
    : m_options(options),
      m_busy_in(BusyOptionsOf(options)),
      m_request_bytes(options.initial_request_bytes) {
  m_allowance = {BytesIn(options.burst), BytesIn(options.burst)};
}

double LinkAdmission::FirstRequestOnWire() const {
  return m_request_bytes * kHeaderFactor + kHandshakeBytes;
}

void LinkAdmission::OnConnected() {
  m_allowance.in -= FirstRequestOnWire();
  m_in_transit += FirstRequestOnWire();
  m_reserved_bytes += FirstRequestOnWire();
  ++m_reservations;
  ++m_connected;
}

void LinkAdmission::OnRejected() {
  m_in_transit += FirstRequestOnWire();
  m_rejected_bytes += FirstRequestOnWire();
}

void LinkAdmission::OnFirstRequest(uint64_t bytes) {
  ReleaseReservation();
  OnRequestSize(bytes);
}

void LinkAdmission::OnClosedUnused() { ReleaseReservation(); }

void LinkAdmission::ReleaseReservation() {
  if (m_reservations == 0) return;
  const double reserved_bytes =
      m_reserved_bytes / static_cast<double>(m_reservations--);
  m_reserved_bytes -= reserved_bytes;
  m_allowance.in += reserved_bytes - kHandshakeBytes;
  m_in_transit -= reserved_bytes - kHandshakeBytes;
}

void LinkAdmission::OnRequestSize(uint64_t bytes) {
  m_request_bytes +=
      kNewestWeight * (static_cast<double>(bytes) - m_request_bytes);
}

void LinkAdmission::OnBytes(const LinkBytes& bytes, Instant now) {
  const auto in = static_cast<double>(bytes.in);
  const auto out = static_cast<double>(bytes.out);
  const double inbound = in * kHeaderFactor + out * kAckFactor;
  m_allowance.in -= inbound;
  m_in_transit += inbound;
  m_allowance.out -= out * kHeaderFactor + in * kAckFactor;
  const double handshakes =
      kHandshakeBytes * static_cast<double>(std::exchange(m_connected, 0));
  const double rejected_bytes = std::exchange(m_rejected_bytes, 0);
  m_busy_in.OnBytes(inbound + handshakes + rejected_bytes, now);
}

double LinkAdmission::BytesIn(Duration time) const {
  return m_options.bytes_per_second *
         std::chrono::duration<double>(time).count();
}

double LinkAdmission::UsedFraction() const {
  if (!IsDrainingQueue()) return m_options.used_fraction;
  const double full_for =
      std::chrono::duration<double>(BusyFor() - m_options.max_busy_time)
          .count();
  return std::max(m_options.min_fraction,
                  m_options.draining_fraction -
                      m_options.fraction_decay_per_second * full_for);
}

void LinkAdmission::Grow(Instant now) {
  const double max_allowance = BytesIn(m_options.burst);
  const double min_allowance = -BytesIn(m_options.max_debt);
  const bool first = m_since == Instant{};
  const Duration passed = first ? 0s : now - m_since;
  m_since = now;
  const double used_fraction = UsedFraction();
  const double all = BytesIn(passed);
  m_allowance.in = std::clamp(m_allowance.in + used_fraction * all,
                              min_allowance, max_allowance);
  // The full rate is available outbound: all traffic there is counted, and what
  // can wait is queued before the link.
  m_allowance.out =
      std::clamp(m_allowance.out + all, min_allowance, max_allowance);
  const double carried = IsDrainingQueue() ? used_fraction * all : all;
  m_in_transit =
      std::clamp(m_in_transit - carried, 0.0, BytesIn(m_options.max_debt));
}

AdmissionDecision LinkAdmission::Decide(Instant now) {
  if (!IsBounded()) return AdmissionDecision::kAccept;
  Grow(now);
  const bool accepting = m_decision == AdmissionDecision::kAccept;
  const bool stopped = m_decision == AdmissionDecision::kStopAccepting;
  const double enough = accepting ? 0 : BytesIn(m_options.burst) / 4;
  const double max_allowance = BytesIn(m_options.max_wait) / (stopped ? 2 : 1);
  const bool out_overrun = m_allowance.out <= -BytesIn(m_options.max_debt) / 2;
  if (m_in_transit > max_allowance || out_overrun)
    m_decision = AdmissionDecision::kStopAccepting;
  else if (std::min(m_allowance.in, m_allowance.out - m_queued_outbound) >
           enough)
    m_decision = AdmissionDecision::kAccept;
  else
    m_decision = AdmissionDecision::kReject;
  return m_decision;
}

bool LinkAdmission::MayKeep(size_t connections) const {
  const bool fast =
      m_options.bytes_per_second >= m_options.fast_bytes_per_second;
  if (!IsBounded() || fast) return true;
  if (IsDrainingQueue()) return false;
  const double unsolicited = static_cast<double>(connections) * m_request_bytes;
  return unsolicited < BytesIn(m_options.keep_alive_burst);
}

}  // namespace dotterelshift::gateway
