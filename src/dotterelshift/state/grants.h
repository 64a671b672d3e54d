#ifndef DOTTERELSHIFT_STATE_GRANTS_H_
#define DOTTERELSHIFT_STATE_GRANTS_H_

#include <algorithm>  // for min

#include "dotterelshift/state/tables.h"  // for Account, Grant

// Moves of tokens between the columns of an account. Each keeps
// purchased = settled + granted + lost + free with no column below zero.
namespace dotterelshift::state {

// The rules on which soundness rests. A test compiles one out to show that it
// is missed.
struct SoundRules {
  // A dead run may have spent its standing part while it was cut off, so that
  // part is not given out again.
  static constexpr bool kKeepStandingOfTheDead = true;
};

// What is left of a dead run's grant: openings without a settlement and the
// standing part may have been spent; the rest cannot have been, because it
// would have needed an opening that control committed.
template <typename Rules>
Recovery RecoverDead(const Grant& grant) {
  const Tokens standing = Rules::kKeepStandingOfTheDead ? grant.standing : 0;
  const Tokens lost = std::min(grant.tokens, grant.Opened() + standing);
  return {grant.tokens - lost, lost};
}

// The grant of a run in an account; null when it has none.
Grant* FindGrant(Account& account, RunNumber run);
Grant& GrantOf(Account& account, RunNumber run);

// Drops the grant when nothing is left to remember of it.
void DropIfEmpty(Account& account, RunNumber run);

// Takes a dead run's grants back in all accounts, as far as they can be.
void BuryRun(Tables& tables, RunNumber run, RecoverGrant recover);

// After a settlement of a dead run: frees what its openings and standing part
// no longer cover.
void FreeUncovered(Account& account, Grant& grant, RecoverGrant recover);

// An operator's confirmed word that a dead run's remainder was not spent:
// frees the standing part. Openings count as spent in full.
void RetireRun(Tables& tables, RunNumber run, WallMs stamp);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_GRANTS_H_
