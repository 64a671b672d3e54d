#include "dotterelshift/gateway/send_pacer.h"

#include <algorithm>  // for find, max

namespace dotterelshift::gateway {
namespace {

// Tolerance for rounding, in bytes.
constexpr double kRounding = 0.5;

}  // namespace

double SendPacer::BytesIn(Duration time) const {
  return Rate() * std::chrono::duration<double>(time).count();
}

Duration SendPacer::TimeOf(double bytes) const {
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(bytes / Rate()));
}

double SendPacer::Room(uint64_t bytes) const {
  return std::max(BytesIn(m_options.least_held),
                  BytesIn(m_options.most_held) - static_cast<double>(bytes));
}

double SendPacer::HeldBytes(Instant now) const {
  return std::max(0.0, m_bytes - BytesIn(now - m_carried_to));
}

bool SendPacer::MaySend(uint64_t bytes, Instant now) const {
  return !IsBounded() || HeldBytes(now) <= Room(bytes) + kRounding;
}

Instant SendPacer::Next(uint64_t bytes) const {
  if (!IsBounded()) return m_carried_to;
  return m_carried_to + TimeOf(std::max(0.0, m_bytes - Room(bytes)));
}

Duration SendPacer::WaitBehind(uint64_t bytes_before, uint64_t bytes,
                               Instant now) const {
  if (!IsBounded()) return 0s;
  const double before = HeldBytes(now) + static_cast<double>(bytes_before);
  return TimeOf(std::max(0.0, before - Room(bytes)));
}

Duration SendPacer::Held(Instant now) const {
  return IsBounded() ? TimeOf(HeldBytes(now)) : 0s;
}

void SendPacer::OnPrompt(AttemptId attempt, uint64_t bytes, Instant now) {
  Add(attempt, bytes, now);
}

void SendPacer::OnBytes(uint64_t bytes, Instant now) { Add(0, bytes, now); }

void SendPacer::OnNotSent(AttemptId attempt, Instant now) {
  if (!IsBounded()) return;
  Carry(now);
  const auto piece = std::ranges::find(m_pieces, attempt, &Piece::attempt);
  if (piece == m_pieces.end()) return;
  m_bytes -= piece->bytes;
  m_pieces.erase(piece);
}

void SendPacer::Add(AttemptId attempt, uint64_t bytes, Instant now) {
  if (!IsBounded() || bytes == 0) return;
  Carry(now);
  const auto added = static_cast<double>(bytes);
  m_bytes += added;
  const bool goes_on =
      attempt == 0 && !m_pieces.empty() && m_pieces.back().attempt == 0;
  if (goes_on)
    m_pieces.back().bytes += added;
  else
    m_pieces.push_back({attempt, added});
}

void SendPacer::Carry(Instant now) {
  double left = BytesIn(now - m_carried_to);
  m_carried_to = now;
  while (!m_pieces.empty() && m_pieces.front().bytes <= left) {
    left -= m_pieces.front().bytes;
    m_pieces.pop_front();
  }
  if (m_pieces.empty()) {
    m_bytes = 0;
    return;
  }
  m_pieces.front().bytes -= left;
  m_bytes = 0;
  for (const Piece& piece : m_pieces) m_bytes += piece.bytes;
}

}  // namespace dotterelshift::gateway
