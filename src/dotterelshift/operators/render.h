#ifndef DOTTERELSHIFT_OPERATORS_RENDER_H_
#define DOTTERELSHIFT_OPERATORS_RENDER_H_

#include <cstdint>                // for int64_t
#include <nlohmann/json_fwd.hpp>  // for ordered_json
#include <optional>               // for optional
#include <string>                 // for string
#include <string_view>            // for string_view

#include "dotterelshift/operators/api.h"  // for Backend
#include "dotterelshift/plan/planner.h"   // for PlanT

namespace dotterelshift::operators {

using Json = nlohmann::ordered_json;

// Convert between days since 1970-01-01 (UTC) and text such as "2026-12-02".
// ParseDay() returns nullopt if `text` is not a valid date from 1970 on.
std::string FormatDay(int64_t day);
std::optional<int64_t> ParseDay(std::string_view text);

// What a report covers. Both days are included; an empty team means all teams.
struct ReportRange {
  TeamId team;
  int64_t first_day = 0;
  int64_t last_day = 0;
};

// The responses of the operator API as JSON; docs/CTL.md lists their fields.
Json RenderPlan(const wire::PlanT& plan);
Json RenderStatus(const Backend& backend);
Json RenderReport(const state::State& state, const ReportRange& range);
// One budget, or all when `budget` is empty.
Json RenderBudgets(const state::State& state, const BudgetId& budget);
Json RenderEndpoints(const directory::Directory& directory);
Json RenderHosts(const Backend& backend);
Json RenderOrders(const state::State& state);

// Returns a line for each mismatch between sums that must agree: the state's
// own cross-checks, and each team's days against its budgets. The latter cover
// all days, not only those of `range`.
std::vector<std::string> ReportDisagreements(const state::State& state,
                                             const ReportRange& range);

}  // namespace dotterelshift::operators

#endif  // DOTTERELSHIFT_OPERATORS_RENDER_H_
