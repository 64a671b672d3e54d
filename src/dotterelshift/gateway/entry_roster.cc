#include "dotterelshift/gateway/entry_roster.h"

#include <iterator>  // for distance

namespace dotterelshift::gateway {

EntryRoster::Place EntryRoster::PlaceOf(const HostId& entry, Instant now) {
  std::erase_if(m_entries, [&](const auto& known) {
    const std::optional<Instant>& disconnected = known.second;
    return disconnected && now - *disconnected >= m_memory;
  });
  const auto place = m_entries.lower_bound(entry);
  const auto index = std::distance(m_entries.begin(), place);
  return {static_cast<size_t>(index), m_entries.size()};
}

}  // namespace dotterelshift::gateway
