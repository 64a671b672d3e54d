#include "dotterelshift/gateway/slack_lease.h"

#include <algorithm>  // for max

namespace dotterelshift::gateway {

void SlackLease::OnEntryCount(size_t entries, Instant confirmed, Instant now) {
  if (m_confirmed && confirmed <= *m_confirmed) return;
  if (!IsConfirmed(now)) m_begins = now + 2 * m_window;
  m_confirmed = confirmed;
  if (entries < m_entries) m_former.push_back({m_entries, now + 2 * m_window});
  m_entries = std::max<size_t>(1, entries);
  std::erase_if(m_former, [&](const FormerCount& former) {
    return former.entries <= m_entries || former.forgotten_at <= now;
  });
}

std::optional<size_t> SlackLease::Sharers(Instant now) const {
  if (!IsConfirmed(now) || now < m_begins) return std::nullopt;
  size_t most = m_entries;
  for (const FormerCount& former : m_former)
    if (now < former.forgotten_at) most = std::max(most, former.entries);
  return most;
}

}  // namespace dotterelshift::gateway
