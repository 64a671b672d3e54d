#include "dotterelshift/replication/snapshot_policy.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::replication {
namespace {

constexpr uint64_t kMiB = 1 << 20;

class SnapshotPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotPolicyTest);
  CPPUNIT_TEST(SnapshotIsDueAfterLogBytes);
  CPPUNIT_TEST(SnapshotIsDueAfterApplyingTime);
  CPPUNIT_TEST(LargeStateIsWrittenLessOften);
  CPPUNIT_TEST(ReplicasTakeSnapshotsAtDifferentTimes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SnapshotIsDueAfterLogBytes() {
    SnapshotPolicy policy({}, 4);
    policy.OnApplied(4 * kMiB - 1, 0ms);
    CPPUNIT_ASSERT(!policy.IsDue(false));
    policy.OnApplied(1, 0ms);
    CPPUNIT_ASSERT(policy.IsDue(false));
    CPPUNIT_ASSERT(!policy.IsDue(true));
    policy.OnApplied(4 * kMiB, 0ms);
    CPPUNIT_ASSERT(policy.IsDue(true));
    policy.OnSnapshot(1, 0ms);
    CPPUNIT_ASSERT(!policy.IsDue(false));
  }

  // On a slow host, applying even a small log may take a long time.
  void SnapshotIsDueAfterApplyingTime() {
    SnapshotPolicy policy({}, 4);
    policy.OnApplied(1, 999ms);
    CPPUNIT_ASSERT(!policy.IsDue(false));
    policy.OnApplied(1, 1ms);
    CPPUNIT_ASSERT(policy.IsDue(false));
    CPPUNIT_ASSERT(!policy.IsDue(true));
    policy.OnApplied(1, 1s);
    CPPUNIT_ASSERT(policy.IsDue(true));
  }

  // Guards against a large state that is written continually.
  void LargeStateIsWrittenLessOften() {
    SnapshotPolicy policy({}, 4);
    policy.OnSnapshot(10 * kMiB, 500ms);
    policy.OnApplied(40 * kMiB - 1, 3999ms);
    CPPUNIT_ASSERT(!policy.IsDue(false));
    policy.OnApplied(0, 1ms);
    CPPUNIT_ASSERT(policy.IsDue(false));
  }

  void ReplicasTakeSnapshotsAtDifferentTimes() {
    for (ReplicaId self = 4; self < 8; ++self) {
      SnapshotPolicy policy({}, self);
      policy.OnApplied((self - 3) * kMiB + 3 * kMiB - 1, 0ms);
      CPPUNIT_ASSERT(!policy.IsDue(false));
      policy.OnApplied(1, 0ms);
      CPPUNIT_ASSERT(policy.IsDue(false));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotPolicyTest);

}  // namespace
}  // namespace dotterelshift::replication
