#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_CONTROL_HOST_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_CONTROL_HOST_H_

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/budget/recall_core.h"  // for RecallCore
#include "dotterelshift/replication/node.h"    // for Node
#include "dotterelshift/state/state.h"         // for State
#include "scenarios/network.h"                 // for Network
#include "scenarios/records.h"                 // for Records

namespace dotterelshift::scenarios {

class ControlHost;

// Connects a control host to the rest of the simulated fleet.
struct ControlLinks {
  Network* network = nullptr;
  Records* records = nullptr;
  std::function<std::vector<ControlHost*>()> controls;
  // Sends the answer to a command to the host named in the command's id.
  std::function<void(const std::string& from, const wire::CommandAnswerT&)>
      answer;
  // Sends a holder the leader's request to return idle tokens.
  std::function<void(const std::string& from, const HostId& holder,
                     const wire::RecallT&)>
      recall;
};

// One control replica: the real replication node and state over a simulated
// disk that survives kills.
class ControlHost {
 public:
  ControlHost(std::string name, ReplicaId replica, ControlLinks links);

  const std::string& Name() const { return m_name; }
  ReplicaId Replica() const { return m_replica; }
  bool Alive() const { return m_node != nullptr; }
  bool Leads() const;
  const state::State& GetState() const { return *m_state; }
  const replication::Node& GetNode() const { return *m_node; }

  void StartGroup(const wire::MembershipT& members);
  void Start();
  void Kill();
  // Kills the replica and erases its disk. The next start is that of a new,
  // empty replica with the given id.
  void Wipe(ReplicaId replica);

  void Tick();
  void Propose(std::vector<wire::CommandT> commands);
  void Spool(const wire::CommandT& command);
  void OnHeartbeat(const HostId& entry, const wire::EntryBeatT& heartbeat);
  void ProposeMember(const wire::ReplicaT& replica, bool remove);
  // Calls back once a quorum has confirmed that this replica leads. If that
  // does not happen, the callback is never called.
  void ConfirmedRead(std::function<void()> callback);

 private:
  struct Disk {
    replication::RestoredLog log;
    std::string snapshot;
    std::vector<wire::CommandT> spool;
  };
  ControlHost* FindReplica(ReplicaId replica) const;
  void ForwardSpool();
  void Pump();
  void ProposePending();
  bool Execute(const replication::Ready& ready);
  void Write(const replication::Ready& ready);
  void Apply(const wire::LogEntryT& entry);
  void AnswerAll(const wire::CommandBatchT& batch,
                 const std::vector<wire::CommandAnswerT>& answers);
  void RecallFor(const wire::CommandT& command,
                 const wire::CommandAnswerT& answer);
  void MakeSnapshot();

  std::string m_name;
  ReplicaId m_replica;
  ControlLinks m_links;
  Disk m_disk;
  std::unique_ptr<replication::Node> m_node;
  std::unique_ptr<state::State> m_state;
  budget::RecallCore m_recall;
  uint64_t m_applied = 0;
  uint64_t m_starts = 0;
  Instant m_spool_forward_due{};
  std::vector<wire::CommandT> m_pending_commands;
  std::map<uint64_t, std::function<void()>> m_reads;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_CONTROL_HOST_H_
