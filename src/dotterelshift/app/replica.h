#ifndef DOTTERELSHIFT_APP_REPLICA_H_
#define DOTTERELSHIFT_APP_REPLICA_H_

#include <concepts>    // for constructible_from, same_as
#include <cstdint>     // for uint64_t
#include <deque>       // for deque
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <string>      // for to_string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/app/control_replica.h"           // for ControlReplica
#include "dotterelshift/app/member_changes.h"            // for MemberChanges
#include "dotterelshift/app/member_log.h"                // for MemberLog
#include "dotterelshift/app/proposals.h"                 // for Proposals
#include "dotterelshift/app/spool_sender.h"              // for SpoolSender
#include "dotterelshift/replication/bootstrap.h"         // for MakeInitialLog
#include "dotterelshift/replication/member_discovery.h"  // for MemberDiscovery
#include "dotterelshift/replication/member_keeper.h"     // for MembershipRepair
#include "dotterelshift/replication/membership.h"        // for FindMember
#include "dotterelshift/replication/messages.h"          // for SenderOf
#include "dotterelshift/replication/snapshot_policy.h"   // for SnapshotPolicy
#include "dotterelshift/telemetry/log.h"                 // for Log

namespace dotterelshift::app {

// The environment of a replica: an event loop with a clock, timers, a log store
// and the replicated state. The daemon uses LiveRuntime. Tests may use a
// simulated clock, with a store and a state whose operations take simulated
// time.
template <typename R>
concept ReplicaRuntime = std::constructible_from<
    typename R::Timer, typename R::Loop&, std::function<void()>> &&
    requires(typename R::Loop& loop, typename R::Timer& timer,
             const storage::LogStoreOptions& store,
             const state::StateOptions& state) {
  { loop.Now() } -> std::same_as<Instant>;
  { loop.WallNow() } -> std::same_as<WallMs>;
  timer.ArmAt(Instant{});
  timer.ArmIn(Duration{});
  timer.Cancel();
  R::OpenStore(loop, store).first->LogBytes();
  R::MakeState(loop, state)->LastStamp();
};

// The replica behind MakeControlReplica(). Its member functions are defined in
// replica_start.h, replica_pump.h, replica_snapshot.h and replica_spool.h.
template <ReplicaRuntime Runtime>
class Replica final : public ControlReplica {
 public:
  using Loop = typename Runtime::Loop;
  using Timer = typename Runtime::Timer;

  Replica(Loop& loop, const ControlReplicaOptions& options,
          ControlReplicaCallbacks callbacks);

  void Propose(std::vector<wire::CommandT> commands,
               ProposalCallback callback) override;
  void ConfirmedRead(std::function<void(ErrorKind)> callback) override;
  void Spool(const wire::SpoolT& spool) override;

  const state::State& GetState() const override { return *m_state; }
  const replication::Node& GetNode() const override { return *m_node; }
  ReplicaLoad Load() const override {
    return {m_proposals.CountUnbatched(),
            m_proposals.CountPending(),
            m_reads.size() + m_new_reads.size(),
            m_log_bytes,
            m_snapshots->SnapshotBytes(),
            m_node->Commit() - m_applied.last_index,
            m_hellos,
            replication::VoterCount(m_node->Members()),
            ConnectedVoters()};
  }
  bool Leads() const override {
    return m_storage_error == ErrorKind::kNone && HasCaughtUp() &&
           m_loop.Now() < m_node->LeaseUntil();
  }
  HostId LeaderHost() const override { return HostOf(m_node->Leader()); }
  std::vector<wire::ReplicaT> WaitingReplicas() const override {
    return m_discovery->Waiting(m_node->Members(), m_loop.Now());
  }
  ErrorKind StorageError() const override { return m_storage_error; }
  void OnFrame(const peers::PeerInfo& from, const wire::FrameT& frame) override;

 private:
  using NodeRole = replication::NodeRole;
  using Ready = replication::Ready;

  // Start, discovery and membership repair.
  void Restore(storage::OpenedStore opened);
  void LogOpened(Instant start) const;
  replication::GroupView View() const { return GroupViewOf(*m_node); }
  void OnHousekeeping();
  void RepairMembership();
  void ProposeRepair(Instant now);
  void SendHello(const HostId& host, bool answer_wanted);
  void OnHello(const HostId& from, const wire::ReplicaHelloT& hello);
  void TryBootstrap();

  // One iteration: takes proposals, sends messages, writes the log and applies
  // entries.
  void SchedulePump();
  void Pump();
  void PumpOnce();
  void FlushProposals();
  void ProposeMemberChange();
  void SendMessages(Ready& ready);
  void FinishWrite();
  void QueueCommitted(Ready& ready);
  void ApplyQueued(Instant until);
  void ApplyEntry(const wire::LogEntryT& entry);
  void AnswerReads(const std::vector<uint64_t>& tokens);
  void OnLeadershipChanged();
  void NotifyLeadership();
  void FailAll(ErrorKind error);
  void InstallSnapshot(const replication::SnapshotMeta& meta,
                       const std::string& bytes);
  void MaybeSnapshot();
  void LogSnapshot(std::string_view event, Instant start) const;
  void ArmNodeTimer();
  void OnStorageError(const Error& error);

  void SendSpool();
  void OnSpoolAnswers(const std::vector<wire::CommandAnswerT>& answers);

  HostId HostOf(ReplicaId id) const;
  // The voters whose daemons are connected, this one included.
  size_t ConnectedVoters() const;
  // A leader that has not applied the entries accepted by its predecessors
  // would act on outdated state.
  bool HasCaughtUp() const {
    return m_applied.last_index >= m_node->TermStart();
  }
  // Milliseconds between an instant and now.
  int64_t MsSince(Instant start) const { return ToMs(m_loop.Now() - start); }
  ErrorKind NotLeaderReason() const {
    return m_node->Leader() == 0 ? ErrorKind::kNoQuorum : ErrorKind::kNotLeader;
  }

  Loop& m_loop;
  const ControlReplicaOptions m_options;
  const ControlReplicaCallbacks m_callbacks;

  std::unique_ptr<storage::LogStore> m_store;
  std::unique_ptr<state::State> m_state;
  std::unique_ptr<replication::Node> m_node;
  ReplicaId m_self = 0;
  replication::SnapshotMeta m_applied;
  uint64_t m_log_bytes = 0;  // since the last snapshot
  WallMs m_last_stamp = 0;
  ErrorKind m_storage_error = ErrorKind::kNone;

  std::optional<replication::SnapshotPolicy> m_snapshots;  // once restored
  std::optional<Ready> m_unwritten;
  std::deque<wire::LogEntryT> m_unapplied;  // committed
  std::vector<uint64_t> m_confirmed_reads;  // until m_unapplied is empty
  bool m_leads = false;
  Proposals m_proposals;
  std::vector<std::function<void(ErrorKind)>> m_new_reads;
  std::map<uint64_t, std::function<void(ErrorKind)>> m_reads;  // by token
  MemberChanges m_member_changes;
  SpoolSender m_spool;
  int m_ticks = 0;
  uint64_t m_hellos = 0;  // received

  std::optional<replication::MembershipRepair>
      m_membership_repair;  // with self_healing
  MemberLog m_member_log;
  std::optional<replication::MemberDiscovery> m_discovery;  // once restored
  std::map<ReplicaId, HostId> m_hosts;                      // senders seen

  bool m_pump_scheduled = false;
  Timer m_pump;
  Timer m_node_timer;
  Timer m_housekeeping;
};

}  // namespace dotterelshift::app

#include "dotterelshift/app/replica_pump.h"      // IWYU pragma: export
#include "dotterelshift/app/replica_snapshot.h"  // IWYU pragma: export
#include "dotterelshift/app/replica_spool.h"     // IWYU pragma: export
#include "dotterelshift/app/replica_start.h"     // IWYU pragma: export

#endif  // DOTTERELSHIFT_APP_REPLICA_H_
