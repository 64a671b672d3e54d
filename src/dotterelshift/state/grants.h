#ifndef DOTTERELSHIFT_STATE_GRANTS_H_
#define DOTTERELSHIFT_STATE_GRANTS_H_

#include <algorithm>  // for min

#include "dotterelshift/state/tables.h"  // for Account, Grant

// Moves tokens between the amounts of an account. Each function preserves
// purchased = settled + granted + lost + free and leaves no amount below zero.
namespace dotterelshift::state {

// The rules that keep spend within the budget. A test disables one at compile
// time to show that it is needed.
struct SafetyRules {
  // A dead incarnation may have spent its pre-authorized amount while it was
  // cut off, so that amount is not granted again.
  static constexpr bool kRetainDeadPreauthorized = true;
};

// Splits the grant of a dead incarnation. Its unsettled openings and its
// pre-authorized amount may have been spent and are lost. The rest is freed: to
// spend it would have required a committed opening.
template <typename Rules>
Recovery RecoverDeadGrant(const Grant& grant) {
  const Tokens standing = Rules::kRetainDeadPreauthorized ? grant.standing : 0;
  const Tokens lost = std::min(grant.tokens, grant.OpenedTokens() + standing);
  return {grant.tokens - lost, lost};
}

// The grant of an incarnation in an account. If there is none, FindGrant()
// returns null and GrantOf() adds one.
Grant* FindGrant(Account& account, IncarnationIndex run);
Grant& GrantOf(Account& account, IncarnationIndex run);

// Removes the grant if it holds no tokens and no state that is still needed.
void DropIfEmpty(Account& account, IncarnationIndex run);

// Marks an incarnation as dead and takes back its grants in all accounts, as
// far as `recover` allows.
void MarkIncarnationDead(Tables& tables, IncarnationIndex run,
                         RecoverGrant recover);

// After a settlement for a dead incarnation: frees the tokens that its
// remaining openings and pre-authorized amount no longer account for.
void ReleaseUncovered(Account& account, Grant& grant, RecoverGrant recover);

// Applies an operator's confirmation that a dead incarnation did not spend its
// pre-authorized amount: frees that amount. Openings count as spent in full.
void RetireIncarnation(Tables& tables, IncarnationIndex run, WallMs stamp);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_GRANTS_H_
