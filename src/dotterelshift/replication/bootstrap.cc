#include "dotterelshift/replication/bootstrap.h"

#include <algorithm>  // for sort

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
  return !m_first_members.empty() && m_first_members.front() == m_self;
}

std::vector<HostId> Bootstrap::StartRound() {
  m_agreeing_replicas.clear();
  std::vector<HostId> others = m_first_members;
  std::erase(others, m_self);
  return others;
}

void Bootstrap::OnHello(const HostId& from, const wire::ReplicaHelloT& hello) {
  const bool agrees = !hello.in_group && hello.replica != 0 &&
                      Sorted(hello.first_members) == m_first_members;
  if (agrees) m_agreeing_replicas[from] = hello.replica;
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

RestoredLog MakeInitialLog(ReplicaId self, const wire::MembershipT& members) {
  RestoredLog log;
  log.self = self;
  log.hard_state.term = 1;
  wire::LogEntryT entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = wire::LogEntryKind::Membership;
  entry.payload = EncodeMembership(members);
  log.entries.push_back(std::move(entry));
  return log;
}

}  // namespace dotterelshift::replication
