#include "dotterelshift/replication/member_keeper.h"

#include <algorithm>  // for max

namespace dotterelshift::replication {
namespace {

// A group with fewer voters does not tolerate the loss of one.
constexpr size_t kMinVoters = 3;

}  // namespace

std::optional<MembershipChange> MembershipRepair::Next(
    const wire::MembershipT& members,
    const std::vector<wire::ReplicaT>& waiting, Instant now) {
  if (!m_leader_since) m_leader_since = now;
  if (auto superseded = FindSuperseded(members, waiting, now))
    return superseded;
  if (!waiting.empty()) return MembershipChange{waiting.front(), false};
  return FindSurplus(members, now);
}

// A new leader has not received any messages yet, so silence is counted from
// its election at the earliest.
bool MembershipRepair::IsLost(ReplicaId replica, Instant now) const {
  if (replica == m_self) return false;
  const auto heard = m_heard.find(replica);
  const Instant last = heard == m_heard.end()
                           ? *m_leader_since
                           : std::max(heard->second, *m_leader_since);
  return now - last >= m_options.lost_after;
}

// A member whose host waits with another replica: the host has lost the
// member's data folder.
std::optional<MembershipChange> MembershipRepair::FindSuperseded(
    const wire::MembershipT& members,
    const std::vector<wire::ReplicaT>& waiting, Instant) const {
  for (const auto& member : members.replicas) {
    for (const wire::ReplicaT& joining : waiting) {
      if (joining.host == member->host && joining.id != member->id)
        return MembershipChange{*member, true};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipRepair::FindSurplus(
    const wire::MembershipT& members, Instant now) const {
  size_t voters = 0;
  size_t lost = 0;
  const wire::ReplicaT* silent = nullptr;
  for (const auto& member : members.replicas) {
    if (!member->voter) return std::nullopt;  // a learner is still catching up
    ++voters;
    if (!IsLost(member->id, now)) continue;
    ++lost;
    silent = member.get();
  }
  const bool one_too_many = voters % 2 == 0 && voters > kMinVoters;
  if (lost != 1 || !one_too_many) return std::nullopt;
  return MembershipChange{*silent, true};
}

}  // namespace dotterelshift::replication
