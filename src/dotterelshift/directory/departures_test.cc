#include "dotterelshift/directory/departures.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <random>  // for mt19937_64
#include <string>  // for to_string
#include <vector>  // for vector

#include "dotterelshift/directory/spread_simulation.h"  // for SimulatedFleet

namespace dotterelshift::directory {
namespace {

constexpr uint64_t kKey = 7;
constexpr size_t kNeeded = 2;  // of five control hosts, besides the own one

wire::EndpointRecordT Leaving(const EndpointId& id, uint64_t incarnation,
                              bool gone) {
  wire::EndpointRecordT record;
  record.id = id;
  record.incarnation = incarnation;
  record.draining = true;
  record.gone = gone;
  return record;
}

class DeparturesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeparturesTest);
  CPPUNIT_TEST(IsAcknowledgedOnceEnoughOthersHoldIt);
  CPPUNIT_TEST(IsAcknowledgedAtOnceWhileItIsHeld);
  CPPUNIT_TEST(ConfirmationOfALostHostDoesNotCount);
  CPPUNIT_TEST(ConfirmationOfAnEntryDoesNotCount);
  CPPUNIT_TEST(IsRefusedAtOnceIfTooFewAreConnected);
  CPPUNIT_TEST(IsRefusedIfNotConfirmedInTime);
  CPPUNIT_TEST(ASingleHostNeedsNoOther);
  CPPUNIT_TEST(KeyNamesIncarnationAndState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (const char* host : {"b", "c", "d", "e"}) m_departures.OnPeerUp(host);
  }

 private:
  bool Await(size_t needed = kNeeded) {
    return m_departures.Await(kKey, needed, m_now,
                              [this](const Departures::Result& result) {
                                m_results.push_back(result.error);
                              });
  }
  void AssertResults(const std::vector<ErrorKind>& expected) const {
    CPPUNIT_ASSERT(expected == m_results);
  }

  void IsAcknowledgedOnceEnoughOthersHoldIt() {
    CPPUNIT_ASSERT(Await());
    m_departures.OnConfirmed("b", {kKey}, m_now);
    m_departures.OnConfirmed("b", {kKey}, m_now);
    m_departures.OnConfirmed("c", {kKey + 1}, m_now);
    AssertResults({});
    m_departures.OnConfirmed("c", {kKey}, m_now);
    AssertResults({ErrorKind::kNone});
  }

  void IsAcknowledgedAtOnceWhileItIsHeld() {
    Await();
    for (const char* host : {"b", "c"})
      m_departures.OnConfirmed(host, {kKey}, m_now);
    m_now += 1200ms;
    CPPUNIT_ASSERT(!Await());
    AssertResults({ErrorKind::kNone, ErrorKind::kNone});
  }

  void ConfirmationOfALostHostDoesNotCount() {
    Await();
    m_departures.OnConfirmed("b", {kKey}, m_now);
    m_departures.OnPeerDown("b", m_now);
    m_departures.OnConfirmed("c", {kKey}, m_now);
    AssertResults({});
    m_departures.OnConfirmed("d", {kKey}, m_now);
    AssertResults({ErrorKind::kNone});
  }

  // An entry is asked by nobody, and sends nothing on.
  void ConfirmationOfAnEntryDoesNotCount() {
    Await();
    for (const char* host : {"entry-1", "entry-2"})
      m_departures.OnConfirmed(host, {kKey}, m_now);
    AssertResults({});
  }

  void IsRefusedAtOnceIfTooFewAreConnected() {
    Await();
    for (const char* host : {"b", "c"}) m_departures.OnPeerDown(host, m_now);
    AssertResults({});
    m_departures.OnPeerDown("d", m_now);
    AssertResults({ErrorKind::kNoQuorum});
    CPPUNIT_ASSERT(!Await());
    AssertResults({ErrorKind::kNoQuorum, ErrorKind::kNoQuorum});
  }

  // Peers that are stopped stay connected. The endpoint waits one second.
  void IsRefusedIfNotConfirmedInTime() {
    Await();
    m_departures.OnConfirmed("b", {kKey}, m_now);
    m_now += 400ms;
    m_departures.OnTimer(m_now);
    AssertResults({});
    m_now += 300ms;
    m_departures.OnTimer(m_now);
    AssertResults({ErrorKind::kNoQuorum});
  }

  void ASingleHostNeedsNoOther() {
    Departures alone;
    size_t acknowledged = 0;
    CPPUNIT_ASSERT(
        !alone.Await(kKey, 0, m_now, [&](const Departures::Result& result) {
          acknowledged += result.error == ErrorKind::kNone ? 1 : 0;
        }));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, acknowledged);
  }

  void KeyNamesIncarnationAndState() {
    const uint64_t key = DepartureKey(Leaving("x", 1, false));
    CPPUNIT_ASSERT(key == DepartureKey(Leaving("x", 1, false)));
    CPPUNIT_ASSERT(key != DepartureKey(Leaving("x", 1, true)));
    CPPUNIT_ASSERT(key != DepartureKey(Leaving("x", 2, false)));
    CPPUNIT_ASSERT(key != DepartureKey(Leaving("y", 1, false)));
  }

  Departures m_departures;
  std::vector<ErrorKind> m_results;
  Instant m_now = Instant{} + 1000s;
};
CPPUNIT_TEST_SUITE_REGISTRATION(DeparturesTest);

constexpr size_t kControlHosts = 5;
constexpr size_t kEntries = 3;
// From the acknowledgement on.
constexpr Duration kKnownWithin = 500ms;

// How the control host that has acknowledged a departure is lost.
enum class Loss : uint8_t {
  kKilled,     // its frames that are under way are lost
  kSilent,     // its connections stay open, and say nothing
  kWithEntry,  // an entry is killed with it, and starts again
  kInSeries,   // another control host is killed soon after it
};

// A fleet in which endpoints leave, over links with a drawn delay.
class FleetWithDepartures : public SimulatedFleet {
 public:
  explicit FleetWithDepartures(uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < kControlHosts; ++i) Add(kToAll);
    for (size_t i = 0; i < kEntries; ++i) Add(0, EntryOptions());
    for (size_t i = 0; i < kControlHosts; ++i)
      Announce(i, 1, false, "e" + std::to_string(i));
    RunFor(1s);
    step = 1ms;
    // One connection of each host is slow.
    delay = [this](const HostId& from, const HostId& to) {
      const bool slow = (from.back() + to.back()) % 4 == 0;
      return Draw(slow ? 250 : 5);
    };
  }

  Duration Draw(size_t limit_ms) {
    return std::chrono::milliseconds(m_random() % (limit_ms + 1));
  }

  // Whether an entry that is connected would use the endpoint.
  bool IsUsed(const EndpointId& id) const {
    for (size_t i = kControlHosts; i < kControlHosts + kEntries; ++i) {
      const Endpoint* known = daemons[i]->directory.Find(id);
      if (known != nullptr && known->usable) return true;
    }
    return false;
  }

 private:
  std::mt19937_64 m_random;
};

// Guards against a departure that only the daemon knew that acknowledged it:
// callers' requests went to the endpoint for as long as it served.
class DepartureLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureLossTest);
  CPPUNIT_TEST(EntriesLearnAnAcknowledgedDeparture);
  CPPUNIT_TEST(DepartureIsRefusedWithoutAMajority);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t kSeeds = 100;

  static void Lose(FleetWithDepartures& fleet, size_t host, Loss loss) {
    if (loss == Loss::kSilent) {
      fleet.cut.insert(SimulatedFleet::HostOf(host));
    } else {
      fleet.RestartEmpty(host);
    }
    if (loss == Loss::kWithEntry) fleet.RestartEmpty(kControlHosts);
    fleet.RunFor(kKnownWithin / 2);
    if (loss == Loss::kWithEntry) fleet.Reconnect(kControlHosts);
    if (loss == Loss::kInSeries) fleet.RestartEmpty((host + 1) % kControlHosts);
    fleet.RunFor(kKnownWithin / 2);
  }

  // Each host acknowledges a departure and is lost 0 to 4 ms later.
  void EntriesLearnAnAcknowledgedDeparture() {
    size_t acknowledged = 0;
    size_t still_used = 0;
    for (const Loss loss :
         {Loss::kKilled, Loss::kSilent, Loss::kWithEntry, Loss::kInSeries}) {
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        FleetWithDepartures fleet(seed);
        const size_t host = seed % kControlHosts;
        const EndpointId id = "e" + std::to_string(host);
        bool held = false;
        fleet.Leave(host, 2, id, kNeeded,
                    [&](const Departures::Result& result) {
                      held = result.error == ErrorKind::kNone;
                    });
        for (int ms = 0; !held && ms < 1000; ++ms) fleet.RunFor(1ms);
        if (!held) continue;
        ++acknowledged;
        fleet.RunFor(fleet.Draw(4));
        Lose(fleet, host, loss);
        if (fleet.IsUsed(id)) ++still_used;
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4 * kSeeds}, acknowledged);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, still_used);
  }

  // Three of five hosts are stopped: the departure reaches the entries, but
  // nobody promises that.
  void DepartureIsRefusedWithoutAMajority() {
    FleetWithDepartures fleet(1);
    for (size_t i = 2; i < kControlHosts; ++i)
      fleet.cut.insert(SimulatedFleet::HostOf(i));
    std::vector<ErrorKind> results;
    fleet.Leave(1, 2, "e1", kNeeded, [&](const Departures::Result& result) {
      results.push_back(result.error);
    });
    fleet.RunFor(1s);
    CPPUNIT_ASSERT(results == std::vector{ErrorKind::kNoQuorum});
    CPPUNIT_ASSERT(!fleet.IsUsed("e1"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DepartureLossTest);

}  // namespace
}  // namespace dotterelshift::directory
