#include "dotterelshift/replication/member_discovery.h"

#include "dotterelshift/replication/membership.h"  // for FindMember

namespace dotterelshift::replication {
namespace {

// The replica that the membership lists for a host; 0 if there is none.
ReplicaId ReplicaListedFor(const HostId& host,
                           const wire::MembershipT& members) {
  for (const auto& member : members.replicas)
    if (member->host == host) return member->id;
  return 0;
}

}  // namespace

GroupView GroupViewOf(const Node& node) {
  const wire::MembershipT& members = node.Members();
  return {!members.replicas.empty(), node.Leader() != 0, &members};
}

MemberDiscovery::MemberDiscovery(const MemberDiscoveryOptions& options)
    : m_options(options) {
  if (!options.first_members.empty())
    m_bootstrap.emplace(options.self, options.replica, options.first_members);
}

wire::ReplicaHelloT MemberDiscovery::Hello(const GroupView& view,
                                           bool answer_wanted) const {
  wire::ReplicaHelloT hello;
  hello.replica = m_options.replica;
  hello.in_group = view.in_group;
  hello.answer_wanted = answer_wanted;
  hello.first_members = m_options.first_members;
  hello.lost = !view.has_leader;
  hello.cannot_found = m_options.first_members.empty();
  if (m_bootstrap) hello.round = m_bootstrap->Round();
  for (const auto& member : view.members->replicas)
    hello.members.push_back(member->host);
  return hello;
}

wire::ReplicaHelloT MemberDiscovery::AnswerTo(const wire::ReplicaHelloT& hello,
                                              const GroupView& view) const {
  wire::ReplicaHelloT answer = Hello(view, false);
  if (hello.answer_wanted) answer.answers = hello.round;
  return answer;
}

bool MemberDiscovery::OnHello(const HostId& from,
                              const wire::ReplicaHelloT& hello,
                              const GroupView& view, Instant now) {
  // A member that has no contact with a leader may have been removed without
  // being notified.
  const bool waits = !hello.in_group || (m_options.self_healing && hello.lost);
  if (waits) {
    m_waiting[from] = {hello.replica, ReplicaListedFor(from, *view.members),
                       now};
  } else {
    m_waiting.erase(from);
  }
  if (m_bootstrap) m_bootstrap->OnHello(from, hello);
  // The answer tells a waiting replica where the group is. A member without
  // contact with a leader knows no more than another such member; if two of
  // them answered each other, they would continue until there is a leader.
  const bool knows_more = !hello.in_group || view.has_leader;
  const bool helps =
      m_options.self_healing && waits && view.in_group && knows_more;
  return hello.answer_wanted || helps;
}

std::vector<HostId> MemberDiscovery::StartRound() {
  return m_bootstrap ? m_bootstrap->StartRound() : std::vector<HostId>{};
}

bool MemberDiscovery::IsCoordinator() const {
  return m_bootstrap && m_bootstrap->IsCoordinator();
}

std::optional<wire::MembershipT> MemberDiscovery::ComposeMembership() const {
  return m_bootstrap ? m_bootstrap->ComposeMembership() : std::nullopt;
}

std::vector<wire::ReplicaT> MemberDiscovery::Waiting(
    const wire::MembershipT& members, Instant now) const {
  std::vector<wire::ReplicaT> waiting;
  for (const auto& [host, waiter] : m_waiting) {
    if (now - waiter.heard > m_options.waits_for) continue;
    if (FindMember(members, waiter.replica) != nullptr) continue;
    const ReplicaId listed = ReplicaListedFor(host, members);
    if (listed != 0 && listed != waiter.listed) continue;
    waiting.emplace_back().id = waiter.replica;
    waiting.back().host = host;
  }
  return waiting;
}

}  // namespace dotterelshift::replication
