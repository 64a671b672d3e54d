// Random schedules of software versions: see version_schedule_testing.h. No
// stream ever holds events of two versions.
#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for to_string

#include "dotterelshift/gateway/version_schedule_testing.h"  // for Schedule

namespace dotterelshift::gateway {
namespace {

using version_schedule::Schedule;
using version_schedule::ScheduleOptions;

class StreamVersionsPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamVersionsPropertyTest);
  CPPUNIT_TEST(VersionsSideBySide);
  CPPUNIT_TEST(AddressesAreTakenByOthers);
  CPPUNIT_TEST(EndpointsStartAgainUnderTheirIds);
  CPPUNIT_TEST(EndpointsComeAndLeave);
  CPPUNIT_TEST(EntriesAreKilledAndCutOff);
  CPPUNIT_TEST(AllTogether);
  CPPUNIT_TEST(AllTogetherUnderTheSameIds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void VersionsSideBySide() {
    int resumed = 0;
    int went_on = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Schedule schedule = Play({.seed = seed});
      resumed += schedule.Resumed();
      went_on += schedule.WentOn();
    }
    CPPUNIT_ASSERT(resumed > 100);
    // One request in 20 does not say which stream it resumes.
    CPPUNIT_ASSERT(went_on >= 0.95 * 0.95 * resumed);
  }
  void AddressesAreTakenByOthers() { PlayAll({.restarts = true}); }
  void EndpointsStartAgainUnderTheirIds() { PlayAll({.same_ids = true}); }
  void EndpointsComeAndLeave() { PlayAll({.rolls = true}); }
  void EntriesAreKilledAndCutOff() { PlayAll({.kills = true, .cuts = true}); }
  void AllTogether() {
    PlayAll({.restarts = true, .rolls = true, .kills = true, .cuts = true});
  }
  void AllTogetherUnderTheSameIds() {
    PlayAll({.restarts = true,
             .same_ids = true,
             .rolls = true,
             .kills = true,
             .cuts = true});
  }

 private:
  static constexpr uint64_t kSeeds = 20;

  static void PlayAll(ScheduleOptions options) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed)
      Play(options);
  }

  static Schedule Play(const ScheduleOptions& options) {
    Schedule schedule(options);
    schedule.Run();
    const std::string seed = "seed " + std::to_string(options.seed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, 0, schedule.Mixed());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, 0, schedule.Gaps());
    return schedule;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionsPropertyTest);

}  // namespace
}  // namespace dotterelshift::gateway
