#include <algorithm>  // for any_of

#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/grants.h"    // for FindGrant
#include "dotterelshift/state/requests.h"  // for FindAttempt

namespace dotterelshift::state {

void Apply(Context& context, const wire::OpenAttemptT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const RequestDigest digest = DigestOf(command.team, command.request_key);
  // The settlement arrived before the opening.
  if (FindAttempt(tables, digest, context.run, command.attempt) != nullptr)
    return Refuse(answer, ErrorKind::kResendTooOld, "attempt is settled");
  if (IsExpired(tables, digest) && FindClaim(tables, digest) == nullptr)
    return Refuse(answer, ErrorKind::kKeyExpired, command.request_key);
  const auto suspect = tables.suspects.find(command.content_hash);
  if (suspect != tables.suspects.end() &&
      suspect->second.quarantined_until > tables.last_stamp)
    return Refuse(answer, ErrorKind::kQuarantined, "endpoints died of it");
  Account* account = tables.accounts.Find(command.budget);
  if (account == nullptr)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  Grant* grant = FindGrant(*account, context.run);
  const Tokens unopened =
      grant == nullptr ? 0 : grant->tokens - grant->OpenedTokens();
  if (!IsValidAmount(command.reserved))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");
  const bool open = grant != nullptr &&
                    std::any_of(grant->openings.begin(), grant->openings.end(),
                                [&](const Opening& opening) {
                                  return opening.attempt == command.attempt;
                                });
  if (!open && (grant == nullptr || command.reserved > unopened))
    return Refuse(answer, ErrorKind::kBudgetUnavailable,
                  "more than the grant holds");
  if (!open) grant->openings.push_back({command.attempt, command.reserved});
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
