#include "dotterelshift/origins/stream_origins.h"

#include <xxhash.h>  // for XXH3_64bits

#include <string>  // for string

namespace dotterelshift::origins {

StreamKey StreamKeyOf(const TeamId& team, std::string_view first_caller_id) {
  std::string text = team;
  text.push_back('\0');
  text.append(first_caller_id);
  return XXH3_64bits(text.data(), text.size());
}

void StreamOrigins::OnBegun(StreamKey stream, SoftwareKey software,
                            Instant now) {
  Merge(stream, software, "", now);
  m_unsent.emplace_back(stream, software);
  m_uncopied.emplace_back(stream, software);
}

// Without an incarnation, each start of the endpoint has an id of its own.
void StreamOrigins::OnBegun(StreamKey stream, const EndpointContact& endpoint,
                            Instant begun, const RestartSuspects& restarts,
                            Instant now) {
  const bool known = restarts.During(endpoint, begun) != ProcessProof::kInDoubt;
  if (known) OnBegun(stream, endpoint.software, now);
  if (endpoint.incarnation != 0)
    m_unproven.push_back({stream, endpoint, begun, known});
}

void StreamOrigins::Update(const directory::Directory& directory,
                           const RestartSuspects& restarts, Instant now) {
  std::erase_if(m_unproven, [&](const Unproven& unproven) {
    return Settle(unproven, directory, restarts, now);
  });
}

bool StreamOrigins::Settle(const Unproven& unproven,
                           const directory::Directory& directory,
                           const RestartSuspects& restarts, Instant now) {
  if (now - unproven.begun > m_options.max_unproven_age) return true;
  const EndpointContact& endpoint = unproven.endpoint;
  const directory::Endpoint* newest = directory.Find(endpoint.id);
  if (newest == nullptr) return false;
  if (restarts.During(endpoint, unproven.begun) == ProcessProof::kSame) {
    if (!unproven.known) OnBegun(unproven.stream, endpoint.software, now);
    return true;
  }
  if (newest->record.incarnation == endpoint.incarnation) return false;
  const SoftwareKey next = SoftwareKeyOf(newest->record);
  if (unproven.known && next != endpoint.software)
    OnBegun(unproven.stream, next, now);
  return true;
}

void StreamOrigins::OnUpdates(const HostId& from,
                              const std::vector<wire::StreamOrigin>& updates,
                              Instant now) {
  for (const wire::StreamOrigin& update : updates)
    Merge(update.stream(), update.software(), from, now);
}

void StreamOrigins::OnUnclear(const HostId& from, StreamKey stream,
                              Instant now) {
  Merge(stream, 0, from, now).unclear = true;
}

// Two origins that differ are of two streams with the same id, or of two
// incarnations that may have begun one: neither may be used.
StreamOrigins::Entry& StreamOrigins::Merge(StreamKey stream,
                                           SoftwareKey software,
                                           const HostId& from, Instant now) {
  Evict(now);
  m_learned.push_back(stream);
  const auto [found, is_new] = m_origins.try_emplace(stream);
  Entry& entry = found->second;
  if (is_new) {
    entry = {software, from, false, now};
    m_by_age.emplace_back(now, stream);
  } else if (software != entry.software) {
    entry.unclear = true;
  }
  return entry;
}

void StreamOrigins::Evict(Instant now) {
  while (!m_by_age.empty()) {
    const auto& [since, stream] = m_by_age.front();
    const bool due = now - since > m_options.max_age ||
                     m_origins.size() >= m_options.max_count;
    if (!due) return;
    m_origins.erase(stream);
    m_by_age.pop_front();
  }
}

KnownOrigin StreamOrigins::Find(StreamKey stream, Instant now) const {
  const auto found = m_origins.find(stream);
  if (found == m_origins.end()) return {};
  const Entry& entry = found->second;
  const Duration age = now - entry.since;
  if (age > m_options.max_age) return {};
  const OriginState state =
      entry.unclear ? OriginState::kUnclear : OriginState::kKnown;
  return {state, entry.software, entry.from.empty(), age};
}

std::vector<wire::StreamOrigin> StreamOrigins::Own(Instant now) const {
  return ForNewEntry([](const HostId&) { return true; }, now);
}

std::vector<wire::StreamOrigin> StreamOrigins::ForNewEntry(
    const std::function<bool(const HostId&)>& is_connected, Instant now) const {
  std::vector<wire::StreamOrigin> updates;
  for (const auto& [stream, entry] : m_origins) {
    const bool others = !entry.from.empty() && is_connected(entry.from);
    if (!IsLive(entry, now) || others) continue;
    updates.emplace_back(stream, entry.software);
    // A second origin makes it unclear there, too.
    if (entry.unclear) updates.emplace_back(stream, 0);
  }
  return updates;
}

}  // namespace dotterelshift::origins
