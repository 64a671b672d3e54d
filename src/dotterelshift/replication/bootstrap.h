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

// Composes the first membership of a new group. This is done only by the first
// member whose host name sorts first, after a round in which every first member
// reported that it is in no group and listed the same first members. A member
// that loses its data folder later can therefore never bootstrap a second
// group, since the others report that they are in one. See
// docs/decisions/replicated-log.md.
class Bootstrap {
 public:
  Bootstrap(HostId self, ReplicaId replica,
            std::vector<std::string> first_members);

  // Whether this replica composes the membership.
  bool IsCoordinator() const;

  // Starts a round and discards the answers of the previous one. Returns the
  // hosts to ask.
  std::vector<HostId> StartRound();

  // Handles the hello of another host.
  void OnHello(const HostId& from, const wire::ReplicaHelloT& hello);

  // The membership; empty until all first members have agreed in this round.
  std::optional<wire::MembershipT> ComposeMembership() const;

 private:
  const HostId m_self;
  const ReplicaId m_replica;
  std::vector<std::string> m_first_members;  // sorted
  std::map<HostId, ReplicaId> m_agreeing_replicas;
};

// The initial log of a new group. Its only entry is the membership.
RestoredLog MakeInitialLog(ReplicaId self, const wire::MembershipT& members);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_
