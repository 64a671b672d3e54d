#ifndef DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_
#define DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_

#include <map>       // for map
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for HostId, ReplicaId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/replication/bootstrap.h"  // for Bootstrap
#include "dotterelshift/replication/node.h"       // for Node
#include "dotterelshift/wire/frames_generated.h"  // for ReplicaHelloT

namespace dotterelshift::replication {

struct MemberDiscoveryOptions {
  HostId self;
  ReplicaId replica = 0;
  std::vector<HostId> first_members;  // empty: never bootstraps a group
  bool self_healing = false;
  // A waiting replica says hello once a second. One that has been silent for
  // longer than this no longer waits: it has joined, or it is lost.
  Duration waits_for = 3s;
};

// A replica's current view of its own group.
struct GroupView {
  bool in_group = false;
  bool has_leader = false;
  const wire::MembershipT* members = nullptr;
};

// Returns the view of a node. A replica counts as in a group once its log holds
// an entry. Having voted is not enough: if the first member loses its data
// folder before any other member has received an entry, the others would wait
// for that group forever.
GroupView GroupViewOf(const Node& node);

// Handles the hellos that replicas exchange outside the log. They tell which
// replicas are in a group, which wait to be added to one, and whether all first
// members agree to bootstrap one. Does no I/O.
class MemberDiscovery {
 public:
  explicit MemberDiscovery(const MemberDiscoveryOptions& options);

  // The hello of this replica. `answer_wanted` asks the receiver for its own.
  wire::ReplicaHelloT Hello(const GroupView& view, bool answer_wanted) const;
  // The answer to the hello of another replica.
  wire::ReplicaHelloT AnswerTo(const wire::ReplicaHelloT& hello,
                               const GroupView& view) const;

  // Handles the hello of another host. Returns whether to answer with this
  // replica's hello.
  bool OnHello(const HostId& from, const wire::ReplicaHelloT& hello,
               const GroupView& view, Instant now);

  // Starts a bootstrap round and returns the hosts to ask; none after
  // EndBootstrap().
  std::vector<HostId> StartRound();
  // Whether this replica composes the first membership.
  bool IsCoordinator() const;
  // The first membership; empty until all first members have agreed in this
  // round.
  std::optional<wire::MembershipT> ComposeMembership() const;
  // The first term of a group that this replica founds.
  uint64_t FirstTerm() const {
    return m_bootstrap ? m_bootstrap->FirstTerm() : 1;
  }
  void EndBootstrap() { m_bootstrap.reset(); }

  // The waiting replicas that are not in `members` and whose last hello is
  // recent. A host is skipped if the membership lists another replica for it
  // than at the time of its last hello. A leader that missed the later hellos
  // would otherwise replace a working replica with one that no longer exists.
  std::vector<wire::ReplicaT> Waiting(const wire::MembershipT& members,
                                      Instant now) const;

 private:
  const MemberDiscoveryOptions m_options;
  std::optional<Bootstrap> m_bootstrap;
  struct WaitingReplica {
    ReplicaId replica = 0;
    ReplicaId listed = 0;  // of its host, at the time of the hello; 0: none
    Instant heard{};       // time of the hello
  };
  std::map<HostId, WaitingReplica> m_waiting;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_MEMBER_DISCOVERY_H_
