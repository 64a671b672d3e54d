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
  CPPUNIT_TEST(AWaitingReplicaIsAdded);
  CPPUNIT_TEST(AWipedHostsFormerReplicaGoesFirst);
  CPPUNIT_TEST(ASilentMemberGoesOnlyOnceItIsReplaced);
  CPPUNIT_TEST(ANewLeaderWaitsBeforeItJudges);
  CPPUNIT_TEST_SUITE_END();

  std::optional<KeptMember> Next(const wire::MembershipT& members,
                                 const std::vector<wire::ReplicaT>& waiting) {
    return m_keeper.Next(members, waiting, m_now);
  }
  void HearAll(std::initializer_list<ReplicaId> replicas) {
    for (const ReplicaId id : replicas) m_keeper.OnHeard(id, m_now);
  }

  void AWaitingReplicaIsAdded() {
    const auto members = GroupOf({ReplicaOf(1, "a")});
    CPPUNIT_ASSERT(!Next(members, {}));
    const auto change = Next(members, {ReplicaOf(2, "b")});
    CPPUNIT_ASSERT(change && !change->remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{2}, change->replica.id);
  }

  void AWipedHostsFormerReplicaGoesFirst() {
    const auto members =
        GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"), ReplicaOf(3, "c")});
    const auto change = Next(members, {ReplicaOf(9, "c")});
    CPPUNIT_ASSERT(change && change->remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{3}, change->replica.id);
  }

  // A partition alone never shrinks a group of three or five.
  void ASilentMemberGoesOnlyOnceItIsReplaced() {
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

  void ANewLeaderWaitsBeforeItJudges() {
    const auto four = GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"),
                               ReplicaOf(3, "c"), ReplicaOf(4, "d")});
    HearAll({2, 3});
    CPPUNIT_ASSERT(!Next(four, {}));
    m_now += MemberKeeperOptions().lost_after;
    HearAll({2, 3});
    CPPUNIT_ASSERT(Next(four, {}));
    m_keeper.StopLeading();
    CPPUNIT_ASSERT(!Next(four, {}));
  }

  Instant m_now{1000s};
  MemberKeeper m_keeper{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberKeeperTest);

}  // namespace
}  // namespace dotterelshift::replication
