#include "dotterelshift/state/tables.h"

#include <numeric>  // for accumulate

namespace dotterelshift::state {
Tokens Grant::OpenedTokens() const {
  return std::accumulate(openings.begin(), openings.end(), Tokens{0},
                         [](Tokens sum, const Opening& opening) {
                           return sum + opening.reserved;
                         });
}

const std::vector<Grant>& Account::Grants() const {
  static const std::vector<Grant> none;
  return m_grants == nullptr ? none : *m_grants;
}

std::vector<Grant>& Account::MutableGrants() {
  if (m_grants == nullptr) m_grants = std::make_unique<std::vector<Grant>>();
  return *m_grants;
}

void Account::DropGrantsIfEmpty() {
  if (m_grants != nullptr && m_grants->empty()) m_grants.reset();
}

TeamDay& Tables::DayOf(const TeamId& team, WallMs when) {
  const int64_t day = when / kDayMs;
  TeamDay& entry = days[{team, day}];
  entry.team = team;
  entry.day = day;
  return entry;
}

std::optional<IncarnationIndex> Tables::FindIncarnation(
    const HostRun& run) const {
  const auto found = incarnation_indexes.find(run);
  if (found == incarnation_indexes.end()) return std::nullopt;
  return found->second;
}

}  // namespace dotterelshift::state
