#include "dotterelshift/gateway/link_load_shedder.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

// A link of 10 Mbit/s, and requests with long prompts.
constexpr double kLink = 1'250'000;
constexpr size_t kRequestBytes = 70'000;

class LinkLoadShedderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkLoadShedderTest);
  CPPUNIT_TEST(OverloadTakesTheEntryOutOfRotationTemporarily);
  CPPUNIT_TEST(ModerateLoadIsNotShed);
  CPPUNIT_TEST(SustainedLoadDoesNotBlockAnEntryForever);
  CPPUNIT_TEST(RejectedCallerStartsSheddingAtOnce);
  CPPUNIT_TEST(RejectedCallersDoNotShedAnEntryForever);
  CPPUNIT_TEST(UnknownLinkRateDisablesTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_now = Instant(1000s); }

 private:
  static LinkLoadShedder Make(double bytes_per_second) {
    LinkLoadShedderOptions options;
    options.bytes_per_second = bytes_per_second;
    return LinkLoadShedder(options);
  }

  // Sends requests at an even rate; returns whether shedding was on at any of
  // them.
  bool Load(LinkLoadShedder& shedder, double requests_per_second,
            Duration time) {
    const Duration gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / requests_per_second));
    bool shed = false;
    for (const Instant end = m_now + time; m_now < end; m_now += gap) {
      shedder.OnBytes(kRequestBytes, m_now);
      shed = shedder.IsShedding(m_now) || shed;
    }
    return shed;
  }

  // 25 long prompts a second exceed the link's rate.
  void OverloadTakesTheEntryOutOfRotationTemporarily() {
    LinkLoadShedder shedder = Make(kLink);
    CPPUNIT_ASSERT(Load(shedder, 25, 1s));
    m_now += LinkLoadShedderOptions().min_shed_time - 1s;
    CPPUNIT_ASSERT(shedder.IsShedding(m_now));
    m_now += 1s;
    CPPUNIT_ASSERT(!shedder.IsShedding(m_now));
  }

  void ModerateLoadIsNotShed() {
    LinkLoadShedder shedder = Make(kLink);
    CPPUNIT_ASSERT(!Load(shedder, 8, 30s));
    CPPUNIT_ASSERT(shedder.Utilization(m_now) > 0.3);
  }

  void SustainedLoadDoesNotBlockAnEntryForever() {
    LinkLoadShedder shedder = Make(kLink);
    CPPUNIT_ASSERT(Load(shedder, 25, 1s));
    bool back = false;
    for (int i = 0; i < 200 && !back; ++i) {
      m_now += 40ms;
      shedder.OnBytes(kRequestBytes, m_now);
      back = !shedder.IsShedding(m_now);
    }
    CPPUNIT_ASSERT(back);
  }

  // Guards against rejecting callers for a second longer than the load balancer
  // needs.
  void RejectedCallerStartsSheddingAtOnce() {
    LinkLoadShedder shedder = Make(kLink);
    CPPUNIT_ASSERT(!shedder.IsShedding(m_now));
    shedder.OnRejected(m_now);
    CPPUNIT_ASSERT(shedder.IsShedding(m_now));
  }

  void RejectedCallersDoNotShedAnEntryForever() {
    LinkLoadShedder shedder = Make(kLink);
    Duration in_rotation = 0s;
    const Instant end = m_now + 30s;
    for (; m_now < end; m_now += 50ms) {
      shedder.OnRejected(m_now);
      if (!shedder.IsShedding(m_now)) in_rotation += 50ms;
    }
    CPPUNIT_ASSERT(in_rotation >= 6s);
  }

  void UnknownLinkRateDisablesTheLimit() {
    LinkLoadShedder shedder = Make(0);
    CPPUNIT_ASSERT(!Load(shedder, 100, 5s));
  }

  Instant m_now;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkLoadShedderTest);

}  // namespace
}  // namespace dotterelshift::gateway
