#include "dotterelshift/plan/planner.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for any_of

#include "dotterelshift/base/error.h"           // for Error
#include "dotterelshift/state/state_testing.h"  // for Accept

namespace dotterelshift::plan {
namespace {

class PlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannerTest);
  CPPUNIT_TEST(OnlyDifferencesBecomeChanges);
  CPPUNIT_TEST(AccessChangesAreDescribed);
  CPPUNIT_TEST(OrdersAreDescribedInSequence);
  CPPUNIT_TEST(BadReferencesTable);
  CPPUNIT_TEST(RetirementIsDescribedWithWarning);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = state::MakeState();
    m_run = state::TestSender(m_state.get(), "control", 1);
    m_plans = 0;
    Intent intent;
    intent.endpoint_sets.push_back(SetOf("drafting", {"draft", "big"}));
    intent.teams.push_back(TeamOf("dakar", {"drafting"}));
    intent.budgets.push_back(BudgetOf("b", "dakar"));
    intent.top_ups.push_back(TopUpOf("t1", "b", 1000));
    Confirm(intent);
  }

  void OnlyDifferencesBecomeChanges() {
    CPPUNIT_ASSERT_EQUAL(Tokens{1000}, m_state->FindAccount("b")->purchased);
    Intent intent;
    intent.teams.push_back(TeamOf("dakar", {"drafting"}));
    intent.budgets.push_back(BudgetOf("b", "dakar"));
    intent.top_ups.push_back(TopUpOf("t1", "b", 1000));
    const wire::PlanT same = Plan(intent);
    CPPUNIT_ASSERT(same.changes.empty());
    CPPUNIT_ASSERT(ContainsText(same.warnings, "t1 was counted before"));
    CPPUNIT_ASSERT(ContainsText(same.warnings, "nothing is to be changed"));
    intent.teams[0].weight = 3;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Plan(intent).changes.size());
  }

  void AccessChangesAreDescribed() {
    Intent intent;
    intent.endpoint_sets.push_back(SetOf("drafting", {"draft", "new"}));
    const wire::PlanT plan = Plan(intent);
    CPPUNIT_ASSERT(ContainsText(plan.effects, "team dakar gains reach of new"));
    CPPUNIT_ASSERT(ContainsText(plan.effects, "team dakar loses reach of big"));
    CPPUNIT_ASSERT(ContainsText(plan.warnings, "model new"));
    Intent removal;
    wire::RemoveTeamT body;
    body.id = "dakar";
    removal.removals.push_back(state::ChangeOf(body));
    const wire::PlanT removed = Plan(removal);
    CPPUNIT_ASSERT(ContainsText(removed.effects, "loses reach of big, draft"));
    CPPUNIT_ASSERT(ContainsText(removed.warnings, "still has 1000 tokens"));
  }

  void OrdersAreDescribedInSequence() {
    Intent intent;
    wire::ModelPlacementT placement;
    placement.model = "draft";
    placement.version = "1";
    placement.endpoints = {"e1", "e2"};
    placement.adapters = {"loans"};
    intent.placements.push_back(placement);
    const wire::PlanT plan = Plan(intent);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, plan.effects.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("order 1: load model draft version 1 on e1"),
        plan.effects[0]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("order 2: load adapter loans for draft version 1 on e1"),
        plan.effects[1]);
    Confirm(intent);
    intent.placements[0].endpoints = {"e2"};
    const wire::PlanT fewer = Plan(intent);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fewer.effects.size());
    CPPUNIT_ASSERT(
        ContainsText(fewer.effects, "unload model draft version 1 on e1"));
  }

  void BadReferencesTable() {
    struct Row {
      const char* text;
      Intent intent;
    };
    Row rows[7];
    rows[0].text = "no-set";
    rows[0].intent.teams.push_back(TeamOf("x", {"no-set"}));
    rows[1].text = "no-team";
    rows[1].intent.budgets.push_back(BudgetOf("x", "no-team"));
    rows[2].text = "cannot move";
    rows[2].intent.teams.push_back(TeamOf("y", {}));
    rows[2].intent.budgets.push_back(BudgetOf("b", "y"));
    rows[3].text = "no-budget";
    rows[3].intent.top_ups.push_back(TopUpOf("t", "no-budget", 5));
    rows[4].text = "out of range";
    rows[4].intent.top_ups.push_back(TopUpOf("t", "b", kMaxTokens + 1));
    rows[5].text = "no key nobody";
    wire::RemoveKeyT remove;
    remove.id = "nobody";
    rows[5].intent.removals.push_back(state::ChangeOf(remove));
    rows[6].text = "whole hash";
    rows[6].intent.keys.emplace_back().team = "dakar";
    for (const Row& row : rows) {
      try {
        Plan(row.intent);
        CPPUNIT_FAIL(row.text);
      } catch (const Error& error) {
        CPPUNIT_ASSERT(error.Kind() == ErrorKind::kBadIntent);
        CPPUNIT_ASSERT_MESSAGE(
            error.what(),
            std::string(error.what()).find(row.text) != std::string::npos);
      }
    }
  }

  void RetirementIsDescribedWithWarning() {
    state::TestSender entry(m_state.get(), "entry", 5);
    entry.Send(state::GrantRequestOf("b", 200, 1), 1);
    Intent intent;
    wire::RetireHolderT body;
    body.host = "entry";
    body.incarnation = 5;
    intent.removals.push_back(state::ChangeOf(body));
    const wire::PlanT first = Plan(intent);
    CPPUNIT_ASSERT(ContainsText(first.effects, "is shut out"));
    CPPUNIT_ASSERT(ContainsText(first.warnings, "newest run of its host"));
    Confirm(intent);
    const wire::PlanT second = Plan(intent);
    CPPUNIT_ASSERT(ContainsText(second.effects, "60 tokens of budget b"));
    CPPUNIT_ASSERT(
        ContainsText(second.warnings, "spend can exceed the budget"));
  }

 private:
  static wire::TeamT TeamOf(const TeamId& id, std::vector<std::string> sets) {
    wire::TeamT team;
    team.id = id;
    team.endpoint_sets = std::move(sets);
    return team;
  }
  static wire::EndpointSetT SetOf(const std::string& id,
                                  std::vector<std::string> models) {
    wire::EndpointSetT set;
    set.id = id;
    set.models = std::move(models);
    return set;
  }
  static wire::BudgetT BudgetOf(const BudgetId& id, const TeamId& team) {
    wire::BudgetT budget;
    budget.id = id;
    budget.team = team;
    return budget;
  }
  static wire::TopUpT TopUpOf(const std::string& id, const BudgetId& budget,
                              Tokens tokens) {
    wire::TopUpT top_up;
    top_up.id = id;
    top_up.budget = budget;
    top_up.tokens = tokens;
    return top_up;
  }

  wire::PlanT Plan(const Intent& intent) {
    return MakePlan(intent, *m_state, "p" + std::to_string(++m_plans), "awa");
  }
  void Confirm(const Intent& intent) {
    wire::StorePlanT store;
    store.plan = std::make_unique<wire::PlanT>(Plan(intent));
    const std::string id = store.plan->id;
    m_run.Send(std::move(store), 1);
    const auto answer = m_run.Send(state::ConfirmOf(id), 1);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.detail, uint16_t{0}, answer.error);
  }
  static bool ContainsText(const std::vector<std::string>& lines,
                           const std::string& text) {
    return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
      return line.find(text) != std::string::npos;
    });
  }

  std::unique_ptr<state::State> m_state;
  state::TestSender m_run{nullptr, "", 0};
  int m_plans = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannerTest);

}  // namespace
}  // namespace dotterelshift::plan
