#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for to_string

#include "dotterelshift/app/replica_simulation.h"  // for ReplicaSimulation

namespace dotterelshift::app {
namespace {

constexpr size_t kHosts = 9;

// What work costs with 0.075 of a core, where one simulated command stands for
// a thousand real ones of 2 microseconds each.
WorkCosts SlowHost() {
  WorkCosts costs;
  costs.command = 27ms;
  costs.open_entry = 2ms;
  costs.snapshot = 200ms;
  return costs;
}

// All hosts lose power at the same moment, and two of them their folders.
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
  // Members that hear no leader tell each other so. Each hello that is answered
  // by another one goes on until there is a leader, and takes the time in which
  // one could be elected.
  void HellosDoNotMultiplyWithoutALeader() {
    constexpr uint64_t kRunning = 4;  // too few for a leader
    constexpr uint64_t kSeconds = 20;
    ReplicaSimulation group(kHosts, WorkCosts{});
    for (uint64_t i = 1; i <= kRunning; ++i)
      group.Start("control-" + std::to_string(i));
    group.RunFor(kSeconds * 1s);
    // Each says hello to each other one once a second; an answer is due only
    // from one that knows more.
    constexpr uint64_t kMaxHellos = kRunning * (kRunning - 1) * (kSeconds + 1);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(group.Hellos()) + " hellos",
                           group.Hellos() <= kMaxHellos);
  }

  // A leader that is silent while it carries out what it found in its folder is
  // replaced by one that does the same.
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

  // Until then it would tell entries of routes and totals that are out of date.
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

  // Its log asks for a member that later came and went.
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

  // Entries that were away send at once what they have kept: one batch of it
  // all is one turn of the loop, however the log is sliced.
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

  // A host that has lost its folder is sent the whole log: handed to its
  // connection in one turn of the loop, that is as long as the log.
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

  // A fleet's reports come without a pause: each turn of the leader ends with
  // something to write, and begins with it.
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

  // Five seconds from the start of all to the first confirmed read.
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
