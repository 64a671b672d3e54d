#include "dotterelshift/state/consistency_checks.h"

#include <algorithm>  // for sort
#include <map>        // for map

namespace dotterelshift::state {
namespace {

struct TeamTotals {
  Tokens spent = 0;
  Tokens billed = 0;
};

using Lines = std::vector<std::string>;

void Compare(const std::string& what, Tokens left, Tokens right, Lines* lines) {
  if (left == right) return;
  lines->push_back(what + ": " + std::to_string(left) + " and " +
                   std::to_string(right));
}

void CheckAccount(const BudgetId& budget, const Account& account,
                  Tokens overdrawn, Lines* lines) {
  const BudgetAccount& amounts = account.amounts;
  Tokens granted = 0;
  Tokens lost = 0;
  for (const Grant& grant : account.Grants())
    (grant.dead ? lost : granted) += grant.tokens;
  Compare("budget " + budget + ": granted, and held by live runs",
          amounts.granted, granted, lines);
  Compare("budget " + budget + ": lost, and left with dead runs", amounts.lost,
          lost, lines);
  const bool negative = amounts.settled < 0 || amounts.granted < 0 ||
                        amounts.lost < 0 || amounts.Free() < 0 ||
                        amounts.billed < 0;
  if (negative) lines->push_back("budget " + budget + ": an amount below zero");
  if (overdrawn <= 0) return;
  lines->push_back("budget " + budget + ": " + std::to_string(overdrawn) +
                   " settled beyond what was purchased");
}

}  // namespace

std::vector<std::string> FindDisagreements(const Tables& tables) {
  Lines lines;
  std::map<TeamId, TeamTotals> accounts;
  for (const auto& [budget, account] : tables.accounts) {
    const auto found = tables.overdrawn.find(budget);
    const Tokens overdrawn =
        found == tables.overdrawn.end() ? 0 : found->second;
    CheckAccount(budget, account, overdrawn, &lines);
    TeamTotals& totals = accounts[tables.teams.At(account.team).id];
    totals.spent += account.amounts.settled + overdrawn;
    totals.billed += account.amounts.billed;
  }
  std::map<TeamId, TeamTotals> days;
  for (const auto& [key, day] : tables.days) {
    days[key.first].spent += day.spent;
    days[key.first].billed += day.billed;
  }
  for (const auto& [team, totals] : accounts) {
    Compare("team " + team + ": settled in accounts, and spent in days",
            totals.spent, days[team].spent, &lines);
    Compare("team " + team + ": billed in accounts, and billed in days",
            totals.billed, days[team].billed, &lines);
  }
  std::sort(lines.begin(), lines.end());
  return lines;
}

}  // namespace dotterelshift::state
