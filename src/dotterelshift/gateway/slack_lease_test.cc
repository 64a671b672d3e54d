#include "dotterelshift/gateway/slack_lease.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

constexpr Duration kWindow = 10s;
constexpr Duration kHeartbeat = 1s;

class SlackLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlackLeaseTest);
  CPPUNIT_TEST(BeginsTwoWindowsAfterTheFirstCount);
  CPPUNIT_TEST(EndsAWindowAfterTheLastConfirmation);
  CPPUNIT_TEST(BeginsAnewAfterItHasEnded);
  CPPUNIT_TEST(LargerCountIsUsedAtOnce);
  CPPUNIT_TEST(SmallerCountIsUsedAfterTwoWindows);
  CPPUNIT_TEST(CountThatRecoversKeepsTheLargest);
  CPPUNIT_TEST_SUITE_END();

  void BeginsTwoWindowsAfterTheFirstCount() {
    CPPUNIT_ASSERT(!m_lease.Sharers(m_now));
    Hear(7, 2 * kWindow - kHeartbeat);
    CPPUNIT_ASSERT(!m_lease.Sharers(m_now));
    Hear(7, kHeartbeat);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{7});
  }

  void EndsAWindowAfterTheLastConfirmation() {
    Hear(7, 2 * kWindow);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now + kWindow - 1ms) == size_t{7});
    CPPUNIT_ASSERT(!m_lease.Sharers(m_now + kWindow));
  }

  void BeginsAnewAfterItHasEnded() {
    Hear(7, 2 * kWindow);
    m_now += kWindow;
    Hear(7, 2 * kWindow - kHeartbeat);
    CPPUNIT_ASSERT(!m_lease.Sharers(m_now));
    Hear(7, kHeartbeat);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{7});
  }

  void LargerCountIsUsedAtOnce() {
    Hear(4, 2 * kWindow);
    Hear(7, 0s);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{7});
  }

  void SmallerCountIsUsedAfterTwoWindows() {
    Hear(7, 2 * kWindow);
    Hear(4, 2 * kWindow - kHeartbeat);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{7});
    Hear(4, kHeartbeat);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{4});
  }

  void CountThatRecoversKeepsTheLargest() {
    Hear(7, 2 * kWindow);
    Hear(4, kWindow);
    Hear(5, kWindow - kHeartbeat);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{7});
    Hear(6, 2 * kWindow);
    CPPUNIT_ASSERT(m_lease.Sharers(m_now) == size_t{6});
  }

  // The leader counts `entries` now and at each heartbeat for `duration`.
  void Hear(size_t entries, Duration duration) {
    m_now += 1ms;
    const Instant end = m_now + duration;
    for (; m_now < end; m_now += kHeartbeat)
      m_lease.OnEntryCount(entries, m_now, m_now);
    m_now = end;
    m_lease.OnEntryCount(entries, m_now, m_now);
  }

  SlackLease m_lease{kWindow};
  Instant m_now = Instant(1000s);
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlackLeaseTest);

}  // namespace
}  // namespace dotterelshift::gateway
