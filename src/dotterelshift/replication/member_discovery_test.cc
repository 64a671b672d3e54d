#include "dotterelshift/replication/member_discovery.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for make_unique

#include "dotterelshift/replication/membership.h"  // for WithMember

namespace dotterelshift::replication {
namespace {

constexpr Instant kNow{1000s};

class MemberDiscoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberDiscoveryTest);
  CPPUNIT_TEST(HelloContainsGroupAndLeaderContact);
  CPPUNIT_TEST(ReplicaWithoutGroupWaitsUntilItJoins);
  CPPUNIT_TEST(MemberWithoutLeaderWaitsOnlyWithSelfHealing);
  CPPUNIT_TEST(MembersDoNotWait);
  CPPUNIT_TEST(HostReplacedAfterItsHelloDoesNotWait);
  CPPUNIT_TEST(ReplicaWithoutGroupAnswersOnlyOnRequest);
  CPPUNIT_TEST(MembersWithoutALeaderDoNotAnswerEachOther);
  CPPUNIT_TEST(FirstMembersBootstrapOnce);
  CPPUNIT_TEST(ReplicaThatIsLostAfterItsHelloDoesNotWait);
  CPPUNIT_TEST(RestartedFirstMemberLeavesBootstrapToTheNextOne);
  CPPUNIT_TEST(MemberOfAGroupPreventsBootstrapAfterARestart);
  CPPUNIT_TEST(VoterWithoutEntriesIsInNoGroup);
  CPPUNIT_TEST_SUITE_END();

 public:
  MemberDiscoveryTest() {
    auto member = std::make_unique<wire::ReplicaT>();
    member->id = 1;
    member->host = "core-1";
    m_members.replicas.push_back(std::move(member));
  }

 private:
  static MemberDiscovery Make(bool self_healing) {
    return MemberDiscovery({"core-1", 1, {"core-1", "core-2"}, self_healing});
  }

  GroupView InGroup() const { return {true, true, &m_members}; }
  GroupView Outside() const { return {false, false, &m_none}; }

  wire::ReplicaHelloT QuestionOf(const MemberDiscovery& discovery) const {
    return discovery.Hello(Outside(), true);
  }

  static wire::ReplicaHelloT HelloOf(ReplicaId replica, bool in_group,
                                     bool lost) {
    wire::ReplicaHelloT hello;
    hello.replica = replica;
    hello.in_group = in_group;
    hello.lost = lost;
    hello.first_members = {"core-1", "core-2"};
    return hello;
  }

  void HelloContainsGroupAndLeaderContact() {
    const MemberDiscovery discovery = Make(true);
    const wire::ReplicaHelloT hello = discovery.Hello(InGroup(), true);
    CPPUNIT_ASSERT(hello.in_group && hello.answer_wanted && !hello.lost);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, hello.members.size());
    CPPUNIT_ASSERT_EQUAL(std::string("core-1"), hello.members.at(0));
    CPPUNIT_ASSERT(discovery.Hello(Outside(), false).lost);
  }

  void ReplicaWithoutGroupWaitsUntilItJoins() {
    MemberDiscovery discovery = Make(false);
    discovery.OnHello("core-2", HelloOf(2, false, true), InGroup(), kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, discovery.Waiting(m_members, kNow).size());
    CPPUNIT_ASSERT_EQUAL(std::string("core-2"),
                         discovery.Waiting(m_members, kNow).at(0).host);
    discovery.OnHello("core-2", HelloOf(2, true, false), InGroup(), kNow);
    CPPUNIT_ASSERT(discovery.Waiting(m_members, kNow).empty());
  }

  // A replica that was replaced while it was offline still has a membership,
  // but no contact with a leader.
  void MemberWithoutLeaderWaitsOnlyWithSelfHealing() {
    for (const bool self_healing : {false, true}) {
      MemberDiscovery discovery = Make(self_healing);
      const bool answered =
          discovery.OnHello("core-2", HelloOf(2, true, true), InGroup(), kNow);
      CPPUNIT_ASSERT_EQUAL(self_healing, answered);
      CPPUNIT_ASSERT_EQUAL(self_healing,
                           !discovery.Waiting(m_members, kNow).empty());
    }
  }

  void MembersDoNotWait() {
    MemberDiscovery discovery = Make(true);
    discovery.OnHello("core-1", HelloOf(1, true, true), InGroup(), kNow);
    CPPUNIT_ASSERT(discovery.Waiting(m_members, kNow).empty());
  }

  // Host core-2 waited with replica 2, then lost its data folder and was added
  // with replica 3, which this replica knows only from the log.
  void HostReplacedAfterItsHelloDoesNotWait() {
    MemberDiscovery discovery = Make(true);
    discovery.OnHello("core-2", HelloOf(2, false, true), InGroup(), kNow);
    wire::ReplicaT replaced;
    replaced.id = 3;
    replaced.host = "core-2";
    const wire::MembershipT later = WithMember(m_members, replaced);
    CPPUNIT_ASSERT(discovery.Waiting(later, kNow).empty());
    discovery.OnHello("core-2", HelloOf(4, false, true), {true, true, &later},
                      kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, discovery.Waiting(later, kNow).size());
    CPPUNIT_ASSERT_EQUAL(ReplicaId{4}, discovery.Waiting(later, kNow).at(0).id);
  }

  // Guards against two waiting replicas that answer each other forever.
  void ReplicaWithoutGroupAnswersOnlyOnRequest() {
    MemberDiscovery discovery = Make(true);
    wire::ReplicaHelloT hello = HelloOf(2, false, true);
    CPPUNIT_ASSERT(!discovery.OnHello("core-2", hello, Outside(), kNow));
    hello.answer_wanted = true;
    CPPUNIT_ASSERT(discovery.OnHello("core-2", hello, Outside(), kNow));
  }

  // Guards against two members that answer each other until there is a leader.
  void MembersWithoutALeaderDoNotAnswerEachOther() {
    MemberDiscovery discovery = Make(true);
    const GroupView lost = {true, false, &m_members};
    CPPUNIT_ASSERT(
        !discovery.OnHello("core-2", HelloOf(2, true, true), lost, kNow));
    CPPUNIT_ASSERT(
        discovery.OnHello("core-2", HelloOf(2, false, true), lost, kNow));
  }

  void FirstMembersBootstrapOnce() {
    MemberDiscovery discovery = Make(true);
    CPPUNIT_ASSERT(discovery.IsCoordinator());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, discovery.StartRound().size());
    CPPUNIT_ASSERT(!discovery.ComposeMembership());
    discovery.OnHello("core-2", HelloOf(2, false, true), Outside(), kNow);
    const auto members = discovery.ComposeMembership();
    CPPUNIT_ASSERT(members);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, members->replicas.size());
    discovery.EndBootstrap();
    CPPUNIT_ASSERT(!discovery.ComposeMembership());
    CPPUNIT_ASSERT(discovery.StartRound().empty());
  }

  // The replica has joined and says hello no more. Once it is lost and removed,
  // it must not be added again.
  void ReplicaThatIsLostAfterItsHelloDoesNotWait() {
    MemberDiscovery discovery = Make(true);
    discovery.OnHello("core-2", HelloOf(2, false, true), InGroup(), kNow);
    const Duration waits_for = MemberDiscoveryOptions().waits_for;
    CPPUNIT_ASSERT(!discovery.Waiting(m_members, kNow + waits_for).empty());
    CPPUNIT_ASSERT(
        discovery.Waiting(m_members, kNow + waits_for + 1ms).empty());
  }

  // A seed that was killed while the fleet started for the first time.
  void RestartedFirstMemberLeavesBootstrapToTheNextOne() {
    MemberDiscovery restarted({"core-1", 9, {}, true});
    MemberDiscovery next({"core-2", 2, {"core-1", "core-2"}, true});
    CPPUNIT_ASSERT(!next.IsCoordinator());
    const wire::ReplicaHelloT hello = restarted.Hello(Outside(), false);
    CPPUNIT_ASSERT(hello.cannot_found);
    next.OnHello("core-1", hello, Outside(), kNow);
    CPPUNIT_ASSERT(next.IsCoordinator());
    next.StartRound();
    // A hello that answers no question may be older than a group.
    next.OnHello("core-1", hello, Outside(), kNow);
    CPPUNIT_ASSERT(!next.ComposeMembership());
    next.OnHello("core-1", restarted.AnswerTo(QuestionOf(next), Outside()),
                 Outside(), kNow);
    const auto members = next.ComposeMembership();
    CPPUNIT_ASSERT(members);
    CPPUNIT_ASSERT(FindMember(*members, 9) != nullptr);
    CPPUNIT_ASSERT(FindMember(*members, 2) != nullptr);
  }

  void MemberOfAGroupPreventsBootstrapAfterARestart() {
    MemberDiscovery restarted({"core-1", 9, {}, true});
    MemberDiscovery next({"core-2", 2, {"core-1", "core-2", "core-3"}, true});
    next.OnHello("core-1", restarted.Hello(Outside(), false), Outside(), kNow);
    next.StartRound();
    next.OnHello("core-1", restarted.AnswerTo(QuestionOf(next), Outside()),
                 Outside(), kNow);
    wire::ReplicaHelloT member = HelloOf(3, true, false);
    member.answers = QuestionOf(next).round;
    next.OnHello("core-3", member, Outside(), kNow);
    CPPUNIT_ASSERT(!next.ComposeMembership());
  }

  // The first member lost its data folder after the vote, before any other
  // member received its first entry. The voter must be able to bootstrap again.
  void VoterWithoutEntriesIsInNoGroup() {
    RestoredLog voted;
    voted.self = 2;
    voted.hard_state.term = 2;
    voted.hard_state.voted_for = 1;
    const auto voter = MakeNode(NodeOptions(), voted, Instant{1s});
    CPPUNIT_ASSERT(!GroupViewOf(*voter).in_group);
    const auto founder =
        MakeNode(NodeOptions(), MakeInitialLog(1, m_members), Instant{1s});
    CPPUNIT_ASSERT(GroupViewOf(*founder).in_group);
  }

  wire::MembershipT m_members;
  wire::MembershipT m_none;
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemberDiscoveryTest);

}  // namespace
}  // namespace dotterelshift::replication
