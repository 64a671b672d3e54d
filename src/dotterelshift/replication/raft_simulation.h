#ifndef DOTTERELSHIFT_REPLICATION_RAFT_SIMULATION_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_SIMULATION_H_

// Simulates a group of replicas under a seeded schedule of faults. For tests
// only.

#include <algorithm>  // for max
#include <array>      // for array
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <set>        // for set
#include <stdexcept>  // for runtime_error
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

// Thrown when a checked property does not hold.
class Violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Thrown when the group does not commit entries again after all faults have
// ended.
class Stall : public Violation {
 public:
  using Violation::Violation;
};

// Counts of what a schedule exercised, so that a test can check that it
// exercised enough.
struct RaftSimulationCounts {
  uint64_t committed = 0;
  uint64_t reads = 0;
  uint64_t leaders = 0;
  uint64_t crashes = 0;
  uint64_t replacements = 0;
  uint64_t installs = 0;
};

// Three places, each of which runs one replica at a time. A replica may crash,
// which loses unsynced writes, restart, or lose its data folder and be replaced
// by a new one. Messages are lost, duplicated, reordered and blocked by
// partitions. Checked throughout: one leader per term, one history, no accepted
// entry lost, no stale confirmed read, at most one lease at a time.
template <typename Rules>
class RaftSimulation {
 public:
  explicit RaftSimulation(uint64_t seed) : m_random(seed) {
    for (size_t place = 0; place < kPlaces; ++place) {
      m_places[place].disk.self = ++m_last_id;
      wire::ReplicaT replica;
      replica.id = m_last_id;
      replica.voter = true;
      m_founders = WithMember(m_founders, replica);
    }
    for (Place& place : m_places) {
      place.disk.snapshot.membership = m_founders;
      Start(place);
    }
  }

  // Runs the schedule, then ends all faults and checks that the group has every
  // accepted entry.
  RaftSimulationCounts Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      Step();
      CheckLeases();
    }
    Settle();
    m_counts.leaders = m_leaders.size();
    m_counts.committed = m_history.size();
    return m_counts;
  }

 private:
  static constexpr size_t kPlaces = 3;
  using State = std::vector<std::string>;  // payloads by index, starting at 1

  struct Place {
    RestoredLog disk;  // what has been synced
    std::string disk_state;
    std::unique_ptr<Raft<Rules>> node;  // null: crashed
    std::optional<Ready> unsynced;
    State applied;
    // By token, the index that the read must reflect.
    std::map<uint64_t, uint64_t> reads;
  };
  struct SentFrame {
    ReplicaId from = 0;
    ReplicaId to = 0;
    wire::FrameT frame;
  };

  uint64_t Draw(uint64_t below) { return m_random() % below; }
  bool Chance(uint64_t percent) { return Draw(100) < percent; }
  Place& AnyPlace() { return m_places[Draw(kPlaces)]; }

  void Start(Place& place) {
    NodeOptions options;
    options.seed = m_random();
    options.snapshot_chunk_bytes = 64;
    options.max_append_bytes = 32;
    place.unsynced.reset();
    place.reads.clear();
    place.applied = Decode(place.disk_state);
    place.node = std::make_unique<Raft<Rules>>(options, place.disk, m_now);
    const SnapshotMeta& meta = place.disk.snapshot;
    if (meta.last_index > 0) {
      place.node->SetSnapshotSource(
          meta, std::make_shared<const std::string>(place.disk_state));
    }
    Pump(place);
  }

  void Step() {
    const uint64_t draw = Draw(1000);
    if (draw < 500) return DeliverOne();
    if (draw < 720) return SyncOne(AnyPlace());
    if (draw < 820) return Tick(Draw(40) * 1ms);
    if (draw < 870) return ProposeSomewhere();
    if (draw < 910) return ReadSomewhere();
    if (draw < 917) return Crash(AnyPlace());
    if (draw < 950) return StartIfDown(AnyPlace());
    if (draw < 955) return Cut();
    if (draw < 970) return Heal();
    if (draw < 985) return MakeSnapshot(AnyPlace());
    ReplaceOrRepair();
  }

  void Tick(Duration step) {
    m_now += step;
    for (Place& place : m_places) {
      if (!place.node || place.node->NextTimer() > m_now) continue;
      place.node->OnTimer(m_now);
      Pump(place);
    }
  }

  // Processes a node's pending work. Writes are synced in a later step.
  void Pump(Place& place) {
    while (place.node && !place.unsynced) {
      Ready ready = place.node->TakeReady();
      const bool empty = !ready.HasWrites() && ready.messages.empty() &&
                         ready.committed.empty() &&
                         ready.reads_confirmed.empty() &&
                         !ready.leadership_changed;
      if (empty) return;
      for (auto& [to, frame] : ready.messages)
        m_sent.push_back({place.disk.self, to, std::move(frame)});
      Apply(place, ready);
      RecordLeader(place);
      if (ready.HasWrites()) place.unsynced = std::move(ready);
    }
  }

  void RecordLeader(const Place& place) {
    if (place.node->Role() != NodeRole::kLeader) return;
    const uint64_t term = place.node->Term();
    const auto [leader, fresh] = m_leaders.emplace(term, place.disk.self);
    if (!fresh && leader->second != place.disk.self)
      throw Violation("two leaders in term " + std::to_string(term));
  }

  void CheckLeases() const {
    int leases = 0;
    for (const Place& place : m_places)
      leases += place.node && m_now < place.node->LeaseUntil() ? 1 : 0;
    if (leases > 1) throw Violation("two leaders hold a lease");
  }

  void Apply(Place& place, const Ready& ready) {
    for (const wire::LogEntryT& entry : ready.committed) {
      const std::string content =
          std::to_string(entry.term) + ":" +
          std::string(entry.payload.begin(), entry.payload.end());
      if (entry.index != place.applied.size() + 1)
        throw Violation("an entry was skipped");
      place.applied.push_back(content);
      if (entry.index > m_history.size()) m_history.push_back(content);
      if (m_history[entry.index - 1] != content)
        throw Violation("replicas applied different entries at index " +
                        std::to_string(entry.index));
    }
    for (const uint64_t token : ready.reads_confirmed) {
      ++m_counts.reads;
      if (place.applied.size() < place.reads[token])
        throw Violation("a confirmed read is stale");
    }
  }

  void SyncOne(Place& place) {
    if (!place.node || !place.unsynced) return;
    const Ready ready = std::move(*place.unsynced);
    place.unsynced.reset();
    Persist(place, ready);
    if (ready.install) {
      ++m_counts.installs;
      place.applied = Decode(ready.install->second);
      CheckPrefix(place.applied);
      place.node->SetSnapshotSource(
          ready.install->first,
          std::make_shared<const std::string>(ready.install->second));
    }
    place.node->OnSynced(m_now);
    Pump(place);
  }

  void Persist(Place& place, const Ready& ready) {
    RestoredLog& disk = place.disk;
    if (ready.hard_state) disk.hard_state = *ready.hard_state;
    if (ready.install) {
      disk.snapshot = ready.install->first;
      disk.entries.clear();
      place.disk_state = ready.install->second;
    }
    const uint64_t base = disk.snapshot.last_index;
    if (ready.truncate_from && *ready.truncate_from > base &&
        *ready.truncate_from - base - 1 < disk.entries.size())
      disk.entries.resize(*ready.truncate_from - base - 1);
    for (const wire::LogEntryT& entry : ready.append)
      if (entry.index > base) disk.entries.push_back(entry);
  }

  void StartIfDown(Place& place) {
    if (!place.node) Start(place);
  }

  void Crash(Place& place) {
    if (!place.node) return;
    ++m_counts.crashes;
    // Writes that were not synced may or may not have reached the disk.
    if (place.unsynced && Chance(30)) Persist(place, *place.unsynced);
    place.node.reset();
    place.unsynced.reset();
  }

  void DeliverOne() {
    if (m_sent.empty()) return;
    // Messages are mostly delivered in order, and sometimes at random.
    const size_t chosen = Chance(70) ? 0 : Draw(m_sent.size());
    const SentFrame sent = m_sent[chosen];
    if (!Chance(3)) {  // otherwise it is delivered again
      m_sent.erase(m_sent.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (Chance(m_lossy ? 10 : 0) || IsCut(sent)) return;
    for (Place& place : m_places) {
      if (!place.node || place.disk.self != sent.to) continue;
      place.node->OnMessage(sent.frame, m_now);
      Pump(place);
    }
  }

  bool IsCut(const SentFrame& sent) const {
    const auto stands = [&](ReplicaId id) {
      for (size_t i = 0; i < kPlaces; ++i)
        if (m_places[i].disk.self == id) return i;
      return kPlaces;
    };
    return m_cut_off &&
           (stands(sent.from) == *m_cut_off) != (stands(sent.to) == *m_cut_off);
  }

  void Cut() { m_cut_off = Draw(kPlaces); }
  void Heal() { m_cut_off.reset(); }

  void ProposeSomewhere() {
    for (Place& place : m_places) {
      if (!place.node || place.node->Role() != NodeRole::kLeader) continue;
      place.node->Propose("p" + std::to_string(++m_last_payload), m_now);
      Pump(place);
    }
  }

  void ReadSomewhere() {
    for (Place& place : m_places) {
      if (!place.node) continue;
      const auto token = place.node->ConfirmLeadership(m_now);
      if (token) place.reads[*token] = m_history.size();
      Pump(place);
    }
  }

  void MakeSnapshot(Place& place) {
    if (!place.node || place.unsynced) return;
    const uint64_t index = place.applied.size();
    const uint64_t base = place.disk.snapshot.last_index;
    if (index <= base || index > base + place.disk.entries.size()) return;
    RaftLog log(place.disk.snapshot, place.disk.entries);
    log.TruncateFrom(index + 1);
    const SnapshotMeta meta{index, *log.TermAt(index), log.Members()};
    place.disk_state = Encode(place.applied);
    place.disk.entries.erase(
        place.disk.entries.begin(),
        place.disk.entries.begin() + static_cast<std::ptrdiff_t>(index - base));
    place.disk.snapshot = meta;
    place.node->SetSnapshotSource(
        meta, std::make_shared<const std::string>(place.disk_state));
    place.node->OnSnapshotMade(index);
  }

  // Makes a replica lose its data folder, or continues the replacement of the
  // last one that did: its old id is removed and a new one is added. The next
  // replica may be lost only once the new one is a voter.
  void ReplaceOrRepair() {
    if (!m_lost) {
      Place& place = AnyPlace();
      m_lost = place.disk.self;
      place = Place();
      place.disk.self = ++m_last_id;
      m_replacement = m_last_id;
      ++m_counts.replacements;
      return Start(place);
    }
    for (Place& place : m_places) Repair(place);
  }

  void Repair(Place& place) {
    if (!m_lost || !place.node || place.node->Role() != NodeRole::kLeader)
      return;
    wire::ReplicaT replica;
    const wire::MembershipT& members = place.node->Members();
    const bool committed = CommittedMembersHaveVoter(place, m_replacement);
    if (committed && FindMember(members, *m_lost) == nullptr)
      return m_lost.reset();
    const bool remove = FindMember(members, *m_lost) != nullptr;
    replica.id = remove ? *m_lost : m_replacement;
    place.node->ProposeMember(replica, remove, m_now);
    Pump(place);
  }

  // Whether the history contains the membership entry that makes the replica a
  // voter.
  bool CommittedMembersHaveVoter(const Place& place, ReplicaId id) const {
    if (!IsVoter(place.node->Members(), id)) return false;
    const auto payload = EncodeMembership(place.node->Members());
    const std::string content(payload.begin(), payload.end());
    for (const std::string& entry : m_history)
      if (entry.ends_with(content)) return true;
    return false;
  }

  // Ends all faults. The group must then commit entries again and have every
  // accepted entry.
  void Settle() {
    m_cut_off.reset();
    m_lossy = false;
    for (Place& place : m_places)
      if (!place.node) Start(place);
    const uint64_t accepted = m_history.size();
    for (int round = 0; round < 4000; ++round) {
      Tick(5ms);
      for (int i = 0; i < 30; ++i) DeliverOne();
      for (Place& place : m_places) SyncOne(place);
      for (Place& place : m_places) Repair(place);
      if (m_lost) continue;
      if (round % 20 == 0) ProposeSomewhere();
      bool all = m_history.size() > accepted;
      for (const Place& place : m_places)
        all = all && place.applied.size() > accepted;
      if (all) return;
    }
    throw Stall("the group does not recover");
  }

  void CheckPrefix(const State& state) const {
    for (size_t i = 0; i < state.size(); ++i)
      if (i >= m_history.size() || m_history[i] != state[i])
        throw Violation("a snapshot differs from the committed history");
  }

  static std::string Encode(const State& state) {
    std::string bytes;
    for (const std::string& entry : state)
      bytes += std::to_string(entry.size()) + "," + entry;
    return bytes;
  }
  static State Decode(const std::string& bytes) {
    State state;
    size_t offset = 0;
    while (offset < bytes.size()) {
      const size_t comma = bytes.find(',', offset);
      const size_t size = std::stoul(bytes.substr(offset, comma - offset));
      state.push_back(bytes.substr(comma + 1, size));
      offset = comma + 1 + size;
    }
    return state;
  }

  std::mt19937_64 m_random;
  Instant m_now{1s};
  wire::MembershipT m_founders;
  std::array<Place, kPlaces> m_places;
  ReplicaId m_last_id = 0;
  uint64_t m_last_payload = 0;
  std::vector<SentFrame> m_sent;
  std::optional<size_t> m_cut_off;
  bool m_lossy = true;
  std::optional<ReplicaId> m_lost;
  ReplicaId m_replacement = 0;
  State m_history;  // entries that any replica has applied
  std::map<uint64_t, ReplicaId> m_leaders;
  RaftSimulationCounts m_counts;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_SIMULATION_H_
