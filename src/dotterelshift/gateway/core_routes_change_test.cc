// A request's route, service or team leaves with newly published routes while
// the request waits or runs. It is answered or refused, once.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core.h"
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

// Above the timeout of the routes.
constexpr Duration kLongEnough = 5s;

class CoreRoutesChangeTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreRoutesChangeTest);
  CPPUNIT_TEST(WhileItWaitsForTokens);
  CPPUNIT_TEST(WhileItWaitsForAnEndpoint);
  CPPUNIT_TEST(WhileItsSlotIsReserved);
  CPPUNIT_TEST(WhileItsAttemptRuns);
  CPPUNIT_TEST(WhileItsAttemptRunsAndNeverEnds);
  CPPUNIT_TEST(WhileItsStreamRuns);
  CPPUNIT_TEST(BeforeItsAttemptIsRefused);
  CPPUNIT_TEST(BeforeItsAttemptIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhileItWaitsForTokens() {
    Publish(1'000'000);
    Request("/stream/", 100);
    CPPUNIT_ASSERT(m_last.empty());
    PublishNothing();
    ExpectOneRefusal();
  }

  void WhileItWaitsForAnEndpoint() {
    Publish();
    for (const char* id : {"p1", "p2", "p3"}) Announce(id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Request("/safe/");
    CPPUNIT_ASSERT(m_last.empty());
    PublishNothing();
    ExpectOneRefusal();
  }

  // Both engines prefill a long prompt, so that the next request waits for its
  // prefill start.
  void WhileItsSlotIsReserved() {
    Publish();
    Request("/stream/", 10'000, 3);
    Request("/stream/", 10'000, 4);
    Request("/stream/", 100);
    CPPUNIT_ASSERT(m_last.empty());
    PublishNothing();
    RunToTheEnd();
    // It is sent or refused; if it was sent, it ends at its deadline.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ends_of_request);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void WhileItsAttemptRuns() {
    Publish();
    Request("/once/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    PublishNothing();
    Head(attempt, 200);
    End(attempt, http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(attempt, Only<RelayResponse>().attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void WhileItsAttemptRunsAndNeverEnds() {
    Publish();
    Request("/once/");
    Only<StartAttempt>();
    PublishNothing();
    ExpectOneRefusal();
  }

  void WhileItsStreamRuns() {
    Publish();
    Request("/resume/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Head(attempt, 200, true);
    Chunk(attempt, "id: 1\ndata: a\n\n");
    PublishNothing();
    Chunk(attempt, "id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
    End(attempt, http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<FinishStream>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void BeforeItsAttemptIsRefused() {
    Publish();
    Request("/safe/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    PublishNothing();
    Head(attempt, 503, false, "caller-1", true);
    CountEnds();
    End(attempt, http::TransferEnd::kWhole);
    CountEnds();
    ExpectOneRefusal();
  }

  void BeforeItsAttemptIsNotSent() {
    Publish();
    Request("/once/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    PublishNothing();
    End(attempt, http::TransferEnd::kNotSent);
    CountEnds();
    ExpectOneRefusal();
  }

 private:
  // New routes without the routes, services and teams of before.
  void PublishNothing() {
    Routes routes;
    routes.version = 2;
    routes.routes = {RouteOf("/other/", RouteKind::kOnce, "other", 1)};
    routes.services = {{"other", 10, std::nullopt}};
    routes.teams = {{"others", {"other-key"}, std::nullopt, std::nullopt}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
    m_core->OnBudgetChanged(m_now);
    Collect();
    CountEnds();
  }

  // Responses and refusals of the request so far.
  void CountEnds() {
    for (const Action& action : m_last) {
      if (const auto* refuse = std::get_if<Refuse>(&action))
        m_ends_of_request += refuse->request == kRequest ? 1 : 0;
      if (const auto* relay = std::get_if<RelayResponse>(&action))
        m_ends_of_request += relay->request == kRequest ? 1 : 0;
    }
  }

  // No attempt gets a response.
  void RunToTheEnd() {
    for (Duration passed = 0s; passed < kLongEnough; passed += 10ms) {
      Advance(10ms);
      CountEnds();
    }
  }

  void ExpectOneRefusal() {
    RunToTheEnd();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ends_of_request);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  size_t m_ends_of_request = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreRoutesChangeTest);

}  // namespace
}  // namespace dotterelshift::gateway
