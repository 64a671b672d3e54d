#include "dotterelshift/app/entry_pushes.h"

#include <algorithm>  // for any_of, min
#include <memory>     // for make_unique
#include <string>     // for to_string
#include <utility>    // for exchange, move

#include "dotterelshift/base/address.h"           // for ParseAddress
#include "dotterelshift/state/packed_document.h"  // for PackDocument
#include "dotterelshift/telemetry/log.h"          // for Log

namespace dotterelshift::app {
namespace {

// Up to this many entries, each is sent the addresses of all others. In a
// larger fleet each is sent those of its data centre: with 86 entries on links
// of 10 Mbit/s, load updates to all of them were two thirds of the bytes
// between data centres.
constexpr size_t kMaxFullMeshEntries = 16;

// Entries of other data centres that relay for one entry of a large fleet while
// those of its own data centre cannot.
constexpr size_t kMaxDistantRelays = 4;

// A control host that has just started is not connected to all entries yet, and
// cannot tell that the fleet is small.
constexpr Duration kSettleTime = 10s;

// Nothing is pushed to an entry whose connection has a larger backlog. A
// version that was not pushed yet is replaced by the next one; a version in the
// connection's buffer is sent in any case. Without this limit, frequent changes
// on slow links would be buffered once for each entry and version. With it, at
// most one document is buffered for each entry.
constexpr size_t kMaxBacklogBytes = 64 << 10;

// Bytes pushed in one loop iteration. Sending a document to each entry of a
// large fleet in one iteration kept a leader silent for longer than its lease.
constexpr size_t kMaxPushBytesPerIteration = 256 << 10;

// Approximate size of one configuration change.
constexpr size_t kChangeBytes = 128;

// Fixed cost of a frame, as the number of bytes that take as long to send.
constexpr size_t kFrameOverheadBytes = 4 << 10;

// For this long after a push, an entry that still reports an older version is
// assumed not to have received it yet. If documents were resent at each
// heartbeat while a whole fleet starts, they would queue faster than they are
// sent.
constexpr Duration kPushTimeout = 5s;

}  // namespace

std::vector<std::string> ReplicaAddresses(const replication::Node& node) {
  std::vector<std::string> addresses;
  for (const auto& member : node.Members().replicas) {
    // Without a separate address, the host is named by its address.
    const std::string& address =
        member->address.empty() ? member->host : member->address;
    if (ParseAddress(address)) addresses.push_back(address);
  }
  return addresses;
}

void EntryPushes::OnUp(const peers::PeerInfo& entry) {
  m_entries[entry.run.host] = {.info = entry};
  m_roster.OnConnected(entry.run.host, entry.data_centre);
  OnMembersChanged();
}

void EntryPushes::OnDown(const HostId& host, Instant now) {
  if (m_entries.erase(host) == 0) return;
  m_roster.OnDisconnected(host, now);
  OnMembersChanged();
}

void EntryPushes::OnMembersChanged() {
  ++m_members_version;
  m_addresses.clear();
  for (const auto& [host, known] : m_entries)
    if (known.answers_questions)
      m_addresses[known.info.data_centre].push_back(known.info.address);
}

std::unique_ptr<wire::DistantEntriesT> EntryPushes::DistantEntriesFor(
    Entry& entry, Instant now) const {
  const bool full_mesh = m_entries.size() <= kMaxFullMeshEntries;
  const bool is_settled =
      m_directory_since && now - *m_directory_since >= kSettleTime;
  if (full_mesh && !is_settled) return nullptr;
  std::optional<Entry::Askable>& sent = entry.askable;
  const uint64_t term = m_replica.GetNode().Term();
  const bool same_term = sent && sent->term == term;
  if (same_term && sent->members_version == m_members_version) return nullptr;
  Entry::Askable askable = {term, m_members_version, {}};
  if (!full_mesh) {
    const peers::PeerInfo& info = entry.info;
    askable.entries =
        origins::AskableFor(info.run.host, info.data_centre, m_addresses);
  }
  const bool is_known = same_term && sent->entries == askable.entries;
  sent = std::move(askable);
  if (is_known) return nullptr;
  auto distant = std::make_unique<wire::DistantEntriesT>();
  for (const origins::DistantEntry& other : sent->entries) {
    distant->entries.push_back(std::make_unique<wire::DistantEntryT>());
    distant->entries.back()->address = other.address;
    distant->entries.back()->data_centre = other.data_centre;
  }
  return distant;
}

bool EntryPushes::OnHeartbeat(const HostId& host, const wire::EntryBeatT& beat,
                              Instant now) {
  const auto entry = m_entries.find(host);
  if (entry == m_entries.end()) return false;
  if (!m_directory_since) m_directory_since = now;
  for (const wire::LimitNote& note : beat.limits) m_limits.OnNote(note, now);
  m_limits.Forget([](EndpointKey) { return false; }, now);
  entry->second.reported = true;
  entry->second.wants_relays = beat.wants_relays;
  if (beat.answers_questions != entry->second.answers_questions) {
    entry->second.answers_questions = beat.answers_questions;
    OnMembersChanged();
  }
  OnReportedVersion(entry->second.configuration, beat.configuration_version,
                    false, now);
  OnReportedVersion(entry->second.routes, beat.routes_version,
                    beat.wants_routes, now);
  return true;
}

void EntryPushes::OnReportedVersion(PushedVersion& pushed, uint64_t version,
                                    bool wants_full, Instant now) {
  const bool in_transit = version < pushed.version &&
                          now - pushed.at < kPushTimeout &&
                          (pushed.whole || !wants_full);
  if (!in_transit) pushed.version = wants_full ? 0 : version;
}

void EntryPushes::AnswerHeartbeat(const HostId& host, uint64_t sequence,
                                  Instant now, WallMs stamp) {
  const auto entry = m_entries.find(host);
  if (entry == m_entries.end()) return;
  const state::State& state = m_replica.GetState();
  wire::LeaderBeatT answer;
  answer.sequence = sequence;
  answer.term = m_replica.GetNode().Term();
  answer.configuration_version = state.GetConfiguration().Version();
  answer.stamp_ms = stamp;
  answer.routes_version = state.GetPublished().version;
  answer.control = ReplicaAddresses(m_replica.GetNode());
  const gateway::EntryRoster::Place place = m_roster.PlaceOf(host, now);
  answer.entry_count = static_cast<uint32_t>(place.count);
  answer.entry_place = static_cast<uint32_t>(place.index);
  answer.data_centre_count = static_cast<uint32_t>(place.in_data_centre);
  answer.counted_ms = ToMs(place.counted_for);
  answer.limits = m_limits.Notes(now);
  answer.directory_ms = ToMs(now - m_directory_since.value_or(now));
  const bool all = m_entries.size() <= kMaxFullMeshEntries;
  const DataCentreId& own = entry->second.info.data_centre;
  for (const auto& [other, known] : m_entries)
    if (all || known.info.data_centre == own)
      answer.entries.push_back(known.info.address);
  if (!all && entry->second.wants_relays)
    AddDistantEntries(own, place.index, answer.entries);
  answer.distant = DistantEntriesFor(entry->second, now);
  m_hub.Send(host, peers::MakeFrame(std::move(answer)));
}

// Entries that want relays themselves are left out.
void EntryPushes::AddDistantEntries(const DataCentreId& data_centre,
                                    size_t place,
                                    std::vector<std::string>& addresses) const {
  std::vector<std::string> distant;
  for (const auto& [host, known] : m_entries)
    if (known.info.data_centre != data_centre && !known.wants_relays)
      distant.push_back(known.info.address);
  const size_t count = std::min(kMaxDistantRelays, distant.size());
  for (size_t i = 0; i < count; ++i)
    addresses.push_back(distant[(place * count + i) % distant.size()]);
}

bool EntryPushes::PushPending(Instant now, WallMs wall) {
  TrackRollout(now);
  size_t bytes = 0;
  auto next = m_entries.upper_bound(m_last_pushed);
  for (size_t i = 0; i < m_entries.size(); ++i, ++next) {
    if (bytes >= kMaxPushBytesPerIteration) return true;
    if (next == m_entries.end()) next = m_entries.begin();
    bytes += Push(next->second, now, wall);
    m_last_pushed = next->first;
  }
  LogRollout(now);
  return false;
}

void EntryPushes::TrackRollout(Instant now) {
  const uint64_t version = m_replica.GetState().GetPublished().version;
  if (version != m_rollout.version) m_rollout = {version, now, m_sent, false};
}

// Logs each version once it, or a newer one, has been sent to all entries.
void EntryPushes::LogRollout(Instant now) {
  const auto is_behind = [this](const auto& entry) {
    return entry.second.routes.version < m_rollout.version;
  };
  if (m_rollout.logged || std::ranges::any_of(m_entries, is_behind)) return;
  m_rollout.logged = true;
  const RoutesSentTotals& before = m_rollout.sent_before;
  telemetry::Log(
      telemetry::LogLevel::kInfo, "routes_sent",
      {{"version", std::to_string(m_rollout.version)},
       {"entries", std::to_string(m_entries.size())},
       {"wholes", std::to_string(m_sent.wholes - before.wholes)},
       {"steps", std::to_string(m_sent.steps - before.steps)},
       {"bytes", std::to_string(m_sent.bytes - before.bytes)},
       {"took_ms", std::to_string(ToMs(now - m_rollout.started_at))}});
}

size_t EntryPushes::Push(Entry& entry, Instant now, WallMs wall) {
  if (m_hub.Backlog(entry.info.run.host) > kMaxBacklogBytes) return 0;
  PushQuarantineOfTerm(entry, wall);
  // An entry that returns mostly holds the newest versions; its first heartbeat
  // tells.
  if (!entry.reported) return 0;
  return PushConfiguration(entry, now) + PushRoutes(entry, now);
}

size_t EntryPushes::PushConfiguration(Entry& entry, Instant now) {
  const state::State& state = m_replica.GetState();
  const uint64_t version = state.GetConfiguration().Version();
  if (entry.configuration.version >= version) return 0;
  std::vector<wire::ChangeT> changes;
  uint64_t from = entry.configuration.version;
  if (from > 0) changes = state.ChangesSince(from);
  if (changes.empty()) {
    from = 0;
    changes = state.GetConfiguration().AsChanges();
  }
  wire::ConfigurationPushT push;
  push.term = m_replica.GetNode().Term();
  push.commit_index = m_replica.GetNode().Commit();
  push.from_version = from;
  push.to_version = version;
  for (wire::ChangeT& change : changes)
    push.changes.push_back(std::make_unique<wire::ChangeT>(std::move(change)));
  m_hub.Send(entry.info.run.host, peers::MakeFrame(std::move(push)));
  entry.configuration = {version, now, from == 0};
  return changes.size() * kChangeBytes;
}

// An entry that holds one of the newest versions is sent the deltas from there.
// Sending full documents to a large fleet took longer than a change may take to
// be in force.
size_t EntryPushes::PushRoutes(Entry& entry, Instant now) {
  const state::State& state = m_replica.GetState();
  const state::PublishedRoutes published = state.GetPublished();
  if (entry.routes.version >= published.version) return 0;
  std::vector<wire::RoutesStepT> steps =
      state.RouteDeltasSince(entry.routes.version);
  const bool whole = steps.empty();
  if (whole) steps.push_back(FullRoutes(published));
  wire::RoutesPushT push;
  push.term = m_replica.GetNode().Term();
  push.version = published.version;
  size_t bytes = kFrameOverheadBytes;
  for (wire::RoutesStepT& step : steps) {
    bytes += step.packed.size();
    push.steps.push_back(std::make_unique<wire::RoutesStepT>(std::move(step)));
  }
  m_hub.Send(entry.info.run.host, peers::MakeFrame(std::move(push)));
  entry.routes = {published.version, now, whole};
  ++(whole ? m_sent.wholes : m_sent.steps);
  m_sent.bytes += bytes - kFrameOverheadBytes;
  return bytes;
}

const wire::RoutesStepT& EntryPushes::FullRoutes(
    const state::PublishedRoutes& published) {
  if (m_full_routes.version != published.version) {
    m_full_routes.version = published.version;
    m_full_routes.packed = state::PackDocument(published.document, {});
  }
  return m_full_routes;
}

void EntryPushes::PushQuarantineOfTerm(const Entry& entry, WallMs now) {
  if (entry.quarantine_term == m_replica.GetNode().Term()) return;
  PushQuarantine(entry.info.run.host, now);
}

void EntryPushes::PushQuarantine(const HostId& entry, WallMs now) {
  const auto known = m_entries.find(entry);
  if (known != m_entries.end())
    known->second.quarantine_term = m_replica.GetNode().Term();
  wire::QuarantinePushT push;
  for (const wire::SuspectAnswerT& suspect :
       m_replica.GetState().Quarantined(now)) {
    push.entries.push_back(std::make_unique<wire::SuspectAnswerT>(suspect));
  }
  if (!push.entries.empty())
    m_hub.Send(entry, peers::MakeFrame(std::move(push)));
}

void EntryPushes::PushSuspects(
    const std::vector<wire::SuspectAnswerT>& changes) {
  for (const auto& [host, entry] : m_entries) {
    wire::QuarantinePushT push;
    for (const wire::SuspectAnswerT& change : changes)
      push.entries.push_back(std::make_unique<wire::SuspectAnswerT>(change));
    m_hub.Send(host, peers::MakeFrame(std::move(push)));
  }
}

}  // namespace dotterelshift::app
