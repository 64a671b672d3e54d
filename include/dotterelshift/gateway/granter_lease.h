#ifndef DOTTERELSHIFT_GATEWAY_GRANTER_LEASE_H_
#define DOTTERELSHIFT_GATEWAY_GRANTER_LEASE_H_

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <utility>   // for pair
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for HostId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/wire/frames_generated.h"  // for LeaseRequestT

namespace dotterelshift::gateway {

struct GranterLeaseOptions {
  HostId self;
  Duration lease = 1s;
  Duration renew_interval = 300ms;
  // A candidate that has no majority by then gives its votes back.
  Duration candidate_timeout = 400ms;
  // Entries begin as candidates one after the other.
  Duration candidate_delay = 200ms;
  // An entry that is new to the group votes after this long. By then all others
  // that control reaches count it.
  Duration join_time = 3s;
  // A smaller count of the group is used after this long, and without control
  // the last count is used for as long.
  Duration count_memory = 300s;
};

// The entries that share the limits of an endpoint, as control counts them.
struct EntryGroup {
  DataCentreId data_centre;  // empty: of all data centres
  size_t entries = 0;
  Duration counted_for = 0s;  // this entry, in earlier runs too
};

// The lease of the one entry that grants permits for limited endpoints to a
// group of entries: whoever has the votes of a majority of them. The load
// pattern that it answers: entries die, return, join, and are cut off from each
// other and from control while endpoints name limits.
//
// An entry votes for one candidate at a time, until its vote expires or is
// given back. Two holders would need a common voter, so that at any time there
// is at most one:
// - A run votes only once a vote of the run before it has expired.
// - A vote counts from when it was asked for, and binds from when it was given.
// - The majority is that of the largest count which any of the voters knows.
// - A smaller count is used only when those who are no longer counted have been
//   without control for so long that they neither vote nor hold.
// - Who is new to the group votes once the others know of it. Only if more than
//   half of a group lose control, but not each other, while it grows by as many
//   entries, may two hold at a time.
class GranterLease {
 public:
  GranterLease(GranterLeaseOptions options, Instant started)
      : m_options(std::move(options)), m_started(started) {}

  // The connected entries of the group, without this one.
  void SetPeers(std::vector<HostId> peers);
  // A leader counted the group, in an answer to a heartbeat sent at
  // `confirmed`.
  void OnGroup(const EntryGroup& group, Instant confirmed, Instant now);
  // Whether there are limited endpoints.
  void SetNeeded(bool needed) { m_needed = needed; }

  // What to send, and to whom, when the timer expires or something changed.
  using Requests = std::vector<std::pair<HostId, wire::LeaseRequestT>>;
  Requests OnTimer(Instant now);
  // Gives all votes back. This run is no candidate any more, but still votes.
  Requests Retire(Instant now);
  Instant NextTimer(Instant now) const;
  wire::LeaseVoteT OnRequest(const HostId& from,
                             const wire::LeaseRequestT& request, Instant now);
  void OnVote(const HostId& from, const wire::LeaseVoteT& vote, Instant now);

  bool IsHeld(Instant now) const { return now < m_held_until; }
  // Since when this entry has held the lease without a break.
  Instant HeldSince() const { return m_held_since; }
  // The entry that may hold the lease now; empty: none is known.
  HostId Holder(Instant now) const;
  const DataCentreId& DataCentre() const { return m_group.data_centre; }
  // Entries of the group of which a majority is needed; 0: not known.
  size_t Entries() const;
  size_t Votes(Instant now) const;

 private:
  struct Vote {
    HostId candidate;
    Instant until{};
    uint64_t round = 0;
  };
  struct Received {
    Instant until{};
    size_t entries = 0;  // as the voter counts the group
  };

  bool MayVote(Instant now) const;
  bool VoteFor(const HostId& candidate, Duration duration, uint64_t round,
               Instant now);
  size_t Rank() const;
  bool IsVacant(Instant now) const { return Holder(now).empty(); }
  void BeginCandidacy(Instant now);
  Requests EndCandidacy(Instant now);
  Requests Ask(Instant now);
  void UpdateHeld(Instant now);
  wire::LeaseRequestT MakeRequest(Duration duration) const;

  GranterLeaseOptions m_options;
  Instant m_started;
  std::vector<HostId> m_peers;
  EntryGroup m_group;
  std::optional<Instant> m_confirmed;
  // When each count was last confirmed.
  std::map<size_t, Instant> m_counts;
  Instant m_votes_from{};
  bool m_needed = false;
  bool m_retired = false;

  Vote m_vote;
  Vote m_seen;  // who asked last, where this entry may not vote
  std::optional<Instant> m_candidate_since;
  Instant m_not_before{};  // no candidacy before
  Instant m_next_request{};
  Instant m_next_check{};
  uint64_t m_round = 0;
  std::map<uint64_t, Instant> m_asked_at;  // by round
  std::map<HostId, Received> m_received;
  Instant m_held_since{};
  Instant m_held_until{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_GRANTER_LEASE_H_
