#include "dotterelshift/loop/turn_watch.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <vector>  // for vector

namespace dotterelshift::loop {
namespace {

class TurnWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TurnWatchTest);
  CPPUNIT_TEST(LongIterationIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An iteration's duration excludes the wait for events and includes the work
  // after it.
  void LongIterationIsReported() {
    constexpr Duration kWork = 20ms;
    Loop loop;
    std::vector<Duration> turns;
    const IterationWatcher watch(loop, kWork,
                                 [&](Duration took) { turns.push_back(took); });
    Timer stop(loop, [&] { loop.Stop(); });
    Timer work(loop, [&] {
      const Instant end = loop.Now() + kWork;
      while (loop.Now() < end) {
      }
      stop.ArmIn(1ms);
    });
    work.ArmIn(1ms);
    loop.Run();
    CPPUNIT_ASSERT(!turns.empty());
    CPPUNIT_ASSERT(turns.front() >= kWork);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TurnWatchTest);

}  // namespace
}  // namespace dotterelshift::loop
