// Requests whose prompts share a segment crash each endpoint that begins to
// respond to them, at any entry, among sound requests of the same teams. After
// three crashes no more of them reach an endpoint, and the sound ones are
// served.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for to_string

#include "dotterelshift/gateway/crash_schedule_testing.h"  // for CrashSchedule

namespace dotterelshift::gateway {
namespace {

constexpr uint64_t kSeeds = 12;

// Endpoints that may crash by one segment: three, and two whose requests were
// under way when the first one crashed.
constexpr size_t kMaxCrashes = 5;

class CrashPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashPropertyTest);
  CPPUNIT_TEST(FewEndpointsCrashByOneSegment);
  CPPUNIT_TEST(RareRequestsCrashAtMostThree);
  CPPUNIT_TEST(CrashesBeforeTheFirstByteCount);
  CPPUNIT_TEST(SegmentsAreBlockedWhileEntriesAreKilled);
  CPPUNIT_TEST(SegmentsOfSeveralTeamsAreBlocked);
  CPPUNIT_TEST(OneTeamCannotBlockSegmentsOfOthers);
  CPPUNIT_TEST(NewSegmentsAreServedWhileEndpointsCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FewEndpointsCrashByOneSegment() { ExpectBounded({}); }

  // One at a time: each crash is known before the next such request arrives.
  void RareRequestsCrashAtMostThree() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashScheduleOptions options;
      options.seed = seed;
      options.crashing_per_second = 0.7;
      const CrashScheduleResult result = CrashSchedule(options).Run();
      CPPUNIT_ASSERT_MESSAGE(Text(seed, result), result.crashed <= 3);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(seed, result), size_t{0}, result.late);
    }
  }

  void CrashesBeforeTheFirstByteCount() {
    CrashScheduleOptions options;
    options.before_head = true;
    ExpectBounded(options);
  }

  void SegmentsAreBlockedWhileEntriesAreKilled() {
    CrashScheduleOptions options;
    options.kills = true;
    ExpectBounded(options);
  }

  void SegmentsOfSeveralTeamsAreBlocked() {
    CrashScheduleOptions options;
    options.teams = 10;
    ExpectBounded(options);
  }

  // Teams name the segment in sound requests; only the requests of one team
  // that names it crash endpoints.
  void OneTeamCannotBlockSegmentsOfOthers() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashScheduleOptions options;
      options.seed = seed;
      options.only_one_team = true;
      const CrashScheduleResult result = CrashSchedule(options).Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(seed, result), size_t{0},
                                   result.refused_of_others);
      CPPUNIT_ASSERT_MESSAGE(Text(seed, result), result.crashed <= kMaxCrashes);
    }
  }

  void NewSegmentsAreServedWhileEndpointsCrash() {
    CrashScheduleOptions options;
    options.new_segments = true;
    options.other_crashes = true;
    ExpectBounded(options);
  }

 private:
  static std::string Text(uint64_t seed, const CrashScheduleResult& result) {
    return "seed " + std::to_string(seed) + ": crashed " +
           std::to_string(result.crashed) + ", late " +
           std::to_string(result.late) + ", sound " +
           std::to_string(result.sound) + ", served " +
           std::to_string(result.served) + ", lost " +
           std::to_string(result.lost) + ", refused of others " +
           std::to_string(result.refused_of_others);
  }

  // 0.95 of the sound requests are served, those aside that lost their
  // endpoint or their entry.
  static void ExpectBounded(CrashScheduleOptions options) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      options.seed = seed;
      const CrashScheduleResult result = CrashSchedule(options).Run();
      const std::string text = Text(seed, result);
      CPPUNIT_ASSERT_MESSAGE(text, result.crashed <= kMaxCrashes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, size_t{0}, result.late);
      const size_t judged = result.sound - result.lost;
      CPPUNIT_ASSERT_MESSAGE(text, judged > 100);
      CPPUNIT_ASSERT_MESSAGE(text, 100 * result.served >= 95 * judged);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashPropertyTest);

}  // namespace
}  // namespace dotterelshift::gateway
