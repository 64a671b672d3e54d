#ifndef DOTTERELSHIFT_APP_CONTROL_REPLICA_H_
#define DOTTERELSHIFT_APP_CONTROL_REPLICA_H_

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/error.h"                   // for ErrorKind
#include "dotterelshift/loop/loop.h"                    // for Loop
#include "dotterelshift/peers/hub.h"                    // for PeerInfo
#include "dotterelshift/replication/node.h"             // for NodeOptions
#include "dotterelshift/replication/snapshot_policy.h"  // for SnapshotPolicyOptions
#include "dotterelshift/state/state.h"                  // for State
#include "dotterelshift/storage/log_store.h"            // for LogStoreOptions

namespace dotterelshift::app {

struct ControlReplicaOptions {
  replication::NodeOptions node;
  storage::LogStoreOptions store;
  state::StateOptions state;
  // Hosts of the first members: used only while the folder is fresh. A group is
  // founded when all of them are there and fresh; after that a fresh folder
  // waits, and says its id to these hosts, until an operator's plan adds it.
  std::vector<std::string> first_members;
  HostId self;
  std::string self_address;
  replication::SnapshotPolicyOptions snapshot;
  // The leader adds replicas that wait, and replaces members that are lost,
  // without a plan.
  bool self_healing = false;
};

// Answers to one Propose(), in the order of its commands; or the reason why
// none was accepted. kNotLeader and kNoQuorum from here mean "not accepted as
// far as this replica knows": the same ids may be proposed again elsewhere.
using ProposalCallback = std::function<void(
    ErrorKind error, std::vector<wire::CommandAnswerT> answers)>;

// How much a replica has in hand.
struct ReplicaLoad {
  size_t unbatched_commands = 0;  // not yet in a batch
  size_t pending_commands = 0;    // in batches that are not committed
  size_t unconfirmed_reads = 0;   // for a quorum's word that this replica leads
  uint64_t log_bytes = 0;         // in memory, since the last snapshot
  uint64_t snapshot_bytes = 0;
  uint64_t unapplied_entries = 0;  // committed, not yet in the state
  uint64_t hellos = 0;  // from other replicas, since this one's start
};

// Drives one replica: node, files and state together on the loop. Proposals of
// one turn of the loop are committed as one batch with one sync.
class ControlReplica {
 public:
  virtual ~ControlReplica() = default;

  virtual void Propose(std::vector<wire::CommandT> commands,
                       ProposalCallback callback) = 0;
  // Calls back with kNone once a quorum has confirmed that this replica leads
  // and all that was committed before the call is applied; else with kNotLeader
  // or kNoQuorum.
  virtual void ConfirmedRead(std::function<void(ErrorKind)> callback) = 0;
  // A settlement handed over by an entry that cannot reach the leader; durable
  // when this returns. Proposed to the leader as soon as there is one, then
  // dropped. Throws Error of a storage kind.
  virtual void Spool(const wire::SpoolT& spool) = 0;

  virtual const state::State& GetState() const = 0;
  virtual const replication::Node& GetNode() const = 0;
  virtual ReplicaLoad Load() const { return {}; }
  virtual bool Leads() const = 0;         // inside its lease
  virtual HostId LeaderHost() const = 0;  // empty: not known
  // Replicas that wait to be added by a plan: they said hello and are in no
  // group.
  virtual std::vector<wire::ReplicaT> WaitingReplicas() const { return {}; }
  // Why this replica takes no part at present: kStorageFull (tried again each
  // second), kStorageFailed or kStorageDamaged (until a restart); else kNone.
  virtual ErrorKind StorageError() const { return ErrorKind::kNone; }

  // A frame between replicas that came in by the hub, and ProposeAnswers to
  // what this replica proposed from its spool.
  virtual void OnFrame(const peers::PeerInfo& from,
                       const wire::FrameT& frame) = 0;
};

struct ControlReplicaCallbacks {
  // Sends to another replica's host; a failure to send is a lost message.
  std::function<void(const HostId& host, const wire::FrameT& frame)> send;
  // A committed batch has been applied (also while catching up).
  std::function<void(const wire::CommandBatchT& batch,
                     const std::vector<wire::CommandAnswerT>& answers)>
      on_applied;
  // The leader or the term changed, or a new leader has applied all that was
  // accepted before its term, so that Leads() holds.
  std::function<void()> on_leadership_changed;
  // Control hosts that are connected: whom a replica outside of any group, or
  // one that hears no leader, tells of itself. Only with self_healing.
  std::function<std::vector<HostId>()> control_hosts;
  // Addresses of the group's replicas, as another replica named them.
  std::function<void(const std::vector<std::string>&)> on_members_received;
};

std::unique_ptr<ControlReplica> MakeControlReplica(
    loop::Loop& loop, const ControlReplicaOptions& options,
    ControlReplicaCallbacks callbacks);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_CONTROL_REPLICA_H_
