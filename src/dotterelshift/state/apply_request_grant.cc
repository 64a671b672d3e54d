#include <algorithm>  // for max, min
#include <optional>   // for optional

#include "dotterelshift/budget/grant_way.h"  // for WithGrantMode
#include "dotterelshift/state/apply.h"       // for Apply
#include "dotterelshift/state/grants.h"      // for GrantOf

namespace dotterelshift::state {
namespace {

// A grant takes at most 1 / kFreeDivisor of the free tokens, unless its minimum
// is more, so that near the end of a budget one holder does not get all of the
// last tokens.
constexpr Tokens kFreeDivisor = 4;

// Takes back the unopened tokens of holders that have sent nothing for
// StateOptions::lease_ms milliseconds. This needs no trusted clock: the next
// opening of such a holder is refused, and without an opening it may not
// dispatch.
void ReclaimExpiredLeases(Context& context, Account& account) {
  Tables& tables = context.tables;
  const WallMs expired_before = context.stamp - tables.options.lease_ms;
  for (Grant& grant : account.MutableGrants()) {
    if (grant.dead || grant.run == context.run) continue;
    if (tables.runs[grant.run].last_command > expired_before) continue;
    const Tokens kept =
        std::min(grant.tokens, grant.OpenedTokens() + grant.standing);
    account.amounts.granted -= grant.tokens - kept;
    grant.tokens = kept;
  }
}

Tokens GrantSize(const wire::RequestGrantT& command, Tokens free) {
  // Negative if a published total was lowered below what is held.
  if (free <= 0 || free < command.minimum) return 0;
  const Tokens share = std::max(command.minimum, free / kFreeDivisor);
  return std::min({std::max(command.wanted, command.minimum), share, free});
}

// Percentage of the remainder of a published total that all entries together
// may hold. What they hold is lost if they all die at once. With half of the
// remainder they can serve through a disconnection of ten seconds from control,
// until the last fifth of a day.
constexpr Tokens kMaxHeldPercent = 45;

// The reserve of a published total, in thousandths. Entries do not hold it:
// control grants it to small requests one at a time, so that some of these are
// still served after all entries died at once with the tokens that they held.
// It is smaller than the last fraction of a total, which entries release
// gradually.
constexpr Tokens kControlReservePerMille = 8;

// A request is small if its minimum is at most 1 / kReserveDivisor of the
// reserve.
constexpr Tokens kReserveDivisor = 4;

// Grants the minimum, which covers the waiting requests, or one second of the
// holder's demand if that is more. A larger grant is given only while all
// holders together stay below kMaxHeldPercent of the remainder. If others hold
// that share and spend little, a holder that got only the minimum would serve
// one request per answer from control.
Tokens PublishedGrantSize(const wire::RequestGrantT& command,
                          const BudgetAccount& amounts) {
  const Tokens free = amounts.Free();
  if (free <= 0 || free < command.minimum) return 0;
  const Tokens second =
      std::min(command.demand_per_second, free / kFreeDivisor);
  const Tokens left = free + amounts.granted;
  const Tokens max_additional = left / 100 * kMaxHeldPercent - amounts.granted;
  const Tokens reserve = amounts.purchased / 1000 * kControlReservePerMille;
  const Tokens wanted =
      std::max(command.minimum,
               std::min(command.wanted, std::max(max_additional, second)));
  const Tokens size = std::min(free - reserve, wanted);
  if (size > 0 && size >= command.minimum) return size;
  const bool small = command.minimum <= reserve / kReserveDivisor;
  return small ? command.minimum : 0;
}

// How much the pre-authorized amount grows, which the holder may spend without
// openings.
Tokens PreauthorizedIncrease(const wire::TeamT& team, const Grant& grant) {
  const budget::HoldingFacts facts{
      grant.tokens, grant.tokens - grant.OpenedTokens(),
      grant.demand_per_second, team.partition_seconds};
  const Tokens target =
      budget::WithGrantMode(team.grant_way, [&facts](auto policy) {
        return decltype(policy)::PreauthorizedTarget(facts);
      });
  return std::max<Tokens>(0, target - grant.standing);
}

// The terms under which a budget is held: those of its team or, under published
// totals, terms by which entries spend without a commit for each request. Empty
// if there is no such budget.
std::optional<wire::TeamT> TermsOf(const Tables& tables,
                                   const BudgetId& budget) {
  if (tables.published.totals.contains(budget)) {
    wire::TeamT terms;
    terms.id = budget;
    terms.grant_way = wire::GrantWay::Unwitnessed;
    return terms;
  }
  const wire::BudgetT* known = tables.configuration.FindBudget(budget);
  const wire::TeamT* team =
      known == nullptr ? nullptr : tables.configuration.FindTeam(known->team);
  return team == nullptr ? std::nullopt : std::optional<wire::TeamT>(*team);
}

bool ExpiresWhenSilent(const wire::TeamT& team) {
  return budget::WithGrantMode(team.grant_way, [](auto policy) {
    return decltype(policy)::ExpiresWhenSilent();
  });
}

}  // namespace

void Apply(Context& context, const wire::RequestGrantT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(command.budget);
  const std::optional<wire::TeamT> team = TermsOf(tables, command.budget);
  if (account == nullptr || !team)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  if (!IsValidAmount(command.wanted) || !IsValidAmount(command.minimum) ||
      !IsValidAmount(command.demand_per_second))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");

  if (ExpiresWhenSilent(*team) && account->amounts.Free() < command.wanted)
    ReclaimExpiredLeases(context, *account);
  Grant& grant = GrantOf(*account, context.run);
  wire::GrantAnswerT body;
  body.budget = command.budget;
  const bool published = tables.published.totals.contains(command.budget);
  body.tokens = published ? PublishedGrantSize(command, account->amounts)
                          : GrantSize(command, account->amounts.Free());
  grant.tokens += body.tokens;
  grant.demand_per_second = command.demand_per_second;
  account->amounts.granted += body.tokens;
  // Published totals are spent without openings, and entries transfer tokens to
  // each other, so the pre-authorized amount equals the whole grant.
  body.standing = published ? body.tokens : PreauthorizedIncrease(*team, grant);
  grant.standing += body.standing;
  body.free = account->amounts.Free();
  body.elsewhere = account->amounts.granted - grant.tokens;
  DropIfEmpty(*account, context.run);
  Answer(answer, std::move(body));
}

}  // namespace dotterelshift::state
