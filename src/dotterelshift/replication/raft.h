#ifndef DOTTERELSHIFT_REPLICATION_RAFT_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_H_

#include <cstdint>   // for uint64_t
#include <deque>     // for deque
#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <set>       // for set
#include <string>    // for string
#include <utility>   // for pair
#include <vector>    // for vector

#include "dotterelshift/replication/membership.h"  // for FindMember
#include "dotterelshift/replication/node.h"        // for Node
#include "dotterelshift/replication/raft_log.h"    // for RaftLog

namespace dotterelshift::replication {

// Safety rules that the property tests disable one at a time, to check that the
// simulation detects the violation.
struct StandardRules {
  // A voter rejects a candidate whose log is less up to date than its own.
  static constexpr bool kCheckLogOnVote = true;
  // Entries and votes are acknowledged only once they are on disk.
  static constexpr bool kAcknowledgeAfterSync = true;
};

// Maximum bytes of appended entries in flight to one follower. The leader
// passes this much to a connection in one iteration of its event loop. The
// limit keeps a few followers that need the whole log from delaying its
// heartbeats.
inline constexpr size_t kMaxBytesInFlight = 512 << 10;

// Number of entries before a snapshot that are kept in memory for followers
// that are slightly behind.
inline constexpr uint64_t kEntriesKeptForFollowers = 4096;

// A snapshot to send to followers.
struct SnapshotSource {
  SnapshotMeta meta;
  std::shared_ptr<const std::string> bytes;
  uint64_t checksum = 0;
};

// The leader's replication state for one other replica.
struct Progress {
  enum class Mode { kProbe, kReplicate, kSnapshot };
  Mode mode = Mode::kProbe;
  uint64_t match = 0;  // highest entry known to be on the follower's disk
  uint64_t next = 1;
  bool probe_sent = false;
  uint64_t acked_round = 0;
  Instant acked_sent{};  // start of the last acknowledged round
  std::deque<std::pair<uint64_t, size_t>> in_flight;  // last index and bytes
  size_t bytes_in_flight = 0;
  std::shared_ptr<const SnapshotSource> snapshot;  // snapshot being sent
  uint64_t snapshot_offset = 0;
  bool chunk_sent = false;
};

// The implementation of Node behind MakeNode(). The member functions are
// defined in raft_events.h, raft_election.h, raft_append.h and raft_snapshot.h.
template <typename Rules>
class Raft final : public Node {
 public:
  Raft(const NodeOptions& options, RestoredLog restored, Instant now);

  void OnMessage(const wire::FrameT& message, Instant now) override;
  void OnTimer(Instant now) override;
  Instant NextTimer() const override;
  void OnSynced(Instant now) override;

  std::optional<uint64_t> Propose(std::string payload, Instant now) override;
  std::optional<uint64_t> ProposeMember(const wire::ReplicaT& replica,
                                        bool remove, Instant now) override;
  std::optional<uint64_t> ConfirmLeadership(Instant now) override;

  void OnSnapshotMade(uint64_t last_index) override;
  void SetSnapshotSource(const SnapshotMeta& meta,
                         std::shared_ptr<const std::string> bytes) override;

  using Node::TakeReady;
  Ready TakeReady(size_t max_committed_bytes) override;

  NodeRole Role() const override { return m_role; }
  uint64_t Term() const override { return m_hard_state.term; }
  ReplicaId Leader() const override { return m_leader; }
  uint64_t Commit() const override { return m_commit; }
  uint64_t LastIndex() const override { return m_log.LastIndex(); }
  uint64_t TermStart() const override { return m_term_start; }
  const wire::MembershipT& Members() const override { return m_log.Members(); }
  Instant LeaseUntil() const override;

 private:
  struct PendingRead {
    uint64_t token = 0;
    uint64_t round = 0;
    uint64_t index = 0;
  };
  struct IncomingSnapshot {
    SnapshotMeta meta;
    uint64_t total = 0;
    uint64_t checksum = 0;
    std::string bytes;
  };

  // Elections (raft_election.h).
  void ResetElectionDeadline(Instant now);
  void ForgetLeader(Instant now);
  void Campaign(Instant now, bool pre_vote);
  void CountVotes(Instant now);
  void BecomeFollower(uint64_t term, ReplicaId leader, Instant now);
  void BecomeLeader(Instant now);
  bool HasRecentLeaderContact(Instant now) const;
  bool LogIsUpToDate(const wire::VoteRequestT& request) const;
  void OnVoteRequest(const wire::VoteRequestT& request, Instant now);
  void OnVoteReply(const wire::VoteReplyT& reply, Instant now);
  void CheckQuorum(Instant now);
  void UpdateOldestUnconfirmedRound();

  // Log replication (raft_append.h).
  uint64_t AppendOwn(wire::LogEntryKind kind, std::vector<uint8_t> payload);
  void TruncateFrom(uint64_t index);
  void OnAppendRequest(const wire::AppendRequestT& request, Instant now);
  bool StoreEntries(const wire::AppendRequestT& request);
  void OnAppendReply(const wire::AppendReplyT& reply, Instant now);
  void OnAcknowledged(Progress& progress, uint64_t match);
  void RecordAcknowledgedRound(Progress& progress, uint64_t round);
  void StartRound(Instant now);
  void SendAppends();
  bool SendAppend(ReplicaId to, Progress& progress, bool allow_empty);
  void AdvanceCommit(Instant now);
  void SyncProgressWithMembers(Instant now);
  void PromoteLearners(Instant now);
  bool MayChangeMembers() const;

  // Snapshots (raft_snapshot.h).
  void SendSnapshotChunk(ReplicaId to, Progress& progress);
  void OnSnapshotPiece(const wire::SnapshotPieceT& piece, Instant now);
  void OnSnapshotReply(const wire::SnapshotReplyT& reply, Instant now);
  void ReplyToSnapshotChunk(ReplicaId to, uint64_t last_index,
                            uint64_t next_offset, bool installed);
  void Install();

  // Of the voters' values (this replica's included), the largest that a
  // majority has reached.
  template <typename Value, typename ValueOf>
  Value MajorityValue(Value own, ValueOf value_of) const;

  template <typename Body>
  void Send(ReplicaId to, Body body) {
    m_messages.emplace_back(to, MakeMessage(to, std::move(body)));
  }
  // Sends the message once everything written so far is on disk.
  template <typename Body>
  void SendAfterSync(ReplicaId to, Body body) {
    auto& queue =
        Rules::kAcknowledgeAfterSync ? m_messages_for_next_sync : m_messages;
    queue.emplace_back(to, MakeMessage(to, std::move(body)));
  }
  template <typename Body>
  static wire::FrameT MakeMessage(ReplicaId to, Body body) {
    body.to = to;
    wire::FrameT frame;
    frame.body.Set(std::move(body));
    return frame;
  }

  void SetTerm(uint64_t term, ReplicaId voted_for);
  uint64_t OwnMatch() const {
    return Rules::kAcknowledgeAfterSync ? m_synced : m_log.LastIndex();
  }
  void TakeWrites(Ready& ready);
  void TakeCommitted(Ready& ready, size_t max_bytes);
  void TakeReads(Ready& ready);
  uint64_t ConfirmedRound() const;

  const NodeOptions m_options;
  const ReplicaId m_self;
  std::mt19937_64 m_random;
  HardState m_hard_state;
  RaftLog m_log;

  NodeRole m_role = NodeRole::kFollower;
  ReplicaId m_leader = 0;
  Instant m_last_leader_contact;
  Instant m_election_deadline;
  Instant m_next_heartbeat;
  bool m_timer_late = false;  // the last timer fired late
  std::set<ReplicaId> m_votes;

  uint64_t m_commit = 0;
  uint64_t m_delivered = 0;  // last committed entry given to the driver
  uint64_t m_written = 0;    // last entry given to the driver for writing
  uint64_t m_synced = 0;     // last entry on this replica's disk
  bool m_sync_under_way = false;

  std::map<ReplicaId, Progress> m_progress;
  uint64_t m_term_start = 0;  // index of the first entry of this leader's term
  uint64_t m_round = 0;
  std::deque<std::pair<uint64_t, Instant>> m_rounds;
  // The leader's oldest round that a majority has not yet acknowledged.
  std::optional<std::pair<uint64_t, Instant>> m_oldest_unconfirmed_round;
  bool m_round_unsent = false;
  std::vector<PendingRead> m_reads;
  uint64_t m_last_token = 0;

  std::shared_ptr<const SnapshotSource> m_snapshot;
  std::optional<IncomingSnapshot> m_incoming;

  // The contents of the next Ready.
  bool m_hard_state_changed = false;
  std::optional<uint64_t> m_truncate_from;
  std::optional<std::pair<SnapshotMeta, std::string>> m_install;
  std::vector<std::pair<ReplicaId, wire::FrameT>> m_messages;
  std::vector<std::pair<ReplicaId, wire::FrameT>> m_messages_for_next_sync;
  std::vector<std::pair<ReplicaId, wire::FrameT>> m_messages_awaiting_sync;
  bool m_leadership_changed = false;
};

}  // namespace dotterelshift::replication

#include "dotterelshift/replication/raft_append.h"    // IWYU pragma: export
#include "dotterelshift/replication/raft_election.h"  // IWYU pragma: export
#include "dotterelshift/replication/raft_events.h"    // IWYU pragma: export
#include "dotterelshift/replication/raft_snapshot.h"  // IWYU pragma: export

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_H_
