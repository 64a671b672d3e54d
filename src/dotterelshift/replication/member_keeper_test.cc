#include "dotterelshift/replication/member_keeper.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for make_unique
#include <string>  // for to_string

#include "dotterelshift/replication/membership.h"  // for WithMember

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
  CPPUNIT_TEST(LostVoterIsRemovedOnceItsSuccessorVotes);
  CPPUNIT_TEST(TwoLostVotersAreRemovedOnceBothAreReplaced);
  CPPUNIT_TEST(SuccessorThatIsLostIsReplacedItself);
  CPPUNIT_TEST(LostLearnerIsRemovedBeforeAnythingElse);
  CPPUNIT_TEST(LearnerThatCatchesUpDelaysNoRemoval);
  CPPUNIT_TEST(AddedReplicaIsNotLostAtOnce);
  CPPUNIT_TEST(HostThatWasLostBeforeTheElectionIsRemovedSoonAfter);
  CPPUNIT_TEST(PartitionOfALargeGroupRemovesNobody);
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

  static wire::MembershipT GroupOfFive() {
    return GroupOf({ReplicaOf(1, "a"), ReplicaOf(2, "b"), ReplicaOf(3, "c"),
                    ReplicaOf(4, "d"), ReplicaOf(5, "e")});
  }
  static wire::MembershipT With(const wire::MembershipT& members,
                                wire::ReplicaT replica, bool voter) {
    replica.voter = voter;
    return WithMember(members, replica);
  }
  // The others are heard from for this long.
  void Pass(Duration time, std::initializer_list<ReplicaId> heard,
            const wire::MembershipT& members) {
    for (Duration passed{}; passed < time; passed += 100ms) {
      HearAll(heard);
      Next(members, {});
      m_now += 100ms;
    }
    HearAll(heard);
  }
  MembershipChange ExpectChange(const wire::MembershipT& members,
                                const std::vector<wire::ReplicaT>& waiting) {
    const auto change = Next(members, waiting);
    CPPUNIT_ASSERT(change);
    return *change;
  }

  void LostVoterIsRemovedOnceItsSuccessorVotes() {
    const auto five = GroupOfFive();
    Pass(2s, {2, 3, 4}, five);
    const auto addition = ExpectChange(five, {ReplicaOf(6, "f")});
    CPPUNIT_ASSERT(!addition.remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{5}, addition.replica.replaces);
    const auto learner = With(five, addition.replica, false);
    Pass(4s, {2, 3, 4, 6}, learner);
    CPPUNIT_ASSERT(!Next(learner, {}));
    const auto removal = ExpectChange(With(five, addition.replica, true), {});
    CPPUNIT_ASSERT(removal.remove);
    CPPUNIT_ASSERT(removal.reason == MembershipReason::kReplaced);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{5}, removal.replica.id);
  }

  // The second one is lost before the first one has been removed.
  void TwoLostVotersAreRemovedOnceBothAreReplaced() {
    auto members = GroupOfFive();
    Pass(2s, {2, 3, 4}, members);
    const auto first = ExpectChange(members, {ReplicaOf(6, "f")});
    members = With(members, first.replica, false);
    Pass(1500ms, {2, 3, 6}, members);
    const auto second = ExpectChange(members, {ReplicaOf(7, "g")});
    CPPUNIT_ASSERT_EQUAL(ReplicaId{4}, second.replica.replaces);
    members = With(members, first.replica, true);
    members = With(members, second.replica, true);
    m_now += 1s;
    HearAll({2, 3, 6, 7});
    const auto first_removal = ExpectChange(members, {});
    CPPUNIT_ASSERT_EQUAL(ReplicaId{5}, first_removal.replica.id);
    members = WithoutMember(members, 5);
    const auto second_removal = ExpectChange(members, {});
    CPPUNIT_ASSERT_EQUAL(ReplicaId{4}, second_removal.replica.id);
    CPPUNIT_ASSERT(!Next(WithoutMember(members, 4), {}));
  }

  void SuccessorThatIsLostIsReplacedItself() {
    auto members = GroupOfFive();
    Pass(2s, {2, 3, 4}, members);
    members = With(members, ExpectChange(members, {ReplicaOf(6, "f")}).replica,
                   false);
    Pass(1500ms, {2, 3, 4}, members);
    const auto next = ExpectChange(members, {ReplicaOf(7, "g")});
    CPPUNIT_ASSERT(!next.remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{5}, next.replica.replaces);
  }

  void LostLearnerIsRemovedBeforeAnythingElse() {
    auto members = GroupOfFive();
    Pass(2s, {2, 3, 4, 5}, members);
    members = With(members, ReplicaOf(6, "f"), false);
    Pass(5s, {2, 3, 4, 5}, members);
    const auto change = ExpectChange(members, {ReplicaOf(7, "g")});
    CPPUNIT_ASSERT(change.remove);
    CPPUNIT_ASSERT(change.reason == MembershipReason::kLostLearner);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{6}, change.replica.id);
  }

  void LearnerThatCatchesUpDelaysNoRemoval() {
    auto members = With(GroupOfFive(), ReplicaOf(6, "f"), true);
    members = With(members, ReplicaOf(7, "g"), false);
    Pass(5s, {2, 3, 4, 5, 7}, members);
    const auto change = ExpectChange(members, {});
    CPPUNIT_ASSERT(change.reason == MembershipReason::kSurplus);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{6}, change.replica.id);
  }

  void AddedReplicaIsNotLostAtOnce() {
    const auto five = GroupOfFive();
    Pass(10s, {2, 3, 4, 5}, five);
    const auto members = With(five, ReplicaOf(6, "f"), false);
    CPPUNIT_ASSERT(!Next(members, {}));
    Pass(1900ms, {2, 3, 4, 5}, members);
    CPPUNIT_ASSERT(!Next(members, {}));
  }

  // Leaders may be lost faster than each of them could notice a silence.
  void HostThatWasLostBeforeTheElectionIsRemovedSoonAfter() {
    const auto members = With(GroupOfFive(), ReplicaOf(6, "f"), true);
    for (const char* host : {"b", "c", "d", "e", "f"})
      m_membership_repair.OnHostConnected(host, m_now);
    m_now += 4s;
    for (const char* host : {"b", "c", "d", "e"})
      m_membership_repair.OnHostConnected(host, m_now);
    Pass(1s, {2, 3, 4, 5}, members);
    const auto change = ExpectChange(members, {});
    CPPUNIT_ASSERT(change.remove);
    CPPUNIT_ASSERT_EQUAL(ReplicaId{6}, change.replica.id);
  }

  void PartitionOfALargeGroupRemovesNobody() {
    auto members = GroupOfFive();
    for (const ReplicaId id : {6, 7})
      members = With(members, ReplicaOf(id, std::to_string(id)), true);
    Pass(60s, {2, 3, 4, 5}, members);
    CPPUNIT_ASSERT(!Next(members, {}));
    Pass(60s, {2, 3, 4}, members);
    CPPUNIT_ASSERT(!Next(members, {}));
  }

  Instant m_now{1000s};
  MembershipRepair m_membership_repair{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberKeeperTest);

}  // namespace
}  // namespace dotterelshift::replication
