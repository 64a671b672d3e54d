#include "dotterelshift/quarantine/blocklist.h"

namespace dotterelshift::quarantine {

void Blocklist::OnEntry(const wire::SuspectAnswerT& entry, Instant now) {
  if (entry.quarantined_until_ms <= 0) {
    m_blocks.erase(entry.content_hash);
    return;
  }
  Block& block = m_blocks[entry.content_hash];
  if (entry.quarantined_until_ms <= block.until_ms) return;
  block.until_ms = entry.quarantined_until_ms;
  block.until = now + m_options.block_duration;
}

void Blocklist::OnPush(const wire::QuarantinePushT& push, Instant now) {
  for (const auto& entry : push.entries) OnEntry(*entry, now);
}

std::optional<Duration> Blocklist::RemainingBlock(uint64_t content_hash,
                                                  Instant now) const {
  const auto it = m_blocks.find(content_hash);
  if (it == m_blocks.end() || it->second.until <= now) return std::nullopt;
  return it->second.until - now;
}

void Blocklist::OnTimer(Instant now) {
  std::erase_if(m_blocks,
                [now](const auto& item) { return item.second.until <= now; });
}

}  // namespace dotterelshift::quarantine
