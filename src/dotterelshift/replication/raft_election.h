#ifndef DOTTERELSHIFT_REPLICATION_RAFT_ELECTION_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_ELECTION_H_

// Elections: pre-vote, votes, check-quorum.

#include <algorithm>  // for find_if

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

template <typename Rules>
void Raft<Rules>::SetTerm(uint64_t term, ReplicaId voted_for) {
  m_hard_state = {term, voted_for};
  m_hard_state_changed = true;
}

template <typename Rules>
void Raft<Rules>::ResetElectionDeadline(Instant now) {
  const auto min_timeout =
      static_cast<uint64_t>(m_options.min_election_timeout.count());
  m_election_deadline = now + m_options.min_election_timeout +
                        Duration(static_cast<int64_t>(
                            m_random() % std::max<uint64_t>(1, min_timeout)));
}

template <typename Rules>
bool Raft<Rules>::HasRecentLeaderContact(Instant now) const {
  if (m_role == NodeRole::kLeader) {
    const Instant confirmed = MajorityValue(
        now, [](const Progress& peer) { return peer.acked_sent; });
    return now < confirmed + m_options.min_election_timeout;
  }
  return now < m_last_leader_contact + m_options.min_election_timeout;
}

template <typename Rules>
void Raft<Rules>::ForgetLeader(Instant now) {
  ResetElectionDeadline(now);
  m_leadership_changed = m_leadership_changed || m_leader != 0;
  m_leader = 0;
}

template <typename Rules>
void Raft<Rules>::Campaign(Instant now, bool pre_vote) {
  ForgetLeader(now);
  m_votes.clear();
  m_role = pre_vote ? NodeRole::kPreCandidate : NodeRole::kCandidate;
  if (!pre_vote) SetTerm(m_hard_state.term + 1, m_self);
  wire::VoteRequestT request;
  request.term = pre_vote ? m_hard_state.term + 1 : m_hard_state.term;
  request.from = m_self;
  request.last_index = m_log.LastIndex();
  request.last_term = m_log.LastTerm();
  request.pre_vote = pre_vote;
  for (const auto& replica : Members().replicas) {
    if (!replica->voter || replica->id == m_self) continue;
    if (pre_vote)
      Send(replica->id, request);
    else
      SendAfterSync(replica->id, request);  // after its own vote is on disk
  }
  m_votes.insert(m_self);
  // The candidate's own vote counts immediately in a pre-vote; in an election
  // it counts once it is on disk (see OnSynced).
  if (pre_vote) CountVotes(now);
}

template <typename Rules>
void Raft<Rules>::CountVotes(Instant now) {
  size_t votes = 0;
  for (const ReplicaId id : m_votes) votes += IsVoter(Members(), id) ? 1 : 0;
  if (votes < Majority(Members())) return;
  if (m_role == NodeRole::kPreCandidate) return Campaign(now, false);
  const bool own_vote_on_disk = !m_hard_state_changed && !m_sync_under_way;
  if (own_vote_on_disk) BecomeLeader(now);
}

template <typename Rules>
void Raft<Rules>::BecomeFollower(uint64_t term, ReplicaId leader, Instant now) {
  const bool changed = m_role == NodeRole::kLeader || m_leader != leader;
  m_leadership_changed = m_leadership_changed || changed;
  if (term > m_hard_state.term) SetTerm(term, 0);
  m_role = NodeRole::kFollower;
  m_leader = leader;
  m_progress.clear();
  m_reads.clear();
  m_round_unsent = false;
  ResetElectionDeadline(now);
}

template <typename Rules>
void Raft<Rules>::BecomeLeader(Instant now) {
  m_role = NodeRole::kLeader;
  m_leader = m_self;
  m_leadership_changed = true;
  m_progress.clear();
  m_rounds.clear();
  m_oldest_unconfirmed_round.reset();
  SyncProgressWithMembers(now);
  m_term_start = AppendOwn(wire::LogEntryKind::Empty, {});
  m_next_heartbeat = now + m_options.heartbeat;
  StartRound(now);
}

template <typename Rules>
bool Raft<Rules>::LogIsUpToDate(const wire::VoteRequestT& request) const {
  if (!Rules::kCheckLogOnVote) return true;
  const uint64_t own_term = m_log.LastTerm();
  if (request.last_term != own_term) return request.last_term > own_term;
  return request.last_index >= m_log.LastIndex();
}

template <typename Rules>
void Raft<Rules>::OnVoteRequest(const wire::VoteRequestT& request,
                                Instant now) {
  // Leader lease: a replica that has recent contact with its leader does not
  // help to depose it.
  if (HasRecentLeaderContact(now) && request.term > m_hard_state.term) return;
  wire::VoteReplyT reply;
  reply.from = m_self;
  reply.pre_vote = request.pre_vote;
  if (request.pre_vote) {
    reply.granted = request.term > m_hard_state.term && LogIsUpToDate(request);
    reply.term = reply.granted ? request.term : m_hard_state.term;
    return Send(request.from, reply);
  }
  if (request.term > m_hard_state.term) BecomeFollower(request.term, 0, now);
  const bool free_to_vote =
      m_hard_state.voted_for == 0 || m_hard_state.voted_for == request.from;
  reply.granted = request.term == m_hard_state.term && free_to_vote &&
                  m_role == NodeRole::kFollower && LogIsUpToDate(request);
  reply.term = m_hard_state.term;
  if (reply.granted) {
    if (m_hard_state.voted_for == 0) SetTerm(m_hard_state.term, request.from);
    ResetElectionDeadline(now);
  }
  SendAfterSync(request.from, reply);
}

template <typename Rules>
void Raft<Rules>::OnVoteReply(const wire::VoteReplyT& reply, Instant now) {
  if (!reply.granted && reply.term > m_hard_state.term)
    return BecomeFollower(reply.term, 0, now);
  const bool expected = reply.pre_vote ? m_role == NodeRole::kPreCandidate &&
                                             reply.term == m_hard_state.term + 1
                                       : m_role == NodeRole::kCandidate &&
                                             reply.term == m_hard_state.term;
  if (!expected || !reply.granted) return;
  m_votes.insert(reply.from);
  CountVotes(now);
}

// A leader steps down once its oldest open round, which no majority has
// acknowledged, is older than the minimum election timeout. If it has no open
// round, for example because its own process was stalled, the silence of the
// others does not show that it is cut off.
template <typename Rules>
void Raft<Rules>::CheckQuorum(Instant now) {
  UpdateOldestUnconfirmedRound();
  const bool cut_off =
      m_oldest_unconfirmed_round && now - m_oldest_unconfirmed_round->second >=
                                        m_options.min_election_timeout;
  if (cut_off) BecomeFollower(m_hard_state.term, 0, now);
}

// The oldest open round may be older than the rounds in m_rounds, so it is
// remembered until it is acknowledged.
template <typename Rules>
void Raft<Rules>::UpdateOldestUnconfirmedRound() {
  const uint64_t confirmed = ConfirmedRound();
  if (m_oldest_unconfirmed_round &&
      m_oldest_unconfirmed_round->first > confirmed)
    return;
  m_oldest_unconfirmed_round.reset();
  const auto open = std::ranges::find_if(
      m_rounds, [=](const auto& round) { return round.first > confirmed; });
  if (open != m_rounds.end()) m_oldest_unconfirmed_round = *open;
}

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_ELECTION_H_
