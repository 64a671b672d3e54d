#ifndef DOTTERELSHIFT_APP_REPLICA_GROUP_H_
#define DOTTERELSHIFT_APP_REPLICA_GROUP_H_

// A group of control replicas on one event loop that exchange frames directly;
// for tests only.

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <stdexcept>   // for runtime_error
#include <string>      // for string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/app/control_replica.h"    // for ControlReplica
#include "dotterelshift/base/temporary_folder.h"  // for TemporaryFolder
#include "dotterelshift/state/state_testing.h"    // for PlanOf

namespace dotterelshift::app {

class ReplicaGroup {
 public:
  explicit ReplicaGroup(std::vector<HostId> first_members)
      : m_first_members(std::move(first_members)) {
    m_options.node.heartbeat = 25ms;
    m_options.node.min_election_timeout = 150ms;
    m_options.node.lease = 125ms;
  }

  // Starts a host's replica on its folder, which the first start creates.
  void Start(const HostId& host) {
    Host& started = m_hosts[host];
    if (!started.folder) started.folder = std::make_unique<TemporaryFolder>();
    ControlReplicaOptions options = m_options;
    options.store.folder = started.folder->Path();
    options.first_members = m_first_members;
    options.self = host;
    // As in daemons, each start has other election timeouts. With the same ones
    // a host that is started again and again may win each election.
    options.node.seed = ++m_starts;
    ControlReplicaCallbacks callbacks;
    callbacks.send = [this, host](const HostId& to, const wire::FrameT& frame) {
      Deliver(host, to, frame);
    };
    started.replica = MakeControlReplica(m_loop, options, std::move(callbacks));
  }

  // Stops a replica without a shutdown; its folder stays.
  void Kill(const HostId& host) { m_hosts[host].replica.reset(); }

  // Stops a replica and deletes its folder.
  void Wipe(const HostId& host) { m_hosts[host] = Host(); }

  // Partitions a host from the others, or reconnects it.
  void Cut(const HostId& host, bool cut) { m_hosts[host].cut = cut; }

  ControlReplica* Find(const HostId& host) {
    return m_hosts[host].replica.get();
  }

  // Number of frames that the host has sent.
  uint64_t FramesFrom(const HostId& host) { return m_hosts[host].frames; }

  // The host that leads within its lease; empty if there is none.
  HostId Leader() const {
    for (const auto& [name, host] : m_hosts)
      if (host.replica && !host.cut && host.replica->Leads()) return name;
    return "";
  }

  // Runs the loop until a host leads, and returns it. On a busy machine its
  // term may end at any time.
  HostId AwaitLeader() {
    RunUntil([this] { return !Leader().empty(); });
    return Leader();
  }

  // Runs the loop until the condition holds. Throws after 30 s, far more than
  // any test needs.
  void RunUntil(const std::function<bool()>& condition) {
    bool timed_out = false;
    loop::Timer guard(m_loop, [&] {
      timed_out = true;
      m_loop.Stop();
    });
    guard.ArmIn(30s);
    while (!condition()) {
      if (timed_out)
        throw std::runtime_error("condition not reached within 30 s");
      ev_run(m_loop.Raw(), EVRUN_ONCE);
    }
  }

  // Proposes to the leader, retrying as a caller does, until the commands are
  // accepted.
  std::vector<wire::CommandAnswerT> Accept(
      const std::vector<wire::CommandT>& commands) {
    std::vector<wire::CommandAnswerT> accepted;
    while (accepted.empty()) {
      RunUntil([this] { return !Leader().empty(); });
      bool called = false;
      Find(Leader())->Propose(commands, [&](ErrorKind error, auto answers) {
        called = true;
        if (error == ErrorKind::kNone) accepted = std::move(answers);
      });
      RunUntil([&] { return called; });
    }
    return accepted;
  }

  // Proposes and confirms a plan with these changes.
  wire::CommandAnswerT AcceptPlan(std::vector<wire::ChangeT> changes) {
    RunUntil([this] { return !Leader().empty(); });
    const uint64_t base =
        Find(Leader())->GetState().GetConfiguration().Version();
    const std::string id = "plan-" + std::to_string(++m_plans);
    std::vector<wire::CommandT> commands;
    commands.push_back(
        m_run.Command(state::PlanOf(id, base, "operator", std::move(changes))));
    commands.push_back(m_run.Command(state::ConfirmOf(id)));
    return Accept(commands).back();
  }

  // Whether all running replicas hold at least this configuration version.
  bool AllHave(uint64_t version) const {
    for (const auto& [name, host] : m_hosts) {
      const bool has =
          !host.replica ||
          host.replica->GetState().GetConfiguration().Version() >= version;
      if (!has) return false;
    }
    return true;
  }

  loop::Loop& GetLoop() { return m_loop; }
  ControlReplicaOptions& Options() { return m_options; }
  state::TestSender& Run() { return m_run; }

 private:
  struct Host {
    std::unique_ptr<TemporaryFolder> folder;
    std::unique_ptr<ControlReplica> replica;
    bool cut = false;
    uint64_t frames = 0;
  };

  void Deliver(const HostId& from, const HostId& to,
               const wire::FrameT& frame) {
    ++m_hosts[from].frames;
    const auto target = m_hosts.find(to);
    const bool reached = target != m_hosts.end() && target->second.replica &&
                         !target->second.cut && !m_hosts[from].cut;
    if (!reached) return;
    peers::PeerInfo sender;
    sender.run.host = from;
    target->second.replica->OnFrame(sender, frame);
  }

  loop::Loop m_loop;
  const std::vector<HostId> m_first_members;
  ControlReplicaOptions m_options;
  std::map<HostId, Host> m_hosts;
  state::TestSender m_run{nullptr, "operator", 1};
  int m_plans = 0;
  uint64_t m_starts = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_GROUP_H_
