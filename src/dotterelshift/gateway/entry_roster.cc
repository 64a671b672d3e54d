#include "dotterelshift/gateway/entry_roster.h"

#include <algorithm>  // for count_if
#include <iterator>   // for distance

namespace dotterelshift::gateway {

void EntryRoster::OnConnected(const HostId& host,
                              const DataCentreId& data_centre) {
  Entry& entry = m_entries[host];
  entry.data_centre = data_centre;
  entry.disconnected.reset();
}

void EntryRoster::OnDisconnected(const HostId& host, Instant now) {
  const auto found = m_entries.find(host);
  if (found != m_entries.end()) found->second.disconnected = now;
}

EntryRoster::Place EntryRoster::PlaceOf(const HostId& host, Instant now) {
  std::erase_if(m_entries, [&](const auto& known) {
    const std::optional<Instant>& disconnected = known.second.disconnected;
    return disconnected && now - *disconnected >= m_memory;
  });
  const auto place = m_entries.lower_bound(host);
  Place found;
  found.index = static_cast<size_t>(std::distance(m_entries.begin(), place));
  found.count = m_entries.size();
  if (place == m_entries.end() || place->first != host) return found;
  Entry& entry = place->second;
  if (!entry.counted_since) entry.counted_since = now;
  found.counted_for = now - *entry.counted_since;
  found.in_data_centre = static_cast<size_t>(
      std::ranges::count_if(m_entries, [&entry](const auto& other) {
        return other.second.data_centre == entry.data_centre;
      }));
  return found;
}

}  // namespace dotterelshift::gateway
