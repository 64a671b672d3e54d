#ifndef DOTTERELSHIFT_REPLICATION_NODE_H_
#define DOTTERELSHIFT_REPLICATION_NODE_H_

#include <cstdint>      // for uint64_t
#include <memory>       // for unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for FrameT, LogEntryT, MembershipT

namespace dotterelshift::replication {

struct NodeOptions {
  Duration heartbeat = 50ms;
  // Election timeouts are drawn from [min_election_timeout, 2 *
  // min_election_timeout).
  Duration min_election_timeout = 300ms;
  // How long a leader's lease is valid after a quorum's last confirmation.
  // Shorter than `min_election_timeout`, which leaves a margin for clock drift.
  Duration lease = 250ms;
  size_t max_append_bytes = 256 << 10;
  size_t snapshot_chunk_bytes = 256 << 10;
  uint64_t seed = 1;
};

// The state that must survive a restart, besides the log entries.
struct HardState {
  uint64_t term = 0;
  ReplicaId voted_for = 0;
};

struct SnapshotMeta {
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  wire::MembershipT membership;
};

// The persistent state that a replica loads from its data folder.
struct RestoredLog {
  ReplicaId self = 0;
  HardState hard_state;
  SnapshotMeta snapshot;                 // last_index 0: no snapshot
  std::vector<wire::LogEntryT> entries;  // after the snapshot
};

// The work that an event has produced for the driver. `messages` can be sent at
// once: until OnSynced(), the node withholds those that promise durability. The
// writes (hard state, truncation, entries, `install`) must be synced before
// that call. `committed` can be applied at once, but after any `install`.
struct Ready {
  std::optional<HardState> hard_state;
  std::optional<uint64_t> truncate_from;  // drop this entry and all later ones
  std::vector<wire::LogEntryT> append;
  // Snapshot that replaces the log and the state.
  std::optional<std::pair<SnapshotMeta, std::string>> install;
  std::vector<std::pair<ReplicaId, wire::FrameT>> messages;
  std::vector<wire::LogEntryT> committed;  // to apply, in this order
  // ConfirmLeadership() tokens that a quorum has confirmed.
  std::vector<uint64_t> reads_confirmed;
  bool leadership_changed = false;
  bool HasWrites() const {
    return hard_state.has_value() || truncate_from.has_value() ||
           !append.empty() || install.has_value();
  }
};

// Once the committed entries of one Ready reach this many payload bytes, no
// more are added; the total may thus exceed it, by less than the last entry.
inline constexpr size_t kMaxCommittedBytes = 256 << 10;

enum class NodeRole { kFollower, kPreCandidate, kCandidate, kLeader };

// The name of the role in logs and metrics.
constexpr std::string_view NameOf(NodeRole role) {
  constexpr std::string_view kNames[] = {"follower", "pre_candidate",
                                         "candidate", "leader"};
  return kNames[static_cast<size_t>(role)];
}

// One replica of the Raft log, with pre-vote, check-quorum, leadership
// confirmation before reads, snapshots sent in chunks, and membership changes
// by one replica at a time. Does no I/O and reads no clock; random numbers come
// from `NodeOptions::seed`.
class Node {
 public:
  virtual ~Node() = default;

  virtual void OnMessage(const wire::FrameT& message, Instant now) = 0;
  virtual void OnTimer(Instant now) = 0;
  virtual Instant NextTimer() const = 0;
  // To be called once everything in the last Ready is on disk.
  virtual void OnSynced(Instant now) = 0;

  // Returns the index of the new entry; empty when this replica does not lead.
  virtual std::optional<uint64_t> Propose(std::string payload, Instant now) = 0;
  // Proposes to add or remove one replica. Empty when this replica does not
  // lead or another change is in progress. A replica is added as a learner; the
  // node promotes it to a voter once it has caught up.
  virtual std::optional<uint64_t> ProposeMember(const wire::ReplicaT& replica,
                                                bool remove, Instant now) = 0;
  // Asks a quorum whether this replica still leads. Returns a token that
  // appears in Ready::reads_confirmed once the quorum has confirmed.
  virtual std::optional<uint64_t> ConfirmLeadership(Instant now) = 0;

  // Reports that the driver has made a snapshot of the state as of
  // `last_index`, so that the log up to it may be compacted.
  virtual void OnSnapshotMade(uint64_t last_index) = 0;
  // Sets the newest snapshot, which is sent in chunks to followers that need
  // entries that are no longer in the log.
  virtual void SetSnapshotSource(const SnapshotMeta& meta,
                                 std::shared_ptr<const std::string> bytes) = 0;

  // Returns the pending work. Committed entries are added until they reach
  // `max_committed_bytes` of payload; 0 requests none, for a driver that still
  // has entries to apply.
  virtual Ready TakeReady(size_t max_committed_bytes) = 0;
  Ready TakeReady() { return TakeReady(kMaxCommittedBytes); }

  virtual NodeRole Role() const = 0;
  virtual uint64_t Term() const = 0;
  virtual ReplicaId Leader() const = 0;  // 0: unknown
  virtual uint64_t Commit() const = 0;
  virtual uint64_t LastIndex() const = 0;  // last log entry, committed or not
  // Index of the first entry of the term in which this replica leads. Once it
  // is applied, so is every entry accepted in earlier terms.
  virtual uint64_t TermStart() const = 0;
  virtual const wire::MembershipT& Members() const = 0;
  // The time until which no other replica can be leader; in the past when this
  // replica does not lead.
  virtual Instant LeaseUntil() const = 0;
};

// Creates a replica. Its members are those of the newest membership entry in
// the log, or else of `restored.snapshot.membership`. To start a new group,
// restore with a membership and no entries; a replica that joins a group is
// restored empty and only listens.
std::unique_ptr<Node> MakeNode(const NodeOptions& options, RestoredLog restored,
                               Instant now);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_NODE_H_
