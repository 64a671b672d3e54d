#include "dotterelshift/replication/member_keeper.h"

#include <algorithm>  // for any_of, max, min
#include <utility>    // for exchange

#include "dotterelshift/replication/membership.h"  // for Majority, VoterCount

namespace dotterelshift::replication {
namespace {

// A group with fewer voters does not tolerate the loss of one.
constexpr size_t kMinVoters = 3;

}  // namespace

std::string_view NameOf(MembershipReason reason) {
  constexpr std::string_view kNames[] = {"waiting", "superseded",
                                         "lost_learner", "replaced", "surplus"};
  return kNames[static_cast<size_t>(reason)];
}

std::string_view NameOf(MemberState state) {
  constexpr std::string_view kNames[] = {"responsive", "unresponsive", "lost"};
  return kNames[static_cast<size_t>(state)];
}

std::optional<MembershipChange> MembershipRepair::Next(
    const wire::MembershipT& members,
    const std::vector<wire::ReplicaT>& waiting, Instant now) {
  OnMembers(members, now);
  if (!m_leader_since) m_leader_since = now;
  if (auto superseded = FindSuperseded(members, waiting)) return superseded;
  if (auto learner = FindLostLearner(members, now)) return learner;
  if (auto voter = FindLostVoter(members, now)) return voter;
  if (waiting.empty()) return std::nullopt;
  return AdditionOf(members, waiting.front(), now);
}

std::vector<MemberReport> MembershipRepair::Report(
    const wire::MembershipT& members, Instant now) const {
  std::vector<MemberReport> reports;
  if (!m_leader_since) return reports;
  for (const auto& member : members.replicas) {
    reports.push_back({member->id, member->host, member->voter,
                       StateOf(*member, now), SilenceOf(*member, now),
                       IsReplaced(members, member->id, now)});
  }
  return reports;
}

void MembershipRepair::OnMembers(const wire::MembershipT& members,
                                 Instant now) {
  if (members.replicas.empty()) return;
  const Instant added =
      std::exchange(m_knows_members, true) ? now : Instant::min();
  for (const auto& member : members.replicas)
    m_added.try_emplace(member->id, added);
  std::erase_if(m_added, [&](const auto& entry) {
    return FindMember(members, entry.first) == nullptr;
  });
}

// Silence is counted from the election of the leader or the addition of the
// member at the earliest, as no message is due before. A host whose connection
// had ended before the election is silent from then on.
Duration MembershipRepair::SilenceOf(const wire::ReplicaT& member,
                                     Instant now) const {
  if (member.id == m_self) return Duration::zero();
  Instant last = *m_leader_since;
  const auto connected = m_connected.find(member.host);
  if (connected != m_connected.end()) last = std::min(last, connected->second);
  const auto added = m_added.find(member.id);
  if (added != m_added.end()) last = std::max(last, added->second);
  const auto heard = m_heard.find(member.id);
  if (heard != m_heard.end()) last = std::max(last, heard->second);
  return now - last;
}

// A new leader waits for answers to its first heartbeats before it judges.
MemberState MembershipRepair::StateOf(const wire::ReplicaT& member,
                                      Instant now) const {
  const Duration silence = SilenceOf(member, now);
  if (JustElected(now) || silence < m_options.unresponsive_after)
    return MemberState::kResponsive;
  return silence < m_options.lost_after ? MemberState::kUnresponsive
                                        : MemberState::kLost;
}

size_t MembershipRepair::CountNotLost(const wire::MembershipT& members,
                                      Instant now) const {
  return static_cast<size_t>(
      std::ranges::count_if(members.replicas, [&](const auto& member) {
        return member->voter && StateOf(*member, now) != MemberState::kLost;
      }));
}

// A successor that no longer responds may be replaced itself.
bool MembershipRepair::IsReplaced(const wire::MembershipT& members,
                                  ReplicaId replica, Instant now) const {
  return std::ranges::any_of(members.replicas, [&](const auto& member) {
    return member->replaces == replica &&
           StateOf(*member, now) == MemberState::kResponsive;
  });
}

bool MembershipRepair::SuccessorVotes(const wire::MembershipT& members,
                                      const wire::ReplicaT& lost,
                                      Instant now) const {
  return std::ranges::any_of(members.replicas, [&](const auto& member) {
    return member->voter && member->replaces == lost.id &&
           StateOf(*member, now) != MemberState::kLost;
  });
}

// Whether more voters that replace nobody were added since the silence began
// than there are voters that have been lost for longer and have no successor
// either.
bool MembershipRepair::HasUnnamedSuccessor(const wire::MembershipT& members,
                                           const wire::ReplicaT& lost,
                                           Instant now) const {
  const Duration silence = SilenceOf(lost, now);
  size_t added = 0;
  size_t lost_before = 0;
  for (const auto& member : members.replicas) {
    if (!member->voter || member->id == lost.id) continue;
    if (StateOf(*member, now) == MemberState::kLost) {
      const bool before = SilenceOf(*member, now) > silence &&
                          !SuccessorVotes(members, *member, now);
      if (before) ++lost_before;
      continue;
    }
    const auto since = m_added.find(member->id);
    const bool newer = member->replaces == 0 && since != m_added.end() &&
                       since->second > now - silence;
    if (newer) ++added;
  }
  return added > lost_before;
}

// A member whose host waits with another replica: the host has lost the
// member's data folder.
std::optional<MembershipChange> MembershipRepair::FindSuperseded(
    const wire::MembershipT& members,
    const std::vector<wire::ReplicaT>& waiting) const {
  for (const auto& member : members.replicas) {
    for (const wire::ReplicaT& joining : waiting) {
      if (joining.host == member->host && joining.id != member->id)
        return MembershipChange{*member, true, MembershipReason::kSuperseded};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipRepair::FindLostLearner(
    const wire::MembershipT& members, Instant now) const {
  for (const auto& member : members.replicas) {
    const bool lost = !JustElected(now) &&
                      SilenceOf(*member, now) >= m_options.spare_lost_after;
    if (!member->voter && lost)
      return MembershipChange{*member, true, MembershipReason::kLostLearner};
  }
  return std::nullopt;
}

// The voter that has been lost for longest, of those that may be removed.
std::optional<MembershipChange> MembershipRepair::FindLostVoter(
    const wire::MembershipT& members, Instant now) const {
  const size_t voters = VoterCount(members);
  if (voters <= kMinVoters || JustElected(now) ||
      CountNotLost(members, now) < Majority(members))
    return std::nullopt;
  std::optional<MembershipChange> found;
  Duration longest{};
  for (const auto& member : members.replicas) {
    const Duration silence = SilenceOf(*member, now);
    if (!member->voter || silence < m_options.spare_lost_after) continue;
    const bool replaced = SuccessorVotes(members, *member, now) ||
                          HasUnnamedSuccessor(members, *member, now);
    const bool surplus = voters % 2 == 0 && silence >= m_options.lost_after;
    if ((!replaced && !surplus) || silence < longest) continue;
    longest = silence;
    found = MembershipChange{
        *member, true,
        replaced ? MembershipReason::kReplaced : MembershipReason::kSurplus};
  }
  return found;
}

MembershipChange MembershipRepair::AdditionOf(const wire::MembershipT& members,
                                              const wire::ReplicaT& waiting,
                                              Instant now) const {
  MembershipChange addition{waiting, false, MembershipReason::kWaiting};
  Duration longest{};
  for (const auto& member : members.replicas) {
    const Duration silence = SilenceOf(*member, now);
    const bool open = member->voter &&
                      StateOf(*member, now) != MemberState::kResponsive &&
                      !IsReplaced(members, member->id, now);
    if (!open || silence < longest) continue;
    longest = silence;
    addition.replica.replaces = member->id;
  }
  return addition;
}

}  // namespace dotterelshift::replication
