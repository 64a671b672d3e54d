#include "dotterelshift/app/slow_turns.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/telemetry/log_testing.h"  // for CapturedLog

namespace dotterelshift::app {
namespace {

class SlowTurnsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowTurnsTest);
  CPPUNIT_TEST(SlowIterationsAreLoggedOncePerSecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SlowIterationsAreLoggedOncePerSecond() {
    const telemetry::CapturedLog log(telemetry::LogLevel::kInfo);
    SlowIterationLog slow_turns;
    const Instant start{};
    for (int turn = 0; turn < 30; ++turn)
      slow_turns.OnSlowIteration(100ms + turn * 1ms, start + 1s + turn * 100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, log.Count("slow_turn"));
    CPPUNIT_ASSERT(log.Text().find("\"longest_ms\":\"120\"") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowTurnsTest);

}  // namespace
}  // namespace dotterelshift::app
