#include "dotterelshift/state/tables.h"

#include <numeric>  // for accumulate

namespace dotterelshift::state {
Tokens Grant::Opened() const {
  return std::accumulate(openings.begin(), openings.end(), Tokens{0},
                         [](Tokens sum, const Opening& opening) {
                           return sum + opening.reserved;
                         });
}

uint32_t Tables::TeamNumber(const TeamId& team) {
  const auto next = static_cast<uint32_t>(team_names.size());
  const auto [place, fresh] = team_numbers.try_emplace(team, next);
  if (fresh) team_names.push_back(team);
  return place->second;
}

Account* Tables::FindAccount(const BudgetId& budget) {
  const auto found = accounts.find(budget);
  return found == accounts.end() ? nullptr : &found->second;
}

TeamDay& Tables::DayOf(const TeamId& team, WallMs when) {
  const int64_t day = when / kDayMs;
  TeamDay& entry = days[{team, day}];
  entry.team = team;
  entry.day = day;
  return entry;
}

std::optional<RunNumber> Tables::FindRun(const HostRun& run) const {
  const auto found = run_numbers.find(run);
  if (found == run_numbers.end()) return std::nullopt;
  return found->second;
}

}  // namespace dotterelshift::state
