#include "dotterelshift/gateway/link_wait.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

constexpr double kLink = 1'250'000;   // 10 Mbit/s
constexpr uint64_t kTenth = 125'000;  // bytes carried in 100 ms

class LinkWaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkWaitTest);
  CPPUNIT_TEST(BytesQueueBehindEarlierBytes);
  CPPUNIT_TEST(IdleTimeIsNotCredited);
  CPPUNIT_TEST(MaximumIsPerReadInterval);
  CPPUNIT_TEST(WithoutARateThereIsNoWait);
  CPPUNIT_TEST_SUITE_END();

 private:
  void BytesQueueBehindEarlierBytes() {
    m_wait.OnBytes(kTenth, m_now);
    m_wait.OnBytes(2 * kTenth, m_now);
    CPPUNIT_ASSERT(m_wait.Wait(m_now) == 300ms);
    m_now += 250ms;
    CPPUNIT_ASSERT(m_wait.Wait(m_now) == 50ms);
    m_wait.OnBytes(kTenth, m_now);
    CPPUNIT_ASSERT(m_wait.Wait(m_now) == 150ms);
  }

  // Idle time is not credited to later writes.
  void IdleTimeIsNotCredited() {
    m_wait.OnBytes(kTenth, m_now);
    m_now += 5s;
    CPPUNIT_ASSERT(m_wait.Wait(m_now) == 0s);
    m_wait.OnBytes(kTenth, m_now);
    CPPUNIT_ASSERT(m_wait.Wait(m_now) == 100ms);
  }

  void MaximumIsPerReadInterval() {
    m_wait.OnBytes(4 * kTenth, m_now);
    m_now += 300ms;
    m_wait.OnBytes(kTenth, m_now);
    CPPUNIT_ASSERT(m_wait.TakeMaxWait() == 400ms);
    CPPUNIT_ASSERT(m_wait.TakeMaxWait() == 0s);
    m_wait.OnBytes(kTenth, m_now);
    CPPUNIT_ASSERT(m_wait.TakeMaxWait() == 300ms);
  }

  void WithoutARateThereIsNoWait() {
    LinkWait wait(0);
    wait.OnBytes(kTenth, m_now);
    CPPUNIT_ASSERT(wait.Wait(m_now) == 0s);
    CPPUNIT_ASSERT(wait.TakeMaxWait() == 0s);
  }

  LinkWait m_wait{kLink};
  Instant m_now{1000s};
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkWaitTest);

}  // namespace
}  // namespace dotterelshift::gateway
