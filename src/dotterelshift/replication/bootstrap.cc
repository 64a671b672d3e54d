#include "dotterelshift/replication/bootstrap.h"

#include <algorithm>  // for find_if, sort

#include "dotterelshift/replication/membership.h"  // for EncodeMembership

namespace dotterelshift::replication {

namespace {

std::vector<std::string> Sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace

Bootstrap::Bootstrap(HostId self, ReplicaId replica,
                     std::vector<std::string> first_members)
    : m_self(std::move(self)),
      m_replica(replica),
      m_first_members(Sorted(std::move(first_members))) {}

bool Bootstrap::IsCoordinator() const {
  const auto first = std::ranges::find_if(
      m_first_members,
      [this](const HostId& host) { return !m_unable.contains(host); });
  return first != m_first_members.end() && *first == m_self;
}

uint64_t Bootstrap::FirstTerm() const {
  const auto self = std::ranges::find(m_first_members, m_self);
  return 1 + static_cast<uint64_t>(self - m_first_members.begin());
}

std::vector<HostId> Bootstrap::StartRound() {
  m_agreeing_replicas.clear();
  m_unable_before = m_unable;
  ++m_round;
  std::vector<HostId> others = m_first_members;
  std::erase(others, m_self);
  return others;
}

void Bootstrap::OnHello(const HostId& from, const wire::ReplicaHelloT& hello) {
  if (Agrees(from, hello)) m_agreeing_replicas[from] = hello.replica;
  if (hello.cannot_found) m_unable[from] = hello.replica;
}

bool Bootstrap::Agrees(const HostId& from,
                       const wire::ReplicaHelloT& hello) const {
  if (hello.in_group || hello.replica == 0) return false;
  const bool comes_first =
      !m_first_members.empty() && m_first_members.front() == m_self;
  if (!comes_first && hello.answers != m_round) return false;
  if (!hello.cannot_found)
    return Sorted(hello.first_members) == m_first_members;
  const auto known = m_unable_before.find(from);
  return comes_first ||
         (known != m_unable_before.end() && known->second == hello.replica);
}

std::optional<wire::MembershipT> Bootstrap::ComposeMembership() const {
  if (!IsCoordinator()) return std::nullopt;
  wire::MembershipT members;
  for (const HostId& host : m_first_members) {
    const auto heard = m_agreeing_replicas.find(host);
    if (host != m_self && heard == m_agreeing_replicas.end())
      return std::nullopt;
    wire::ReplicaT replica;
    replica.id = host == m_self ? m_replica : heard->second;
    replica.host = host;
    replica.voter = true;
    members = WithMember(members, replica);
  }
  return members;
}

RestoredLog MakeInitialLog(ReplicaId self, const wire::MembershipT& members,
                           uint64_t first_term) {
  RestoredLog log;
  log.self = self;
  log.hard_state.term = first_term;
  wire::LogEntryT entry;
  entry.index = 1;
  entry.term = first_term;
  entry.kind = wire::LogEntryKind::Membership;
  entry.payload = EncodeMembership(members);
  log.entries.push_back(std::move(entry));
  return log;
}

}  // namespace dotterelshift::replication
