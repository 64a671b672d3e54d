#include "dotterelshift/gateway/link_busy_time.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max

namespace dotterelshift::gateway {
namespace {

constexpr double kLink = 1'250'000;

class LinkBusyTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkBusyTimeTest);
  CPPUNIT_TEST(BusyTimeCoversTheWholeFullPeriod);
  CPPUNIT_TEST(LateEventLoopIterationIsNoGap);
  CPPUNIT_TEST(HalfUsedLinkIsNeverBusyForLong);
  CPPUNIT_TEST(GapResetsTheBusyTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    LinkBusyTimeOptions options;
    options.bytes_per_second = kLink;
    m_busy = LinkBusyTime(options);
    m_busy.OnBytes(0, m_now);
  }

 private:
  // Carries a fraction of the link's rate for this time, counted once per
  // `turn`.
  void Carry(double part, Duration time, Duration turn) {
    for (const Instant end = m_now + time; m_now < end;) {
      m_now += turn;
      const double seconds = std::chrono::duration<double>(turn).count();
      m_busy.OnBytes(part * kLink * seconds, m_now);
    }
  }

  void BusyTimeCoversTheWholeFullPeriod() {
    Carry(0.95, 2s, 2ms);
    CPPUNIT_ASSERT(m_busy.BusyFor() == 2s);
  }

  // Bytes received during a long iteration are counted at its end.
  void LateEventLoopIterationIsNoGap() {
    Carry(0.95, 500ms, 2ms);
    Carry(0.95, 100ms, 100ms);
    CPPUNIT_ASSERT(m_busy.BusyFor() == 600ms);
  }

  void HalfUsedLinkIsNeverBusyForLong() {
    Duration longest = 0s;
    for (int i = 0; i < 1'000; ++i) {
      Carry(0.5, 2ms, 2ms);
      longest = std::max(longest, m_busy.BusyFor());
    }
    CPPUNIT_ASSERT(longest < 100ms);
  }

  void GapResetsTheBusyTime() {
    Carry(0.95, 1s, 2ms);
    Carry(0, 40ms, 2ms);
    CPPUNIT_ASSERT(m_busy.BusyFor() < 40ms);
    Carry(0.95, 100ms, 2ms);
    CPPUNIT_ASSERT(m_busy.BusyFor() >= 100ms);
  }

  LinkBusyTime m_busy{{}};
  Instant m_now{1000s};
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkBusyTimeTest);

}  // namespace
}  // namespace dotterelshift::gateway
