#include "dotterelshift/operators/render.h"

#include <algorithm>          // for count_if, sort
#include <array>              // for array
#include <charconv>           // for from_chars
#include <chrono>             // for year_month_day
#include <cstdio>             // for snprintf
#include <nlohmann/json.hpp>  // for ordered_json

namespace dotterelshift::operators {
namespace {

// Returns the keys of a map, sorted so that responses have a stable order.
template <typename Map>
std::vector<std::string> SortedKeys(const Map& map) {
  std::vector<std::string> keys;
  keys.reserve(map.size());
  for (const auto& [key, value] : map) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  return keys;
}

// Describes what a change applies to.
std::string SubjectOf(const wire::ChangeT& change) {
  const auto& body = change.body;
  using enum wire::ChangeBody;
  switch (body.type) {
    case UpsertTeam:
      return body.AsUpsertTeam()->team->id;
    case RemoveTeam:
      return body.AsRemoveTeam()->id;
    case UpsertKey:
      return body.AsUpsertKey()->key->id;
    case RemoveKey:
      return body.AsRemoveKey()->id;
    case UpsertBudget:
      return body.AsUpsertBudget()->budget->id;
    case TopUp:
      return body.AsTopUp()->budget + " by " +
             std::to_string(body.AsTopUp()->tokens) + " (" +
             body.AsTopUp()->id + ")";
    case UpsertEndpointSet:
      return body.AsUpsertEndpointSet()->endpoint_set->id;
    case RemoveEndpointSet:
      return body.AsRemoveEndpointSet()->id;
    case UpsertPlacement:
      return body.AsUpsertPlacement()->placement->model;
    case RemovePlacement:
      return body.AsRemovePlacement()->model;
    case RetireHolder:
      return body.AsRetireHolder()->host + " run " +
             std::to_string(body.AsRetireHolder()->incarnation);
    case AddReplica:
      return body.AsAddReplica()->host;
    case RemoveReplica:
      return std::to_string(body.AsRemoveReplica()->replica);
    case NONE:
      break;
  }
  return "";
}

Json RenderDay(const state::TeamDay& day) {
  Json json;
  json["team"] = day.team;
  json["day"] = FormatDay(day.day);
  json["requests"] = day.requests;
  json["answered"] = day.answered;
  json["spent"] = day.spent;
  json["billed"] = day.billed;
  json["wasted"] = day.spent - day.billed;
  Json refusals = Json::object();
  for (const auto& [kind, count] : day.refusals) {
    const std::string name(RowOf(static_cast<ErrorKind>(kind)).name);
    refusals[name] = {{"with_budget_left", count.with_budget_left},
                      {"without_budget_left", count.without_budget_left}};
  }
  json["refusals"] = std::move(refusals);
  json["first_token_ms"] = day.first_token_ms;
  json["total_ms"] = day.total_ms;
  return json;
}

Json RenderAccount(const BudgetId& id, const TeamId& team,
                   const state::BudgetAccount& account) {
  Json json;
  json["budget"] = id;
  json["team"] = team;
  json["bought"] = account.purchased;
  json["spent"] = account.settled;
  json["billed"] = account.billed;
  json["wasted"] = account.settled - account.billed;
  json["granted"] = account.granted;
  json["stranded"] = account.lost;
  json["free"] = account.Free();
  return json;
}

Json RenderBudget(const state::State& state, const BudgetId& budget,
                  const TeamId& team) {
  const state::BudgetAccount* account = state.FindAccount(budget);
  Json json =
      RenderAccount(budget, team, account ? *account : state::BudgetAccount{});
  json["holders"] = Json::array();
  for (const state::Holding& holding : state.HoldingsOf(budget)) {
    json["holders"].push_back({{"host", holding.holder.host},
                               {"incarnation", holding.holder.incarnation},
                               {"tokens", holding.tokens},
                               {"opened", holding.opened},
                               {"dead", holding.dead}});
  }
  return json;
}

bool IncludesTeam(const ReportRange& range, const TeamId& team) {
  return range.team.empty() || range.team == team;
}

// Sums of one team, over its days or over its budgets.
struct TeamSums {
  Tokens spent = 0;
  Tokens billed = 0;
};

}  // namespace

std::string FormatDay(int64_t day) {
  const std::chrono::sys_days days{std::chrono::days{day}};
  const std::chrono::year_month_day date{days};
  std::array<char, 32> text{};
  std::snprintf(
      text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text.data();
}

std::optional<int64_t> ParseDay(std::string_view text) {
  if (text.size() != 10 || text[4] != '-' || text[7] != '-')
    return std::nullopt;
  const auto number = [&](size_t begin, size_t size) {
    int value = -1;
    const char* end = text.data() + begin + size;
    const auto parsed = std::from_chars(text.data() + begin, end, value);
    return parsed.ptr == end ? value : -1;
  };
  const int year = number(0, 4);
  const int month = number(5, 2);
  const int day = number(8, 2);
  if (year < 1970 || month < 1 || day < 1) return std::nullopt;
  const std::chrono::year_month_day date{
      std::chrono::year{year}, std::chrono::month{static_cast<unsigned>(month)},
      std::chrono::day{static_cast<unsigned>(day)}};
  if (!date.ok()) return std::nullopt;
  return std::chrono::sys_days{date}.time_since_epoch().count();
}

Json RenderPlan(const wire::PlanT& plan) {
  Json json;
  json["plan"] = plan.id;
  json["base_version"] = plan.base_version;
  json["author"] = plan.author;
  json["changes"] = Json::array();
  for (const auto& change : plan.changes) {
    json["changes"].push_back(
        {{"kind", wire::EnumNameChangeBody(change->body.type)},
         {"subject", SubjectOf(*change)}});
  }
  json["effects"] = plan.effects;
  json["warnings"] = plan.warnings;
  return json;
}

Json RenderStatus(const Backend& backend) {
  const state::State& state = *backend.GetState();
  const state::Configuration& configuration = state.GetConfiguration();
  size_t usable = 0;
  for (const auto& [id, endpoint] : backend.GetDirectory()->All())
    usable += endpoint.usable ? 1 : 0;
  size_t open_orders = 0;
  for (const wire::OrderT& order : state.Orders())
    open_orders += order.state == wire::OrderState::Done ? 0 : 1;
  Json json;
  json["leader"] = backend.LeaderHttpAddress();
  json["configuration_version"] = configuration.Version();
  json["teams"] = configuration.Teams().size();
  json["budgets"] = configuration.Budgets().size();
  json["hosts"] = state.Hosts().size();
  json["endpoints"] = backend.GetDirectory()->All().size();
  json["usable_endpoints"] = usable;
  json["orders_not_done"] = open_orders;
  json["quarantined"] = std::ranges::count_if(
      state.Quarantined(backend.WallNow()),
      [](const wire::SuspectAnswerT& entry) { return entry.blocked_ms > 0; });
  json["daemon"] = Json::parse(backend.StatusText(), nullptr, false);
  if (json["daemon"].is_discarded()) json["daemon"] = nullptr;
  return json;
}

Json RenderReport(const state::State& state, const ReportRange& range) {
  Json json;
  json["from"] = FormatDay(range.first_day);
  json["to"] = FormatDay(range.last_day);
  json["time_buckets_ms"] = state::kTimeBucketsMs;
  json["days"] = Json::array();
  for (const state::TeamDay& day :
       state.Report(range.team, range.first_day, range.last_day))
    json["days"].push_back(RenderDay(day));
  json["budgets"] = RenderBudgets(state, "");
  json["budgets"].erase(
      std::remove_if(json["budgets"].begin(), json["budgets"].end(),
                     [&](const Json& budget) {
                       return !IncludesTeam(range, budget["team"]);
                     }),
      json["budgets"].end());
  json["disagreements"] = ReportDisagreements(state, range);
  return json;
}

Json RenderBudgets(const state::State& state, const BudgetId& budget) {
  Json json = Json::array();
  const auto& budgets = state.GetConfiguration().Budgets();
  for (const std::string& id : SortedKeys(budgets))
    if (budget.empty() || budget == id)
      json.push_back(RenderBudget(state, id, budgets.Find(id)->team));
  for (const BudgetId& id : state.PublishedBudgets())
    if (budget.empty() || budget == id)
      json.push_back(RenderBudget(state, id, id));
  return json;
}

Json RenderEndpoints(const directory::Directory& directory) {
  Json json = Json::array();
  for (const std::string& id : SortedKeys(directory.All())) {
    const directory::Endpoint& endpoint = *directory.Find(id);
    const wire::EndpointRecordT& record = endpoint.record;
    Json models = Json::array();
    for (const auto& model : record.models) models.push_back(model->model);
    json.push_back({{"endpoint", id},
                    {"address", record.address},
                    {"data_centre", record.data_centre},
                    {"usable", endpoint.usable},
                    {"draining", record.draining},
                    {"checks_fencing", record.checks_fencing},
                    {"models", std::move(models)},
                    {"services", record.services},
                    {"slots", record.slots},
                    {"running", record.running},
                    {"waiting", record.waiting}});
  }
  return json;
}

Json RenderHosts(const Backend& backend) {
  Json json = Json::array();
  const std::vector<peers::PeerInfo> peers = backend.Peers();
  for (const state::State::HostEntry& host : backend.GetState()->Hosts()) {
    const bool connected =
        std::any_of(peers.begin(), peers.end(),
                    [&](const auto& peer) { return peer.run == host.run; });
    json.push_back(
        {{"host", host.run.host},
         {"incarnation", host.run.incarnation},
         {"role", host.registered.role == wire::HostRole::Control ? "control"
                                                                  : "entry"},
         {"data_centre", host.registered.data_centre},
         {"address", host.registered.address},
         {"connected", connected}});
  }
  return json;
}

Json RenderOrders(const state::State& state) {
  Json json = Json::array();
  for (const wire::OrderT& order : state.Orders()) {
    json.push_back({{"order", order.id},
                    {"fencing", order.fencing},
                    {"endpoint", order.endpoint},
                    {"kind", wire::EnumNameOrderKind(order.kind)},
                    {"model", order.model},
                    {"version", order.version},
                    {"argument", order.argument},
                    {"state", wire::EnumNameOrderState(order.state)},
                    {"detail", order.detail}});
  }
  return json;
}

std::vector<std::string> ReportDisagreements(const state::State& state,
                                             const ReportRange& range) {
  std::vector<std::string> lines = state.Disagreements();
  std::map<TeamId, TeamSums> by_days;
  for (const state::TeamDay& day : state.Report(range.team, 0, INT32_MAX)) {
    by_days[day.team].spent += day.spent;
    by_days[day.team].billed += day.billed;
    if (day.billed > day.spent) {
      lines.push_back("team " + day.team + " on " + FormatDay(day.day) +
                      ": billed " + std::to_string(day.billed) +
                      ", more than spent " + std::to_string(day.spent));
    }
  }
  std::map<TeamId, TeamSums> by_accounts;
  for (const auto& [id, budget] : state.GetConfiguration().Budgets()) {
    const state::BudgetAccount* account = state.FindAccount(id);
    if (!account || !IncludesTeam(range, budget.team)) continue;
    by_accounts[budget.team].spent += account->settled;
    by_accounts[budget.team].billed += account->billed;
    if (account->Free() < 0)
      lines.push_back("budget " + id + ": more given out than bought, by " +
                      std::to_string(-account->Free()));
  }
  for (const auto& [team, sums] : by_accounts) {
    const TeamSums& days = by_days[team];
    if (days.spent != sums.spent) {
      lines.push_back("team " + team + ": its budgets spent " +
                      std::to_string(sums.spent) + ", its days " +
                      std::to_string(days.spent));
    }
    if (days.billed != sums.billed) {
      lines.push_back("team " + team + ": its budgets billed " +
                      std::to_string(sums.billed) + ", its days " +
                      std::to_string(days.billed));
    }
  }
  return lines;
}

}  // namespace dotterelshift::operators
