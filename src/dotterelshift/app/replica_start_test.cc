#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for to_string

#include "dotterelshift/app/replica_simulation.h"  // for ReplicaSimulation

namespace dotterelshift::app {
namespace {

constexpr size_t kHosts = 9;

// Costs of a host with 0.075 of a core. One simulated command stands for a
// thousand real ones of 2 microseconds each.
WorkCosts SlowHost() {
  WorkCosts costs;
  costs.command = 27ms;
  costs.open_entry = 2ms;
  costs.snapshot = 200ms;
  return costs;
}

// Restarts all hosts after a power loss in which two of them lose their
// folders.
void RestartAll(ReplicaSimulation& group) {
  group.KillAll();
  group.Wipe("control-2");
  group.Wipe("control-7");
  group.StartAll();
}

class ReplicaStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaStartTest);
  CPPUNIT_TEST(LeaderStaysWhileItAppliesItsLog);
  CPPUNIT_TEST(LeaderActsOnceItsLogIsApplied);
  CPPUNIT_TEST(LeaderChangesMembersOnceItsLogIsApplied);
  CPPUNIT_TEST(LeaderStaysWhenManyEntriesReturnAtOnce);
  CPPUNIT_TEST(LeaderStaysWhileItSendsItsLogToWipedHosts);
  CPPUNIT_TEST(LeaderStaysUnderSteadyLoad);
  CPPUNIT_TEST(ReadsAreConfirmedSoonAfterARestartForAnyLogLength);
  CPPUNIT_TEST(HellosDoNotMultiplyWithoutALeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Members without a leader send hellos to each other. If each hello were
  // answered by another one, the exchange would go on until there is a leader
  // and take the processing time that an election needs.
  void HellosDoNotMultiplyWithoutALeader() {
    constexpr uint64_t kRunning = 4;  // too few for a leader
    constexpr uint64_t kSeconds = 20;
    ReplicaSimulation group(kHosts, WorkCosts{});
    for (uint64_t i = 1; i <= kRunning; ++i)
      group.Start("control-" + std::to_string(i));
    group.RunFor(kSeconds * 1s);
    // Each sends a hello to every other one once a second; only a replica that
    // knows more answers.
    constexpr uint64_t kMaxHellos = kRunning * (kRunning - 1) * (kSeconds + 1);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(group.Hellos()) + " hellos",
                           group.Hellos() <= kMaxHellos);
  }

  // A leader that sends no heartbeats while it applies the log from its folder
  // is replaced by another one that does the same.
  void LeaderStaysWhileItAppliesItsLog() {
    constexpr uint64_t kCommands = 300;  // 8 s of work
    ReplicaSimulation group(kHosts, SlowHost());
    group.FillLogs(kCommands);
    RestartAll(group);
    group.RunFor(20s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, group.Elections());
    CPPUNIT_ASSERT(!group.Leader().empty());
    CPPUNIT_ASSERT_EQUAL(kCommands, group.CommandsAt(group.Leader()));
  }

  // Before that it would send outdated routes and totals to the entries.
  void LeaderActsOnceItsLogIsApplied() {
    constexpr uint64_t kCommands = 100;
    ReplicaSimulation group(kHosts, SlowHost());
    group.FillLogs(kCommands);
    RestartAll(group);
    CPPUNIT_ASSERT(
        group.RunUntil([&] { return !group.Leader().empty(); }, 20s));
    CPPUNIT_ASSERT_EQUAL(kCommands, group.CommandsAt(group.Leader()));
    group.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, group.LeadershipNotifications());
  }

  // The log requests a member that a later entry adds and another one removes.
  void LeaderChangesMembersOnceItsLogIsApplied() {
    ReplicaSimulation group(kHosts, SlowHost());
    group.LogConfirmedPlan();
    group.FillLogs(100);
    group.LogReplicaAddedAndRemoved();
    RestartAll(group);
    CPPUNIT_ASSERT(
        !group.RunUntil([&] { return group.AddedReplicaIsMember(); }, 20s));
    CPPUNIT_ASSERT(!group.Leader().empty());
  }

  // Entries that reconnect send all their pending commands at once. A single
  // batch of them would be applied in one loop iteration, even though the apply
  // time of log entries is limited.
  void LeaderStaysWhenManyEntriesReturnAtOnce() {
    constexpr uint64_t kCommands = 1000;
    WorkCosts costs;
    costs.command = 1ms;
    ReplicaSimulation group(kHosts, costs);
    group.StartAll();
    CPPUNIT_ASSERT(group.Accept(1, 10s));
    CPPUNIT_ASSERT(group.AcceptAtOnce(kCommands, 10s));
    group.RunFor(2s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, group.Elections());
  }

  // A host that has lost its folder is sent the whole log. Sent in one loop
  // iteration, that would block the leader in proportion to the log's length.
  void LeaderStaysWhileItSendsItsLogToWipedHosts() {
    constexpr uint64_t kCommands = 100;
    constexpr size_t kEntryBytes = 64 << 10;
    WorkCosts costs;
    costs.sent_kib = 200us;  // 1.3 s for the log
    ReplicaSimulation group(kHosts, costs);
    group.FillLogs(kCommands, kEntryBytes);
    RestartAll(group);
    group.RunFor(10s);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, group.Elections());
    CPPUNIT_ASSERT_EQUAL(kCommands, group.CommandsAt("control-2"));
    CPPUNIT_ASSERT_EQUAL(kCommands, group.CommandsAt("control-7"));
  }

  // A fleet sends reports without a pause, so each loop iteration of the leader
  // begins and ends with a pending write.
  void LeaderStaysUnderSteadyLoad() {
    constexpr uint64_t kCommands = 2'000;
    for (const Duration gap : {1ms, 2ms, 4ms}) {
      WorkCosts costs;
      costs.frame = 300us;
      ReplicaSimulation group(kHosts, costs);
      group.StartAll();
      CPPUNIT_ASSERT(group.Accept(1, 10s));
      CPPUNIT_ASSERT(group.AcceptPaced(gap, kCommands, 60s));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(ToMs(gap)), uint64_t{1},
                                   group.Elections());
    }
  }

  // At most 5 s from the start of all hosts to the first confirmed read.
  void ReadsAreConfirmedSoonAfterARestartForAnyLogLength() {
    for (const uint64_t commands : {10, 100, 1000}) {
      ReplicaSimulation group(kHosts, SlowHost());
      group.StartAll();
      CPPUNIT_ASSERT(group.Accept(commands, 600s));
      RestartAll(group);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(commands),
                             group.TimeToConfirmedRead(5s).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaStartTest);

}  // namespace
}  // namespace dotterelshift::app
