#include <iterator>  // for next

#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/requests.h"  // for AgeRequests

namespace dotterelshift::state {
namespace {

// Number of ended orders that are kept for `status`.
constexpr size_t kEndedOrdersKept = 1000;

template <typename Map, typename Old>
void EraseOld(Map& map, const Old& old) {
  for (auto entry = map.begin(); entry != map.end();)
    entry = old(entry->second) ? map.erase(entry) : std::next(entry);
}

void AgePlans(Tables& tables, WallMs stamp) {
  const StateOptions& options = tables.options;
  const uint64_t newest = tables.configuration.Version();
  EraseOld(tables.plans, [&](const StoredPlan& stored) {
    if (stored.version == 0)
      return stored.stored + options.plan_age_out_ms < stamp;
    const bool old = stored.confirmed + options.confirmed_plan_ms < stamp;
    if (!old || stored.version == newest) return false;
    tables.plan_by_version.erase(stored.version);
    return true;
  });
}

void AgeOrders(std::vector<wire::OrderT>& orders) {
  size_t ended = 0;
  std::vector<wire::OrderT> kept;
  for (auto order = orders.rbegin(); order != orders.rend(); ++order) {
    const bool open = order->state == wire::OrderState::Planned ||
                      order->state == wire::OrderState::Sent;
    if (open || ended < kEndedOrdersKept) kept.push_back(std::move(*order));
    if (!open) ++ended;
  }
  orders.assign(kept.rbegin(), kept.rend());
}

// Days older than reports reach are summed up in one line, so that the totals
// still agree with the accounts.
void AgeDays(Tables& tables, WallMs stamp) {
  const int64_t first_kept = stamp / kDayMs - tables.options.days_kept;
  std::vector<TeamDay> old;
  for (const auto& [key, day] : tables.days)
    if (day.day < first_kept && day.day != kFoldedDay) old.push_back(day);
  for (const TeamDay& day : old) {
    TeamDay& folded = tables.days[{day.team, kFoldedDay}];
    folded.team = day.team;
    folded.day = kFoldedDay;
    folded.requests += day.requests;
    folded.answered += day.answered;
    folded.spent += day.spent;
    folded.billed += day.billed;
    tables.days.erase({day.team, day.day});
  }
}

}  // namespace

// Bills and claims were added to the daily totals when they were settled, so
// only their keys are kept.
void Apply(Context& context, const wire::AgeOutT&,
           wire::CommandAnswerT& answer) {
  Tables& tables = context.tables;
  const WallMs stamp = context.stamp;
  AgeRequests(tables);
  AgePlans(tables, stamp);
  AgeOrders(tables.orders);
  EraseOld(tables.suspects, [&](const Suspect& suspect) {
    return suspect.last + tables.options.suspect_memory_ms < stamp &&
           suspect.quarantined_until < stamp;
  });
  AgeDays(tables, stamp);
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
