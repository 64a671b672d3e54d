#include "dotterelshift/app/entry_pushes.h"

#include <algorithm>  // for any_of
#include <iterator>   // for distance
#include <memory>     // for make_unique
#include <string>     // for to_string
#include <utility>    // for move

#include "dotterelshift/base/address.h"           // for ParseAddress
#include "dotterelshift/state/packed_document.h"  // for PackDocument
#include "dotterelshift/telemetry/log.h"          // for Log

namespace dotterelshift::app {
namespace {

// Up to so many entries all know each other. In a larger fleet each knows those
// of its data centre: at 86 entries on links of 10 Mbit/s, load notes to all of
// them were two thirds of the bytes between data centres.
constexpr size_t kMaxFullMeshEntries = 16;

// Nothing is pushed to an entry whose connection has more than this to send: a
// version that waits here is replaced by the next one, one in the connection is
// not. It keeps a storm of changes to a fleet on slow links from being held in
// memory once for each entry and version; one document for each entry remains.
constexpr size_t kMaxBacklogBytes = 64 << 10;

// Bytes that one turn of the loop pushes. A document for each entry of a large
// fleet in one turn kept a leader silent for longer than its lease bears.
constexpr size_t kMaxPushBytesPerIteration = 256 << 10;

// What one change of the configuration takes, about.
constexpr size_t kChangeBytes = 128;

// What any frame costs beside its bytes, as the bytes that take as long.
constexpr size_t kFrameOverheadBytes = 4 << 10;

// For so long an entry that names an older version than the one that was sent
// to it is taken to have not read that far. Sent again at each beat, the
// documents of a fleet that starts at once would pile up behind each other
// faster than they leave.
constexpr Duration kPushTimeout = 5s;

}  // namespace

std::vector<std::string> ReplicaAddresses(const replication::Node& node) {
  std::vector<std::string> addresses;
  for (const auto& member : node.Members().replicas) {
    // Where hosts are named by their address, no other is kept.
    const std::string& address =
        member->address.empty() ? member->host : member->address;
    if (ParseAddress(address)) addresses.push_back(address);
  }
  return addresses;
}

void EntryPushes::OnUp(const peers::PeerInfo& entry) {
  m_entries[entry.run.host] = {entry, {}, {}};
}

bool EntryPushes::OnHeartbeat(const HostId& host, const wire::EntryBeatT& beat,
                              Instant now) {
  const auto entry = m_entries.find(host);
  if (entry == m_entries.end()) return false;
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
                                  WallMs stamp) {
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
  answer.entry_count = static_cast<uint32_t>(m_entries.size());
  answer.entry_place =
      static_cast<uint32_t>(std::distance(m_entries.begin(), entry));
  const bool all = m_entries.size() <= kMaxFullMeshEntries;
  const DataCentreId& own = entry->second.info.data_centre;
  for (const auto& [other, known] : m_entries)
    if (all || known.info.data_centre == own)
      answer.entries.push_back(known.info.address);
  m_hub.Send(host, peers::MakeFrame(std::move(answer)));
}

bool EntryPushes::PushPending(Instant now) {
  TrackRollout(now);
  size_t bytes = 0;
  auto next = m_entries.upper_bound(m_last_pushed);
  for (size_t i = 0; i < m_entries.size(); ++i, ++next) {
    if (bytes >= kMaxPushBytesPerIteration) return true;
    if (next == m_entries.end()) next = m_entries.begin();
    bytes += Push(next->second, now);
    m_last_pushed = next->first;
  }
  LogRollout(now);
  return false;
}

void EntryPushes::TrackRollout(Instant now) {
  const uint64_t version = m_replica.GetState().GetPublished().version;
  if (version != m_rollout.version) m_rollout = {version, now, m_sent, false};
}

// Once each version has been sent to all entries, or a newer one has.
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

size_t EntryPushes::Push(Entry& entry, Instant now) {
  if (m_hub.Backlog(entry.info.run.host) > kMaxBacklogBytes) return 0;
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

// A change costs what it changes: an entry that holds one of the newest
// versions is told the steps from there. Whole documents to a large fleet took
// longer to send than changes may take to be in force.
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

void EntryPushes::PushQuarantine(const HostId& entry, WallMs now) {
  wire::QuarantinePushT push;
  for (const wire::SuspectAnswerT& suspect :
       m_replica.GetState().Quarantined(now)) {
    push.entries.push_back(std::make_unique<wire::SuspectAnswerT>(suspect));
  }
  if (!push.entries.empty())
    m_hub.Send(entry, peers::MakeFrame(std::move(push)));
}

void EntryPushes::PushQuarantineToAll(WallMs now) {
  for (const auto& [host, entry] : m_entries) PushQuarantine(host, now);
}

}  // namespace dotterelshift::app
