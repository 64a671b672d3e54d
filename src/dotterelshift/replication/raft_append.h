#ifndef DOTTERELSHIFT_REPLICATION_RAFT_APPEND_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_APPEND_H_

// Log replication: appending, acknowledging and committing entries, and
// membership changes.

#include <algorithm>  // for min, max

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

template <typename Rules>
uint64_t Raft<Rules>::AppendOwn(wire::LogEntryKind kind,
                                std::vector<uint8_t> payload) {
  wire::LogEntryT entry;
  entry.index = m_log.LastIndex() + 1;
  entry.term = m_hard_state.term;
  entry.kind = kind;
  entry.payload = std::move(payload);
  m_log.Append(std::move(entry));
  return m_log.LastIndex();
}

template <typename Rules>
void Raft<Rules>::TruncateFrom(uint64_t index) {
  m_log.TruncateFrom(index);
  if (index > m_written) return;  // the driver has not received these entries
  m_truncate_from = std::min(m_truncate_from.value_or(index), index);
  m_written = index - 1;
  m_synced = std::min(m_synced, index - 1);
}

template <typename Rules>
void Raft<Rules>::OnAppendRequest(const wire::AppendRequestT& request,
                                  Instant now) {
  wire::AppendReplyT reply;
  reply.from = m_self;
  reply.round = request.round;
  if (request.term < m_hard_state.term) {
    reply.term = m_hard_state.term;
    return Send(request.from, reply);
  }
  const bool follows = m_role == NodeRole::kFollower &&
                       m_leader == request.from &&
                       request.term == m_hard_state.term;
  if (!follows) BecomeFollower(request.term, request.from, now);
  m_last_leader_contact = now;
  ResetElectionDeadline(now);
  reply.term = m_hard_state.term;
  reply.accepted = StoreEntries(request);
  if (reply.accepted) {
    reply.match_index = std::max(
        m_log.BaseIndex(), request.previous_index + request.entries.size());
    m_commit = std::max(m_commit, std::min(request.commit, reply.match_index));
  } else {
    const uint64_t end = m_log.LastIndex();
    // On a conflict the leader backs up by one term at a time instead of one
    // entry.
    reply.hint_index = request.previous_index > end
                           ? end
                           : m_log.FirstOfTerm(request.previous_index) - 1;
  }
  SendAfterSync(request.from, reply);
}

// Returns false if the log does not contain the entry that precedes the new
// ones.
template <typename Rules>
bool Raft<Rules>::StoreEntries(const wire::AppendRequestT& request) {
  // Entries before the base are committed and thus identical on the leader.
  const bool known =
      request.previous_index < m_log.BaseIndex() ||
      m_log.TermAt(request.previous_index) == request.previous_term;
  if (!known) return false;
  for (const auto& entry : request.entries) {
    if (entry->index <= m_log.BaseIndex()) continue;
    const std::optional<uint64_t> term = m_log.TermAt(entry->index);
    if (term == entry->term) continue;
    if (term.has_value()) TruncateFrom(entry->index);
    m_log.Append(*entry);
  }
  return true;
}

template <typename Rules>
void Raft<Rules>::OnAppendReply(const wire::AppendReplyT& reply, Instant now) {
  if (reply.term > m_hard_state.term) return BecomeFollower(reply.term, 0, now);
  const auto peer = m_progress.find(reply.from);
  if (m_role != NodeRole::kLeader || reply.term < m_hard_state.term ||
      peer == m_progress.end())
    return;
  Progress& progress = peer->second;
  RecordAcknowledgedRound(progress, reply.round);
  if (reply.accepted) {
    OnAcknowledged(progress, reply.match_index);
    return AdvanceCommit(now);
  }
  // Ignores a stale rejection of an earlier append.
  if (progress.mode == Progress::Mode::kSnapshot ||
      reply.hint_index + 1 > progress.next)
    return;
  progress.mode = Progress::Mode::kProbe;
  progress.probe_sent = false;
  progress.next = std::max(progress.match + 1, reply.hint_index + 1);
  progress.in_flight.clear();
  progress.bytes_in_flight = 0;
}

template <typename Rules>
void Raft<Rules>::OnAcknowledged(Progress& progress, uint64_t match) {
  progress.match = std::max(progress.match, match);
  while (!progress.in_flight.empty() &&
         progress.in_flight.front().first <= progress.match) {
    progress.bytes_in_flight -= progress.in_flight.front().second;
    progress.in_flight.pop_front();
  }
  if (progress.mode == Progress::Mode::kSnapshot) {
    if (progress.match < m_log.BaseIndex()) return;
    progress.snapshot.reset();
  }
  if (progress.mode != Progress::Mode::kReplicate)
    progress.next = progress.match + 1;
  progress.mode = Progress::Mode::kReplicate;
  progress.next = std::max(progress.next, progress.match + 1);
}

template <typename Rules>
void Raft<Rules>::RecordAcknowledgedRound(Progress& progress, uint64_t round) {
  if (round <= progress.acked_round) return;
  progress.acked_round = round;
  for (const auto& [number, sent] : m_rounds)
    if (number == round) progress.acked_sent = sent;
}

// Starts a round. Every append message carries the current round. A follower's
// acknowledgement of it confirms that this replica was the leader when the
// round started.
template <typename Rules>
void Raft<Rules>::StartRound(Instant now) {
  constexpr size_t kMaxRounds = 256;
  m_rounds.emplace_back(++m_round, now);
  if (m_rounds.size() > kMaxRounds) m_rounds.pop_front();
  m_round_unsent = true;
}

template <typename Rules>
void Raft<Rules>::SendAppends() {
  const bool new_round = std::exchange(m_round_unsent, false);
  for (auto& [id, progress] : m_progress) {
    if (progress.mode == Progress::Mode::kSnapshot)
      SendSnapshotChunk(id, progress);
    bool sent = false;
    while (SendAppend(id, progress, new_round && !sent)) sent = true;
  }
}

// Sends one append message. Returns whether it contains entries, in which case
// there may be more to send.
template <typename Rules>
bool Raft<Rules>::SendAppend(ReplicaId to, Progress& progress,
                             bool allow_empty) {
  wire::AppendRequestT request;
  request.term = m_hard_state.term;
  request.from = m_self;
  request.commit = m_commit;
  request.round = m_round;
  const std::optional<uint64_t> previous_term = m_log.TermAt(progress.next - 1);
  if (!previous_term.has_value() && m_snapshot != nullptr &&
      progress.mode != Progress::Mode::kSnapshot) {
    progress.mode = Progress::Mode::kSnapshot;
    progress.snapshot = m_snapshot;
    progress.snapshot_offset = 0;
    progress.chunk_sent = false;
    SendSnapshotChunk(to, progress);
  }
  const bool may_send =
      previous_term.has_value() &&
      (progress.mode == Progress::Mode::kReplicate
           ? progress.bytes_in_flight < kMaxBytesInFlight
           : progress.mode == Progress::Mode::kProbe && !progress.probe_sent);
  if (progress.mode != Progress::Mode::kSnapshot && previous_term) {
    request.previous_index = progress.next - 1;
    request.previous_term = *previous_term;
  }
  size_t bytes = 0;
  uint64_t next = progress.next;
  while (may_send && next <= m_log.LastIndex() &&
         bytes < m_options.max_append_bytes) {
    const wire::LogEntryT& entry = m_log.At(next++);
    bytes += entry.payload.size();
    request.entries.push_back(std::make_unique<wire::LogEntryT>(entry));
  }
  if (request.entries.empty() && !allow_empty) return false;
  const bool some = !request.entries.empty();
  if (progress.mode == Progress::Mode::kProbe) progress.probe_sent = true;
  if (some && progress.mode == Progress::Mode::kReplicate) {
    progress.next = next;
    progress.in_flight.emplace_back(next - 1, bytes);
    progress.bytes_in_flight += bytes;
  }
  Send(to, std::move(request));
  return some;
}

template <typename Rules>
void Raft<Rules>::AdvanceCommit(Instant now) {
  const uint64_t reached = MajorityValue(
      OwnMatch(), [](const Progress& peer) { return peer.match; });
  // Only an entry of the current term proves that the entries before it are
  // never overwritten.
  if (reached <= m_commit || m_log.TermAt(reached) != m_hard_state.term) return;
  m_commit = reached;
  const bool members_committed = m_log.MembersIndex() <= m_commit;
  if (!members_committed) return;
  if (!IsVoter(Members(), m_self)) {
    StartRound(now);  // notifies the others that the entry is committed
    SendAppends();
    return BecomeFollower(m_hard_state.term, 0, now);
  }
  PromoteLearners(now);
}

template <typename Rules>
void Raft<Rules>::SyncProgressWithMembers(Instant now) {
  for (const auto& replica : Members().replicas) {
    if (replica->id == m_self || m_progress.contains(replica->id)) continue;
    Progress progress;
    progress.next = m_log.LastIndex() + 1;
    progress.acked_sent = now;
    m_progress.emplace(replica->id, std::move(progress));
  }
  std::erase_if(m_progress, [this](const auto& entry) {
    return FindMember(Members(), entry.first) == nullptr;
  });
}

// Only one membership change may be in progress: the last one must be
// committed, and so must an entry of this leader's term, since an older change
// might otherwise still become committed.
template <typename Rules>
bool Raft<Rules>::MayChangeMembers() const {
  return m_role == NodeRole::kLeader && m_commit >= m_term_start &&
         m_log.MembersIndex() <= m_commit;
}

// Promotes a learner that has all committed entries to a voter. One that was
// lost after it had caught up would add to the votes that a majority needs.
template <typename Rules>
void Raft<Rules>::PromoteLearners(Instant now) {
  if (!MayChangeMembers()) return;
  for (const auto& replica : Members().replicas) {
    const auto peer = m_progress.find(replica->id);
    if (replica->voter || peer == m_progress.end()) continue;
    if (peer->second.match < m_commit || peer->second.match < m_term_start)
      continue;
    const bool responds =
        now - peer->second.acked_sent < m_options.min_election_timeout;
    if (!responds) continue;
    wire::ReplicaT voter = *replica;
    voter.voter = true;
    AppendOwn(wire::LogEntryKind::Membership,
              EncodeMembership(WithMember(Members(), voter)));
    return SyncProgressWithMembers(now);
  }
}

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_APPEND_H_
