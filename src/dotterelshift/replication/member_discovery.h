#ifndef DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_
#define DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_

#include <map>       // for map
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for HostId, ReplicaId
#include "dotterelshift/replication/bootstrap.h"  // for Bootstrap
#include "dotterelshift/replication/node.h"       // for Node
#include "dotterelshift/wire/frames_generated.h"  // for ReplicaHelloT

namespace dotterelshift::replication {

struct MemberDiscoveryOptions {
  HostId self;
  ReplicaId replica = 0;
  std::vector<HostId> first_members;  // empty: never founds a group
  bool self_healing = false;
};

// What a replica knows of its own group at the moment.
struct GroupView {
  bool in_group = false;
  bool hears_leader = false;
  const wire::MembershipT* members = nullptr;
};

// A replica is in a group from the first entry of its log on. One that voted in
// a group whose founder lost its folder before anyone else held an entry is in
// none: else the rest would wait for that group for good.
GroupView ViewOf(const Node& node);

// What replicas tell each other before and beside the log: who is in a group,
// who waits to be taken into one, and whether all first members agree to found
// one. Sends nothing itself.
class MemberDiscovery {
 public:
  explicit MemberDiscovery(const MemberDiscoveryOptions& options);

  // What this replica says of itself; `answer_wanted` asks for the other's.
  wire::ReplicaHelloT Hello(const GroupView& view, bool answer_wanted) const;

  // Takes another host's; whether it is to be answered with ours.
  bool OnHello(const HostId& from, const wire::ReplicaHelloT& hello,
               const GroupView& view);

  // Begins a round of founding: the hosts to be asked. None after EndFounding.
  std::vector<HostId> StartRound();
  // Whether this replica is the one that composes the first group.
  bool Coordinates() const;
  // The first group, once all have agreed in this round.
  std::optional<wire::MembershipT> Compose() const;
  void EndFounding() { m_bootstrap.reset(); }

  // The replicas that wait and are not among these members. A host whose
  // listed replica has changed since it was heard does not count: a leader that
  // missed its later hellos would replace a whole replica by one that is gone.
  std::vector<wire::ReplicaT> Waiting(const wire::MembershipT& members) const;

 private:
  const MemberDiscoveryOptions m_options;
  std::optional<Bootstrap> m_bootstrap;
  struct Waiter {
    ReplicaId replica = 0;
    ReplicaId listed = 0;  // as its host's, when it was heard; 0: none
  };
  std::map<HostId, Waiter> m_waiting;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_
