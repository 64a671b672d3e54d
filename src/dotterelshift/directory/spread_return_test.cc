#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max
#include <string>     // for to_string

#include "dotterelshift/directory/spread_simulation.h"  // for SimulatedFleet

namespace dotterelshift::directory {
namespace {

constexpr size_t kControlHosts = 9;
constexpr size_t kEntries = 72;
constexpr size_t kEndpoints = 145;
constexpr size_t kLastEntry = kControlHosts + kEntries - 1;

// How long a daemon that is connected again may go on using an endpoint that
// left in the meantime.
constexpr Duration kKnowsWithin = 300ms;

EndpointId EndpointOf(size_t number) { return "e" + std::to_string(number); }

// A fleet under control: control hosts send to all, entries only receive.
class ControlledFleet : public SimulatedFleet {
 public:
  ControlledFleet() {
    for (size_t i = 0; i < kControlHosts; ++i) Add(kToAll);
    for (size_t i = 0; i < kEntries; ++i) Add(0, EntryOptions());
    AnnounceAll();
    RunFor(2s);
    CPPUNIT_ASSERT_EQUAL(kEndpoints,
                         daemons[kLastEntry]->directory.All().size());
  }

  void AnnounceAll() {
    ++m_sequence;
    for (size_t i = 0; i < kEndpoints; ++i)
      Announce(i % kControlHosts, m_sequence, false, EndpointOf(i));
  }

  // Endpoints announce themselves every second.
  void RunAnnouncing(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      AnnounceAll();
      RunFor(1s);
    }
  }

  void Leave(size_t endpoint) {
    Announce(endpoint % kControlHosts, ++m_sequence, true,
             EndpointOf(endpoint));
  }

  void ForgetCounts() {
    for (const auto& daemon : daemons)
      daemon->records_received = daemon->pulses_received =
          daemon->requests_received = 0;
  }

 private:
  uint64_t m_sequence = 0;
};

class SpreadReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadReturnTest);
  CPPUNIT_TEST(DaemonThatReturnsAloneKnowsAtOnce);
  CPPUNIT_TEST(EntryThatReturnsAloneKnowsAtOnce);
  CPPUNIT_TEST(EntriesThatReturnTogetherKnowAtOnce);
  CPPUNIT_TEST(ReturningEntryReceivesEachRecordOnce);
  CPPUNIT_TEST(ReturnWithoutChangesTransfersNoRecords);
  CPPUNIT_TEST(NewEntryReceivesEachRecordOnce);
  CPPUNIT_TEST(StaleControlHostIsNotTheOnlySource);
  CPPUNIT_TEST(LostConnectionOfSeveralLosesNothing);
  CPPUNIT_TEST(AnswerLostWithItsConnectionIsRequestedAgain);
  CPPUNIT_TEST(MissedKeepAlivesAreRenewed);
  CPPUNIT_TEST(RecordsThatOnlyTheEntryHoldsCauseNoRepeatedRequests);
  CPPUNIT_TEST(EmptyControlHostForwardsNotItsWholeDirectory);
  CPPUNIT_TEST(StaleControlHostIsNotAskedByAllEntries);
  CPPUNIT_TEST(EntryOfOnlyTheReturningControlHostLearnsAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a daemon that returns after all others and waits a digest
  // interval to learn what left meanwhile.
  void DaemonThatReturnsAloneKnowsAtOnce() {
    SimulatedFleet fleet(2);
    fleet.Announce(0, 1);
    fleet.RunFor(1s);
    fleet.Disconnect(1);
    fleet.RunFor(1s);
    fleet.Announce(0, 2, true);
    fleet.RunFor(1s);
    fleet.Reconnect(1);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(1));
  }

  void EntryThatReturnsAloneKnowsAtOnce() {
    ControlledFleet fleet;
    fleet.Disconnect(kLastEntry);
    fleet.Leave(7);
    fleet.RunFor(5s);
    fleet.Reconnect(kLastEntry);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(kLastEntry, EndpointOf(7)));
  }

  void EntriesThatReturnTogetherKnowAtOnce() {
    ControlledFleet fleet;
    for (size_t i = kControlHosts; i <= kLastEntry; ++i) fleet.Disconnect(i);
    fleet.Leave(7);
    fleet.RunFor(5s);
    for (size_t i = kControlHosts; i <= kLastEntry; ++i) fleet.Reconnect(i);
    fleet.RunFor(kKnowsWithin);
    for (size_t i = kControlHosts; i <= kLastEntry; ++i)
      CPPUNIT_ASSERT(fleet.KnowsDraining(i, EndpointOf(7)));
  }

  // Guards against each control host sending its whole directory over a link
  // that callers fill.
  void ReturningEntryReceivesEachRecordOnce() {
    constexpr size_t kLeaving = 20;
    ControlledFleet fleet;
    fleet.Disconnect(kLastEntry);
    for (size_t i = 0; i < kLeaving; ++i) fleet.Leave(i);
    fleet.RunFor(5s);
    fleet.ForgetCounts();
    fleet.Reconnect(kLastEntry);
    fleet.RunFor(10s);
    CPPUNIT_ASSERT_EQUAL(kLeaving, fleet.daemons[kLastEntry]->records_received);
  }

  void ReturnWithoutChangesTransfersNoRecords() {
    ControlledFleet fleet;
    for (size_t i = kControlHosts; i <= kLastEntry; ++i) fleet.Disconnect(i);
    fleet.RunFor(1s);
    fleet.ForgetCounts();
    for (size_t i = kControlHosts; i <= kLastEntry; ++i) fleet.Reconnect(i);
    fleet.RunFor(10s);
    for (size_t i = kControlHosts; i <= kLastEntry; ++i)
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.daemons[i]->records_received);
  }

  // All entries start at once.
  void NewEntryReceivesEachRecordOnce() {
    ControlledFleet fleet;
    fleet.ForgetCounts();
    for (size_t i = 0; i < kEntries; ++i) fleet.Add(0, EntryOptions());
    fleet.RunFor(kKnowsWithin);
    for (size_t i = kLastEntry + 1; i < fleet.daemons.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(kEndpoints,
                           fleet.daemons[i]->directory.All().size());
    }
    fleet.RunFor(10s);
    for (size_t i = kLastEntry + 1; i < fleet.daemons.size(); ++i)
      CPPUNIT_ASSERT_EQUAL(kEndpoints, fleet.daemons[i]->records_received);
  }

  // The entry's first connection is to a control host that was cut off too.
  void StaleControlHostIsNotTheOnlySource() {
    ControlledFleet fleet;
    fleet.Disconnect(0);
    fleet.Disconnect(kLastEntry);
    fleet.Leave(8);
    fleet.RunFor(2s);
    fleet.ConnectPair(0, kLastEntry);
    fleet.RunFor(500ms);
    CPPUNIT_ASSERT(!fleet.KnowsDraining(kLastEntry, EndpointOf(8)));
    fleet.ConnectPair(1, kLastEntry);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(kLastEntry, EndpointOf(8)));
  }

  // An entry that keeps one connection learns all through it.
  void LostConnectionOfSeveralLosesNothing() {
    ControlledFleet fleet;
    fleet.Disconnect(kLastEntry);
    fleet.ConnectPair(3, kLastEntry);
    fleet.RunFor(1s);
    fleet.ForgetCounts();
    fleet.Leave(9);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(kLastEntry, EndpointOf(9)));
    fleet.ConnectPair(4, kLastEntry);
    fleet.RunFor(10s);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         fleet.daemons[kLastEntry]->records_received);
  }

  // The peer that was asked disappears before its answer arrives.
  void AnswerLostWithItsConnectionIsRequestedAgain() {
    ControlledFleet fleet;
    fleet.Disconnect(kLastEntry);
    fleet.Leave(7);
    fleet.RunFor(2s);
    fleet.ConnectPair(3, kLastEntry);
    fleet.cut = {SimulatedFleet::HostOf(3)};
    fleet.RunFor(500ms);
    fleet.daemons[kLastEntry]->spread->OnPeerDown(SimulatedFleet::HostOf(3),
                                                  fleet.now);
    fleet.ConnectPair(4, kLastEntry);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(kLastEntry, EndpointOf(7)));
  }

  // Guards against endpoints that count as silent after the return because
  // their keep-alives were missed during the partition.
  void MissedKeepAlivesAreRenewed() {
    ControlledFleet fleet;
    fleet.RunAnnouncing(50s);
    fleet.Disconnect(kLastEntry);
    fleet.RunAnnouncing(55s);
    fleet.Reconnect(kLastEntry);
    fleet.RunFor(kKnowsWithin);
    Directory& directory = fleet.daemons[kLastEntry]->directory;
    directory.OnTimer(fleet.now);
    for (const auto& [id, endpoint] : directory.All())
      CPPUNIT_ASSERT_MESSAGE(id, endpoint.usable);
  }

  // Control forgets an endpoint that left before the entries do.
  void RecordsThatOnlyTheEntryHoldsCauseNoRepeatedRequests() {
    ControlledFleet fleet;
    fleet.Disconnect(kLastEntry);
    for (size_t i = 0; i < kControlHosts; ++i)
      fleet.daemons[i]->directory = Directory();
    fleet.AnnounceAll();
    fleet.RunFor(1s);
    wire::EndpointRecordT left;
    left.id = "left";
    left.incarnation = 1;
    left.sequence = 1;
    left.draining = true;
    fleet.daemons[kLastEntry]->directory.OnRecord(left, fleet.now);
    fleet.ForgetCounts();
    fleet.Reconnect(kLastEntry);
    fleet.RunFor(30s);
    size_t requests = 0;
    for (size_t i = 0; i < kControlHosts; ++i)
      requests += fleet.daemons[i]->requests_received;
    CPPUNIT_ASSERT(requests <= kControlHosts);
  }

  // Guards against one control host that restarts and sends what it has just
  // received to each entry.
  void EmptyControlHostForwardsNotItsWholeDirectory() {
    ControlledFleet fleet;
    fleet.RestartEmpty(0);
    fleet.ForgetCounts();
    fleet.Reconnect(0);
    fleet.RunFor(1s);
    CPPUNIT_ASSERT_EQUAL(kEndpoints, fleet.daemons[0]->directory.All().size());
    for (size_t i = kControlHosts; i <= kLastEntry; ++i)
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.daemons[i]->records_received);
  }

  // Guards against each entry asking the one control host that was cut off,
  // because it differs.
  void StaleControlHostIsNotAskedByAllEntries() {
    ControlledFleet fleet;
    fleet.Disconnect(0);
    fleet.AnnounceAll();
    fleet.Leave(7);
    fleet.RunFor(1s);
    fleet.ForgetCounts();
    fleet.Reconnect(0);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(0, EndpointOf(7)));
    CPPUNIT_ASSERT(fleet.daemons[0]->requests_received < kControlHosts);
    for (size_t i = kControlHosts; i <= kLastEntry; ++i)
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.daemons[i]->pulses_received);
  }

  // Departures are forwarded at once; the digests bring new endpoints.
  void EntryOfOnlyTheReturningControlHostLearnsAll() {
    ControlledFleet fleet;
    fleet.Disconnect(0);
    fleet.Disconnect(kLastEntry);
    fleet.ConnectPair(0, kLastEntry);
    fleet.RunFor(1s);
    fleet.Leave(7);
    fleet.Announce(1, 1, false, "new");
    fleet.RunFor(1s);
    CPPUNIT_ASSERT(!fleet.KnowsDraining(kLastEntry, EndpointOf(7)));
    fleet.ConnectPair(0, 1);
    fleet.RunFor(kKnowsWithin);
    CPPUNIT_ASSERT(fleet.KnowsDraining(kLastEntry, EndpointOf(7)));
    fleet.RunFor(2 * SpreadOptions{}.digest_interval);
    CPPUNIT_ASSERT(fleet.daemons[kLastEntry]->directory.Find("new") != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadReturnTest);

}  // namespace
}  // namespace dotterelshift::directory
