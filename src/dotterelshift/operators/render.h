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

// A day of a report as "2026-12-02" and as days since 1970 (UTC).
std::string FormatDay(int64_t day);
std::optional<int64_t> ParseDay(std::string_view text);

// What a report covers; an empty team means all of them.
struct ReportRange {
  TeamId team;
  int64_t first_day = 0;
  int64_t last_day = 0;
};

// The operators' answers as JSON; docs/CTL.md lists their fields.
Json RenderPlan(const wire::PlanT& plan);
Json RenderStatus(const Backend& backend);
Json RenderReport(const state::State& state, const ReportRange& range);
// One budget, or all when `budget` is empty.
Json RenderBudgets(const state::State& state, const BudgetId& budget);
Json RenderEndpoints(const directory::Directory& directory);
Json RenderHosts(const Backend& backend);
Json RenderOrders(const state::State& state);

// Sums of a report that must agree and don't, one line each: the state's own
// cross-checks, and the days of the report against its totals.
std::vector<std::string> ReportDisagreements(const state::State& state,
                                             const ReportRange& range);

}  // namespace dotterelshift::operators

#endif  // DOTTERELSHIFT_OPERATORS_RENDER_H_
