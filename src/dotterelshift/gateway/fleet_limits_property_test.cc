// The sum of what all entries send to a limited endpoint, over schedules of
// deaths, partitions and losses of control that are drawn from seeds.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <array>   // for array
#include <random>  // for mt19937_64
#include <string>  // for string

#include "dotterelshift/gateway/fleet_limits_simulation.h"  // for LimitFleet

namespace dotterelshift::gateway {
namespace {

// From then on all entries that can know of a limit keep to it.
constexpr Duration kLearnTime = 3s;
constexpr Duration kWindow = 4s;

class FleetLimitsPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLimitsPropertyTest);
  CPPUNIT_TEST(FleetsOfAllSizesKeepToTheLimitAndUseIt);
  CPPUNIT_TEST(LimitHoldsWhileEntriesDie);
  CPPUNIT_TEST(LimitHoldsWhileEntriesAreCutOffFromEachOther);
  CPPUNIT_TEST(LimitHoldsAndIsUsedWhileControlIsAway);
  CPPUNIT_TEST(LimitHoldsWhileEntriesAndEndpointsStartAgain);
  CPPUNIT_TEST(LimitHoldsThroughAllFaultsTogether);
  CPPUNIT_TEST(RefusalsOfAllEntriesStayWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FleetsOfAllSizesKeepToTheLimitAndUseIt() {
    for (const int entries : {1, 6, 16, 40, 73}) {
      for (const double limit : {0.2, 1.0, 30.0}) {
        LimitFleetOptions options;
        options.entries = entries;
        options.data_centres = entries > 16 ? 4 : 1;
        options.limit = limit;
        options.demand = std::max(20.0, 3 * limit);
        Expect(options, 0.8);
      }
    }
  }

  void LimitHoldsWhileEntriesDie() {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      LimitFleetOptions options = DrawnFrom(seed);
      options.deaths = true;
      options.fault_interval = 2s;
      Expect(options, 0.5);
    }
  }

  void LimitHoldsWhileEntriesAreCutOffFromEachOther() {
    for (uint64_t seed = 11; seed <= 22; ++seed) {
      LimitFleetOptions options = DrawnFrom(seed);
      options.partitions = true;
      Expect(options, 0);
    }
  }

  void LimitHoldsAndIsUsedWhileControlIsAway() {
    for (uint64_t seed = 21; seed <= 32; ++seed) {
      LimitFleetOptions options = DrawnFrom(seed);
      options.control_away = true;
      Expect(options, 0.8);
    }
  }

  // An entry that has just started hears of limits that were named by
  // incarnations which it never knew.
  void LimitHoldsWhileEntriesAndEndpointsStartAgain() {
    for (uint64_t seed = 41; seed <= 52; ++seed) {
      LimitFleetOptions options = DrawnFrom(seed);
      options.deaths = true;
      options.restarts = true;
      options.fault_interval = 2s;
      Expect(options, 0.5);
    }
  }

  void LimitHoldsThroughAllFaultsTogether() {
    for (uint64_t seed = 31; seed <= 42; ++seed) {
      LimitFleetOptions options = DrawnFrom(seed);
      options.deaths = true;
      options.partitions = seed % 2 == 0;
      options.control_away = seed % 3 == 0;
      options.varies = true;
      Expect(options, 0);
    }
  }

  // All entries send whenever they may, and most requests are refused.
  void RefusalsOfAllEntriesStayWithinTheLimit() {
    for (const int entries : {1, 8, 40, 73}) {
      for (const uint32_t limit : {1, 5, 20, 60}) {
        LimitFleetOptions options;
        options.entries = entries;
        options.data_centres = entries > 16 ? 4 : 1;
        options.refusal_limit = limit;
        options.refused = 70;
        options.demand = 100;
        options.deaths = entries == 8;
        LimitFleet fleet(options);
        fleet.RunFor(6s);
        fleet.NameLimits();
        fleet.RunFor(kLearnTime);
        fleet.ForgetRefusals();
        fleet.RunFor(12s);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(entries) + " entries, limit " +
                std::to_string(limit) + ": " +
                std::to_string(fleet.MostRefusalsPerSecond()),
            fleet.MostRefusalsPerSecond() <= limit);
        CPPUNIT_ASSERT(fleet.Sent(kLearnTime) > 0);
      }
    }
  }

 private:
  static LimitFleetOptions DrawnFrom(uint64_t seed) {
    constexpr std::array kEntries = {6, 9, 16, 24, 40};
    constexpr std::array kLimits = {0.2, 0.7, 1.0, 4.0, 15.0};
    std::mt19937_64 random(seed);
    LimitFleetOptions options;
    options.seed = seed;
    options.entries = kEntries[random() % kEntries.size()];
    options.data_centres = options.entries > 16 ? 3 : 1;
    options.limit = kLimits[random() % kLimits.size()];
    options.demand = std::max(20.0, 3 * options.limit);
    return options;
  }

  static void Expect(const LimitFleetOptions& options, double min_use) {
    LimitFleet fleet(options);
    fleet.RunFor(6s);
    fleet.NameLimits();
    // Some permits, even at the lowest limits.
    const Duration time = options.limit < 0.5 ? 60s : 10s;
    fleet.RunFor(kLearnTime + time);
    const LimitFleet::Worst worst = fleet.WorstWindow(kLearnTime, kWindow);
    const double seconds = std::chrono::duration<double>(time).count();
    const double may =
        options.limit * seconds * static_cast<double>(fleet.Endpoints());
    const double used = static_cast<double>(fleet.Sent(kLearnTime)) / may;
    const std::string what =
        "seed " + std::to_string(options.seed) + ", " +
        std::to_string(options.entries) + " entries, limit " +
        std::to_string(options.limit) + ": " + std::to_string(worst.count) +
        " in a window, allowed " + std::to_string(worst.allowed) + ", used " +
        std::to_string(used);
    CPPUNIT_ASSERT_MESSAGE(what, worst.Excess() <= 0);
    CPPUNIT_ASSERT_MESSAGE(what, used >= min_use);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitsPropertyTest);

}  // namespace
}  // namespace dotterelshift::gateway
