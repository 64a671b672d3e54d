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
  // Hosts of the initial members; used only while the data folder is empty. The
  // group is bootstrapped once all of them are running with empty folders.
  // Afterwards a replica with an empty folder announces its id to these hosts
  // and waits until an operator's plan adds it.
  std::vector<std::string> first_members;
  HostId self;
  std::string self_address;
  replication::SnapshotPolicyOptions snapshot;
  // The leader adds waiting replicas and replaces lost members without an
  // operator's plan.
  bool self_healing = false;
};

// Receives the answers to one Propose() in the order of its commands, or the
// error for which none was accepted. kNotLeader and kNoQuorum mean that this
// replica does not know whether the commands were accepted: the same ids may be
// proposed again to another replica.
using ProposalCallback = std::function<void(
    ErrorKind error, std::vector<wire::CommandAnswerT> answers)>;

// Pending work and stored bytes of a replica.
struct ReplicaLoad {
  size_t unbatched_commands = 0;  // not yet in a batch
  size_t pending_commands = 0;    // in batches that are not committed
  size_t unconfirmed_reads = 0;   // awaiting confirmation by a quorum
  uint64_t log_bytes = 0;         // in memory, since the last snapshot
  uint64_t snapshot_bytes = 0;
  uint64_t unapplied_entries = 0;  // committed, not yet applied to the state
  uint64_t hellos = 0;          // received from other replicas since the start
  size_t voters = 0;            // of the group, as far as this replica knows it
  size_t connected_voters = 0;  // of these; this replica included
};

// Drives the node, the storage and the state of one replica on the event loop.
// Proposals of one loop iteration are written in bounded batches with one sync.
class ControlReplica {
 public:
  virtual ~ControlReplica() = default;

  virtual void Propose(std::vector<wire::CommandT> commands,
                       ProposalCallback callback) = 0;
  // Calls back with kNone once a quorum has confirmed that this replica leads
  // and all entries committed before the call are applied. Otherwise calls back
  // with kNotLeader, kNoQuorum or the storage error of StorageError().
  virtual void ConfirmedRead(std::function<void(ErrorKind)> callback) = 0;
  // Stores a settlement from an entry that cannot reach the leader; it is
  // durable when this returns. It is proposed once a leader is known and
  // dropped once answered. Throws Error of a storage kind.
  virtual void Spool(const wire::SpoolT& spool) = 0;

  virtual const state::State& GetState() const = 0;
  virtual const replication::Node& GetNode() const = 0;
  virtual ReplicaLoad Load() const { return {}; }
  virtual bool Leads() const = 0;         // inside its lease
  virtual HostId LeaderHost() const = 0;  // empty: unknown
  // Replicas that have sent a hello, are in no group, and wait to be added.
  virtual std::vector<wire::ReplicaT> WaitingReplicas() const { return {}; }
  // The storage error that keeps this replica out of the group: kStorageFull
  // (retried each second), kStorageFailed or kStorageDamaged (both last until a
  // restart). kNone if it takes part.
  virtual ErrorKind StorageError() const { return ErrorKind::kNone; }

  // Handles a frame received from another replica, or ProposeAnswers to
  // commands that this replica proposed from its spool.
  virtual void OnFrame(const peers::PeerInfo& from,
                       const wire::FrameT& frame) = 0;
};

struct ControlReplicaCallbacks {
  // Sends to another replica's host. A failed send counts as a lost message.
  std::function<void(const HostId& host, const wire::FrameT& frame)> send;
  // Called after a committed batch has been applied, also while catching up.
  std::function<void(const wire::CommandBatchT& batch,
                     const std::vector<wire::CommandAnswerT>& answers)>
      on_applied;
  // Called when the leader or the term has changed, and when a new leader has
  // applied all entries accepted before its term, so that Leads() can hold.
  std::function<void()> on_leadership_changed;
  // Returns the connected control hosts. A replica that is in no group or knows
  // no leader sends them hellos. Only used with self_healing.
  std::function<std::vector<HostId>()> control_hosts;
  // Called with the addresses of the group's replicas that a hello contained.
  std::function<void(const std::vector<std::string>&)> on_members_received;
};

std::unique_ptr<ControlReplica> MakeControlReplica(
    loop::Loop& loop, const ControlReplicaOptions& options,
    ControlReplicaCallbacks callbacks);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_CONTROL_REPLICA_H_
