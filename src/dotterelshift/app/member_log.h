#ifndef DOTTERELSHIFT_APP_MEMBER_LOG_H_
#define DOTTERELSHIFT_APP_MEMBER_LOG_H_

#include <map>      // for map
#include <set>      // for set
#include <utility>  // for pair
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"                   // for ReplicaId
#include "dotterelshift/replication/member_keeper.h"  // for MemberReport

namespace dotterelshift::app {

// Logs what a leader believes of the members of its group and of the replicas
// that wait to be added, whenever that changes, and each change that it
// proposes.
class MemberLog {
 public:
  // Forgets what was logged, as another replica may lead now.
  void Reset();
  void OnMembers(const std::vector<replication::MemberReport>& members);
  void OnWaiting(const std::vector<wire::ReplicaT>& waiting);
  void OnChange(const replication::MembershipChange& change, bool proposed);

 private:
  // State of each member, and whether it is replaced.
  std::map<ReplicaId, std::pair<replication::MemberState, bool>> m_states;
  std::set<ReplicaId> m_waiting;
  // The change that was last logged as not proposed; 0: none.
  ReplicaId m_postponed = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_MEMBER_LOG_H_
