#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <optional>  // for optional

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

// Requests for endpoints that name limits, of an entry that is alone.
class CorePermitsTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CorePermitsTest);
  CPPUNIT_TEST(RequestsGoToEndpointsWithoutALimit);
  CPPUNIT_TEST(WhatCannotBeServedWithinTheLimitsIsRefusedAtOnce);
  CPPUNIT_TEST(RequestThatCanWaitIsSentOnceItHasAPermit);
  CPPUNIT_TEST(LimitEndsWithTheFirstResponseWithoutIt);
  CPPUNIT_TEST(LimitOfAnotherEndpointAtTheAddressIsNotBooked);
  CPPUNIT_TEST(RetriesNeedAPermitToo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    FleetLimitsOptions options;
    options.self = "self";
    options.data_centre = "dc";
    m_limits.emplace(options, *m_load, m_now);
    CoreDependencies parts = Parts();
    parts.limits = &*m_limits;
    m_core = MakeCore(CoreOptions(), parts);
    Publish();
    m_now += 10s;
    m_limits->OnCount({1, 1, 60s, m_now}, m_now);
  }

  void RequestsGoToEndpointsWithoutALimit() {
    NameLimit(1, 0.5);
    const EndpointId limited = m_named;
    for (RequestId id = 2; id < 12; ++id) {
      Request("/safe/", 0, id);
      CPPUNIT_ASSERT(Only<StartAttempt>().endpoint.id != limited);
    }
  }

  void WhatCannotBeServedWithinTheLimitsIsRefusedAtOnce() {
    NameLimitsOfAll(0.5);
    Request("/safe/", 0, 20);
    const auto refusal = Only<Refuse>();
    CPPUNIT_ASSERT(refusal.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(refusal.retry_after >= 500ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_core->LimitRefusals());
  }

  void RequestThatCanWaitIsSentOnceItHasAPermit() {
    NameLimitsOfAll(2);
    m_now += 400ms;
    Request("/safe/", 0, 20);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>() + Count<Refuse>());
    size_t sent = 0;
    for (int step = 0; step < 60 && sent == 0; ++step) {
      Step();
      sent = Count<StartAttempt>();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent);
  }

  void LimitEndsWithTheFirstResponseWithoutIt() {
    NameLimitsOfAll(0.5);
    for (int step = 0; step < 300; ++step) Step();
    Request("/safe/", 0, 20);
    const auto start = Only<StartAttempt>();
    m_limit.reset();
    Respond(start);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_limits->Limited().size());
    Request("/safe/", 0, 21);
    CPPUNIT_ASSERT_EQUAL(start.endpoint.id, Only<StartAttempt>().endpoint.id);
  }

  void LimitOfAnotherEndpointAtTheAddressIsNotBooked() {
    Request("/once/", 0, 1);
    const auto start = Only<StartAttempt>();
    ResponseInfo response;
    response.address_reassigned = true;
    response.limits.requests_per_second = 1;
    m_core->OnConnected(start.attempt, m_now);
    m_core->OnHead(start.attempt, 421, response, m_now);
    CPPUNIT_ASSERT(m_limits->Limited().empty());
  }

  void RetriesNeedAPermitToo() {
    NameLimitsOfAll(0.5);
    for (int step = 0; step < 300; ++step) Step();
    // The first retry may take the permit of another endpoint, no more.
    size_t sent = 0;
    for (RequestId id = 20; id < 30; ++id) {
      Request("/safe/", 0, id);
      while (Count<StartAttempt>() == 1) {
        ++sent;
        End(Only<StartAttempt>().attempt, http::TransferEnd::kFailedBeforeHead);
      }
    }
    CPPUNIT_ASSERT(sent <= 3);
  }

 private:
  void Step() {
    m_now += 10ms;
    m_limits->OnTimer(m_now);
    m_core->OnPermits(m_now);
    m_core->OnTimer(m_now);
    Collect();
  }
  void Respond(const StartAttempt& start) {
    ResponseInfo response;
    response.echoed_id = "caller-1";
    response.has_proof = true;
    response.limits.requests_per_second = m_limit;
    m_core->OnHead(start.attempt, 200, response, m_now);
    m_core->OnEnd(start.attempt, http::TransferEnd::kWhole, m_now);
    Collect();
  }
  // The endpoint that the request is sent to names the limit.
  void NameLimit(RequestId id, double limit) {
    m_limit = limit;
    Request("/safe/", 0, id);
    const auto start = Only<StartAttempt>();
    m_named = start.endpoint.id;
    Respond(start);
  }
  // Leaves a permit to none of them.
  void NameLimitsOfAll(double limit) {
    for (RequestId id = 1; id <= 3; ++id) NameLimit(id, limit);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_limits->Limited().size());
    Step();
  }

  std::optional<FleetLimits> m_limits;
  std::optional<double> m_limit;
  EndpointId m_named;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CorePermitsTest);

}  // namespace
}  // namespace dotterelshift::gateway
