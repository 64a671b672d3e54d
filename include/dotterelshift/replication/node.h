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
  Duration election_least = 300ms;  // drawn between this and twice this
  Duration lease = 250ms;  // a leader leads for this long after a quorum's last
                           // confirmation, less drift
  size_t max_append_bytes = 256 << 10;
  size_t snapshot_piece_bytes = 256 << 10;
  uint64_t seed = 1;
};

// What survives a restart besides the log's entries.
struct HardState {
  uint64_t term = 0;
  ReplicaId voted_for = 0;
};

struct SnapshotMeta {
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  wire::MembershipT membership;
};

// What a replica finds in its data folder.
struct RestoredLog {
  ReplicaId self = 0;
  HardState hard_state;
  SnapshotMeta snapshot;                 // last_index 0: none
  std::vector<wire::LogEntryT> entries;  // after the snapshot
};

// What must be done after an event, in this order: write (hard state,
// truncation, entries) and sync, then tell OnSynced(); messages that promise
// durability wait inside the node for that.
struct Ready {
  std::optional<HardState> hard_state;
  std::optional<uint64_t> truncate_from;  // drop the log from this index on
  std::vector<wire::LogEntryT> append;
  std::optional<std::pair<SnapshotMeta, std::string>>
      install;  // replace log and state by this snapshot
  std::vector<std::pair<ReplicaId, wire::FrameT>> messages;
  std::vector<wire::LogEntryT> committed;  // to be applied, in order
  std::vector<uint64_t>
      reads_confirmed;  // tokens of ConfirmLeadership that a quorum confirmed
  bool leadership_changed = false;
  bool HasWrites() const {
    return hard_state.has_value() || truncate_from.has_value() ||
           !append.empty() || install.has_value();
  }
};

// How many payload bytes of committed entries one Ready hands out to be
// applied.
inline constexpr size_t kMostCommittedBytes = 256 << 10;

enum class NodeRole { kFollower, kPreCandidate, kCandidate, kLeader };

// The role as logs and metrics name it.
constexpr std::string_view NameOf(NodeRole role) {
  constexpr std::string_view kNames[] = {"follower", "pre_candidate",
                                         "candidate", "leader"};
  return kNames[static_cast<size_t>(role)];
}

// One replica of the log: terms, pre-vote, check-quorum, leadership confirmed
// before reads, snapshots in pieces, members changed one at a time. A core: no
// I/O, no clock, its random draws from the seed.
class Node {
 public:
  virtual ~Node() = default;

  virtual void OnMessage(const wire::FrameT& message, Instant now) = 0;
  virtual void OnTimer(Instant now) = 0;
  virtual Instant NextTimer() const = 0;
  // Everything of the Ready taken last is on disk.
  virtual void OnSynced(Instant now) = 0;

  // The index the entry gets; empty when this replica does not lead.
  virtual std::optional<uint64_t> Propose(std::string payload, Instant now) = 0;
  // Proposes a change of members by one replica; empty when not leading or
  // another change is under way. A replica is added as a learner and made a
  // voter by the node itself once it has caught up.
  virtual std::optional<uint64_t> ProposeMember(const wire::ReplicaT& replica,
                                                bool remove, Instant now) = 0;
  // Asks a quorum whether this replica still leads; the token comes back in
  // Ready::reads_confirmed.
  virtual std::optional<uint64_t> ConfirmLeadership(Instant now) = 0;

  // The driver has made a snapshot of the state as of `last_index`; the log
  // before it may go.
  virtual void OnSnapshotMade(uint64_t last_index) = 0;
  // The driver's bytes of the newest snapshot, for a follower that lags; asked
  // by pieces.
  virtual void SetSnapshotSource(const SnapshotMeta& meta,
                                 std::shared_ptr<const std::string> bytes) = 0;

  // Hands out committed entries until they hold this many payload bytes or
  // more; none for 0, while the driver still has some to apply.
  virtual Ready TakeReady(size_t most_committed_bytes) = 0;
  Ready TakeReady() { return TakeReady(kMostCommittedBytes); }

  virtual NodeRole Role() const = 0;
  virtual uint64_t Term() const = 0;
  virtual ReplicaId Leader() const = 0;  // 0: not known
  virtual uint64_t Commit() const = 0;
  virtual uint64_t LastIndex() const = 0;  // of the log, committed or not
  // The first entry of the term that this replica leads: with it, all that was
  // accepted in earlier terms is applied.
  virtual uint64_t TermStart() const = 0;
  virtual const wire::MembershipT& Members() const = 0;
  // Until when no other replica can be leader; in the past when not leading.
  virtual Instant LeaseUntil() const = 0;
};

// `restored.snapshot.membership` (or the entries' newest one) says who the
// members are; a new group is made by restoring with a membership and no
// entries; a replica that joins is restored empty and only listens.
std::unique_ptr<Node> MakeNode(const NodeOptions& options, RestoredLog restored,
                               Instant now);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_NODE_H_
