#include "dotterelshift/routing/router.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <string>  // for string

#include "dotterelshift/state/state_testing.h"  // for TeamChange

namespace dotterelshift::routing {
namespace {

constexpr PolicyKind kAllPolicies[] = {
    PolicyKind::kRoundRobin,          PolicyKind::kLeastInFlight,
    PolicyKind::kTwoChoices,          PolicyKind::kSixChoices,
    PolicyKind::kLocalTwoChoices,     PolicyKind::kPrefixAffinity,
    PolicyKind::kLocalPrefixAffinity,
};

// A router over a few endpoints of one model; endpoint 3 also has the adapter
// "dialect".
struct RouterFixture {
  explicit RouterFixture(PolicyKind policy, int endpoints = 4) {
    wire::UpsertEndpointSetT set;
    set.endpoint_set = std::make_unique<wire::EndpointSetT>();
    set.endpoint_set->id = "all";
    set.endpoint_set->models = {"model"};
    std::vector<wire::ChangeT> changes;
    changes.push_back(state::ChangeOf(std::move(set)));
    changes.push_back(state::TeamChange("team"));
    changes.back().body.AsUpsertTeam()->team->endpoint_sets = {"all"};
    changes.push_back(state::TeamChange("stranger"));
    configuration.Apply(changes, 1);
    RouterOptions options;
    options.policy = policy;
    options.data_centre = "Plateau";
    router = MakeRouter(options);
    for (int i = 0; i < endpoints; ++i) Announce(i, 1);
  }

  void Announce(int number, uint64_t sequence, bool draining = false,
                uint32_t running = 0) {
    wire::EndpointRecordT record;
    record.id = "e" + std::to_string(number);
    record.incarnation = 1;
    record.sequence = sequence;
    record.address = "127.0.0.1:" + std::to_string(1000 + number);
    record.data_centre = number % 2 == 0 ? "Plateau" : "Fann";
    record.draining = draining;
    record.slots = 8;
    record.running = running;
    record.models.push_back(std::make_unique<wire::ModelStateT>());
    record.models.back()->model = "model";
    if (number == 3) record.models.back()->adapters = {"dialect"};
    directory.OnRecord(record, now);
    router->Refresh(directory, configuration, now);
  }

  RouteChoice Choose(const std::vector<EndpointId>& exclude = {}) {
    query.exclude = &exclude;
    return router->Choose(query, now);
  }

  // Counts how often each endpoint is chosen in `choices` selections.
  std::map<EndpointId, int> Count(int choices) {
    std::map<EndpointId, int> counts;
    for (int i = 0; i < choices; ++i) ++counts[Choose().endpoint];
    return counts;
  }

  Instant now = Instant{} + 1000s;
  state::Configuration configuration;
  directory::Directory directory;
  std::unique_ptr<Router> router;
  RouteQuery query{.team = "team", .target = "model"};
};

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(DrainingIsNeverChosen);
  CPPUNIT_TEST(ExcludedIsNeverChosen);
  CPPUNIT_TEST(TeamAccessAndAdaptersAreRespected);
  CPPUNIT_TEST(BusyWhenAllAreAtTheirLimits);
  CPPUNIT_TEST(LoadedEndpointIsAvoidedUntilItsReportAges);
  CPPUNIT_TEST(PrefixAffinityIsBoundedByLoad);
  CPPUNIT_TEST(FailingEndpointIsEjectedForAWhile);
  CPPUNIT_TEST(SlowEndpointIsEjected);
  CPPUNIT_TEST(OwnDataCentreComesFirstUntilItIsFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DrainingIsNeverChosen() {
    for (const PolicyKind policy : kAllPolicies) {
      RouterFixture fixture(policy);
      fixture.Announce(2, 2, true);
      CPPUNIT_ASSERT(!fixture.Count(200).contains("e2"));
      for (const int number : {0, 1, 3}) fixture.Announce(number, 2, true);
      CPPUNIT_ASSERT(fixture.Choose().outcome == RouteOutcome::kNone);
    }
  }

  void ExcludedIsNeverChosen() {
    for (const PolicyKind policy : kAllPolicies) {
      RouterFixture fixture(policy);
      for (int i = 0; i < 50; ++i)
        CPPUNIT_ASSERT(fixture.Choose({"e0", "e1", "e3"}).endpoint == "e2");
      CPPUNIT_ASSERT(fixture.Choose({"e0", "e1", "e2", "e3"}).outcome ==
                     RouteOutcome::kNone);
    }
  }

  void TeamAccessAndAdaptersAreRespected() {
    RouterFixture fixture(PolicyKind::kPrefixAffinity);
    fixture.query.team = "stranger";
    CPPUNIT_ASSERT(fixture.Choose().outcome == RouteOutcome::kNone);
    fixture.query.team = "team";
    fixture.query.target = "model:dialect";
    for (int i = 0; i < 20; ++i)
      CPPUNIT_ASSERT_EQUAL(EndpointId("e3"), fixture.Choose().endpoint);
    fixture.query.target = "other";
    CPPUNIT_ASSERT(fixture.Choose().outcome == RouteOutcome::kNone);
  }

  void BusyWhenAllAreAtTheirLimits() {
    for (const PolicyKind policy : kAllPolicies) {
      RouterFixture fixture(policy, 1);
      for (int i = 0; i < 2000; ++i)
        fixture.router->OnStarted("e0", 100, fixture.now);
      const RouteChoice choice = fixture.Choose();
      CPPUNIT_ASSERT(choice.outcome == RouteOutcome::kBusy);
      CPPUNIT_ASSERT(choice.expected_wait > 0s);
    }
  }

  void LoadedEndpointIsAvoidedUntilItsReportAges() {
    RouterFixture fixture(PolicyKind::kSixChoices, 2);
    fixture.now += 100ms;
    fixture.Announce(0, 2, false, 40);
    CPPUNIT_ASSERT(fixture.Count(100)["e0"] < 10);
    fixture.now += 2900ms;
    CPPUNIT_ASSERT(fixture.directory.Find("e0")->usable);
    // The reported requests have probably ended: an old report has little
    // weight compared with the entry's own requests.
    for (int i = 0; i < 4; ++i)
      fixture.router->OnStarted("e1", 100, fixture.now);
    CPPUNIT_ASSERT(fixture.Count(100)["e0"] > 50);
  }

  void PrefixAffinityIsBoundedByLoad() {
    RouterFixture fixture(PolicyKind::kPrefixAffinity);
    const std::vector<uint64_t> prompt = {1, 2, 3, 4};
    fixture.query.prefix_hashes = &prompt;
    const EndpointId home = fixture.Choose().endpoint;
    CPPUNIT_ASSERT_EQUAL(20, fixture.Count(20)[home]);
    for (int i = 0; i < 8; ++i)
      fixture.router->OnStarted(home, 100, fixture.now);
    CPPUNIT_ASSERT(fixture.Choose().endpoint != home);
  }

  void FailingEndpointIsEjectedForAWhile() {
    RouterFixture fixture(PolicyKind::kPrefixAffinity);
    for (int i = 0; i < 3; ++i) {
      fixture.router->OnStarted("e1", 100, fixture.now);
      fixture.router->OnEnded("e1", 100, true, fixture.now);
    }
    CPPUNIT_ASSERT(!fixture.Count(200).contains("e1"));
    fixture.now += 2100ms;
    CPPUNIT_ASSERT(fixture.Count(200).contains("e1"));
  }

  void SlowEndpointIsEjected() {
    RouterFixture fixture(PolicyKind::kRoundRobin);
    for (int i = 0; i < 10; ++i) {
      for (const char* id : {"e0", "e1", "e2"})
        fixture.router->OnFirstToken(id, 100ms, fixture.now);
      fixture.router->OnFirstToken("e3", 900ms, fixture.now);
    }
    CPPUNIT_ASSERT(!fixture.Count(100).contains("e3"));
  }

  void OwnDataCentreComesFirstUntilItIsFull() {
    RouterFixture fixture(PolicyKind::kLocalTwoChoices);
    std::map<EndpointId, int> counts = fixture.Count(100);
    CPPUNIT_ASSERT_EQUAL(100, counts["e0"] + counts["e2"]);
    for (int i = 0; i < 8; ++i) {
      fixture.router->OnStarted("e0", 100, fixture.now);
      fixture.router->OnStarted("e2", 100, fixture.now);
    }
    // Now all endpoints are candidates. Two random ones are both full in a
    // quarter of the selections.
    counts = fixture.Count(1000);
    CPPUNIT_ASSERT(counts["e1"] + counts["e3"] > 700);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace dotterelshift::routing
