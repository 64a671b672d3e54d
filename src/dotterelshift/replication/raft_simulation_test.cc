#include "dotterelshift/replication/raft_simulation.h"  // for RaftSimulation

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <iostream>  // for cout

namespace dotterelshift::replication {
namespace {

constexpr uint64_t kSchedules = 2000;
constexpr int kSteps = 2500;

struct VotesWithoutLogCheck : StandardRules {
  static constexpr bool kCheckLogOnVote = false;
};

struct AcknowledgesBeforeSync : StandardRules {
  static constexpr bool kAcknowledgeAfterSync = false;
};

// The first safety violation that the schedules find under the given rules;
// empty if they find none.
template <typename Rules>
std::string FirstViolation() {
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    try {
      RaftSimulation<Rules>(seed).Run(kSteps);
    } catch (const Stall&) {
      continue;  // a failure as well, but of liveness, not of safety
    } catch (const Violation& violation) {
      return "seed " + std::to_string(seed) + ": " + violation.what();
    }
  }
  return "";
}

class ScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScheduleTest);
  CPPUNIT_TEST(NoAcceptedEntryIsLost);
  CPPUNIT_TEST(VoteWithoutLogCheckIsDetected);
  CPPUNIT_TEST(AcknowledgementBeforeSyncIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoAcceptedEntryIsLost() {
    RaftSimulationCounts sum;
    for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
      RaftSimulationCounts counts;
      try {
        counts = RaftSimulation<StandardRules>(seed).Run(kSteps);
      } catch (const Violation& violation) {
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + violation.what());
      }
      sum.committed += counts.committed;
      sum.reads += counts.reads;
      sum.leaders += counts.leaders;
      sum.crashes += counts.crashes;
      sum.replacements += counts.replacements;
      sum.installs += counts.installs;
    }
    std::cout << "replication: " << kSchedules << " schedules, "
              << sum.committed << " entries committed, " << sum.reads
              << " reads confirmed, " << sum.leaders << " terms with a leader, "
              << sum.crashes << " crashes, " << sum.replacements
              << " replacements, " << sum.installs << " snapshots installed\n";
    CPPUNIT_ASSERT(sum.committed > 2 * kSchedules);
    CPPUNIT_ASSERT(sum.leaders > kSchedules);
    CPPUNIT_ASSERT(sum.replacements > kSchedules);
    CPPUNIT_ASSERT(sum.installs > kSchedules / 10);
  }

  void VoteWithoutLogCheckIsDetected() {
    const std::string violation = FirstViolation<VotesWithoutLogCheck>();
    CPPUNIT_ASSERT(!violation.empty());
    std::cout << "vote without log check: caught by " << violation << "\n";
  }

  void AcknowledgementBeforeSyncIsDetected() {
    const std::string violation = FirstViolation<AcknowledgesBeforeSync>();
    CPPUNIT_ASSERT(!violation.empty());
    std::cout << "acknowledge before sync: caught by " << violation << "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

}  // namespace
}  // namespace dotterelshift::replication
