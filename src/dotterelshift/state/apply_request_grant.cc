#include <algorithm>  // for max, min
#include <optional>   // for optional

#include "dotterelshift/budget/grant_way.h"  // for WithWay
#include "dotterelshift/state/apply.h"       // for Apply
#include "dotterelshift/state/grants.h"      // for GrantOf

namespace dotterelshift::state {
namespace {

// Near the end of a budget a grant takes at most this part of what is free, so
// that one holder does not keep the last of it from the others.
constexpr Tokens kShareOfFree = 4;

// Under a lease, a holder that has not been heard of gives up its unopened
// part. No clock has to be trusted: its next opening is refused, and without
// an opening it may not dispatch.
void ReclaimLapsed(Context& context, Account& account) {
  Tables& tables = context.tables;
  const WallMs silent = context.stamp - tables.options.lease_ms;
  for (Grant& grant : account.MutableGrants()) {
    if (grant.dead || grant.run == context.run) continue;
    if (tables.runs[grant.run].heard > silent) continue;
    const Tokens kept = std::min(grant.tokens, grant.Opened() + grant.standing);
    account.amounts.granted -= grant.tokens - kept;
    grant.tokens = kept;
  }
}

Tokens SizeOf(const wire::RequestGrantT& command, Tokens free) {
  // Below zero: a published total was lowered under what is held.
  if (free <= 0 || free < command.minimum) return 0;
  const Tokens share = std::max(command.minimum, free / kShareOfFree);
  return std::min({std::max(command.wanted, command.minimum), share, free});
}

// What all entries together may hold of what is left of a published total. All
// they hold is lost when they die at once, and half of what is left bears a cut
// of ten seconds until the last fifth of a day.
constexpr Tokens kHeldPercent = 45;

// The last part of a published total, in thousandths, is not held by entries
// but given out by control, to small requests one at a time: when all entries
// die at once, and take with them what they hold, the small ones of those that
// come are still served. Below the part that entries spread over time.
constexpr Tokens kReservePerMille = 8;

// A small request needs no more than one in so many of that part.
constexpr Tokens kRequestsOfReserve = 4;

// What waits, and a second of the holder's demand, is granted in any case; more
// only up to that part. Where others hold the part and draw little, a holder
// that was given one request's tokens at a time served one request an answer of
// control.
Tokens SizeOfPublished(const wire::RequestGrantT& command,
                       const BudgetAccount& amounts) {
  const Tokens free = amounts.Free();
  if (free <= 0 || free < command.minimum) return 0;
  const Tokens second =
      std::min(command.demand_per_second, free / kShareOfFree);
  const Tokens left = free + amounts.granted;
  const Tokens may_hold = left / 100 * kHeldPercent - amounts.granted;
  const Tokens reserve = amounts.purchased / 1000 * kReservePerMille;
  const Tokens wanted = std::max(
      command.minimum, std::min(command.wanted, std::max(may_hold, second)));
  const Tokens size = std::min(free - reserve, wanted);
  if (size > 0 && size >= command.minimum) return size;
  const bool small = command.minimum <= reserve / kRequestsOfReserve;
  return small ? command.minimum : 0;
}

// By how much the part grows that the holder may spend without openings.
Tokens StandingGrowth(const wire::TeamT& team, const Grant& grant) {
  const budget::HoldingFacts facts{grant.tokens, grant.tokens - grant.Opened(),
                                   grant.demand_per_second,
                                   team.partition_seconds};
  const Tokens target = budget::WithWay(team.grant_way, [&facts](auto policy) {
    return decltype(policy)::StandingTarget(facts);
  });
  return std::max<Tokens>(0, target - grant.standing);
}

// The terms under which a budget is held: its team's, or those of published
// totals, whose entries work without a commit for each request.
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

bool Lapses(const wire::TeamT& team) {
  return budget::WithWay(
      team.grant_way, [](auto policy) { return decltype(policy)::Lapses(); });
}

}  // namespace

void Apply(Context& context, const wire::RequestGrantT& command,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  Account* account = tables.accounts.Find(command.budget);
  const std::optional<wire::TeamT> team = TermsOf(tables, command.budget);
  if (account == nullptr || !team)
    return Refuse(answer, ErrorKind::kNoBudget, command.budget);
  if (!IsAmount(command.wanted) || !IsAmount(command.minimum) ||
      !IsAmount(command.demand_per_second))
    return Refuse(answer, ErrorKind::kBadFrame, "amount out of range");

  if (Lapses(*team) && account->amounts.Free() < command.wanted)
    ReclaimLapsed(context, *account);
  Grant& grant = GrantOf(*account, context.run);
  wire::GrantAnswerT body;
  body.budget = command.budget;
  const bool published = tables.published.totals.contains(command.budget);
  body.tokens = published ? SizeOfPublished(command, account->amounts)
                          : SizeOf(command, account->amounts.Free());
  grant.tokens += body.tokens;
  grant.demand_per_second = command.demand_per_second;
  account->amounts.granted += body.tokens;
  // Published totals are held unwitnessed, and entries hand tokens on, so the
  // two parts of a grant stay equal.
  body.standing = published ? body.tokens : StandingGrowth(*team, grant);
  grant.standing += body.standing;
  body.free = account->amounts.Free();
  body.elsewhere = account->amounts.granted - grant.tokens;
  DropIfEmpty(*account, context.run);
  Answer(answer, std::move(body));
}

}  // namespace dotterelshift::state
