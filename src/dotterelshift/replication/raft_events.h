#ifndef DOTTERELSHIFT_REPLICATION_RAFT_EVENTS_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_EVENTS_H_

// Event handlers of a replica, and the work that they produce for the driver.

#include <algorithm>   // for sort
#include <functional>  // for greater

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

template <typename Rules>
Raft<Rules>::Raft(const NodeOptions& options, RestoredLog restored, Instant now)
    : m_options(options),
      m_self(restored.self),
      m_random(options.seed ^ restored.self),
      m_hard_state(restored.hard_state),
      m_log(restored.snapshot, std::move(restored.entries)),
      // Before the restart, this replica may have promised its leader not to
      // vote for another candidate. It keeps that promise for one minimum
      // election timeout from now.
      m_last_leader_contact(now),
      m_next_heartbeat(now),
      m_commit(restored.snapshot.last_index),
      m_delivered(m_commit),
      m_written(m_log.LastIndex()),
      m_synced(m_log.LastIndex()) {
  ResetElectionDeadline(now);
  const bool alone = IsVoter(Members(), m_self) && VoterCount(Members()) == 1;
  if (alone) Campaign(now, false);
}

// Drops messages that are addressed to another replica: a host that has lost
// its data folder may still receive messages for its previous replica.
template <typename Rules>
void Raft<Rules>::OnMessage(const wire::FrameT& message, Instant now) {
  const auto addressed_to_self = [this](const auto* body) {
    return body != nullptr && body->to == m_self;
  };
  const wire::FrameBodyUnion& body = message.body;
  if (addressed_to_self(body.AsVoteRequest()))
    OnVoteRequest(*body.AsVoteRequest(), now);
  if (addressed_to_self(body.AsVoteReply()))
    OnVoteReply(*body.AsVoteReply(), now);
  if (addressed_to_self(body.AsAppendRequest()))
    OnAppendRequest(*body.AsAppendRequest(), now);
  if (addressed_to_self(body.AsAppendReply()))
    OnAppendReply(*body.AsAppendReply(), now);
  if (addressed_to_self(body.AsSnapshotPiece()))
    OnSnapshotPiece(*body.AsSnapshotPiece(), now);
  if (addressed_to_self(body.AsSnapshotReply()))
    OnSnapshotReply(*body.AsSnapshotReply(), now);
}

// A timer that fires late by more than a heartbeat means that this process was
// stalled. Messages from the others may still be unread, so the quorum check or
// election is postponed by one heartbeat, once.
template <typename Rules>
void Raft<Rules>::OnTimer(Instant now) {
  if (now < NextTimer()) return;
  const bool was_late =
      std::exchange(m_timer_late, now - NextTimer() > m_options.heartbeat);
  const bool late = m_timer_late && !was_late;
  if (m_role == NodeRole::kLeader) {
    if (!late) CheckQuorum(now);
    if (m_role != NodeRole::kLeader) return;
    m_next_heartbeat = now + m_options.heartbeat;
    for (auto& [id, progress] : m_progress) {
      progress.probe_sent = false;  // the message may have been lost
      progress.chunk_sent = false;
    }
    PromoteLearners(now);
    return StartRound(now);
  }
  if (late) {
    m_election_deadline = now + m_options.heartbeat;
    return;
  }
  if (IsVoter(Members(), m_self)) return Campaign(now, true);
  // The addition of this replica may have been lost together with the leader
  // that proposed it. If the replica kept that leader forever, it would never
  // ask to be added again.
  ForgetLeader(now);
}

template <typename Rules>
Instant Raft<Rules>::NextTimer() const {
  return m_role == NodeRole::kLeader ? m_next_heartbeat : m_election_deadline;
}

template <typename Rules>
void Raft<Rules>::OnSynced(Instant now) {
  m_sync_under_way = false;
  m_synced = std::min(m_written, m_log.LastIndex());
  for (auto& message : m_messages_awaiting_sync)
    m_messages.push_back(std::move(message));
  m_messages_awaiting_sync.clear();
  if (m_role == NodeRole::kCandidate) CountVotes(now);
  if (m_role == NodeRole::kLeader) AdvanceCommit(now);
}

template <typename Rules>
std::optional<uint64_t> Raft<Rules>::Propose(std::string payload, Instant) {
  if (m_role != NodeRole::kLeader) return std::nullopt;
  return AppendOwn(wire::LogEntryKind::Batch,
                   std::vector<uint8_t>(payload.begin(), payload.end()));
}

template <typename Rules>
std::optional<uint64_t> Raft<Rules>::ProposeMember(
    const wire::ReplicaT& replica, bool remove, Instant now) {
  if (!MayChangeMembers()) return std::nullopt;
  const wire::ReplicaT* member = FindMember(Members(), replica.id);
  if (remove == (member == nullptr)) return std::nullopt;
  const bool last_voter = remove && member->voter && VoterCount(Members()) == 1;
  if (last_voter) return std::nullopt;
  wire::ReplicaT learner = replica;
  learner.voter = false;
  const wire::MembershipT changed = remove
                                        ? WithoutMember(Members(), replica.id)
                                        : WithMember(Members(), learner);
  const uint64_t index =
      AppendOwn(wire::LogEntryKind::Membership, EncodeMembership(changed));
  SyncProgressWithMembers(now);
  return index;
}

template <typename Rules>
std::optional<uint64_t> Raft<Rules>::ConfirmLeadership(Instant now) {
  if (m_role != NodeRole::kLeader) return std::nullopt;
  if (!m_round_unsent) StartRound(now);
  m_reads.push_back(
      {++m_last_token, m_round, std::max(m_commit, m_term_start)});
  return m_last_token;
}

template <typename Rules>
Instant Raft<Rules>::LeaseUntil() const {
  if (m_role != NodeRole::kLeader || m_commit < m_term_start) return Instant{};
  const bool alone = VoterCount(Members()) == 1 && IsVoter(Members(), m_self);
  if (alone) return Instant::max();
  const Instant confirmed = MajorityValue(
      Instant::max(), [](const Progress& peer) { return peer.acked_sent; });
  return confirmed + m_options.lease;
}

template <typename Rules>
Ready Raft<Rules>::TakeReady(size_t max_committed_bytes) {
  if (m_role == NodeRole::kLeader) SendAppends();
  Ready ready;
  TakeWrites(ready);
  ready.messages = std::move(m_messages);
  m_messages.clear();
  TakeCommitted(ready, max_committed_bytes);
  TakeReads(ready);
  ready.leadership_changed = std::exchange(m_leadership_changed, false);
  return ready;
}

template <typename Rules>
void Raft<Rules>::TakeWrites(Ready& ready) {
  if (std::exchange(m_hard_state_changed, false))
    ready.hard_state = m_hard_state;
  ready.truncate_from = std::exchange(m_truncate_from, std::nullopt);
  ready.install = std::exchange(m_install, std::nullopt);
  for (uint64_t index = m_written + 1; index <= m_log.LastIndex(); ++index)
    ready.append.push_back(m_log.At(index));
  m_written = m_log.LastIndex();
  m_sync_under_way = m_sync_under_way || ready.HasWrites();
  auto& queue = m_sync_under_way ? m_messages_awaiting_sync : m_messages;
  for (auto& message : m_messages_for_next_sync)
    queue.push_back(std::move(message));
  m_messages_for_next_sync.clear();
}

template <typename Rules>
void Raft<Rules>::TakeCommitted(Ready& ready, size_t max_bytes) {
  // Excludes what a snapshot to install covers: `install` in the same Ready
  // applies it.
  size_t bytes = 0;
  const uint64_t end = std::min(m_commit, OwnMatch());
  while (m_delivered < end && bytes < max_bytes) {
    const wire::LogEntryT& entry = m_log.At(++m_delivered);
    bytes += entry.payload.size();
    ready.committed.push_back(entry);
  }
}

template <typename Rules>
void Raft<Rules>::TakeReads(Ready& ready) {
  if (m_reads.empty() || m_commit < m_term_start) return;
  const uint64_t confirmed = ConfirmedRound();
  std::erase_if(m_reads, [&](const PendingRead& read) {
    if (read.round > confirmed || read.index > m_delivered) return false;
    ready.reads_confirmed.push_back(read.token);
    return true;
  });
}

// The newest round that a majority has acknowledged.
template <typename Rules>
uint64_t Raft<Rules>::ConfirmedRound() const {
  return MajorityValue(m_round,
                       [](const Progress& peer) { return peer.acked_round; });
}

template <typename Rules>
template <typename Value, typename ValueOf>
Value Raft<Rules>::MajorityValue(Value own, ValueOf value_of) const {
  std::vector<Value> values;
  for (const auto& replica : Members().replicas) {
    if (!replica->voter) continue;
    const auto peer = m_progress.find(replica->id);
    if (replica->id == m_self)
      values.push_back(own);
    else
      values.push_back(peer == m_progress.end() ? Value{}
                                                : value_of(peer->second));
  }
  if (values.empty()) return Value{};
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_EVENTS_H_
