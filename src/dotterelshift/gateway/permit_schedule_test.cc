#include "dotterelshift/gateway/permit_schedule.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <optional>  // for optional

namespace dotterelshift::gateway {
namespace {

constexpr EndpointIdKey kEndpoint = 7;

class PermitScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitScheduleTest);
  CPPUNIT_TEST(PermitsAreSpacedAlsoAfterAnotherGranter);
  CPPUNIT_TEST(TheMostUrgentRequestGetsThePermit);
  CPPUNIT_TEST(RequestThatCannotWaitIsDeniedAtOnce);
  CPPUNIT_TEST(AMoreUrgentRequestDisplacesOneThatCannotWaitLonger);
  CPPUNIT_TEST(LiftedLimitGrantsAllThatWait);
  CPPUNIT_TEST(TokensBoundTheRefusalsInASecond);
  CPPUNIT_TEST(DeniedEntriesOfALargeFleetComeBackInGroups);
  CPPUNIT_TEST(EndDeniesAllThatWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant(1000s);
    m_schedule.emplace(PermitScheduleOptions());
    m_schedule->Begin(m_now);
    m_limits.requests_per_second = 2;
    m_limits.refusals_per_second.reset();
  }

  // The granter before may have granted a permit until now.
  void PermitsAreSpacedAlsoAfterAnotherGranter() {
    Ask(1, 5s);
    CPPUNIT_ASSERT(m_schedule->Take(m_now).empty());
    CPPUNIT_ASSERT(m_schedule->NextTimer() >= m_now + 700ms);
    size_t granted = 0;
    for (uint64_t id = 2; id < 4000; ++id) {
      m_now += 1ms;
      Ask(id, 0s);
      for (const PermitDecision& decision : m_schedule->Take(m_now))
        granted += decision.granted ? 1 : 0;
    }
    CPPUNIT_ASSERT(granted >= 6 && granted <= 8);
  }

  void TheMostUrgentRequestGetsThePermit() {
    Ask(1, 2s, 5, 3s);
    Ask(2, 2s, 1, 3s);
    Ask(3, 2s, 1, 1s);  // has the least time
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, NextGranted());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, NextGranted());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, NextGranted());
  }

  void RequestThatCannotWaitIsDeniedAtOnce() {
    Ask(1, 0s);
    const auto decisions = m_schedule->Take(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.size());
    CPPUNIT_ASSERT(!decisions[0].granted);
    CPPUNIT_ASSERT(decisions[0].wait >= 700ms && decisions[0].wait < 800ms);
  }

  void AMoreUrgentRequestDisplacesOneThatCannotWaitLonger() {
    Ask(1, 1s, 5);
    CPPUNIT_ASSERT(m_schedule->Take(m_now).empty());
    Ask(2, 1s, 1);
    const auto decisions = m_schedule->Take(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.size());
    CPPUNIT_ASSERT(decisions[0].id == 1 && !decisions[0].granted);
  }

  void LiftedLimitGrantsAllThatWait() {
    for (uint64_t id = 1; id <= 3; ++id) Ask(id, 5s);
    CPPUNIT_ASSERT(m_schedule->Take(m_now).empty());
    m_schedule->OnLimits(kEndpoint, {}, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_schedule->Take(m_now).size());
  }

  void TokensBoundTheRefusalsInASecond() {
    m_limits = {};
    m_limits.refusals_per_second = 4;
    for (uint64_t id = 1; id <= 3; ++id) Ask(id, 0s);
    auto decisions = m_schedule->Take(m_now);
    CPPUNIT_ASSERT(decisions[0].granted && decisions[1].granted);
    CPPUNIT_ASSERT(!decisions[2].granted);
    m_schedule->OnOutcome("a", 1, kEndpoint, false, m_now);
    m_schedule->OnOutcome("a", 2, kEndpoint, true, m_now);
    for (uint64_t id = 4; id <= 5; ++id) Ask(id, 0s);
    decisions = m_schedule->Take(m_now);
    CPPUNIT_ASSERT(decisions[0].granted && !decisions[1].granted);
    m_now += 1300ms;
    Ask(6, 0s);
    CPPUNIT_ASSERT(m_schedule->Take(m_now).at(0).granted);
  }

  void DeniedEntriesOfALargeFleetComeBackInGroups() {
    Duration shortest = 3600s;
    Duration longest = 0s;
    for (uint64_t id = 1; id <= 100; ++id) {
      Ask(id, 0s, 0, 3s, "h" + std::to_string(id));
      const Duration wait = m_schedule->Take(m_now).at(0).wait;
      shortest = std::min(shortest, wait);
      longest = std::max(longest, wait);
    }
    CPPUNIT_ASSERT(longest - shortest >= 3s);
  }

  void EndDeniesAllThatWait() {
    for (uint64_t id = 1; id <= 2; ++id) Ask(id, 5s);
    m_schedule->End();
    const auto decisions = m_schedule->Take(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, decisions.size());
    CPPUNIT_ASSERT(!decisions[0].granted && !decisions[1].granted);
  }

 private:
  void Ask(uint64_t id, Duration max_wait, int priority = 0,
           Duration time_left = 3s, const HostId& from = "a",
           EndpointIdKey endpoint = kEndpoint) {
    m_schedule->OnRequest({from, id, endpoint, max_wait, time_left, priority},
                          m_limits, m_now);
  }
  // Waits for the next decision, which is a permit.
  uint64_t NextGranted() {
    while (true) {
      m_now = m_schedule->NextTimer();
      const auto decisions = m_schedule->Take(m_now);
      if (decisions.empty()) continue;
      CPPUNIT_ASSERT(decisions[0].granted);
      return decisions[0].id;
    }
  }

  Instant m_now{};
  EndpointLimits m_limits;
  std::optional<PermitSchedule> m_schedule;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PermitScheduleTest);

}  // namespace
}  // namespace dotterelshift::gateway
