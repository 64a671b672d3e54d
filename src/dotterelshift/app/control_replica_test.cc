#include "dotterelshift/app/control_replica.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/app/replica_group.h"       // for ReplicaGroup
#include "dotterelshift/replication/membership.h"  // for IsVoter

namespace dotterelshift::app {
namespace {

using replication::FindMember;
using replication::IsVoter;

std::vector<wire::ChangeT> AddTeamChange(const std::string& id) {
  std::vector<wire::ChangeT> changes;
  changes.push_back(state::TeamChange(id));
  return changes;
}

ReplicaId IdOf(const wire::MembershipT& members, const HostId& host) {
  for (const auto& replica : members.replicas)
    if (replica->host == host) return replica->id;
  return 0;
}

class ControlReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlReplicaTest);
  CPPUNIT_TEST(SingleReplicaKeepsAcceptedCommandsAcrossARestart);
  CPPUNIT_TEST(GroupOfThreeSurvivesTheLossOfItsLeader);
  CPPUNIT_TEST(TestsWaitForTheNextLeader);
  CPPUNIT_TEST(PartitionedLeaderConfirmsNoCommandsOrReads);
  CPPUNIT_TEST(WipedMemberWaitsUntilAPlanReplacesIt);
  CPPUNIT_TEST(WipedCoordinatorDoesNotBootstrapASecondGroup);
  CPPUNIT_TEST(LaggingReplicaInstallsASnapshot);
  CPPUNIT_TEST(SpooledCommandsAreProposedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SingleReplicaKeepsAcceptedCommandsAcrossARestart() {
    ReplicaGroup group({"a"});
    group.Start("a");
    for (uint64_t version = 1; version <= 5; ++version) {
      group.AcceptPlan(AddTeamChange("team-" + std::to_string(version)));
      group.Kill("a");
      group.Start("a");
      group.RunUntil([&] { return group.AllHave(version); });
    }
    CPPUNIT_ASSERT(group.Find("a")->GetState().GetConfiguration().FindTeam(
                       "team-1") != nullptr);
  }

  void GroupOfThreeSurvivesTheLossOfItsLeader() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    for (uint64_t round = 0; round < 3; ++round) {
      group.AcceptPlan(AddTeamChange("before"));
      const HostId leader = group.AwaitLeader();
      group.Kill(leader);
      group.AcceptPlan(AddTeamChange("after"));
      group.Start(leader);
      group.RunUntil([&] { return group.AllHave(2 * round + 2); });
    }
  }

  // Between two terms there is no leader, so tests that use the leader must
  // wait for the next one. On a busy machine a test that did not wait
  // dereferenced a null pointer.
  void TestsWaitForTheNextLeader() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    const HostId old = group.AwaitLeader();
    group.Cut(old, true);
    CPPUNIT_ASSERT(group.Leader().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, Members(group).replicas.size());
    CPPUNIT_ASSERT(group.AwaitLeader() != old);
  }

  void PartitionedLeaderConfirmsNoCommandsOrReads() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    group.AcceptPlan(AddTeamChange("before"));
    const HostId old = group.AwaitLeader();
    group.Cut(old, true);
    std::vector<ErrorKind> errors;
    std::vector<wire::CommandT> commands;
    commands.push_back(
        group.Run().Command(state::PlanOf("lost", 1, "operator", {})));
    group.Find(old)->Propose(commands, [&](ErrorKind error, const auto&) {
      errors.push_back(error);
    });
    group.Find(old)->ConfirmedRead(
        [&](ErrorKind error) { errors.push_back(error); });
    group.RunUntil([&] { return errors.size() == 2; });
    for (const ErrorKind error : errors)
      CPPUNIT_ASSERT(error == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT(!group.Find(old)->Leads());
    group.AcceptPlan(AddTeamChange("meanwhile"));
    group.Cut(old, false);
    group.RunUntil([&] { return group.AllHave(2); });
    CPPUNIT_ASSERT(group.Find(old)->GetState().FindPlan("lost") == nullptr);
  }

  void WipedMemberWaitsUntilAPlanReplacesIt() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    group.AcceptPlan(AddTeamChange("before"));
    const HostId leader = group.AwaitLeader();
    const HostId lost = leader == "c" ? "b" : "c";
    const ReplicaId old = IdOf(Members(group), lost);
    group.Wipe(lost);
    group.Start(lost);
    group.RunUntil(
        [&] { return !group.Find(leader)->WaitingReplicas().empty(); });
    const wire::ReplicaT fresh = group.Find(leader)->WaitingReplicas().front();
    CPPUNIT_ASSERT_EQUAL(lost, fresh.host);
    CPPUNIT_ASSERT(fresh.id != old);
    CPPUNIT_ASSERT(!IsVoter(Members(group), fresh.id));
    std::vector<wire::ChangeT> changes;
    wire::RemoveReplicaT removal;
    removal.replica = old;
    changes.push_back(state::ChangeOf(removal));
    wire::AddReplicaT addition;
    addition.replica = fresh.id;
    addition.host = lost;
    changes.push_back(state::ChangeOf(addition));
    group.AcceptPlan(std::move(changes));
    group.RunUntil([&] {
      return !group.Leader().empty() && IsVoter(Members(group), fresh.id);
    });
    CPPUNIT_ASSERT(FindMember(Members(group), old) == nullptr);
    group.RunUntil([&] { return group.AllHave(2); });
    // A second loss right after the repair loses no data.
    group.Wipe(leader);
    group.AcceptPlan(AddTeamChange("after"));
    CPPUNIT_ASSERT(group.Find(group.AwaitLeader())
                       ->GetState()
                       .GetConfiguration()
                       .FindTeam("before") != nullptr);
  }

  // The member that bootstrapped the group loses its folder while the others
  // are down. It must wait, and the others must continue the group.
  void WipedCoordinatorDoesNotBootstrapASecondGroup() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    group.AcceptPlan(AddTeamChange("before"));
    group.RunUntil([&] { return group.AllHave(1); });
    for (const char* host : {"a", "b", "c"}) group.Kill(host);
    group.Wipe("a");
    group.Start("a");
    group.Start("b");
    const ControlReplica* wiped = group.Find("a");
    // Several rounds of hellos to the others.
    group.RunUntil([&] { return group.FramesFrom("a") >= 10; });
    CPPUNIT_ASSERT(wiped->GetNode().Members().replicas.empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, wiped->GetNode().Term());
    group.Start("c");
    group.AcceptPlan(AddTeamChange("after"));
    CPPUNIT_ASSERT(group.AwaitLeader() != "a");
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, group.Find(group.AwaitLeader())
                                          ->GetState()
                                          .GetConfiguration()
                                          .Version());
  }

  void LaggingReplicaInstallsASnapshot() {
    ReplicaGroup group({"a", "b", "c"});
    group.Options().snapshot.min_log_bytes = 8 << 10;
    group.Options().store.segment_bytes = 8 << 10;
    group.Options().node.snapshot_chunk_bytes = 512;
    StartThree(group);
    group.AcceptPlan(AddTeamChange("first"));
    const HostId lagging = group.AwaitLeader() == "c" ? "b" : "c";
    group.Kill(lagging);
    constexpr uint64_t kPlans = 60;
    for (uint64_t plan = 2; plan <= kPlans; ++plan)
      group.AcceptPlan(AddTeamChange("team-" + std::to_string(plan)));
    // Restarted replicas have truncated their logs, so the lagging one needs a
    // snapshot.
    for (const char* host : {"a", "b", "c"}) group.Kill(host);
    StartThree(group);
    group.RunUntil([&] { return group.AllHave(kPlans); });
    CPPUNIT_ASSERT(group.Find("a")->GetState().Snapshot() ==
                   group.Find(lagging)->GetState().Snapshot());
  }

  void SpooledCommandsAreProposedOnce() {
    ReplicaGroup group({"a", "b", "c"});
    StartThree(group);
    group.AcceptPlan(AddTeamChange("before"));
    const HostId spooling_host = group.AwaitLeader() == "c" ? "b" : "c";
    group.Cut(spooling_host, true);
    wire::SpoolT spool;
    spool.commands.push_back(std::make_unique<wire::CommandT>(
        group.Run().Command(state::PlanOf("spooled", 1, "operator", {}))));
    group.Find(spooling_host)->Spool(spool);
    group.Kill(spooling_host);
    group.Start(spooling_host);
    // Other leaders are restarted until it leads and proposes its spool.
    group.Cut(spooling_host, false);
    group.Kill(spooling_host == "b" ? "c" : "b");
    group.RunUntil([&] {
      if (group.Leader().empty()) return false;
      if (group.Leader() != spooling_host) {
        const HostId other = group.Leader();
        group.Kill(other);
        group.Start(other);
      }
      return group.Find(spooling_host)->GetState().FindPlan("spooled") !=
             nullptr;
    });
  }

 private:
  static void StartThree(ReplicaGroup& group) {
    for (const char* host : {"a", "b", "c"}) group.Start(host);
    group.AwaitLeader();
  }

  static const wire::MembershipT& Members(ReplicaGroup& group) {
    return group.Find(group.AwaitLeader())->GetNode().Members();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlReplicaTest);

}  // namespace
}  // namespace dotterelshift::app
