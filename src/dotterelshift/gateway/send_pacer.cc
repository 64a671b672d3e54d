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

double SendPacer::MaxQueuedBefore(uint64_t bytes) const {
  return std::max(BytesIn(m_options.min_queued),
                  BytesIn(m_options.max_queued) - static_cast<double>(bytes));
}

double SendPacer::QueuedBytes(Instant now) const {
  return std::max(0.0, m_bytes - BytesIn(now - m_drained_until));
}

bool SendPacer::MaySend(uint64_t bytes, Instant now) const {
  return !IsBounded() || QueuedBytes(now) <= MaxQueuedBefore(bytes) + kRounding;
}

Instant SendPacer::Next(uint64_t bytes) const {
  if (!IsBounded()) return m_drained_until;
  return m_drained_until +
         TimeOf(std::max(0.0, m_bytes - MaxQueuedBefore(bytes)));
}

Duration SendPacer::WaitBehind(uint64_t bytes_before, uint64_t bytes,
                               Instant now) const {
  if (!IsBounded()) return 0s;
  const double before = QueuedBytes(now) + static_cast<double>(bytes_before);
  return TimeOf(std::max(0.0, before - MaxQueuedBefore(bytes)));
}

Duration SendPacer::Held(Instant now) const {
  return IsBounded() ? TimeOf(QueuedBytes(now)) : 0s;
}

void SendPacer::OnPrompt(AttemptId attempt, uint64_t bytes, Instant now) {
  Add(attempt, bytes, now);
}

void SendPacer::OnBytes(uint64_t bytes, Instant now) { Add(0, bytes, now); }

void SendPacer::OnNotSent(AttemptId attempt, Instant now) {
  if (!IsBounded()) return;
  Carry(now);
  const auto chunk = std::ranges::find(m_chunks, attempt, &Chunk::attempt);
  if (chunk == m_chunks.end()) return;
  m_bytes -= chunk->bytes;
  m_chunks.erase(chunk);
}

void SendPacer::Add(AttemptId attempt, uint64_t bytes, Instant now) {
  if (!IsBounded() || bytes == 0) return;
  Carry(now);
  const auto added = static_cast<double>(bytes);
  m_bytes += added;
  const bool extends_last =
      attempt == 0 && !m_chunks.empty() && m_chunks.back().attempt == 0;
  if (extends_last)
    m_chunks.back().bytes += added;
  else
    m_chunks.push_back({attempt, added});
}

void SendPacer::Carry(Instant now) {
  double left = BytesIn(now - m_drained_until);
  m_drained_until = now;
  while (!m_chunks.empty() && m_chunks.front().bytes <= left) {
    left -= m_chunks.front().bytes;
    m_chunks.pop_front();
  }
  if (m_chunks.empty()) {
    m_bytes = 0;
    return;
  }
  m_chunks.front().bytes -= left;
  m_bytes = 0;
  for (const Chunk& chunk : m_chunks) m_bytes += chunk.bytes;
}

}  // namespace dotterelshift::gateway
