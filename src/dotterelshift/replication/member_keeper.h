#ifndef DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
#define DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_

#include <map>       // for map
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for MembershipT

namespace dotterelshift::replication {

struct MembershipRepairOptions {
  // A member from which nothing was received for this long counts as lost. Must
  // be well above the time of an election and of a restart, so that a short
  // pause does not cause a replacement.
  Duration lost_after = 4s;
};

// The addition or removal of one replica.
struct MembershipChange {
  wire::ReplicaT replica;
  bool remove = false;
};

// Decides which membership changes a leader proposes without an operator, one
// replica at a time:
//
//   - A waiting replica is added.
//   - If a member's host has lost its data folder, it waits with a new replica;
//     the old replica is then removed first.
//   - A silent member is removed only if no replica waits and the group has an
//     even number of voters greater than three, no learner, and no other silent
//     member.
//
// A partition alone therefore never reduces the number of failures that a group
// tolerates, and a log entry that a majority holds stays on a majority.
class MembershipRepair {
 public:
  explicit MembershipRepair(ReplicaId self,
                            const MembershipRepairOptions& options = {})
      : m_self(self), m_options(options) {}

  // Records that a message of a replica was received.
  void OnMessageFrom(ReplicaId replica, Instant now) { m_heard[replica] = now; }
  void StopLeading() { m_leader_since.reset(); }

  // The change that the leader should propose now; empty if none is needed.
  std::optional<MembershipChange> Next(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting, Instant now);

 private:
  bool IsLost(ReplicaId replica, Instant now) const;
  std::optional<MembershipChange> FindSuperseded(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting, Instant now) const;
  std::optional<MembershipChange> FindSurplus(const wire::MembershipT& members,
                                              Instant now) const;

  const ReplicaId m_self;
  const MembershipRepairOptions m_options;
  std::map<ReplicaId, Instant> m_heard;
  std::optional<Instant> m_leader_since;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
