#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/app/replacement_simulation.h"  // for ReplacementSimulation

namespace dotterelshift::app {
namespace {

// explore_membership --replacements runs many more schedules.
constexpr uint64_t kSchedules = 40;
// Seeds above kSchedules with which voters that were lost in series were not
// removed in time.
constexpr uint64_t kRegressionSeeds[] = {74, 180, 196};

class ReplicaReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaReplacementTest);
  CPPUNIT_TEST(HostsAreReplacedOneAtATime);
  CPPUNIT_TEST(TwoOfNineHostsAreReplacedAtATime);
  CPPUNIT_TEST(HostsAreReplacedWithoutAPause);
  CPPUNIT_TEST(SuccessorsThatStartAtOnceReplaceHosts);
  CPPUNIT_TEST_SUITE_END();

  static void RunAll(ReplacementOptions options) {
    for (uint64_t seed = 1; seed <= kSchedules; ++seed) Run(options, seed);
    for (const uint64_t seed : kRegressionSeeds) Run(options, seed);
  }
  static void Run(ReplacementOptions options, uint64_t seed) {
    options.seed = seed;
    try {
      ReplacementSimulation(options).Run();
    } catch (const BrokenPromise& broken) {
      CPPUNIT_FAIL(broken.what());
    }
  }

  void HostsAreReplacedOneAtATime() { RunAll({}); }

  void TwoOfNineHostsAreReplacedAtATime() {
    ReplacementOptions options;
    options.hosts = 9;
    options.tolerated = 2;
    options.catch_up = 6s;
    RunAll(options);
  }

  // Each host is lost as soon as the one before no longer counts as lost, so
  // that leaders may be lost faster than silence is noticed.
  void HostsAreReplacedWithoutAPause() {
    ReplacementOptions options;
    options.losses = 20;
    options.max_pause = 0s;
    options.max_absence = 500ms;
    RunAll(options);
  }

  // The successor joins before the silence of the lost host is noticed.
  void SuccessorsThatStartAtOnceReplaceHosts() {
    ReplacementOptions options;
    options.max_pause = 0s;
    options.max_absence = 0s;
    RunAll(options);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaReplacementTest);

}  // namespace
}  // namespace dotterelshift::app
