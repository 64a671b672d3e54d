#include "dotterelshift/gateway/link_admission.h"

#include <algorithm>  // for clamp

namespace dotterelshift::gateway {
namespace {

// Weight of the newest request in the average of their sizes.
constexpr double kNewest = 1.0 / 8;

}  // namespace

LinkAdmission::LinkAdmission(const LinkAdmissionOptions& options)
    : m_options(options), m_request_bytes(options.first_request_bytes) {
  m_allowance = {BytesIn(options.burst), BytesIn(options.burst)};
}

void LinkAdmission::OnConnected() { m_allowance.in -= m_request_bytes; }

void LinkAdmission::OnFirstRequest(uint64_t bytes) {
  const auto brought = static_cast<double>(bytes);
  m_allowance.in += m_request_bytes - brought;
  m_request_bytes += kNewest * (brought - m_request_bytes);
}

void LinkAdmission::OnUnusedEnd() { m_allowance.in += m_request_bytes; }

void LinkAdmission::OnBytes(const LinkBytes& bytes) {
  m_allowance.in -= static_cast<double>(bytes.in);
  m_allowance.out -= static_cast<double>(bytes.out);
}

double LinkAdmission::BytesIn(Duration time) const {
  return m_options.bytes_per_second *
         std::chrono::duration<double>(time).count();
}

void LinkAdmission::Grow(Instant now) {
  const double most = BytesIn(m_options.burst);
  const double least = -BytesIn(m_options.longest_debt);
  const bool first = m_since == Instant{};
  const Duration passed = first ? 0s : now - m_since;
  m_since = now;
  const double grown = m_options.used_part * BytesIn(passed);
  m_allowance.in = std::clamp(m_allowance.in + grown, least, most);
  m_allowance.out = std::clamp(m_allowance.out + grown, least, most);
}

Entrance LinkAdmission::Decide(Instant now) {
  if (!IsBounded()) return Entrance::kTakes;
  Grow(now);
  const double allowance = m_allowance.Least();
  const bool taken = m_entrance == Entrance::kTakes;
  const double enough = taken ? 0 : BytesIn(m_options.burst) / 2;
  if (allowance > enough)
    m_entrance = Entrance::kTakes;
  else if (allowance <= -BytesIn(m_options.longest_debt) / 2)
    m_entrance = Entrance::kShut;
  else if (taken)
    m_entrance = Entrance::kTurnsAway;
  return m_entrance;
}

}  // namespace dotterelshift::gateway
