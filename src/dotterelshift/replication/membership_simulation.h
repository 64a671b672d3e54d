#ifndef DOTTERELSHIFT_REPLICATION_MEMBERSHIP_SIMULATION_H_
#define DOTTERELSHIFT_REPLICATION_MEMBERSHIP_SIMULATION_H_

// Simulates control hosts that bootstrap, repair and replace their group
// without an operator, under a seeded schedule of faults. For tests only.

#include <algorithm>  // for find
#include <array>      // for array
#include <deque>      // for deque
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "dotterelshift/replication/member_discovery.h"  // for MemberDiscovery
#include "dotterelshift/replication/member_keeper.h"     // for MembershipRepair
#include "dotterelshift/replication/membership.h"        // for FindMember
#include "dotterelshift/replication/messages.h"          // for SenderOf
#include "dotterelshift/replication/node.h"              // for MakeNode
#include "dotterelshift/replication/raft_log.h"          // for RaftLog
#include "dotterelshift/replication/raft_simulation.h"   // for Violation

namespace dotterelshift::replication {

// Counts of what the schedules exercised, so that a test can check that they
// exercised enough.
struct MembershipSimulationCounts {
  uint64_t founded = 0;
  uint64_t committed = 0;
  uint64_t wipes = 0;
  uint64_t removals = 0;
  uint64_t additions = 0;
  uint64_t cuts = 0;

  void Add(const MembershipSimulationCounts& other) {
    founded += other.founded;
    committed += other.committed;
    wipes += other.wipes;
    removals += other.removals;
    additions += other.additions;
    cuts += other.cuts;
  }
};

// The implementations under test. A test replaces one of them with a broken
// version to check that the simulation detects it.
struct MembershipSimulationRules {
  using RepairPolicy = MembershipRepair;
  using Discovery = MemberDiscovery;
};

// Five hosts, the first three of which bootstrap the group. Hosts crash,
// restart, come back with an empty data folder, and are cut off from some of
// the others. A member's folder is lost only while the group has at least three
// voters and no member has lost its folder.
//
// Checked throughout: there is one group, one leader per term and one history;
// no accepted entry is lost; no member is removed that is neither lost nor
// surplus. Checked after the faults have ended: every host joins the group.
//
// Messages between two hosts are delivered in order, as on a connection, and
// are lost when either host crashes or the two are cut off from each other.
template <typename Rules>
class MembershipSimulation {
 public:
  explicit MembershipSimulation(uint64_t seed)
      : m_even_seed(seed % 2 == 0), m_random(seed) {
    for (size_t i = 0; i < kHosts; ++i) {
      Host& host = m_hosts[i];
      host.name = "core-" + std::to_string(i + 1);
      if (i < kFirstMembers) m_first_members.push_back(host.name);
    }
    for (Host& host : m_hosts) {
      host.disk.self = ++m_last_id;
      if (Chance(kEarlyStartPercent)) Start(host);
    }
  }

  MembershipSimulationCounts Run(int steps) {
    for (int step = 0; step < steps; ++step) Step();
    Settle();
    m_counts.committed = m_history.size();
    return m_counts;
  }

 private:
  static constexpr size_t kHosts = 5;
  static constexpr size_t kFirstMembers = 3;
  static constexpr uint64_t kEarlyStartPercent = 70;  // in percent
  static constexpr Duration kHousekeepingInterval = 200ms;

  struct Host {
    HostId name;
    RestoredLog disk;            // what has been synced
    std::unique_ptr<Node> node;  // null: not running
    std::optional<typename Rules::Discovery> discovery;
    std::optional<typename Rules::RepairPolicy> repair;
    std::map<ReplicaId, HostId> heard;
    std::optional<Ready> unsynced;
    uint64_t applied = 0;
    Instant housekeeping{};
    bool cut = false;
    bool started = false;  // once or more
  };
  struct SentFrame {
    HostId from;
    HostId to;
    wire::FrameT frame;
  };

  uint64_t Draw(uint64_t below) { return m_random() % below; }
  bool Chance(uint64_t percent) { return Draw(100) < percent; }
  Host& AnyHost() { return m_hosts[Draw(kHosts)]; }
  Host& HostNamed(const HostId& name) {
    for (Host& host : m_hosts)
      if (host.name == name) return host;
    throw Violation("message to an unknown host: " + name);
  }

  void Step() {
    const uint64_t draw = Draw(1000);
    if (draw < 550) return DeliverSome();
    if (draw < 780) return SyncOne(AnyHost());
    if (draw < 900) return Tick(Draw(40) * 1ms);
    // Long enough for a member to count as lost.
    if (draw < 906) return Tick(Draw(6000) * 1ms);
    if (draw < 950) return ProposeSomewhere();
    if (draw < 960) return Crash(AnyHost());
    if (draw < 975) return StartIfDown(AnyHost());
    if (draw < 980) return Cut(AnyHost());
    if (draw < 985) return Heal();
    WipeIfAllowed(AnyHost());
  }

  // ---- One host.

  void Start(Host& host) {
    NodeOptions options;
    options.seed = m_random();
    host.node = MakeNode(options, host.disk, m_now);
    // In half of the schedules, the first of them does not know after a restart
    // that the fleet is new.
    const bool forgets =
        m_even_seed && host.started && host.name == m_first_members.front();
    host.started = true;
    const bool founds =
        !forgets && std::find(m_first_members.begin(), m_first_members.end(),
                              host.name) != m_first_members.end();
    host.discovery.emplace(MemberDiscoveryOptions{
        host.name, host.disk.self,
        founds ? m_first_members : std::vector<HostId>{}, true});
    host.repair.emplace(host.disk.self);
    host.heard.clear();
    host.unsynced.reset();
    host.applied = 0;
    host.housekeeping = m_now;
    Pump(host);
  }

  void StartIfDown(Host& host) {
    if (!host.node) Start(host);
  }

  void Crash(Host& host) {
    if (!host.node) return;
    // Writes that were not synced may or may not have reached the disk.
    if (host.unsynced && Chance(30)) Persist(host, *host.unsynced);
    host.node.reset();
    host.unsynced.reset();
    std::erase_if(m_sent, [&](const SentFrame& sent) {
      return sent.from == host.name || sent.to == host.name;
    });
  }

  void Housekeeping(Host& host) {
    host.housekeeping = m_now + kHousekeepingInterval;
    TryBootstrap(host);
    const bool coordinates = host.discovery->IsCoordinator();
    for (const HostId& other : host.discovery->StartRound())
      SendHello(host, other, coordinates);
    RepairMembership(host);
    Pump(host);
  }

  void RepairMembership(Host& host) {
    host.repair->OnMembers(host.node->Members(), m_now);
    if (host.node->Role() != NodeRole::kLeader) {
      host.repair->StopLeading();
      if (host.node->Leader() != 0) return;
      for (const Host& other : m_hosts)
        if (other.name != host.name) SendHello(host, other.name, false);
      return;
    }
    const auto change = host.repair->Next(
        host.node->Members(),
        host.discovery->Waiting(host.node->Members(), m_now), m_now);
    if (!change) return;
    CheckChange(host, *change);
    if (!host.node->ProposeMember(change->replica, change->remove, m_now))
      return;
    ++(change->remove ? m_counts.removals : m_counts.additions);
  }

  // A group without a surplus voter may only remove a member that has lost its
  // folder, or one that does not vote, which no promise rests on.
  void CheckChange(const Host& host, const MembershipChange& change) const {
    if (!change.remove || m_lost.contains(change.replica.id)) return;
    if (!IsVoter(host.node->Members(), change.replica.id)) return;
    if (VoterCount(host.node->Members()) <= kFirstMembers)
      throw Violation(
          "removal of a member that has its log, from a group with this many "
          "voters: " +
          std::to_string(VoterCount(host.node->Members())));
  }

  void TryBootstrap(Host& host) {
    if (GroupViewOf(*host.node).in_group) return host.discovery->EndBootstrap();
    const auto members = host.discovery->ComposeMembership();
    if (!members) return;
    const uint64_t term = host.discovery->FirstTerm();
    host.discovery->EndBootstrap();
    ++m_counts.founded;
    host.disk = MakeInitialLog(host.disk.self, *members, term);
    NodeOptions options;
    options.seed = m_random();
    host.node = MakeNode(options, host.disk, m_now);
    Pump(host);
  }

  void SendHello(const Host& from, const HostId& to, bool answer_wanted) {
    wire::FrameT frame;
    frame.body.Set(
        from.discovery->Hello(GroupViewOf(*from.node), answer_wanted));
    m_sent.push_back({from.name, to, std::move(frame)});
  }

  void Answer(const Host& from, const HostId& to,
              const wire::ReplicaHelloT& hello) {
    wire::FrameT frame;
    frame.body.Set(from.discovery->AnswerTo(hello, GroupViewOf(*from.node)));
    m_sent.push_back({from.name, to, std::move(frame)});
  }

  void OnFrame(Host& host, const SentFrame& sent) {
    if (const wire::ReplicaHelloT* hello = sent.frame.body.AsReplicaHello()) {
      if (host.discovery->OnHello(sent.from, *hello, GroupViewOf(*host.node),
                                  m_now))
        Answer(host, sent.from, *hello);
      TryBootstrap(host);
      return;
    }
    const ReplicaId sender = SenderOf(sent.frame);
    host.heard[sender] = sent.from;
    host.repair->OnMessageFrom(sender, m_now);
    host.node->OnMessage(sent.frame, m_now);
    Pump(host);
  }

  // Processes a node's pending work. Writes are synced in a later step.
  void Pump(Host& host) {
    while (host.node && !host.unsynced) {
      Ready ready = host.node->TakeReady();
      const bool empty = !ready.HasWrites() && ready.messages.empty() &&
                         ready.committed.empty() && !ready.leadership_changed;
      if (empty) return;
      for (auto& [to, frame] : ready.messages) {
        const HostId name = NameOf(host, to);
        if (!name.empty()) m_sent.push_back({host.name, name, frame});
      }
      Apply(host, ready);
      RecordLeader(host);
      if (ready.HasWrites()) host.unsynced = std::move(ready);
    }
  }

  HostId NameOf(const Host& host, ReplicaId id) const {
    const auto heard = host.heard.find(id);
    if (heard != host.heard.end()) return heard->second;
    const wire::ReplicaT* member = FindMember(host.node->Members(), id);
    return member == nullptr ? HostId() : member->host;
  }

  void RecordLeader(const Host& host) {
    if (host.node->Role() != NodeRole::kLeader) return;
    const uint64_t term = host.node->Term();
    // If the first member of a group is lost before the group has accepted any
    // entry, the group is lost too. The group that replaces it may use the same
    // term.
    const wire::LogEntryT& first = host.disk.entries.front();
    const std::string group(first.payload.begin(), first.payload.end());
    const auto [leader, fresh] =
        m_leaders.emplace(std::pair(group, term), host.disk.self);
    if (!fresh && leader->second != host.disk.self)
      throw Violation("two leaders in term " + std::to_string(term));
  }

  void Apply(Host& host, const Ready& ready) {
    for (const wire::LogEntryT& entry : ready.committed) {
      const std::string content(entry.payload.begin(), entry.payload.end());
      const std::string of_term = std::to_string(entry.term) + ":" + content;
      if (entry.index != ++host.applied)
        throw Violation("an entry was skipped");
      if (entry.index > m_history.size()) {
        m_history.push_back(of_term);
        if (entry.kind == wire::LogEntryKind::Membership)
          m_members = DecodeMembership(entry.payload);
      }
      if (m_history[entry.index - 1] != of_term)
        throw Violation("replicas applied different entries at index " +
                        std::to_string(entry.index));
    }
  }

  void SyncOne(Host& host) {
    if (!host.node || !host.unsynced) return;
    const Ready ready = std::move(*host.unsynced);
    host.unsynced.reset();
    Persist(host, ready);
    host.node->OnSynced(m_now);
    Pump(host);
  }

  void Persist(Host& host, const Ready& ready) {
    RestoredLog& disk = host.disk;
    if (ready.hard_state) disk.hard_state = *ready.hard_state;
    if (ready.truncate_from && *ready.truncate_from - 1 < disk.entries.size())
      disk.entries.resize(*ready.truncate_from - 1);
    for (const wire::LogEntryT& entry : ready.append)
      disk.entries.push_back(entry);
  }

  // ---- The group and its network.

  void Tick(Duration step) {
    m_now += step;
    for (Host& host : m_hosts) {
      if (!host.node) continue;
      if (host.housekeeping <= m_now) Housekeeping(host);
      if (host.node->NextTimer() > m_now) continue;
      host.node->OnTimer(m_now);
      Pump(host);
    }
  }

  // Delivers the oldest message of a randomly chosen pair of hosts, so that the
  // order on each connection is kept.
  void DeliverOne() {
    if (m_sent.empty()) return;
    size_t chosen = Draw(m_sent.size());
    for (size_t i = 0; i < chosen; ++i) {
      if (m_sent[i].from != m_sent[chosen].from ||
          m_sent[i].to != m_sent[chosen].to)
        continue;
      chosen = i;
    }
    const SentFrame sent = std::move(m_sent[chosen]);
    m_sent.erase(m_sent.begin() + static_cast<std::ptrdiff_t>(chosen));
    Host& to = HostNamed(sent.to);
    const bool reached = to.node && to.cut == HostNamed(sent.from).cut;
    if (reached) OnFrame(to, sent);
  }

  void DeliverSome() {
    for (uint64_t i = Draw(8); i > 0; --i) DeliverOne();
  }

  void Cut(Host& host) {
    host.cut = true;
    ++m_counts.cuts;
  }
  void Heal() {
    for (Host& host : m_hosts) host.cut = false;
  }

  void ProposeSomewhere() {
    for (Host& host : m_hosts) {
      if (!host.node || host.node->Role() != NodeRole::kLeader) continue;
      host.node->Propose("p" + std::to_string(++m_last_payload), m_now);
      Pump(host);
    }
  }

  // Whether this replica's folder may be lost: it is not a member, or every
  // membership that is stored or proposed tolerates the loss of one more
  // folder.
  bool CanWipe(ReplicaId replica) const {
    bool member = FindMember(m_members, replica) != nullptr;
    bool whole = ToleratesLoss(m_members);
    for (const Host& host : m_hosts) {
      const wire::MembershipT members = MembersOf(host);
      member = member || FindMember(members, replica) != nullptr;
      whole = whole && ToleratesLoss(members);
    }
    return !member || whole;
  }

  static wire::MembershipT MembersOf(const Host& host) {
    if (host.node) return host.node->Members();
    return RaftLog(host.disk.snapshot, host.disk.entries).Members();
  }

  bool ToleratesLoss(const wire::MembershipT& members) const {
    if (members.replicas.empty()) return true;  // not in a group
    for (const auto& member : members.replicas)
      if (m_lost.contains(member->id)) return false;
    return VoterCount(members) >= kFirstMembers;
  }

  // The host loses its data folder and restarts now or later.
  void WipeIfAllowed(Host& host) {
    if (!CanWipe(host.disk.self)) return;
    ++m_counts.wipes;
    m_lost.insert(host.disk.self);
    Crash(host);
    host.disk = RestoredLog();
    host.disk.self = ++m_last_id;
    if (Chance(50)) Start(host);
  }

  // Ends all faults. Every host must then become a member, and the group must
  // commit entries again.
  void Settle() {
    Heal();
    for (Host& host : m_hosts) StartIfDown(host);
    const uint64_t accepted = m_history.size();
    for (int round = 0; round < kSettleRounds; ++round) {
      Tick(10ms);
      for (int i = 0; i < 60; ++i) DeliverOne();
      for (Host& host : m_hosts) SyncOne(host);
      if (round % 20 == 0) ProposeSomewhere();
      if (HasRecovered(accepted)) return;
    }
    throw Stall("the group does not recover: " + Describe());
  }

  std::string Describe() const {
    std::string text;
    for (const Host& host : m_hosts) {
      text += host.name + " #" + std::to_string(host.disk.self) + " role " +
              std::to_string(static_cast<int>(host.node->Role())) + " term " +
              std::to_string(host.node->Term()) + " of";
      for (const auto& member : host.node->Members().replicas) {
        text += " #" + std::to_string(member->id);
        text += member->voter ? "" : "-";
      }
      text += "; ";
    }
    return text;
  }

  bool HasRecovered(uint64_t accepted) const {
    if (m_history.size() <= accepted) return false;
    for (const Host& host : m_hosts) {
      const bool whole = host.applied > accepted &&
                         IsVoter(host.node->Members(), host.disk.self);
      if (!whole) return false;
    }
    return true;
  }

  // 60 simulated seconds, which is several times what it takes to elect a
  // leader, bootstrap a group and replace all five members one after another.
  static constexpr int kSettleRounds = 6000;

  const bool m_even_seed;
  std::mt19937_64 m_random;
  Instant m_now{1s};
  std::vector<HostId> m_first_members;
  std::array<Host, kHosts> m_hosts;
  ReplicaId m_last_id = 0;
  uint64_t m_last_payload = 0;
  std::deque<SentFrame> m_sent;
  std::set<ReplicaId> m_lost;          // replicas whose data folder was lost
  wire::MembershipT m_members;         // the last one committed
  std::vector<std::string> m_history;  // entries that any replica has applied
  // By the first entry of the group's log and the term.
  std::map<std::pair<std::string, uint64_t>, ReplicaId> m_leaders;
  MembershipSimulationCounts m_counts;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MEMBERSHIP_SIMULATION_H_
