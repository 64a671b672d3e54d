#include "dotterelshift/directory/spread.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "dotterelshift/directory/neighbours.h"  // for NeighboursOf

namespace dotterelshift::directory {
namespace {

HostId Host(size_t number) { return "h" + std::to_string(1000 + number); }

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

// A few daemons whose links deliver in the next round. Those of the hosts in
// `cut` lose everything.
class Fleet {
 public:
  explicit Fleet(size_t count) {
    for (size_t i = 0; i < count; ++i) Add();
  }

  void Add() {
    auto daemon = std::make_unique<Daemon>();
    daemon->host = Host(daemons.size());
    SpreadOptions options;
    options.self = daemon->host;
    daemon->spread = std::make_unique<Spread>(options, &daemon->directory);
    for (const auto& other : daemons) {
      other->spread->OnPeerUp(daemon->host, now);
      daemon->spread->OnPeerUp(other->host, now);
    }
    daemons.push_back(std::move(daemon));
  }

  void RunFor(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      now += 100ms;
      for (const auto& daemon : daemons) {
        for (const Outgoing& outgoing : daemon->spread->OnTimer(now))
          Deliver(*daemon, outgoing);
      }
    }
  }

  void Announce(size_t at, uint64_t sequence, bool draining = false) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.address = "127.0.0.1:1";
    record.incarnation = 1;
    record.sequence = sequence;
    record.draining = draining;
    record.running = static_cast<uint32_t>(sequence);
    daemons[at]->spread->OnAnnounced(record, now);
  }

  // The number of daemons that consider the endpoint usable.
  size_t Usable() const {
    size_t count = 0;
    for (const auto& daemon : daemons) {
      const Endpoint* endpoint = daemon->directory.Find("e");
      if (endpoint != nullptr && endpoint->usable) ++count;
    }
    return count;
  }

  struct Daemon {
    HostId host;
    Directory directory;
    std::unique_ptr<Spread> spread;
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::set<HostId> cut;  // hosts that neither send nor receive
  Instant now = Instant{} + 1000s;

 private:
  void Deliver(const Daemon& from, const Outgoing& outgoing) {
    if (cut.contains(from.host) || cut.contains(outgoing.host)) return;
    for (const auto& daemon : daemons) {
      if (daemon->host == outgoing.host)
        daemon->spread->OnDelta(from.host, outgoing.delta, now);
    }
  }
};

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(UpdateReachesAllHostsInFewHops);
  CPPUNIT_TEST(LosingOneHostDisconnectsNoOther);
  CPPUNIT_TEST(DrainingReachesAllWithinASecond);
  CPPUNIT_TEST(LoadIsSentAtABoundedRate);
  CPPUNIT_TEST(SilenceIsReportedByTheLastReceiver);
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
    Fleet fleet(30);
    fleet.Announce(4, 1);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{30}, fleet.Usable());
    fleet.Announce(4, 2, true);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.Usable());
  }

  void LoadIsSentAtABoundedRate() {
    Fleet fleet(8);
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
    Fleet fleet(8);
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

  void EndpointThatSwitchesDaemonIsNotSilent() {
    Fleet fleet(8);
    for (uint64_t sequence = 1; sequence <= 12; ++sequence) {
      fleet.Announce(sequence <= 5 ? 2 : 6, sequence);
      fleet.RunFor(1s);
      CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
    }
  }

  void LostUpdateIsRepairedByDigests() {
    Fleet fleet(8);
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
    Fleet fleet(7);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.Add();
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, fleet.Usable());
  }

  void OldPulseDoesNotReviveADrainingEndpoint() {
    Fleet fleet(2);
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
