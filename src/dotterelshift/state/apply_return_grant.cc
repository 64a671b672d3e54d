#include <algorithm>  // for max, min

#include "dotterelshift/state/apply.h"   // for Apply
#include "dotterelshift/state/grants.h"  // for FindGrant

namespace dotterelshift::state {

void Apply(Context& context, const wire::ReturnGrantT& command,
           wire::CommandAnswerT& answer) {
  Account* account = context.tables.accounts.Find(command.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  Grant* grant = FindGrant(*account, context.run);
  const Tokens unopened =
      grant == nullptr ? 0 : grant->tokens - grant->OpenedTokens();
  if (!IsValidAmount(command.tokens) || !IsValidAmount(command.standing))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  if (grant != nullptr) {
    // The grant may hold less, if an expired lease was reclaimed before.
    const bool published =
        context.tables.published.totals.contains(command.budget);
    const Tokens returned =
        published ? command.tokens : std::min(command.tokens, unopened);
    grant->tokens -= returned;
    grant->standing -=
        published ? returned : std::min(grant->standing, command.standing);
    account->amounts.granted -= returned;
    DropIfEmpty(*account, context.run);
  }
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
