#ifndef DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_
#define DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_

#include <cstdint>   // for uint64_t
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
//
// A first member that starts again before there is a group does not know that
// the fleet is new: it joins, but cannot compose. The next one in order then
// does. Unlike the first one, it would not know if the replica that ran there
// before had founded a group. It therefore counts only answers to questions
// that it has sent after it had heard of the restarted replica: by then a group
// of the earlier one, if any other member has an entry of it, is reported.
// Another member may still receive that entry later, but no majority can; the
// term of the later group is higher, so that its entry is the one that stays.
class Bootstrap {
 public:
  Bootstrap(HostId self, ReplicaId replica,
            std::vector<std::string> first_members);

  // Whether this replica composes the membership.
  bool IsCoordinator() const;
  // Number of the current round, for questions.
  uint64_t Round() const { return m_round; }
  // The first term of a group that this replica founds.
  uint64_t FirstTerm() const;

  // Starts a round and discards the answers of the previous one. Returns the
  // hosts to ask.
  std::vector<HostId> StartRound();

  // Handles the hello of another host.
  void OnHello(const HostId& from, const wire::ReplicaHelloT& hello);

  // The membership; empty until all first members have agreed in this round.
  std::optional<wire::MembershipT> ComposeMembership() const;

 private:
  bool Agrees(const HostId& from, const wire::ReplicaHelloT& hello) const;

  const HostId m_self;
  const ReplicaId m_replica;
  std::vector<std::string> m_first_members;  // sorted
  std::map<HostId, ReplicaId> m_agreeing_replicas;
  uint64_t m_round = 0;
  // The replicas of hosts that cannot compose a membership, as heard by now and
  // at the begin of the round.
  std::map<HostId, ReplicaId> m_unable;
  std::map<HostId, ReplicaId> m_unable_before;
};

// The initial log of a new group. Its only entry is the membership.
RestoredLog MakeInitialLog(ReplicaId self, const wire::MembershipT& members,
                           uint64_t first_term = 1);

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_BOOTSTRAP_H_
