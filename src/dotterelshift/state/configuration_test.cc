#include "dotterelshift/state/configuration.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>   // for make_unique
#include <string>   // for string
#include <utility>  // for move
#include <vector>   // for vector

namespace dotterelshift::state {
namespace {

wire::ChangeT TeamChange(const std::string& id, std::vector<std::string> sets) {
  wire::UpsertTeamT body;
  body.team = std::make_unique<wire::TeamT>();
  body.team->id = id;
  body.team->endpoint_sets = std::move(sets);
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

wire::ChangeT SetChange(const std::string& id, std::vector<std::string> models,
                        std::vector<std::string> endpoints) {
  wire::UpsertEndpointSetT body;
  body.endpoint_set = std::make_unique<wire::EndpointSetT>();
  body.endpoint_set->id = id;
  body.endpoint_set->models = std::move(models);
  body.endpoint_set->services = {"loan-desk"};
  body.endpoint_set->endpoints = std::move(endpoints);
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

wire::ChangeT KeyChange(const std::string& id, const std::string& team,
                        const KeyHash& hash) {
  wire::UpsertKeyT body;
  body.key = std::make_unique<wire::ApiKeyT>();
  body.key->id = id;
  body.key->team = team;
  body.key->hash.assign(hash.begin(), hash.end());
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

wire::ChangeT BudgetChange(const std::string& id, const std::string& team) {
  wire::UpsertBudgetT body;
  body.budget = std::make_unique<wire::BudgetT>();
  body.budget->id = id;
  body.budget->team = team;
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

// The serialized changes, for comparison.
std::string BytesOf(std::vector<wire::ChangeT> changes) {
  wire::PlanT plan;
  for (wire::ChangeT& change : changes)
    plan.changes.push_back(std::make_unique<wire::ChangeT>(std::move(change)));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Plan::Pack(builder, &plan));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(TeamIsFoundByItsKeyOnly);
  CPPUNIT_TEST(ReachFollowsEndpointSets);
  CPPUNIT_TEST(RemovingATeamRemovesItsKeysAndBudgets);
  CPPUNIT_TEST(AsChangesRebuildsTheConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::vector<wire::ChangeT> changes;
    changes.push_back(SetChange("drafting", {"draft"}, {"e1"}));
    changes.push_back(SetChange("other", {"big"}, {}));
    changes.push_back(TeamChange("dakar", {"drafting"}));
    changes.push_back(TeamChange("thies", {"other", "no-such-set"}));
    changes.push_back(KeyChange("k1", "dakar", HashKey("key", "secret")));
    changes.push_back(BudgetChange("b2", "dakar"));
    changes.push_back(BudgetChange("b1", "dakar"));
    m_configuration = Configuration();
    m_configuration.Apply(changes, 7);
  }

  void TeamIsFoundByItsKeyOnly() {
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, m_configuration.Version());
    const auto* team = m_configuration.FindTeamByKey(HashKey("key", "secret"));
    CPPUNIT_ASSERT(team != nullptr && team->id == "dakar");
    CPPUNIT_ASSERT(!m_configuration.FindTeamByKey(HashKey("key", "other")));
    CPPUNIT_ASSERT(!m_configuration.FindTeamByKey(HashKey("yek", "secret")));
    // After a key id is given a new secret, the old one is no longer accepted.
    const std::vector<wire::ChangeT> changes =
        One(KeyChange("k1", "dakar", HashKey("new", "secret")));
    m_configuration.Apply(changes, 8);
    CPPUNIT_ASSERT(!m_configuration.FindTeamByKey(HashKey("key", "secret")));
    CPPUNIT_ASSERT(m_configuration.FindTeamByKey(HashKey("new", "secret")));
  }

  void ReachFollowsEndpointSets() {
    const Configuration& c = m_configuration;
    CPPUNIT_ASSERT(c.ReachOfModel("dakar", "draft") == Reach::kAllowed);
    CPPUNIT_ASSERT(c.ReachOfModel("dakar", "big") == Reach::kOutOfReach);
    CPPUNIT_ASSERT(c.ReachOfModel("dakar", "none") == Reach::kUnknown);
    CPPUNIT_ASSERT(c.ReachOfService("thies", "loan-desk") == Reach::kAllowed);
    CPPUNIT_ASSERT(c.ReachOfService("thies", "x") == Reach::kUnknown);
    CPPUNIT_ASSERT(c.MayUse("dakar", "e1", "draft"));
    CPPUNIT_ASSERT(!c.MayUse("dakar", "e2", "draft"));
    CPPUNIT_ASSERT(c.MayUse("thies", "e9", "big"));
    CPPUNIT_ASSERT(!c.MayUse("nobody", "e1", "draft"));
  }

  void RemovingATeamRemovesItsKeysAndBudgets() {
    CPPUNIT_ASSERT((m_configuration.BudgetsOf("dakar") ==
                    std::vector<BudgetId>{"b1", "b2"}));
    wire::RemoveTeamT body;
    body.id = "dakar";
    wire::ChangeT change;
    change.body.Set(std::move(body));
    m_configuration.Apply(One(std::move(change)), 8);
    CPPUNIT_ASSERT(!m_configuration.FindTeamByKey(HashKey("key", "secret")));
    CPPUNIT_ASSERT(!m_configuration.FindBudget("b1"));
    CPPUNIT_ASSERT(m_configuration.BudgetsOf("dakar").empty());
  }

  void AsChangesRebuildsTheConfiguration() {
    Configuration copy;
    copy.Apply(m_configuration.AsChanges(), 7);
    CPPUNIT_ASSERT(BytesOf(copy.AsChanges()) ==
                   BytesOf(m_configuration.AsChanges()));
    CPPUNIT_ASSERT(copy.FindTeamByKey(HashKey("key", "secret")));
  }

 private:
  static std::vector<wire::ChangeT> One(wire::ChangeT change) {
    std::vector<wire::ChangeT> changes;
    changes.push_back(std::move(change));
    return changes;
  }
  Configuration m_configuration;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace dotterelshift::state
