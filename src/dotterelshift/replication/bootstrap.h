#ifndef DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_
#define DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_

#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for HostId
#include "dotterelshift/replication/node.h"       // for RestoredLog
#include "dotterelshift/wire/frames_generated.h"  // for ReplicaHelloT

namespace dotterelshift::replication {

// Makes the first membership of a new group. One of the first members, the one
// whose name sorts first, composes it, and only while every one of them says in
// the same round that it is in no group and names the same first members. So a
// member that was wiped later never founds a second group: the others are in
// one. See docs/decisions/replicated-log.md.
class Bootstrap {
 public:
  Bootstrap(HostId self, ReplicaId replica,
            std::vector<std::string> first_members);

  // Whether this replica is the one that composes the membership.
  bool Coordinates() const;

  // Begins a round: what was heard before no longer counts. Gives the hosts to
  // be asked.
  std::vector<HostId> StartRound();

  // What another host says of itself.
  void OnHello(const HostId& from, const wire::ReplicaHelloT& hello);

  // The membership, once all have agreed in this round.
  std::optional<wire::MembershipT> Compose() const;

 private:
  const HostId m_self;
  const ReplicaId m_replica;
  std::vector<std::string> m_first_members;  // sorted
  std::map<HostId, ReplicaId> m_new_replicas;
};

// The log that a new group begins with: its membership as the first entry.
RestoredLog FirstLog(ReplicaId self, const wire::MembershipT& members);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_
