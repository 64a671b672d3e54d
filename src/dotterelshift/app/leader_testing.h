#ifndef DOTTERELSHIFT_SRC_APP_LEADER_TESTING_H_
#define DOTTERELSHIFT_SRC_APP_LEADER_TESTING_H_

// A control replica that always leads; for tests only.

#include <cstddef>     // for size_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/app/control_replica.h"    // for ControlReplica
#include "dotterelshift/replication/bootstrap.h"  // for MakeInitialLog
#include "dotterelshift/state/state.h"            // for MakeState

namespace dotterelshift::app {

// A replica that always leads, with a real state, in a group of `voters`.
class MockReplica : public ControlReplica {
 public:
  explicit MockReplica(size_t voters = 1) {
    wire::MembershipT members;
    for (size_t id = 1; id <= voters; ++id) {
      auto voter = std::make_unique<wire::ReplicaT>();
      voter->id = id;
      voter->voter = true;
      members.replicas.push_back(std::move(voter));
    }
    m_node =
        replication::MakeNode({}, replication::MakeInitialLog(1, members), {});
  }
  void Propose(std::vector<wire::CommandT>, ProposalCallback) override {}
  void ConfirmedRead(std::function<void(ErrorKind)>) override {}
  void Spool(const wire::SpoolT&) override {}
  const state::State& GetState() const override { return *state; }
  const replication::Node& GetNode() const override { return *m_node; }
  bool Leads() const override { return true; }
  HostId LeaderHost() const override { return "control"; }
  void OnFrame(const peers::PeerInfo&, const wire::FrameT&) override {}

  std::unique_ptr<state::State> state = state::MakeState();

 private:
  std::unique_ptr<replication::Node> m_node;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_LEADER_TESTING_H_
