#ifndef DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
#define DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_

#include <map>       // for map
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for ReplicaId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for MembershipT

namespace dotterelshift::replication {

struct MemberKeeperOptions {
  // A member silent for so long counts as lost: well above an election and a
  // restart, so that a short pause replaces nobody.
  Duration lost_after = 4s;
};

// A change of members by one replica.
struct KeptMember {
  wire::ReplicaT replica;
  bool remove = false;
};

// What a leader changes of its group by itself, one replica at a time: a
// replica that waits is added; one whose host came back with an empty folder
// is taken out first; one that stays silent is taken out only while the rest
// is still a group of three or more and all of it is heard, and only when
// there is one voter more than an odd number needs. So a group never shrinks
// for a cut alone, and what a majority holds stays held by a majority.
class MemberKeeper {
 public:
  explicit MemberKeeper(ReplicaId self, const MemberKeeperOptions& options = {})
      : m_self(self), m_options(options) {}

  // A message of a replica came in.
  void OnHeard(ReplicaId replica, Instant now) { m_heard[replica] = now; }
  void StopLeading() { m_leads_since.reset(); }

  // The change to be proposed now, by the leader.
  std::optional<KeptMember> Next(const wire::MembershipT& members,
                                 const std::vector<wire::ReplicaT>& waiting,
                                 Instant now);

 private:
  bool IsLost(ReplicaId replica, Instant now) const;
  std::optional<KeptMember> SupersededBy(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting, Instant now) const;
  std::optional<KeptMember> Surplus(const wire::MembershipT& members,
                                    Instant now) const;

  const ReplicaId m_self;
  const MemberKeeperOptions m_options;
  std::map<ReplicaId, Instant> m_heard;
  std::optional<Instant> m_leads_since;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_SRC_REPLICATION_MEMBER_KEEPER_H_
