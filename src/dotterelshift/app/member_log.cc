#include "dotterelshift/app/member_log.h"

#include <algorithm>  // for count_if
#include <string>     // for to_string

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

using replication::MemberReport;
using replication::MembershipChange;
using replication::MemberState;

void LogWaiting(ReplicaId replica, const HostId& host, bool waits) {
  telemetry::Log(telemetry::LogLevel::kInfo, "member_waiting",
                 {{"replica", std::to_string(replica)},
                  {"member_host", host},
                  {"waits", waits ? "yes" : "no"}});
}

}  // namespace

void MemberLog::Reset() {
  m_states.clear();
  m_waiting.clear();
  m_postponed = 0;
}

void MemberLog::OnMembers(const std::vector<MemberReport>& members) {
  const auto voters = std::ranges::count_if(members, &MemberReport::voter);
  const auto lost =
      std::ranges::count_if(members, [](const MemberReport& member) {
        return member.voter && member.state == MemberState::kLost;
      });
  std::map<ReplicaId, std::pair<MemberState, bool>> states;
  for (const MemberReport& member : members) {
    const std::pair state{member.state, member.replaced};
    states[member.replica] = state;
    const auto known = m_states.find(member.replica);
    const std::pair before = known == m_states.end()
                                 ? std::pair{MemberState::kResponsive, false}
                                 : known->second;
    if (before == state) continue;
    telemetry::Log(telemetry::LogLevel::kInfo, "member_state",
                   {{"replica", std::to_string(member.replica)},
                    {"member_host", member.host},
                    {"voter", member.voter ? "yes" : "no"},
                    {"state", std::string(NameOf(member.state))},
                    {"silence_ms", std::to_string(ToMs(member.silence))},
                    {"replaced", member.replaced ? "yes" : "no"},
                    {"voters", std::to_string(voters)},
                    {"lost_voters", std::to_string(lost)}});
  }
  m_states = std::move(states);
}

void MemberLog::OnWaiting(const std::vector<wire::ReplicaT>& waiting) {
  std::set<ReplicaId> now;
  for (const wire::ReplicaT& replica : waiting) {
    now.insert(replica.id);
    if (!m_waiting.contains(replica.id))
      LogWaiting(replica.id, replica.host, true);
  }
  for (const ReplicaId replica : m_waiting)
    if (!now.contains(replica)) LogWaiting(replica, "", false);
  m_waiting = std::move(now);
}

void MemberLog::OnChange(const MembershipChange& change, bool proposed) {
  if (!proposed && m_postponed == change.replica.id) return;
  m_postponed = proposed ? 0 : change.replica.id;
  telemetry::Log(telemetry::LogLevel::kInfo, "member_change",
                 {{"replica", std::to_string(change.replica.id)},
                  {"member_host", change.replica.host},
                  {"change", change.remove ? "remove" : "add"},
                  {"reason", std::string(NameOf(change.reason))},
                  {"replaces", std::to_string(change.replica.replaces)},
                  {"outcome", proposed ? "proposed" : "postponed"}});
}

}  // namespace dotterelshift::app
