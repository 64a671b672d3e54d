#include "dotterelshift/gateway/endpoint_runs.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for max
#include <optional>   // for optional

namespace dotterelshift::gateway {

EndpointIdKey EndpointIdKeyOf(const EndpointId& endpoint) {
  return XXH3_64bits(endpoint.data(), endpoint.size());
}

void EndpointRuns::Update(Instant now) {
  for (const auto& [id, endpoint] : m_directory.All()) UpdateRun(endpoint);
  for (auto& [key, history] : m_histories) {
    std::erase_if(history.runs, [this, now](const Run& run) {
      return now - run.last > m_options.memory;
    });
  }
  std::erase_if(m_histories,
                [](const auto& item) { return item.second.runs.empty(); });
}

void EndpointRuns::UpdateRun(const directory::Endpoint& endpoint) {
  const wire::EndpointRecordT& record = endpoint.record;
  History& history = m_histories[EndpointIdKeyOf(record.id)];
  history.id = record.id;
  const SoftwareKey software = SoftwareKeyOf(record);
  const bool continues =
      !history.runs.empty() &&
      history.runs.back().incarnation == record.incarnation &&
      history.runs.back().software == software;
  if (!continues) {
    history.runs.push_back({record.incarnation,
                            software,
                            endpoint.last_news,
                            endpoint.last_news,
                            {}});
    return;
  }
  Run& run = history.runs.back();
  run.last = std::max(run.last, endpoint.last_news);
}

// The directory may have received a newer announcement since the last update.
Instant EndpointRuns::LastAnnouncement(const History& history,
                                       const Run& run) const {
  if (&run != &history.runs.back()) return run.last;
  const directory::Endpoint* endpoint = m_directory.Find(history.id);
  const bool same = endpoint != nullptr &&
                    endpoint->record.incarnation == run.incarnation &&
                    SoftwareKeyOf(endpoint->record) == run.software;
  return same ? std::max(run.last, endpoint->last_news) : run.last;
}

Instant EndpointRuns::CertainUntil(const History& history,
                                   const Run& run) const {
  const Instant announced =
      LastAnnouncement(history, run) - m_options.announcement_delay;
  if (run.bytes == Instant{}) return announced;
  return std::max(announced, run.bytes - m_options.read_delay);
}

// Bytes may be read well after they were sent, together with the announcement
// of the next run.
bool EndpointRuns::HasBegun(const Run& run, const ConnectionLife& life) const {
  return run.first <= life.from ||
         run.first + m_options.announcement_delay <= life.to;
}

// A run existed from its first announcement on. If it and the connection's life
// have a moment in common, they are of one process.
bool EndpointRuns::Proves(const History& history, const Run& run,
                          const ConnectionLife& life) const {
  return HasBegun(run, life) && CertainUntil(history, run) >= life.from;
}

void EndpointRuns::OnBytes(EndpointIdKey endpoint, Instant connected_at,
                           Instant now) {
  const auto found = m_histories.find(endpoint);
  if (found == m_histories.end() || connected_at == Instant{}) return;
  History& history = found->second;
  const ConnectionLife life = {connected_at, now};
  if (During(endpoint, life).proof != RunProof::kProven) return;
  for (Run& run : history.runs)
    if (Proves(history, run, life)) run.bytes = now;
}

ProvenRun EndpointRuns::During(EndpointIdKey endpoint,
                               const ConnectionLife& life) const {
  const auto found = m_histories.find(endpoint);
  if (found == m_histories.end())
    return {life.open ? RunProof::kPending : RunProof::kUnknown, 0};
  const History& history = found->second;
  std::optional<SoftwareKey> proven;
  for (const Run& run : history.runs) {
    if (!Proves(history, run, life)) continue;
    if (proven && *proven != run.software) return {};
    proven = run.software;
  }
  if (proven) return {RunProof::kProven, *proven};
  const bool may_follow = life.open || HasBegun(history.runs.back(), life);
  return {may_follow ? RunProof::kPending : RunProof::kUnknown, 0};
}

}  // namespace dotterelshift::gateway
