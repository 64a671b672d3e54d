#include "dotterelshift/gateway/stream_origins.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for clamp, max
#include <limits>     // for numeric_limits
#include <optional>   // for optional

namespace dotterelshift::gateway {
namespace {

uint32_t AgeMs(Instant then, Instant now) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(ToMs(now - then), 0, kMax));
}

StreamOrigin FromWire(const wire::PendingOrigin& update, Instant now) {
  StreamOrigin origin;
  origin.software = update.software();
  origin.endpoint = update.endpoint();
  origin.life = {now - std::chrono::milliseconds(update.connected_ms()),
                 now - std::chrono::milliseconds(update.received_ms())};
  return origin;
}

}  // namespace

StreamKey StreamKeyOf(const TeamId& team, std::string_view first_caller_id) {
  std::string text = team;
  text.push_back('\0');
  text.append(first_caller_id);
  return XXH3_64bits(text.data(), text.size());
}

RunProof Prove(StreamOrigin& origin, const EndpointRuns& runs) {
  if (origin.proven) return RunProof::kProven;
  const ProvenRun run = runs.During(origin.endpoint, origin.life);
  if (run.proof != RunProof::kProven) return run.proof;
  origin.software = run.software;
  origin.proven = true;
  return RunProof::kProven;
}

void StreamOrigins::OnBegun(StreamKey stream, const StreamOrigin& origin,
                            Instant now) {
  StreamOrigin kept = origin;
  kept.life.open = false;
  Merge(stream, kept, "", now);
  m_unsent.push_back(stream);
}

void StreamOrigins::OnUpdates(const HostId& from, const OriginUpdates& updates,
                              Instant now) {
  for (const wire::ProvenOrigin& update : updates.proven) {
    StreamOrigin origin;
    origin.software = update.software();
    origin.proven = true;
    Merge(update.stream(), origin, from, now);
  }
  for (const wire::PendingOrigin& update : updates.pending)
    Merge(update.stream(), FromWire(update, now), from, now);
}

void StreamOrigins::OnUnclear(const HostId& from, StreamKey stream,
                              Instant now) {
  Merge(stream, {}, from, now);
  m_origins.at(stream).unclear = true;
}

// A proven origin replaces one that is not. Two that contradict each other are
// of two streams with the same id: neither may be used.
void StreamOrigins::Merge(StreamKey stream, const StreamOrigin& origin,
                          const HostId& from, Instant now) {
  Evict(now);
  m_learned.push_back(stream);
  const auto [found, is_new] = m_origins.try_emplace(stream);
  Entry& entry = found->second;
  if (is_new) {
    entry = {origin, from, false, now};
    m_by_age.emplace_back(now, stream);
    return;
  }
  const bool same_software = origin.software == entry.origin.software;
  const bool both_proven = origin.proven && entry.origin.proven;
  const bool other_endpoint = !origin.proven && !entry.origin.proven &&
                              origin.endpoint != entry.origin.endpoint;
  if (!same_software && (both_proven || other_endpoint)) entry.unclear = true;
  if (entry.origin.proven && !origin.proven) return;
  entry.origin = origin;
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
  if (now - entry.since > m_options.max_age) return {};
  KnownOrigin known;
  known.origin = entry.origin;
  known.contradicted = entry.unclear;
  const RunProof proof = Prove(known.origin, m_runs);
  const bool unclear = entry.unclear || proof == RunProof::kUnknown;
  known.state = unclear ? OriginState::kUnclear : OriginState::kKnown;
  known.own = entry.from.empty();
  known.age = now - entry.since;
  return known;
}

void StreamOrigins::AddTo(OriginUpdates& updates, StreamKey stream,
                          const Entry& entry, Instant now) const {
  StreamOrigin origin = entry.origin;
  if (Prove(origin, m_runs) == RunProof::kProven) {
    updates.proven.emplace_back(stream, origin.software);
  } else {
    updates.pending.emplace_back(stream, origin.software, origin.endpoint,
                                 AgeMs(origin.life.from, now),
                                 AgeMs(origin.life.to, now));
  }
}

bool StreamOrigins::AddKnown(StreamKey stream, OriginUpdates& updates,
                             Instant now) const {
  const auto found = m_origins.find(stream);
  const bool known = found != m_origins.end() &&
                     now - found->second.since <= m_options.max_age;
  if (known) AddTo(updates, stream, found->second, now);
  return known;
}

OriginUpdates StreamOrigins::TakeUpdates(Instant now) {
  OriginUpdates updates;
  for (const StreamKey stream : std::exchange(m_unsent, {})) {
    const auto found = m_origins.find(stream);
    if (found != m_origins.end()) AddTo(updates, stream, found->second, now);
  }
  return updates;
}

OriginUpdates StreamOrigins::ForNewEntry(
    const std::function<bool(const HostId&)>& is_connected, Instant now) const {
  OriginUpdates updates;
  for (const auto& [stream, entry] : m_origins) {
    const bool live = now - entry.since <= m_options.max_age;
    if (live && (entry.from.empty() || !is_connected(entry.from)))
      AddTo(updates, stream, entry, now);
  }
  return updates;
}

}  // namespace dotterelshift::gateway
