#include "dotterelshift/plan/effects.h"

#include <algorithm>  // for set_difference
#include <iterator>   // for back_inserter
#include <set>        // for set
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/state/plan_orders.h"  // for OrdersBetween

namespace dotterelshift::plan {
namespace {

using state::Configuration;
using wire::ChangeBody;
using Names = std::set<std::string>;

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    if (!text.empty()) text += ", ";
    text += part;
  }
  return text;
}

// Copies the teams and endpoint sets, which determine the models and services
// that each team can access.
Configuration CopyAccessConfiguration(const Configuration& from) {
  std::vector<wire::ChangeT> changes;
  for (const auto& [id, set] : from.EndpointSets()) {
    wire::UpsertEndpointSetT body;
    body.endpoint_set = std::make_unique<wire::EndpointSetT>(set);
    changes.emplace_back().body.Set(std::move(body));
  }
  for (const auto& [id, team] : from.Teams()) {
    wire::UpsertTeamT body;
    body.team = std::make_unique<wire::TeamT>(team);
    changes.emplace_back().body.Set(std::move(body));
  }
  Configuration copy;
  copy.Apply(changes, from.Version());
  return copy;
}

Names AccessibleNames(const Configuration& configuration, const TeamId& id) {
  Names names;
  const wire::TeamT* team = configuration.FindTeam(id);
  if (team == nullptr) return names;
  for (const std::string& set_id : team->endpoint_sets) {
    const wire::EndpointSetT* set = configuration.FindEndpointSet(set_id);
    if (set == nullptr) continue;
    names.insert(set->models.begin(), set->models.end());
    names.insert(set->services.begin(), set->services.end());
  }
  return names;
}

std::vector<std::string> Difference(const Names& a, const Names& b) {
  std::vector<std::string> rest;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(rest));
  return rest;
}

std::string_view NameOf(wire::OrderKind kind) {
  switch (kind) {
    case wire::OrderKind::LoadModel:
      return "load model";
    case wire::OrderKind::UnloadModel:
      return "unload model";
    case wire::OrderKind::LoadAdapter:
      return "load adapter";
    case wire::OrderKind::ChangeRole:
      break;
  }
  return "change role";
}

std::string OrderText(const wire::OrderT& order) {
  std::string text(NameOf(order.kind));
  if (!order.argument.empty()) text += " " + order.argument;
  text += order.kind == wire::OrderKind::LoadModel ||
                  order.kind == wire::OrderKind::UnloadModel
              ? " "
              : " for ";
  text += order.model;
  if (!order.version.empty()) text += " version " + order.version;
  return text + " on " + order.endpoint;
}

// Describes the effects of a plan's changes.
class EffectDescriber {
 public:
  EffectDescriber(const state::State& state, wire::PlanT* plan)
      : m_state(state),
        m_before(state.GetConfiguration()),
        m_after(CopyAccessConfiguration(m_before)),
        m_plan(plan) {}

  void Run() {
    std::vector<wire::ChangeT> changes;
    for (const auto& change : m_plan->changes) changes.push_back(*change);
    m_after.Apply(changes, m_before.Version() + 1);
    for (const wire::ChangeT& change : changes) Describe(change.body);
    DescribeAccessChanges();
    WarnOfModelsWithoutPlacement(changes);
    if (changes.empty()) Warn("nothing is to be changed");
  }

 private:
  void Effect(const std::string& text) { m_plan->effects.push_back(text); }
  void Warn(const std::string& text) { m_plan->warnings.push_back(text); }

  void Describe(const wire::ChangeBodyUnion& body) {
    switch (body.type) {
      case ChangeBody::UpsertTeam:
        return DescribeTeam(*body.AsUpsertTeam()->team);
      case ChangeBody::RemoveTeam:
        return DescribeTeamRemoval(body.AsRemoveTeam()->id);
      case ChangeBody::UpsertKey:
        return DescribeKey(*body.AsUpsertKey()->key);
      case ChangeBody::RemoveKey:
        return Effect("key " + body.AsRemoveKey()->id +
                      " is no longer accepted");
      case ChangeBody::UpsertBudget:
        return Effect("budget " + body.AsUpsertBudget()->budget->id +
                      " of team " + body.AsUpsertBudget()->budget->team +
                      " is created, empty");
      case ChangeBody::TopUp:
        return DescribeTopUp(*body.AsTopUp());
      case ChangeBody::UpsertPlacement:
        return DescribeOrders(body.AsUpsertPlacement()->placement->model,
                              body.AsUpsertPlacement()->placement.get());
      case ChangeBody::RemovePlacement:
        return DescribeOrders(body.AsRemovePlacement()->model, nullptr);
      case ChangeBody::RetireHolder:
        return DescribeRetirement(*body.AsRetireHolder());
      case ChangeBody::AddReplica:
        return Effect("replica " +
                      std::to_string(body.AsAddReplica()->replica) + " on " +
                      body.AsAddReplica()->host +
                      " joins; it votes once it has caught up");
      case ChangeBody::RemoveReplica:
        return Effect("replica " +
                      std::to_string(body.AsRemoveReplica()->replica) +
                      " leaves");
      default:
        return;  // endpoint sets are covered by DescribeAccessChanges()
    }
  }

  void DescribeTeam(const wire::TeamT& team) {
    const bool fresh = m_before.FindTeam(team.id) == nullptr;
    Effect("team " + team.id + (fresh ? " is created" : " is changed"));
    if (team.endpoint_sets.empty())
      Warn("team " + team.id + " has no endpoint set: it reaches nothing");
  }

  void DescribeTeamRemoval(const TeamId& id) {
    Effect("team " + id +
           " is removed with its keys and budgets; its requests are refused "
           "(unauthorized)");
    for (const BudgetId& budget : m_before.BudgetsOf(id)) {
      const state::BudgetAccount* account = m_state.FindAccount(budget);
      if (account == nullptr) continue;
      const Tokens unspent = account->purchased - account->settled;
      if (unspent > 0)
        Warn("budget " + budget + " still has " + std::to_string(unspent) +
             " tokens, which nobody can use any more");
    }
  }

  void DescribeKey(const wire::ApiKeyT& key) {
    const bool fresh = m_before.FindKey(key.id) == nullptr;
    Effect("key " + key.id + " of team " + key.team +
           (fresh ? " is accepted" : " is replaced: the old one is refused"));
  }

  void DescribeTopUp(const wire::TopUpT& top_up) {
    const state::BudgetAccount* account = m_state.FindAccount(top_up.budget);
    const Tokens before = account == nullptr ? 0 : account->purchased;
    Effect("budget " + top_up.budget + " grows by " +
           std::to_string(top_up.tokens) + " tokens, from " +
           std::to_string(before) + " purchased");
  }

  void DescribeOrders(const ModelName& model,
                      const wire::ModelPlacementT* after) {
    for (const wire::OrderT& order :
         state::OrdersBetween(m_before.FindPlacement(model), after))
      Effect("order " + std::to_string(++m_orders) + ": " + OrderText(order));
    if (after != nullptr && after->endpoints.empty())
      Warn("model " + model + " is placed on no endpoint");
  }

  void DescribeRetirement(const wire::RetireHolderT& body) {
    const std::string name =
        body.host + " (incarnation " + std::to_string(body.incarnation) + ")";
    const HostRun run{body.host, body.incarnation};
    bool known = false;
    for (const auto& host : m_state.Hosts()) known = known || host.run == run;
    for (const auto& [budget, unused] : m_before.Budgets())
      for (const state::Holding& holding : m_state.HoldingsOf(budget))
        if (holding.holder == run) DescribeRetired(name, budget, holding);
    if (!known) return;
    Warn(name +
         " is the newest run of its host. If it still runs it goes on "
         "serving from its standing part until it hears of this; nothing of "
         "that part is given out again before a second retirement");
  }

  void DescribeRetired(const std::string& name, const BudgetId& budget,
                       const state::Holding& holding) {
    const std::string of = " of budget " + budget;
    if (!holding.dead) {
      Effect(name + " is shut out: what it cannot have spent of " +
             std::to_string(holding.tokens) + " tokens" + of +
             " is free, the rest counts as lost");
      return;
    }
    const Tokens opened = std::min(holding.opened, holding.tokens);
    Effect(std::to_string(holding.tokens - opened) + " tokens" + of + " that " +
           name + " left are free again; " + std::to_string(opened) +
           " in its open attempts count as spent");
    if (holding.tokens == opened) return;
    Warn("if " + name + " spent any of these " +
         std::to_string(holding.tokens - opened) + " tokens" + of +
         " while it was cut off, spend can exceed the budget by as much: "
         "confirm only if you know that it did not, or that its spool has "
         "been read");
  }

  void DescribeAccessChanges() {
    Names teams;
    for (const auto& [id, team] : m_before.Teams()) teams.insert(id);
    for (const auto& [id, team] : m_after.Teams()) teams.insert(id);
    for (const TeamId& team : teams) {
      const Names before = AccessibleNames(m_before, team);
      const Names after = AccessibleNames(m_after, team);
      if (before == after) continue;
      const auto gained = Difference(after, before);
      const auto lost = Difference(before, after);
      if (!gained.empty())
        Effect("team " + team + " gains reach of " + Join(gained));
      if (lost.empty()) continue;
      Effect("team " + team + " loses reach of " + Join(lost) +
             ": its requests for them are refused");
      if (m_after.FindTeam(team) != nullptr && after.empty())
        Warn("team " + team + " reaches nothing any more");
    }
  }

  void WarnOfModelsWithoutPlacement(const std::vector<wire::ChangeT>& changes) {
    for (const wire::ChangeT& change : changes) {
      if (change.body.type != ChangeBody::UpsertEndpointSet) continue;
      const auto& set = *change.body.AsUpsertEndpointSet()->endpoint_set;
      for (const std::string& model : set.models) {
        const bool placed = m_before.FindPlacement(model) != nullptr ||
                            m_after.FindPlacement(model) != nullptr;
        if (placed) continue;
        Warn("model " + model + " of endpoint set " + set.id +
             " has no placement: it is served where an endpoint announces "
             "it");
      }
    }
  }

  const state::State& m_state;
  const Configuration& m_before;
  Configuration m_after;
  wire::PlanT* m_plan;
  int m_orders = 0;
};

}  // namespace

void DescribeEffects(const state::State& state, wire::PlanT* plan) {
  EffectDescriber(state, plan).Run();
}

}  // namespace dotterelshift::plan
