#include "dotterelshift/plan/intent.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/base/error.h"   // for Error
#include "dotterelshift/base/tokens.h"  // for kMaxTokens

namespace dotterelshift::plan {
namespace {

// A substitute for the fleet's keyed hash.
state::KeyHash HashForTest(std::string_view key) {
  state::KeyHash hash{};
  for (size_t i = 0; i < key.size(); ++i) hash.at(i % hash.size()) += key[i];
  return hash;
}

const std::string kFullIntent = R"(
teams: [{id: ucad, policy: refusals_first, grant_way: clock_lease, partition: 90s, weight: 3, class: gold, endpoint_sets: [drafting]}]
keys: [{id: ucad-1, team: ucad, key: "0123456789abcdef"}]
budgets: [{id: ucad-2026, team: ucad}]
top_ups: [{id: po-1771, budget: ucad-2026, tokens: 5M}, {id: po-1772, budget: ucad-2026, tokens: 7}]
endpoint_sets: [{id: drafting, endpoints: [draft-1], models: [citations-7b], services: [loan-desk]}]
placements: [{model: citations-7b, version: v2, adapters: [fr], endpoints: [draft-1], role: decode}]
remove: {teams: [old], keys: [old-1], endpoint_sets: [gone], placements: [tiny], replicas: [7]}
retire_holders: [{host: fann-1, incarnation: 99}]
add_replicas: [{host: yoff-1, address: "10.0.0.3:7400", replica: 4}]
)";

struct BadCase {
  std::string yaml;
  std::string refusal;
};

const BadCase kBadIntents[] = {
    {"- a\n", "i.yaml:1: the intent is not a map"},
    {"", "i.yaml:1: the intent is not a map"},
    {"teams: {id: a}\n", "teams is not a list"},
    {"team: []\n", "i.yaml:1: unknown field 'team'"},
    {"teams: []\nteams: []\n", "i.yaml:2: field 'teams' stands twice"},
    {"teams:\n - {id: a}\n - {id: a}\n", "i.yaml:3: teams name 'a' twice"},
    {"teams: [{id: a, id: b}]\n", "field 'id' stands twice"},
    {"teams: [{id: a, colour: b}]\n", "unknown field 'colour'"},
    {"teams: [{policy: refusals_first}]\n", "has no id"},
    {"teams: [{id: 'a b'}]\n", "is not a name"},
    {"teams: [{id: \"a\\0b\"}]\n", "is not a name"},
    {"teams: [{id: a, policy: none}]\n",
     "(expected one of overspend_first, refusals_first)"},
    {"teams: [{id: a, grant_way: hope}]\n",
     "(expected one of unwitnessed, clock_lease, witnessed)"},
    {"teams: [{id: a, partition: 60}]\n", "has a wrong unit"},
    {"teams: [{id: a, partition: 1500ms}]\n", "(expected whole seconds"},
    {"teams: [{id: a, partition: -1s}]\n", "is negative"},
    {"teams: [{id: a, weight: 0}]\n", "out of bounds"},
    {"teams: [{id: a, endpoint_sets: [b, b]}]\n", "names 'b' twice"},
    {"keys: [{id: a, team: t, key: short}]\n", "is not a bearer key"},
    {"keys:\n - {id: a, team: t, key: 0123456789abcdef}\n"
     " - {id: b, team: t, key: 0123456789abcdef}\n",
     "i.yaml:3: the same key stands twice"},
    {"budgets: [{id: a}]\n", "has no team"},
    {"top_ups: [{id: a, budget: b, tokens: -5}]\n", "is negative"},
    {"top_ups: [{id: a, budget: b, tokens: 0}]\n", "out of bounds"},
    {"top_ups: [{id: a, budget: b, tokens: 5T}]\n", "has a wrong unit"},
    {"top_ups: [{id: a, budget: b, tokens: 5m}]\n", "has a wrong unit"},
    {"top_ups: [{id: a, budget: b, tokens: 1.5M}]\n", "has a wrong unit"},
    {"top_ups: [{id: a, budget: b, tokens: 2000000G}]\n", "out of bounds"},
    {"top_ups: [{id: a, budget: b, tokens: 99999999999G}]\n", "too large"},
    {"top_ups: [{id: a, budget: b, tokens: 99999999999999999999}]\n",
     "too large"},
    {"top_ups: [{id: a, budget: b, tokens: [1]}]\n", "is not a text"},
    {"top_ups:\n - {id: a, budget: b, tokens: 1}\n"
     " - {id: a, budget: b, tokens: 1}\n",
     "i.yaml:3: top_ups name 'a' twice"},
    {"teams: [{id: a}]\nremove: {teams: [a]}\n", "both set and removed"},
    {"remove: {budgets: [a]}\n", "unknown field 'budgets'"},
    {"remove: {replicas: [-1]}\n", "is negative"},
    {"retire_holders: [{host: a}]\n", "has no incarnation"},
    {"retire_holders: [{host: a, incarnation: 1}, {host: a, incarnation: 1}]\n",
     "the same holder stands twice"},
    {"add_replicas: [{host: a, address: b, replica: 1}]\n",
     "is not an address"},
    {"add_replicas: [{host: a, address: 10.0.0.1:7400, replica: 0}]\n",
     "out of bounds"},
    {"teams: [\n", "not valid YAML"},
    {"teams: []\n---\nteams: []\n", "a second document"},
};

class IntentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IntentTest);
  CPPUNIT_TEST(ReadsEveryField);
  CPPUNIT_TEST(TeamFieldsHaveDefaults);
  CPPUNIT_TEST(InvalidIntentsAreRejectedWithTheirLine);
  CPPUNIT_TEST(RejectedKeyIsNotInErrorText);
  CPPUNIT_TEST_SUITE_END();

  void ReadsEveryField() {
    const Intent intent = ParseIntent(kFullIntent, "i.yaml", HashForTest);
    const wire::TeamT& team = intent.teams.at(0);
    CPPUNIT_ASSERT(team.policy == wire::TeamPolicy::RefusalsFirst);
    CPPUNIT_ASSERT(team.grant_way == wire::GrantWay::ClockLease);
    CPPUNIT_ASSERT_EQUAL(uint32_t{90}, team.partition_seconds);
    CPPUNIT_ASSERT_EQUAL(std::string("gold"), team.request_class);
    CPPUNIT_ASSERT_EQUAL(size_t{32}, intent.keys.at(0).hash.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{5'000'000}, intent.top_ups.at(0).tokens);
    CPPUNIT_ASSERT_EQUAL(Tokens{7}, intent.top_ups.at(1).tokens);
    CPPUNIT_ASSERT_EQUAL(std::string("loan-desk"),
                         intent.endpoint_sets.at(0).services.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("decode"), intent.placements.at(0).role);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, intent.removals.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, intent.add_replicas.at(0).replica);
  }

  void TeamFieldsHaveDefaults() {
    const Intent intent =
        ParseIntent("teams: [{id: a}]\n", "i.yaml", HashForTest);
    const wire::TeamT& team = intent.teams.at(0);
    CPPUNIT_ASSERT_EQUAL(uint32_t{15}, team.partition_seconds);
    CPPUNIT_ASSERT(team.grant_way == wire::GrantWay::Witnessed);
    CPPUNIT_ASSERT(team.policy == wire::TeamPolicy::OverspendFirst);
  }

  static std::string RefusalOf(const std::string& yaml) {
    try {
      ParseIntent(yaml, "i.yaml", HashForTest);
    } catch (const Error& error) {
      CPPUNIT_ASSERT(error.Kind() == ErrorKind::kBadIntent);
      return error.what();
    }
    return "accepted";
  }

  void InvalidIntentsAreRejectedWithTheirLine() {
    for (const BadCase& bad : kBadIntents) {
      const std::string refusal = RefusalOf(bad.yaml);
      CPPUNIT_ASSERT_MESSAGE(
          bad.yaml + " gave '" + refusal + "', not '" + bad.refusal + "'",
          refusal.find(bad.refusal) != std::string::npos &&
              refusal.find("(expected ") != std::string::npos);
    }
  }

  void RejectedKeyIsNotInErrorText() {
    const std::string refusal =
        RefusalOf("keys: [{id: a, team: t, key: 'secret words'}]\n");
    CPPUNIT_ASSERT(refusal.find("secret") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntentTest);

}  // namespace
}  // namespace dotterelshift::plan
