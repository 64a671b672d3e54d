// All entries were killed at once. One that has just started knows endpoints
// and routes as they are now, and not what began the streams that callers
// resume.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreKilledFleetTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreKilledFleetTest);
  CPPUNIT_TEST(ServiceOfARouteThatMovedIsNotTakenForTheFirstOne);
  CPPUNIT_TEST(RouteThatTookAnothersPathIsNotTakenForTheFirstOne);
  CPPUNIT_TEST(SplitRouteDoesNotTellWhichServiceBeganAStream);
  CPPUNIT_TEST(OneVersionAndOneServiceAreEnoughIfBothWereWatched);
  CPPUNIT_TEST(ControlIsAskedBeforeTheOnlyVersionIsTaken);
  CPPUNIT_TEST(UnclearOriginIsRefusedThoughOneVersionIsKnown);
  CPPUNIT_TEST(StreamWaitsForTheEndpointsOfItsVersion);
  CPPUNIT_TEST(LeadersAnswerDoesNotEndTheWaitForEndpoints);
  CPPUNIT_TEST(WaitForTheDirectoryIsShort);
  CPPUNIT_TEST(CallersOfStreamsThatAreGoneComeBackLate);
  CPPUNIT_TEST(CallersOfStreamsThatMayBeKnownSoonComeBackEarly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    m_resumed_path = "/resume/x/";
    CoreDependencies parts = Parts();
    parts.lookup = &m_lookup;
    m_core = MakeCore(CoreOptions(), parts);
    PublishStreams({{"llm", 1}});
    AnnounceEngine("a", "llm");
    AnnounceEngine("b", "other");
    m_now += 100s;
    m_core->OnViewComplete(m_now - 50s);
    m_core->OnViewConfirmed(m_now, m_now);
  }

  void ServiceOfARouteThatMovedIsNotTakenForTheFirstOne() {
    PublishStreams({{"other", 1}});
    ExpectUnknownUntilWatched();
  }

  void RouteThatTookAnothersPathIsNotTakenForTheFirstOne() {
    PublishStreams({{"llm", 1}}, "other");
    ExpectUnknownUntilWatched();
  }

  void SplitRouteDoesNotTellWhichServiceBeganAStream() {
    PublishStreams({{"llm", 1}, {"other", 1}});
    m_now += 100s;
    Resume("");
    ExpectRefused();
  }

  void OneVersionAndOneServiceAreEnoughIfBothWereWatched() {
    Resume("");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  void ControlIsAskedBeforeTheOnlyVersionIsTaken() {
    AskControl();
    Resume("first");
    CPPUNIT_ASSERT(m_last.empty());
    Learn("first", "llm", "v0");
    ExpectRefused();
  }

  void UnclearOriginIsRefusedThoughOneVersionIsKnown() {
    m_origins->OnUnclear("control", origins::StreamKeyOf("team", "first"),
                         m_now);
    Resume("first");
    ExpectRefused();
  }

  void StreamWaitsForTheEndpointsOfItsVersion() {
    BeginWithoutDirectory();
    Resume("first");
    CPPUNIT_ASSERT(m_last.empty());
    m_now += 40ms;
    AnnounceEngine("a", "llm");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Only<StartAttempt>().endpoint.id);
  }

  // The view counts as complete a moment before its last endpoints are known.
  void LeadersAnswerDoesNotEndTheWaitForEndpoints() {
    BeginWithoutDirectory();
    Resume("first");
    m_now += 40ms;
    m_core->OnViewComplete(m_now);
    m_core->OnViewConfirmed(m_now, m_now);
    Collect();
    CPPUNIT_ASSERT(m_last.empty());
    AnnounceEngine("a", "llm");
    Advance(CoreOptions().max_directory_wait);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  void WaitForTheDirectoryIsShort() {
    BeginWithoutDirectory();
    Resume("first");
    Advance(299ms);
    CPPUNIT_ASSERT(m_last.empty());
    Advance(1ms);
    ExpectRefused();
  }

  // They may come again, but not before a sixth of their time.
  void CallersOfStreamsThatAreGoneComeBackLate() {
    Tell("first", "llm", "v0");
    Resume("first");
    ExpectRefused();
    CPPUNIT_ASSERT(Only<Refuse>().retry_after >= 4s / 6);
  }

  void CallersOfStreamsThatMayBeKnownSoonComeBackEarly() {
    PublishStreams({{"other", 1}});
    AskControl();
    Resume("first");
    m_now += origins::OriginLookupOptions().timeout;
    m_lookup.TakeQuestions(m_now - origins::OriginLookupOptions().timeout);
    m_lookup.OnTimer(m_now);
    m_core->OnOriginsLookedUp(m_lookup.TakeEnded(), m_now);
    Collect();
    ExpectRefused();
    CPPUNIT_ASSERT(Only<Refuse>().retry_after <=
                   2 * CoreOptions().min_retry_after);
  }

 private:
  // `longer`: service of a further route, which takes requests of the first.
  void PublishStreams(const std::vector<WeightedService>& services,
                      const ServiceName& longer = "") {
    Routes routes;
    routes.version = ++m_version;
    Route route = RouteOf("/resume/", RouteKind::kStream, "", 2);
    route.resumable = true;
    route.services = services;
    routes.routes.push_back(route);
    if (!longer.empty()) {
      route.path_prefix = "/resume/x/";
      route.services = {{longer, 1}};
      routes.routes.push_back(route);
    }
    for (const char* name : {"llm", "other"})
      routes.services.push_back({name, 10, EngineCapacity{8, 100'000, 6}});
    routes.teams = {{"team", {"key"}, std::nullopt, std::nullopt}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
  }

  void AnnounceEngine(const EndpointId& id, const ServiceName& service) {
    wire::EndpointRecordT record;
    record.id = id;
    record.sequence = 1;
    record.address = id + ":80";
    record.services = {service};
    record.slots = 6;
    record.software_version = "v1";
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Collect();
  }

  void BeginWithoutDirectory() {
    m_directory = directory::Directory();
    m_versions = origins::ServiceVersions();
    m_core->OnEndpointsChanged(m_directory, m_now);
    m_core->OnViewComplete(std::nullopt);
    Collect();
    Tell("first", "llm", "v1");
  }

  void AskControl() {
    m_lookup.SetControl({"c:1"});
    m_lookup.OnUp("c:1", "control", m_now);
  }

  void Tell(const std::string& first, const ServiceName& service,
            const std::string& version) {
    m_origins->OnUpdates("control",
                         {{origins::StreamKeyOf("team", first),
                           origins::SoftwareKeyOf(service, version)}},
                         m_now);
  }

  void Learn(const std::string& first, const ServiceName& service,
             const std::string& version) {
    Tell(first, service, version);
    m_lookup.OnLearned(origins::StreamKeyOf("team", first), m_now);
    m_core->OnOriginsLookedUp(m_lookup.TakeEnded(), m_now);
    Collect();
  }

  void ExpectRefused() {
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
  }

  // Twice the timeout of the route, in which a stream may be resumed.
  void ExpectUnknownUntilWatched() {
    m_now += 7999ms;
    Resume("");
    ExpectRefused();
    m_now += 1ms;
    m_core->OnViewConfirmed(m_now, m_now);
    Resume("");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  uint64_t m_version = 0;
  origins::OriginLookup m_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreKilledFleetTest);

}  // namespace
}  // namespace dotterelshift::gateway
