#ifndef DOTTERELSHIFT_APP_REPLICA_PUMP_H_
#define DOTTERELSHIFT_APP_REPLICA_PUMP_H_

// One iteration of a replica: takes proposals, sends messages, writes the log
// and applies entries.

#include <algorithm>  // for max, move
#include <iterator>   // for back_inserter

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {

// A batch is applied without interruption, and all batches of an iteration
// share one sync: small batches cost little and keep loop iterations short.
inline constexpr size_t kMaxCommandsPerBatch = 64;

// Time for applying committed entries in one loop iteration: well below the
// heartbeat interval, so that a replica with a long backlog still sends and
// answers messages.
inline constexpr Duration kMaxApplyTime = 40ms;

// Apply time in one loop iteration from which it is logged.
inline constexpr Duration kLongWorkThreshold = 100ms;

inline bool IsEmpty(const replication::Ready& ready) {
  return !ready.HasWrites() && ready.messages.empty() &&
         ready.committed.empty() && ready.reads_confirmed.empty() &&
         !ready.leadership_changed;
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::Propose(std::vector<wire::CommandT> commands,
                               ProposalCallback callback) {
  m_proposals.Add(std::move(commands), std::move(callback));
  SchedulePump();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::ConfirmedRead(std::function<void(ErrorKind)> callback) {
  m_new_reads.push_back(std::move(callback));
  SchedulePump();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnFrame(const peers::PeerInfo& from,
                               const wire::FrameT& frame) {
  if (const wire::ReplicaHelloT* hello = frame.body.AsReplicaHello())
    return OnHello(from.run.host, *hello);
  if (const wire::ProposeAnswersT* answers = frame.body.AsProposeAnswers()) {
    std::vector<wire::CommandAnswerT> copies;
    for (const auto& answer : answers->answers) copies.push_back(*answer);
    return OnSpoolAnswers(copies);
  }
  const ReplicaId sender = replication::SenderOf(frame);
  // A replica that cannot write must not acknowledge entries.
  if (sender == 0 || m_storage_error != ErrorKind::kNone) return;
  m_hosts[sender] = from.run.host;
  if (m_membership_repair)
    m_membership_repair->OnMessageFrom(sender, m_loop.Now());
  try {
    m_node->OnMessage(frame, m_loop.Now());
  } catch (const Error& error) {
    return OnStorageError(error);
  }
  SchedulePump();
}

// Runs the pump in the next loop iteration, so that the frames and proposals of
// one iteration are written together.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::SchedulePump() {
  if (std::exchange(m_pump_scheduled, true)) return;
  m_pump.ArmIn(Duration::zero());
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::Pump() {
  m_pump_scheduled = false;
  m_pump.Cancel();
  try {
    PumpOnce();
    MaybeSnapshot();
  } catch (const Error& error) {
    OnStorageError(error);
  }
  ArmNodeTimer();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::PumpOnce() {
  // The node timer is rearmed at the end of each iteration, behind the next
  // pump. Under steady load it would never fire, and no heartbeat would be
  // sent.
  m_node->OnTimer(m_loop.Now());
  if (m_unwritten) FinishWrite();
  FlushProposals();
  const Instant until = m_loop.Now() + kMaxApplyTime;
  while (!m_unwritten) {
    ApplyQueued(until);
    Ready ready = m_node->TakeReady(
        m_unapplied.empty() ? replication::kMaxCommittedBytes : 0);
    if (IsEmpty(ready)) break;
    const bool messages = !ready.messages.empty();
    SendMessages(ready);
    if (!ready.install) QueueCommitted(ready);
    ApplyQueued(until);
    if (ready.leadership_changed) OnLeadershipChanged();
    if (!ready.HasWrites()) continue;
    m_unwritten = std::move(ready);
    // The messages leave at the end of this iteration. The log is written in
    // the next one, while they are in transit.
    if (messages) return SchedulePump();
    FinishWrite();
  }
  if (!m_unapplied.empty()) SchedulePump();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::FlushProposals() {
  if (m_storage_error != ErrorKind::kNone) return FailAll(m_storage_error);
  if (m_node->Role() != NodeRole::kLeader) {
    if (m_proposals.HasUnbatched() || !m_new_reads.empty())
      FailAll(NotLeaderReason());
    return;
  }
  const Instant now = m_loop.Now();
  for (Proposals::Batch& batch :
       m_proposals.TakeUnbatched(kMaxCommandsPerBatch)) {
    m_last_stamp =
        std::max({m_last_stamp, m_state->LastStamp(), m_loop.WallNow()});
    batch.content.stamp_ms = m_last_stamp;
    const auto index = m_node->Propose(EncodeBatch(batch.content), now);
    m_proposals.OnProposed(*index, m_node->Term(), std::move(batch));
  }
  for (auto& callback : std::exchange(m_new_reads, {}))
    m_reads.emplace(*m_node->ConfirmLeadership(now), std::move(callback));
  ProposeMemberChange();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::ProposeMemberChange() {
  // A later entry of the log may already have made the requested change.
  if (!HasCaughtUp()) return;
  const std::optional<MemberChange> change = m_member_changes.Next();
  if (change)
    m_node->ProposeMember(change->replica, change->remove, m_loop.Now());
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::SendMessages(Ready& ready) {
  for (const auto& [id, frame] : ready.messages) {
    const HostId host = HostOf(id);
    if (!host.empty()) m_callbacks.send(host, frame);
  }
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::FinishWrite() {
  m_store->Write(*m_unwritten);
  Ready ready = std::move(*m_unwritten);
  m_unwritten.reset();
  if (ready.install) m_log_bytes = 0;
  for (const wire::LogEntryT& entry : ready.append)
    m_log_bytes += entry.payload.size();
  if (ready.install) {
    InstallSnapshot(ready.install->first, ready.install->second);
    QueueCommitted(ready);
  }
  m_node->OnSynced(m_loop.Now());
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::QueueCommitted(Ready& ready) {
  std::move(ready.committed.begin(), ready.committed.end(),
            std::back_inserter(m_unapplied));
  ready.committed.clear();
  m_confirmed_reads.insert(m_confirmed_reads.end(),
                           ready.reads_confirmed.begin(),
                           ready.reads_confirmed.end());
}

// Applies queued entries until `until`. A replica that applied its whole log at
// the start without a break would meanwhile receive no votes and send no
// heartbeats, and a new leader would lose its lease.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::ApplyQueued(Instant until) {
  const Instant start = m_loop.Now();
  const uint64_t from = m_applied.last_index;
  uint64_t bytes = 0;
  while (!m_unapplied.empty() && m_loop.Now() < until) {
    const wire::LogEntryT entry = std::move(m_unapplied.front());
    m_unapplied.pop_front();
    bytes += entry.payload.size();
    ApplyEntry(entry);
  }
  const Duration took = m_loop.Now() - start;
  m_snapshots->OnApplied(bytes, took);
  if (took >= kLongWorkThreshold)
    telemetry::Log(telemetry::LogLevel::kInfo, "entries_applied",
                   {{"entries", std::to_string(m_applied.last_index - from)},
                    {"to_index", std::to_string(m_applied.last_index)},
                    {"commit_index", std::to_string(m_node->Commit())},
                    {"took_ms", std::to_string(ToMs(took))}});
  if (m_unapplied.empty()) AnswerReads(std::exchange(m_confirmed_reads, {}));
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::ApplyEntry(const wire::LogEntryT& entry) {
  m_applied.last_index = entry.index;
  m_applied.last_term = entry.term;
  if (entry.kind == wire::LogEntryKind::Membership) {
    m_applied.membership = replication::DecodeMembership(entry.payload);
    m_member_changes.OnMembershipCommitted(m_applied.membership);
  }
  std::optional<Proposals::Batch> own =
      m_proposals.TakeCommitted(entry.index, entry.term);
  if (m_leads && entry.index == m_node->TermStart()) NotifyLeadership();
  if (entry.kind != wire::LogEntryKind::Batch) return;
  const wire::CommandBatchT decoded =
      own ? wire::CommandBatchT() : DecodeBatch(entry.payload);
  const wire::CommandBatchT& batch = own ? own->content : decoded;
  const uint64_t version = m_state->GetConfiguration().Version();
  const auto answers = m_state->Apply(batch);
  m_member_changes.OnApplied(batch, answers, *m_state, version);
  if (m_callbacks.on_applied) m_callbacks.on_applied(batch, answers);
  if (own) Proposals::Answer(*own, answers);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::AnswerReads(const std::vector<uint64_t>& tokens) {
  for (const uint64_t token : tokens) {
    const auto read = m_reads.find(token);
    if (read == m_reads.end()) continue;
    const auto callback = std::move(read->second);
    m_reads.erase(read);
    callback(ErrorKind::kNone);
  }
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnLeadershipChanged() {
  const bool leads = m_node->Role() == NodeRole::kLeader;
  if (std::exchange(m_leads, leads) && !leads) FailAll(NotLeaderReason());
  NotifyLeadership();
  SendSpool();
}

// Called at an election, and again once the new leader may act on its state.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::NotifyLeadership() {
  if (m_callbacks.on_leadership_changed) m_callbacks.on_leadership_changed();
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::FailAll(ErrorKind error) {
  m_proposals.FailAll(error);
  const auto reads = std::exchange(m_reads, {});
  const auto new_reads = std::exchange(m_new_reads, {});
  for (const auto& [token, callback] : reads) callback(error);
  for (const auto& callback : new_reads) callback(error);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::ArmNodeTimer() {
  if (m_storage_error == ErrorKind::kNone)
    m_node_timer.ArmAt(m_node->NextTimer());
  else
    m_node_timer.Cancel();
}

// A full disk may get free space, so the write is retried. Until then the
// replica stays silent, so that another one leads. Other storage errors last
// until a restart.
template <ReplicaRuntime Runtime>
void Replica<Runtime>::OnStorageError(const Error& error) {
  m_storage_error = error.Kind();
  FailAll(m_storage_error);
  NotifyLeadership();
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_PUMP_H_
