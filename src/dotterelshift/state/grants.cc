#include "dotterelshift/state/grants.h"

#include <algorithm>  // for find_if

namespace dotterelshift::state {
namespace {

auto Place(Account& account, IncarnationIndex run) {
  std::vector<Grant>& grants = account.MutableGrants();
  return std::find_if(grants.begin(), grants.end(),
                      [run](const Grant& grant) { return grant.run == run; });
}

// Counts the openings of a retired incarnation as spent, the worst case.
void WriteOffOpenings(Tables& tables, Account& account, Grant& grant,
                      WallMs stamp) {
  const Tokens spent = std::min(grant.tokens, grant.OpenedTokens());
  grant.tokens -= spent;
  grant.openings.clear();
  account.amounts.lost -= spent;
  account.amounts.settled += spent;
  if (spent > 0)
    tables.DayOf(tables.teams.At(account.team).id, stamp).spent += spent;
}

}  // namespace

Grant* FindGrant(Account& account, IncarnationIndex run) {
  if (account.Grants().empty()) return nullptr;
  const auto found = Place(account, run);
  return found == account.MutableGrants().end() ? nullptr : &*found;
}

Grant& GrantOf(Account& account, IncarnationIndex run) {
  Grant* found = FindGrant(account, run);
  if (found != nullptr) return *found;
  std::vector<Grant>& grants = account.MutableGrants();
  grants.emplace_back().run = run;
  return grants.back();
}

void DropIfEmpty(Account& account, IncarnationIndex run) {
  std::vector<Grant>& grants = account.MutableGrants();
  const auto found = Place(account, run);
  if (found == grants.end()) return account.DropGrantsIfEmpty();
  if (found->tokens != 0) return;
  // The grant of a live holder is kept while it has openings or a
  // pre-authorized amount.
  const bool remembered = !found->openings.empty() || found->standing > 0;
  if (found->dead || !remembered) grants.erase(found);
  account.DropGrantsIfEmpty();
}

void MarkIncarnationDead(Tables& tables, IncarnationIndex run,
                         RecoverGrant recover) {
  tables.runs[run].dead = true;
  for (const auto& [budget, account] : tables.accounts) {
    Grant* grant = FindGrant(account, run);
    if (grant == nullptr || grant->dead) continue;
    const Recovery recovery = recover(*grant);
    account.amounts.granted -= grant->tokens;
    account.amounts.lost += recovery.lost;
    grant->tokens = recovery.lost;
    grant->dead = true;
    DropIfEmpty(account, run);
  }
}

void ReleaseUncovered(Account& account, Grant& grant, RecoverGrant recover) {
  const Recovery recovery = recover(grant);
  account.amounts.lost -= recovery.freed;
  grant.tokens = recovery.lost;
}

void RetireIncarnation(Tables& tables, IncarnationIndex run, WallMs stamp) {
  tables.runs[run].retired = true;
  for (const auto& [budget, account] : tables.accounts) {
    Grant* grant = FindGrant(account, run);
    if (grant == nullptr || !grant->dead) continue;
    WriteOffOpenings(tables, account, *grant, stamp);
    account.amounts.lost -= grant->tokens;
    grant->tokens = 0;
    DropIfEmpty(account, run);
  }
}

}  // namespace dotterelshift::state
