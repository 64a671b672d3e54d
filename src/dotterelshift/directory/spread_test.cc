#include "dotterelshift/directory/spread.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>     // for set
#include <string>  // for string

#include "dotterelshift/directory/neighbours.h"         // for NeighboursOf
#include "dotterelshift/directory/spread_simulation.h"  // for SimulatedFleet

namespace dotterelshift::directory {
namespace {

HostId Host(size_t number) { return SimulatedFleet::HostOf(number); }

std::set<HostId> Roster(size_t count) {
  std::set<HostId> roster;
  for (size_t i = 0; i < count; ++i) roster.insert(Host(i));
  return roster;
}

// The number of hops that an update needs from one host to all others except
// `lost`; 0 when it does not reach them all.
size_t StepsToAll(const std::set<HostId>& roster, const HostId& start,
                  const HostId& lost) {
  std::set<HostId> reached = {start};
  std::set<HostId> front = reached;
  const size_t left = roster.size() - (lost.empty() ? 0 : 1);
  for (size_t steps = 0;; ++steps) {
    if (reached.size() == left) return steps + 1;
    std::set<HostId> next;
    for (const HostId& host : front) {
      for (const HostId& to : NeighboursOf(roster, host, 3)) {
        if (to != lost && reached.insert(to).second) next.insert(to);
      }
    }
    if (next.empty()) return 0;
    front = next;
  }
}

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(UpdateReachesAllHostsInFewHops);
  CPPUNIT_TEST(LosingOneHostDisconnectsNoOther);
  CPPUNIT_TEST(DrainingReachesAllWithinASecond);
  CPPUNIT_TEST(LoadIsSentAtABoundedRate);
  CPPUNIT_TEST(SilenceIsReportedByTheLastReceiver);
  CPPUNIT_TEST(SilenceAfterASingleAnnouncementIsReported);
  CPPUNIT_TEST(SilenceIsReportedWhenTheLastReceiverIsLost);
  CPPUNIT_TEST(DepartureIsSentBeforeItIsAcknowledged);
  CPPUNIT_TEST(EndpointThatSwitchesDaemonIsNotSilent);
  CPPUNIT_TEST(LostUpdateIsRepairedByDigests);
  CPPUNIT_TEST(NewDaemonReceivesAllRecords);
  CPPUNIT_TEST(OldPulseDoesNotReviveADrainingEndpoint);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UpdateReachesAllHostsInFewHops() {
    struct Case {
      size_t hosts;
      size_t max_hops;
    };
    const Case cases[] = {{2, 2},  {3, 2},   {4, 2},   {5, 3},
                          {8, 3},  {9, 3},   {27, 4},  {50, 5},
                          {81, 5}, {100, 6}, {243, 6}, {380, 7}};
    for (const Case& test : cases) {
      const std::set<HostId> roster = Roster(test.hosts);
      for (const HostId& start : roster) {
        const size_t steps = StepsToAll(roster, start, "");
        CPPUNIT_ASSERT_MESSAGE(start + " of " + std::to_string(test.hosts),
                               steps > 0 && steps <= test.max_hops);
      }
    }
  }

  void LosingOneHostDisconnectsNoOther() {
    for (size_t count = 3; count <= 40; ++count) {
      const std::set<HostId> roster = Roster(count);
      for (const HostId& lost : roster) {
        const HostId start = lost == Host(0) ? Host(1) : Host(0);
        CPPUNIT_ASSERT_MESSAGE(lost + " of " + std::to_string(count),
                               StepsToAll(roster, start, lost) > 0);
      }
    }
  }

  void DrainingReachesAllWithinASecond() {
    SimulatedFleet fleet(30);
    fleet.Announce(4, 1);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{30}, fleet.Usable());
    fleet.Announce(4, 2, true);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
  }

  void LoadIsSentAtABoundedRate() {
    SimulatedFleet fleet(8);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.Announce(0, 2);
    fleet.RunFor(500ms);
    const Directory& far = fleet.daemons[5]->directory;
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, far.Find("e")->record.running);
    fleet.Announce(0, 3);
    fleet.RunFor(200ms);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, far.Find("e")->record.running);
    fleet.RunFor(500ms);
    fleet.Announce(0, 4);
    fleet.RunFor(500ms);
    CPPUNIT_ASSERT_EQUAL(uint32_t{4}, far.Find("e")->record.running);
  }

  void SilenceIsReportedByTheLastReceiver() {
    SimulatedFleet fleet(8);
    for (uint64_t sequence = 1; sequence <= 5; ++sequence) {
      fleet.Announce(2, sequence);
      fleet.RunFor(1s);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
    fleet.RunFor(2900ms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
    fleet.Announce(2, 6);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
  }

  // An endpoint that crashes soon after its start. Entries rely on the report.
  void SilenceAfterASingleAnnouncementIsReported() {
    SimulatedFleet fleet(3);
    DirectoryOptions entry;
    entry.silent_after = 60s;
    fleet.Add(0, entry);
    fleet.Announce(1, 1);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.Usable());
    fleet.RunFor(4s);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
  }

  // A daemon that is killed forgets what it has heard, a departure too. The
  // entries would use the endpoint for as long as they know no better.
  void SilenceIsReportedWhenTheLastReceiverIsLost() {
    for (const bool returns : {false, true}) {
      SimulatedFleet fleet(3);
      DirectoryOptions entry;
      entry.silent_after = 60s;
      fleet.Add(0, entry);
      for (uint64_t sequence = 1; sequence <= 5; ++sequence) {
        fleet.Announce(1, sequence);
        fleet.RunFor(1s);
      }
      fleet.RestartEmpty(1);
      if (returns) fleet.Reconnect(1);
      fleet.RunFor(5s);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
      fleet.Announce(2, 6);
      fleet.RunFor(1s);
      CPPUNIT_ASSERT_EQUAL(returns ? size_t{4} : size_t{3}, fleet.Usable());
    }
  }

  // The daemon may be lost as soon as it has acknowledged it.
  void DepartureIsSentBeforeItIsAcknowledged() {
    SimulatedFleet fleet(4);
    fleet.Announce(1, 1);
    fleet.RunFor(1s);
    fleet.now += 1ms;
    fleet.Announce(1, 2, true);
    const auto sent = fleet.daemons[1]->spread->OnTimer(fleet.now);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, sent.size());
    for (const Outgoing& outgoing : sent) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, outgoing.delta.records.size());
      CPPUNIT_ASSERT(outgoing.delta.records.front()->draining);
    }
  }

  void EndpointThatSwitchesDaemonIsNotSilent() {
    SimulatedFleet fleet(8);
    for (uint64_t sequence = 1; sequence <= 12; ++sequence) {
      fleet.Announce(sequence <= 5 ? 2 : 6, sequence);
      fleet.RunFor(1s);
      CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
    }
  }

  void LostUpdateIsRepairedByDigests() {
    SimulatedFleet fleet(8);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.cut = {Host(7)};
    fleet.Announce(0, 2, true);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.Usable());
    fleet.cut.clear();
    fleet.daemons[7]->directory.OnAlive("e", fleet.now);
    fleet.RunFor(8s);
    CPPUNIT_ASSERT(fleet.daemons[7]->directory.Find("e")->record.draining);
  }

  void NewDaemonReceivesAllRecords() {
    SimulatedFleet fleet(7);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.Add();
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
  }

  void OldPulseDoesNotReviveADrainingEndpoint() {
    SimulatedFleet fleet(2);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.Announce(0, 3, true);
    fleet.RunFor(200ms);
    wire::DirectoryDeltaT late;
    for (const uint32_t sequence : {2, 4})
      late.pulses.emplace_back(PulseKey("e", 1), sequence, 0, 0, 0, 0);
    fleet.daemons[1]->spread->OnDelta(Host(0), late, fleet.now);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace
}  // namespace dotterelshift::directory
