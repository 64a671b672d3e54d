#ifndef DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
#define DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_

#include <cstdint>      // for uint8_t
#include <map>          // for map
#include <optional>     // for optional
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"               // for HostId, ReplicaId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for MembershipT

namespace dotterelshift::replication {

struct MembershipRepairOptions {
  // A member from which nothing was received for this long counts as lost. Must
  // be well above the time of an election and of a restart, so that a short
  // pause does not cause a replacement.
  Duration lost_after = 4s;
  // A silent member whose removal costs the group nothing counts as lost after
  // this: a voter whose successor votes, or a learner. Hosts that are lost in
  // quick succession must not add up.
  Duration spare_lost_after = 2s;
  // A voter that has been silent for this long is the one that the next added
  // replica replaces. Several heartbeats, and shorter than the time in which a
  // successor starts and is found.
  Duration unresponsive_after = 1s;
};

enum class MembershipReason : uint8_t {
  kWaiting,      // added, as it waits
  kSuperseded,   // removed, as its host waits with another replica
  kLostLearner,  // removed, as it was lost before it voted
  kReplaced,     // removed, as it is lost and its successor votes
  kSurplus,      // removed, as it is lost and the number of voters is even
};
// As it is written in logs.
std::string_view NameOf(MembershipReason reason);

// The addition or removal of one replica.
struct MembershipChange {
  wire::ReplicaT replica;
  bool remove = false;
  MembershipReason reason = MembershipReason::kWaiting;
};

enum class MemberState : uint8_t {
  kResponsive,
  kUnresponsive,  // its successor may be added
  kLost,          // it may be removed
};
// As it is written in logs.
std::string_view NameOf(MemberState state);

// What a leader believes of a member.
struct MemberReport {
  ReplicaId replica = 0;
  HostId host;
  bool voter = false;
  MemberState state = MemberState::kResponsive;
  Duration silence{};
  bool replaced = false;  // a member was added in its place
};

// Decides which membership changes a leader proposes without an operator, one
// replica at a time:
//
//   - If a member's host has lost its data folder, it waits with a new replica;
//     the old replica is removed.
//   - A lost learner is removed.
//   - A lost voter is removed once its successor votes, or if the group has an
//     even number of voters greater than three, and a majority is not lost.
//   - A waiting replica is added. It is the successor of the voter that has
//     been silent for longest and has none, if there is one; the membership
//     records that, so that each later leader completes the replacement. A
//     replica that was added before the silence was noticed is recognised by
//     the time at which it was added.
//
// A replica that is catching up delays none of this. A partition alone never
// reduces the number of failures that a group tolerates, and a log entry that a
// majority holds stays on a majority.
//
// Load pattern: hosts are lost for good and replaced in series, some before the
// one before them has been removed, among them leaders and successors that are
// still joining.
class MembershipRepair {
 public:
  explicit MembershipRepair(ReplicaId self,
                            const MembershipRepairOptions& options = {})
      : m_self(self), m_options(options) {}

  // Records that a message of a replica was received.
  void OnMessageFrom(ReplicaId replica, Instant now) { m_heard[replica] = now; }
  // Records that a host's daemon is connected. A new leader need not wait for
  // the silence of a host that had been lost before its election.
  void OnHostConnected(const HostId& host, Instant now) {
    m_connected[host] = now;
  }
  // Records the members, also while this replica does not lead.
  void OnMembers(const wire::MembershipT& members, Instant now);
  void StopLeading() { m_leader_since.reset(); }

  // The change that the leader should propose now; empty if none is needed.
  std::optional<MembershipChange> Next(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting, Instant now);

  // What the leader believes of each member; empty before its first Next().
  std::vector<MemberReport> Report(const wire::MembershipT& members,
                                   Instant now) const;

 private:
  bool JustElected(Instant now) const {
    return now - *m_leader_since < m_options.unresponsive_after;
  }
  Duration SilenceOf(const wire::ReplicaT& member, Instant now) const;
  MemberState StateOf(const wire::ReplicaT& member, Instant now) const;
  size_t CountNotLost(const wire::MembershipT& members, Instant now) const;
  bool IsReplaced(const wire::MembershipT& members, ReplicaId replica,
                  Instant now) const;
  bool SuccessorVotes(const wire::MembershipT& members,
                      const wire::ReplicaT& lost, Instant now) const;
  bool HasUnnamedSuccessor(const wire::MembershipT& members,
                           const wire::ReplicaT& lost, Instant now) const;

  std::optional<MembershipChange> FindSuperseded(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting) const;
  std::optional<MembershipChange> FindLostLearner(
      const wire::MembershipT& members, Instant now) const;
  std::optional<MembershipChange> FindLostVoter(
      const wire::MembershipT& members, Instant now) const;
  MembershipChange AdditionOf(const wire::MembershipT& members,
                              const wire::ReplicaT& waiting, Instant now) const;

  const ReplicaId m_self;
  const MembershipRepairOptions m_options;
  std::map<ReplicaId, Instant> m_heard;
  std::map<HostId, Instant> m_connected;
  std::optional<Instant> m_leader_since;
  // Members, and when they were added; Instant::min() for the first ones that
  // this replica knew.
  std::map<ReplicaId, Instant> m_added;
  bool m_knows_members = false;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
