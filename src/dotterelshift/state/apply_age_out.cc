#include <iterator>  // for next

#include "dotterelshift/state/apply.h"     // for Apply
#include "dotterelshift/state/requests.h"  // for CompactRequests

namespace dotterelshift::state {
namespace {

// Number of ended orders that are kept for `status`.
constexpr size_t kMaxEndedOrders = 1000;

template <typename Map, typename Old>
void EraseExpired(Map& map, const Old& old) {
  for (auto entry = map.begin(); entry != map.end();)
    entry = old(entry->second) ? map.erase(entry) : std::next(entry);
}

void ExpirePlans(Tables& tables, WallMs stamp) {
  const StateOptions& options = tables.options;
  const uint64_t newest = tables.configuration.Version();
  EraseExpired(tables.plans, [&](const StoredPlan& stored) {
    if (stored.version == 0)
      return stored.stored + options.unconfirmed_plan_retention_ms < stamp;
    const bool old =
        stored.confirmed + options.confirmed_plan_retention_ms < stamp;
    if (!old || stored.version == newest) return false;
    tables.plan_by_version.erase(stored.version);
    return true;
  });
}

void PruneOrders(std::vector<wire::OrderT>& orders) {
  size_t ended = 0;
  std::vector<wire::OrderT> kept;
  for (auto order = orders.rbegin(); order != orders.rend(); ++order) {
    const bool open = order->state == wire::OrderState::Planned ||
                      order->state == wire::OrderState::Sent;
    if (open || ended < kMaxEndedOrders) kept.push_back(std::move(*order));
    if (!open) ++ended;
  }
  orders.assign(kept.rbegin(), kept.rend());
}

// Sums the days older than StateOptions::report_retention_days into one line
// per team, so that the totals still agree with the accounts.
void AggregateOldDays(Tables& tables, WallMs stamp) {
  const int64_t first_kept =
      stamp / kDayMs - tables.options.report_retention_days;
  std::vector<TeamDay> old;
  for (const auto& [key, day] : tables.days)
    if (day.day < first_kept && day.day != kAggregatedDay) old.push_back(day);
  for (const TeamDay& day : old) {
    TeamDay& aggregated = tables.days[{day.team, kAggregatedDay}];
    aggregated.team = day.team;
    aggregated.day = kAggregatedDay;
    aggregated.requests += day.requests;
    aggregated.answered += day.answered;
    aggregated.spent += day.spent;
    aggregated.billed += day.billed;
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
  CompactRequests(tables);
  ExpirePlans(tables, stamp);
  PruneOrders(tables.orders);
  EraseExpired(tables.suspects, [&](const Suspect& suspect) {
    return suspect.last + tables.options.suspect_retention_ms < stamp &&
           suspect.quarantined_until < stamp;
  });
  AggregateOldDays(tables, stamp);
  Answer(answer, wire::DoneAnswerT());
}

}  // namespace dotterelshift::state
