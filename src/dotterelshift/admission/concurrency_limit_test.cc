#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/admission/fair_queue.h"  // for ConcurrencyLimit

namespace dotterelshift::admission {
namespace {

// An engine whose time to first token is 30 ms up to `slots` requests, and
// grows in proportion above that.
Duration LatencyAt(int in_flight, int slots) {
  return in_flight <= slots ? 30ms : 30ms * in_flight / slots;
}

// Adds measurements with the limit fully used.
void Use(ConcurrencyLimit& limit, int slots, int count) {
  for (int i = 0; i < count; ++i) {
    const int in_flight = limit.Current();
    limit.OnFirstToken(LatencyAt(in_flight, slots), Instant(i * 10ms),
                       in_flight);
  }
}

class ConcurrencyLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
  CPPUNIT_TEST(SettlesNearTheSlots);
  CPPUNIT_TEST(DoesNotGrowWhileUnderused);
  CPPUNIT_TEST(RefusalsWithinAnIntervalShrinkItOnce);
  CPPUNIT_TEST(RecoversFromAnEngineThatIsSlowerForGood);
  CPPUNIT_TEST(OneFastResponseDoesNotResetTheBest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SettlesNearTheSlots() {
    for (const int slots : {8, 16, 64, 200}) {
      ConcurrencyLimit limit;
      Use(limit, slots, 40000);
      const std::string name =
          std::to_string(slots) + " slots: " + std::to_string(limit.Current());
      CPPUNIT_ASSERT_MESSAGE(name, limit.Current() >= slots);
      CPPUNIT_ASSERT_MESSAGE(name, limit.Current() <= 3 * slots);
    }
  }

  void DoesNotGrowWhileUnderused() {
    ConcurrencyLimit limit(32);
    for (int i = 0; i < 10000; ++i)
      limit.OnFirstToken(30ms, Instant(i * 10ms), 3);
    CPPUNIT_ASSERT_EQUAL(32, limit.Current());
  }

  void RefusalsWithinAnIntervalShrinkItOnce() {
    ConcurrencyLimit limit(100);
    for (int i = 0; i < 50; ++i) limit.OnRefused(Instant(1s + i * 1ms));
    CPPUNIT_ASSERT_EQUAL(80, limit.Current());
    for (int i = 1; i <= 50; ++i) limit.OnRefused(Instant(1s + i * 1s));
    CPPUNIT_ASSERT_EQUAL(1, limit.Current());
  }

  void RecoversFromAnEngineThatIsSlowerForGood() {
    ConcurrencyLimit limit;
    Use(limit, 64, 20000);
    for (int i = 0; i < 20000; ++i) {
      const int in_flight = limit.Current();
      limit.OnFirstToken(4 * LatencyAt(in_flight, 64), Instant(i * 10ms),
                         in_flight);
    }
    CPPUNIT_ASSERT(limit.Current() >= 32);
  }

  void OneFastResponseDoesNotResetTheBest() {
    ConcurrencyLimit limit;
    Use(limit, 64, 20000);
    const int before = limit.Current();
    limit.OnFirstToken(1ms, Instant(1s), before);
    Use(limit, 64, 2000);
    CPPUNIT_ASSERT(limit.Current() > before * 2 / 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);

}  // namespace
}  // namespace dotterelshift::admission
