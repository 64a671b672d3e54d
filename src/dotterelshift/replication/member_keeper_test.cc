#include "dotterelshift/replication/member_keeper.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for make_unique

namespace dotterelshift::replication {
namespace {

wire::ReplicaT ReplicaOf(ReplicaId id, const HostId& host) {
  wire::ReplicaT replica;
  replica.id = id;
  replica.host = host;
  replica.voter = true;
  return replica;
}

wire::MembershipT GroupOf(const std::vector<wire::ReplicaT>& replicas) {
  wire::MembershipT members;
  for (const wire::ReplicaT& replica : replicas)
    members.replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
  return members;
}

class MemberKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberKeeperTest);
  CPPUNIT_TEST(WaitingReplicaIsAdded);
  CPPUNIT_TEST(WipedHostsOldReplicaIsRemovedFirst);
  CPPUNIT_TEST(SilentMemberIsRemovedOnlyOnceReplaced);
  CPPUNIT_TEST(NewLeaderWaitsBeforeRemovingMembers);
  CPPUNIT_TEST_SUITE_END();

  std::optional<MembershipChange> Next(
      const wire::MembershipT& members,
      const std::vector<wire::ReplicaT>& waiting) {
    return m_membership_repair.Next(members, waiting, m_now);
  }
  void HearAll(std::initializer_list<ReplicaId> replicas) {
    for (const ReplicaId id : replicas)
      m_membership_repair.OnMessageFrom(id, m_now);
  }

  void WaitingReplicaIsAdded() {
    const auto members = GroupOf({ReplicaOf(1, "a")});
    CPPUNIT_ASSERT(!Next(members, {}));
    const auto change = Next(members, {ReplicaOf(2, "b")});
    CPPUNIT_ASSERT(change && !change->remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{2}, change->replica.id);
  }

  void WipedHostsOldReplicaIsRemovedFirst() {
    const auto members =
        GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"), ReplicaOf(3, "c")});
    const auto change = Next(members, {ReplicaOf(9, "c")});
    CPPUNIT_ASSERT(change && change->remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{3}, change->replica.id);
  }

  // A partition alone never shrinks a group of three or five.
  void SilentMemberIsRemovedOnlyOnceReplaced() {
    const auto three =
        GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"), ReplicaOf(3, "c")});
    Next(three, {});
    m_now += 60s;
    HearAll({2});
    CPPUNIT_ASSERT(!Next(three, {}));
    const auto four = GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"),
                               ReplicaOf(3, "c"), ReplicaOf(4, "d")});
    HearAll({2, 4});
    const auto change = Next(four, {});
    CPPUNIT_ASSERT(change && change->remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{3}, change->replica.id);
    // Two silent members indicate a partition, not a lost member.
    m_now += 60s;
    HearAll({2});
    CPPUNIT_ASSERT(!Next(four, {}));
  }

  void NewLeaderWaitsBeforeRemovingMembers() {
    const auto four = GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"),
                               ReplicaOf(3, "c"), ReplicaOf(4, "d")});
    HearAll({2, 3});
    CPPUNIT_ASSERT(!Next(four, {}));
    m_now += MembershipRepairOptions().lost_after;
    HearAll({2, 3});
    CPPUNIT_ASSERT(Next(four, {}));
    m_membership_repair.StopLeading();
    CPPUNIT_ASSERT(!Next(four, {}));
  }

  Instant m_now{1000s};
  MembershipRepair m_membership_repair{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberKeeperTest);

}  // namespace
}  // namespace dotterelshift::replication
