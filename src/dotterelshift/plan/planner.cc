#include "dotterelshift/plan/planner.h"

#include <set>      // for set
#include <utility>  // for move

#include "dotterelshift/base/error.h"    // for Error
#include "dotterelshift/plan/effects.h"  // for DescribeEffects

namespace dotterelshift::plan {
namespace {

using wire::ChangeBody;

template <typename Table>
std::string PackedBytes(const Table& table) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::TableType::Pack(builder, &table));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

template <typename Table>
bool Differs(const Table* before, const Table& after) {
  return before == nullptr || PackedBytes(*before) != PackedBytes(after);
}

template <typename Body, typename Part>
Body Wrap(const Part& part, std::unique_ptr<Part> Body::*member) {
  Body body;
  body.*member = std::make_unique<Part>(part);
  return body;
}

// Adds the changes that are needed to fulfil an intent to a plan.
class IntentDiff {
 public:
  IntentDiff(const Intent& intent, const state::State& state, wire::PlanT* plan)
      : m_intent(intent),
        m_state(state),
        m_configuration(state.GetConfiguration()),
        m_plan(plan) {
    for (const auto& set : intent.endpoint_sets) m_sets.insert(set.id);
    for (const auto& team : intent.teams) m_teams.insert(team.id);
    for (const auto& budget : intent.budgets) m_budgets.insert(budget.id);
  }

  void Run() {
    AddSets();
    AddTeams();
    AddKeys();
    AddBudgets();
    AddPlacements();
    AddTopUps();
    for (const wire::AddReplicaT& replica : m_intent.add_replicas) Add(replica);
    for (const wire::ChangeT& removal : m_intent.removals) AddRemoval(removal);
  }

 private:
  [[noreturn]] static void Fail(const std::string& text) {
    throw Error(ErrorKind::kBadIntent, text);
  }

  template <typename Body>
  void Add(Body body) {
    auto change = std::make_unique<wire::ChangeT>();
    change->body.Set(std::move(body));
    m_plan->changes.push_back(std::move(change));
  }

  void RequireTeam(const TeamId& team, const std::string& by) const {
    const bool known =
        m_teams.contains(team) || m_configuration.FindTeam(team) != nullptr;
    if (!known) Fail(by + " names team " + team + ", which does not exist");
  }

  void AddSets() {
    for (const auto& set : m_intent.endpoint_sets)
      if (Differs(m_configuration.FindEndpointSet(set.id), set))
        Add(Wrap(set, &wire::UpsertEndpointSetT::endpoint_set));
  }

  void AddTeams() {
    for (const auto& team : m_intent.teams) {
      for (const std::string& set : team.endpoint_sets) {
        const bool known = m_sets.contains(set) ||
                           m_configuration.FindEndpointSet(set) != nullptr;
        if (!known)
          Fail("team " + team.id + " names endpoint set " + set +
               ", which does not exist");
      }
      if (Differs(m_configuration.FindTeam(team.id), team))
        Add(Wrap(team, &wire::UpsertTeamT::team));
    }
  }

  void AddKeys() {
    for (const auto& key : m_intent.keys) {
      RequireTeam(key.team, "key " + key.id);
      if (key.hash.size() != state::KeyHash().size())
        Fail("key " + key.id + " has no whole hash");
      if (Differs(m_configuration.FindKey(key.id), key))
        Add(Wrap(key, &wire::UpsertKeyT::key));
    }
  }

  void AddBudgets() {
    for (const auto& budget : m_intent.budgets) {
      RequireTeam(budget.team, "budget " + budget.id);
      const wire::BudgetT* before = m_configuration.FindBudget(budget.id);
      if (before != nullptr && before->team != budget.team)
        Fail("budget " + budget.id + " is of team " + before->team +
             " and cannot move");
      if (before == nullptr) Add(Wrap(budget, &wire::UpsertBudgetT::budget));
    }
  }

  void AddPlacements() {
    for (const auto& placement : m_intent.placements)
      if (Differs(m_configuration.FindPlacement(placement.model), placement))
        Add(Wrap(placement, &wire::UpsertPlacementT::placement));
  }

  void AddTopUps() {
    for (const auto& top_up : m_intent.top_ups) {
      const bool known = m_budgets.contains(top_up.budget) ||
                         m_configuration.FindBudget(top_up.budget) != nullptr;
      if (!known)
        Fail("top-up " + top_up.id + " names budget " + top_up.budget +
             ", which does not exist");
      if (top_up.tokens <= 0 || top_up.tokens > kMaxTokens)
        Fail("top-up " + top_up.id + " is out of range");
      if (!m_state.KnowsTopUp(top_up.id))
        Add(top_up);
      else
        m_plan->warnings.push_back("top-up " + top_up.id +
                                   " was counted before and is left out");
    }
  }

  // Adds a removal. Fails if the item to remove does not exist.
  void AddRemoval(const wire::ChangeT& removal) {
    const wire::ChangeBodyUnion& body = removal.body;
    const state::Configuration& c = m_configuration;
    if (body.type == ChangeBody::RemoveTeam)
      RequireExisting(c.FindTeam(body.AsRemoveTeam()->id), "team",
                      body.AsRemoveTeam()->id);
    if (body.type == ChangeBody::RemoveKey)
      RequireExisting(c.FindKey(body.AsRemoveKey()->id), "key",
                      body.AsRemoveKey()->id);
    if (body.type == ChangeBody::RemoveEndpointSet)
      RequireExisting(c.FindEndpointSet(body.AsRemoveEndpointSet()->id),
                      "endpoint set", body.AsRemoveEndpointSet()->id);
    if (body.type == ChangeBody::RemovePlacement)
      RequireExisting(c.FindPlacement(body.AsRemovePlacement()->model),
                      "placement of", body.AsRemovePlacement()->model);
    m_plan->changes.push_back(std::make_unique<wire::ChangeT>(removal));
  }

  static void RequireExisting(const void* found, const std::string& kind,
                              const std::string& id) {
    if (found == nullptr) Fail("remove: no " + kind + " " + id);
  }

  const Intent& m_intent;
  const state::State& m_state;
  const state::Configuration& m_configuration;
  wire::PlanT* m_plan;
  std::set<std::string> m_sets;
  std::set<std::string> m_teams;
  std::set<std::string> m_budgets;
};

}  // namespace

wire::PlanT MakePlan(const Intent& intent, const state::State& state,
                     const std::string& plan_id, const std::string& author) {
  wire::PlanT plan;
  plan.id = plan_id;
  plan.author = author;
  plan.base_version = state.GetConfiguration().Version();
  plan.created_ms = state.LastStamp();
  IntentDiff(intent, state, &plan).Run();
  DescribeEffects(state, &plan);
  return plan;
}

}  // namespace dotterelshift::plan
