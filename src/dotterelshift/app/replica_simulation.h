#ifndef DOTTERELSHIFT_APP_REPLICA_SIMULATION_H_
#define DOTTERELSHIFT_APP_REPLICA_SIMULATION_H_

// Control replicas on one simulated clock, where reading, writing and applying
// commands take simulated time; for tests only.

#include <algorithm>  // for any_of, min
#include <cstdint>    // for uint64_t
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "dotterelshift/app/simulated_host.h"      // for SimulatedRuntime
#include "dotterelshift/replication/membership.h"  // for WithMember
#include "dotterelshift/state/state_testing.h"     // for ConfirmOf

namespace dotterelshift::app {

// Hosts "control-1" and so on, each with a replica of one self-healing group.
// Frames between them take 1 ms and arrive in order.
class ReplicaSimulation {
 public:
  ReplicaSimulation(size_t hosts, const WorkCosts& costs) : m_costs(costs) {
    m_options.node.heartbeat = 100ms;
    m_options.node.min_election_timeout = 500ms;
    m_options.node.lease = 417ms;
    m_options.self_healing = true;
    for (size_t i = 1; i <= hosts; ++i) {
      const HostId name = "control-" + std::to_string(i);
      m_hosts[name].disk.log.self = ++m_last_replica;
      wire::ReplicaT member;
      member.id = m_last_replica;
      member.host = name;
      member.voter = true;
      m_members = replication::WithMember(m_members, member);
    }
    for (auto& [name, host] : m_hosts)
      host.disk.log =
          replication::MakeInitialLog(host.disk.log.self, m_members);
  }

  // Appends `commands` commands to every log, each in an entry of at least
  // `entry_bytes` bytes.
  void FillLogs(uint64_t commands, size_t entry_bytes = 0) {
    for (uint64_t i = 0; i < commands; ++i) {
      wire::PublishRoutesT routes;
      routes.document.resize(entry_bytes);
      wire::CommandT command;
      command.body.Set(std::move(routes));
      AppendToLogs(BatchOf(std::move(command)), wire::LogEntryKind::Batch);
    }
  }
  // Appends the confirmation of the plan to every log.
  void LogConfirmedPlan() {
    wire::CommandT command;
    command.body.Set(state::ConfirmOf("plan"));
    AppendToLogs(BatchOf(std::move(command)), wire::LogEntryKind::Batch);
  }
  // Appends to every log that the plan's replica was added and removed again.
  void LogReplicaAddedAndRemoved() {
    wire::ReplicaT newcomer;
    newcomer.id = kAddedReplica;
    newcomer.host = "newcomer";
    AppendToLogs(replication::EncodeMembership(
                     replication::WithMember(m_members, newcomer)),
                 wire::LogEntryKind::Membership);
    AppendToLogs(replication::EncodeMembership(m_members),
                 wire::LogEntryKind::Membership);
  }

  void Start(const HostId& name) {
    Host& host = m_hosts.at(name);
    host.loop = std::make_unique<HostLoop>(m_time, m_costs, host.disk);
    ControlReplicaOptions options = m_options;
    options.node.seed = m_seeds();
    options.self = name;
    host.replica = std::make_unique<Replica<SimulatedRuntime>>(
        *host.loop, options, CallbacksOf(name));
  }
  void StartAll() {
    for (const auto& [name, host] : m_hosts) Start(name);
  }
  // Stops a replica without a shutdown; its folder stays.
  void Kill(const HostId& name) {
    Host& host = m_hosts.at(name);
    host.replica.reset();
    if (host.loop) m_time.Forget(host.loop.get());
  }
  void KillAll() {
    for (const auto& [name, host] : m_hosts) Kill(name);
  }
  // Adds a host with an empty folder and starts it.
  void Join(const HostId& name) {
    m_hosts[name].disk.log.self = ++m_last_replica;
    Start(name);
  }
  std::vector<HostId> Running() const {
    std::vector<HostId> names;
    for (const auto& [name, host] : m_hosts)
      if (host.replica) names.push_back(name);
    return names;
  }
  bool IsRunning(const HostId& name) const {
    return m_hosts.at(name).replica != nullptr;
  }
  // Cuts a host off from the others, or reconnects it.
  void Cut(const HostId& name, bool cut) { m_hosts.at(name).cut = cut; }
  // Clears the folder of a host that is not running.
  void Wipe(const HostId& name) {
    SimulatedDisk& disk = m_hosts.at(name).disk;
    disk = {};
    disk.log.self = ++m_last_replica;
  }

  // Runs until the condition holds; false if it does not within `limit`.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const Instant end = m_time.Now() + limit;
    while (!condition()) {
      if (m_time.Now() >= end || !m_time.Step()) return false;
    }
    return true;
  }
  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }

  // Time until any replica confirms a read; all replicas are asked repeatedly.
  // Empty: not within `limit`.
  std::optional<Duration> TimeToConfirmedRead(Duration limit) {
    const Instant start = m_time.Now();
    const auto done = std::make_shared<bool>(false);
    ConfirmReadOnAll(done);
    if (!RunUntil([&] { return *done; }, limit)) return std::nullopt;
    return m_time.Now() - start;
  }

  // Proposes commands to the leader in small groups until all are accepted;
  // false if they are not within `limit`.
  bool Accept(uint64_t commands, Duration limit) {
    const Instant end = m_time.Now() + limit;
    while (commands > 0) {
      const uint64_t some = std::min<uint64_t>(commands, kCommandsAtOnce);
      if (!AcceptAtOnce(some, end - m_time.Now())) return false;
      commands -= some;
    }
    return true;
  }

  // Like Accept(), with all commands proposed at once.
  bool AcceptAtOnce(uint64_t commands, Duration limit) {
    const auto accepted = std::make_shared<uint64_t>(0);
    for (uint64_t i = 0; i < commands; ++i) ProposeUntilAccepted(accepted);
    return RunUntil([&] { return *accepted == commands; }, limit);
  }

  // Like Accept(), with one command proposed every `gap`, whether or not the
  // previous ones are accepted.
  bool AcceptPaced(Duration gap, uint64_t commands, Duration limit) {
    const auto accepted = std::make_shared<uint64_t>(0);
    for (uint64_t i = 0; i < commands; ++i)
      m_time.Add(m_time.Now() + gap * static_cast<int64_t>(i), nullptr,
                 [this, accepted] { ProposeUntilAccepted(accepted); });
    return RunUntil([&] { return *accepted == commands; }, limit);
  }

  // Proposes one command if there is a leader, and counts it in `accepted` once
  // it is.
  void Offer(const std::shared_ptr<uint64_t>& accepted) {
    const HostId leader = Leader();
    if (leader.empty()) return;
    m_hosts.at(leader).replica->Propose(
        std::vector<wire::CommandT>(1),
        [accepted](ErrorKind error, const auto&) {
          if (error == ErrorKind::kNone) ++*accepted;
        });
  }

  // Whether any replica has the plan's replica among its members.
  bool AddedReplicaIsMember() const {
    return std::ranges::any_of(m_hosts, [](const auto& entry) {
      const auto& replica = entry.second.replica;
      return replica && replication::FindMember(replica->GetNode().Members(),
                                                kAddedReplica) != nullptr;
    });
  }

  HostId Leader() const {
    for (const auto& [name, host] : m_hosts)
      if (host.replica && host.replica->Leads()) return name;
    return "";
  }
  ControlReplica& Find(const HostId& name) { return *m_hosts.at(name).replica; }
  // Number of commands applied to this replica's state.
  uint64_t CommandsAt(const HostId& name) {
    return dynamic_cast<const CountingState&>(Find(name).GetState()).Commands();
  }
  // Number of terms in which a replica has led.
  uint64_t Elections() const { return m_terms_led.size(); }
  // Number of leadership callbacks of replicas that could act as leader.
  uint64_t LeadershipNotifications() const {
    return m_leadership_notifications;
  }
  // Number of hellos sent between running replicas.
  uint64_t Hellos() const { return m_hellos; }
  ControlReplicaOptions& Options() { return m_options; }
  SimulatedTime& Time() { return m_time; }

 private:
  static constexpr Duration kLatency = 1ms;
  static constexpr Duration kRetryInterval = 100ms;
  static constexpr uint64_t kCommandsAtOnce = 4;

  struct Host {
    SimulatedDisk disk;
    std::unique_ptr<HostLoop> loop;
    std::unique_ptr<ControlReplica> replica;  // null: not running
    bool cut = false;
  };

  bool AreConnected(const HostId& one, const HostId& other) const {
    return IsRunning(one) && IsRunning(other) &&
           m_hosts.at(one).cut == m_hosts.at(other).cut;
  }

  static std::vector<uint8_t> BatchOf(wire::CommandT command) {
    wire::CommandBatchT batch;
    batch.commands.push_back(
        std::make_unique<wire::CommandT>(std::move(command)));
    const std::string payload = EncodeBatch(batch);
    return {payload.begin(), payload.end()};
  }

  void AppendToLogs(const std::vector<uint8_t>& payload,
                    wire::LogEntryKind kind) {
    for (auto& [name, host] : m_hosts) {
      wire::LogEntryT entry;
      entry.index = host.disk.log.entries.back().index + 1;
      entry.term = 1;
      entry.kind = kind;
      entry.payload = payload;
      host.disk.log.entries.push_back(std::move(entry));
    }
  }

  ControlReplicaCallbacks CallbacksOf(const HostId& name) {
    ControlReplicaCallbacks callbacks;
    callbacks.send = [this, name](const HostId& to, const wire::FrameT& frame) {
      Send(name, to, frame);
    };
    callbacks.control_hosts = [this, name] {
      std::vector<HostId> others;
      for (const auto& [other, host] : m_hosts)
        if (other != name && AreConnected(name, other)) others.push_back(other);
      return others;
    };
    callbacks.on_leadership_changed = [this, name] {
      const auto& replica = m_hosts.at(name).replica;
      if (!replica) return;
      if (replica->Leads()) ++m_leadership_notifications;
      if (replica->GetNode().Role() == replication::NodeRole::kLeader)
        m_terms_led.insert(replica->GetNode().Term());
    };
    return callbacks;
  }

  static int64_t LogKib(const wire::FrameT& frame) {
    size_t bytes = 0;
    if (const wire::AppendRequestT* append = frame.body.AsAppendRequest())
      for (const auto& entry : append->entries) bytes += entry->payload.size();
    return static_cast<int64_t>(bytes >> 10);
  }

  void Send(const HostId& from, const HostId& to, const wire::FrameT& frame) {
    const auto target = m_hosts.find(to);
    if (target == m_hosts.end() || !AreConnected(from, to)) return;
    HostLoop* loop = target->second.loop.get();
    if (frame.body.AsReplicaHello() != nullptr) ++m_hellos;
    HostLoop& sender_loop = *m_hosts.at(from).loop;
    sender_loop.Spend(m_costs.sent_kib * LogKib(frame));
    const Instant arrival = sender_loop.Now() + kLatency;
    m_time.Add(arrival, loop, [this, from, to, loop, frame] {
      loop->Spend(m_costs.frame);
      peers::PeerInfo sender;
      sender.run.host = from;
      m_hosts.at(to).replica->OnFrame(sender, frame);
    });
  }

  void ConfirmReadOnAll(const std::shared_ptr<bool>& done) {
    if (*done) return;
    for (auto& [name, host] : m_hosts) {
      if (!host.replica) continue;
      host.replica->ConfirmedRead([done](ErrorKind error) {
        *done = *done || error == ErrorKind::kNone;
      });
    }
    m_time.Add(m_time.Now() + kRetryInterval, nullptr,
               [this, done] { ConfirmReadOnAll(done); });
  }

  void ProposeUntilAccepted(const std::shared_ptr<uint64_t>& accepted) {
    const HostId leader = Leader();
    const auto again = [this, accepted] {
      m_time.Add(m_time.Now() + kRetryInterval, nullptr,
                 [this, accepted] { ProposeUntilAccepted(accepted); });
    };
    if (leader.empty()) return again();
    std::vector<wire::CommandT> commands(1);
    m_hosts.at(leader).replica->Propose(
        std::move(commands), [again, accepted](ErrorKind error, const auto&) {
          if (error != ErrorKind::kNone) return again();
          ++*accepted;
        });
  }

  WorkCosts m_costs;
  ControlReplicaOptions m_options;
  SimulatedTime m_time;
  wire::MembershipT m_members;
  std::map<HostId, Host> m_hosts;
  ReplicaId m_last_replica = 0;
  std::mt19937_64 m_seeds;  // one for each start of a replica
  std::set<uint64_t> m_terms_led;
  uint64_t m_leadership_notifications = 0;
  uint64_t m_hellos = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_SIMULATION_H_
