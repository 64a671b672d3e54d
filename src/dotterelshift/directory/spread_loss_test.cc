#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for any_of
#include <random>     // for mt19937_64
#include <string>     // for to_string
#include <vector>     // for vector

#include "dotterelshift/directory/spread_simulation.h"  // for SimulatedFleet

namespace dotterelshift::directory {
namespace {

constexpr size_t kControlHosts = 5;
constexpr size_t kEntries = 3;
constexpr Duration kMinPulseInterval = 500ms;
constexpr Duration kHeartbeat = 1200ms;    // of an endpoint
constexpr Duration kAckTimeout = 1s;       // of an endpoint's report
constexpr Duration kPeerSilence = 1500ms;  // until a connection is given up
constexpr Duration kReconnect = 50ms;
constexpr Duration kEntryStart = 300ms;  // until it has received all records
// Between two losses; a daemon that was lost has had the time to catch up.
constexpr Duration kBetweenLosses = 8s;

// How a control host is lost.
enum class Loss : uint8_t {
  kKilled,    // its connections are reset, its port refuses
  kSilent,    // its connections stay open, and nothing answers
  kReplaced,  // another host takes its place
};

// A host of control that is lost, and for how long.
struct Outage {
  size_t host = 0;
  Loss kind = Loss::kKilled;
  Instant from;
  Instant until;
};

// An endpoint that sends heartbeats to one control host while it answers, then
// to the next one.
struct Reporter {
  EndpointId id;
  size_t host = 0;
  uint64_t sequence = 0;
  Instant next;
  bool ended = false;  // it has crashed, and sends no more
};

// Control, entries that only receive, and endpoints whose heartbeats come at
// drawn times, while control hosts are lost one after the other.
class FleetUnderLosses : public SimulatedFleet {
 public:
  FleetUnderLosses(uint64_t seed, size_t endpoints) : m_random(seed) {
    step = 20ms;
    for (size_t i = 0; i < kControlHosts; ++i)
      Add(kToAll, {}, kMinPulseInterval);
    for (size_t i = 0; i < kEntries; ++i) Add(0, EntryOptions());
    for (size_t i = 0; i < endpoints; ++i) {
      reporters.push_back({"e" + std::to_string(i), Draw(kControlHosts), 0,
                           now + DrawUpTo(kHeartbeat)});
    }
    Run(6s);
  }

  size_t Draw(size_t below) { return m_random() % below; }
  Duration DrawUpTo(Duration limit) {
    return std::chrono::milliseconds(Draw(ToMs(limit) + 1));
  }

  // Loses the host now, and brings it or its successor back later.
  void Lose(size_t host, Loss kind, Duration outage) {
    m_outage = {host, kind, now, now + outage};
    m_hung_up = false;
    if (kind == Loss::kSilent) {
      cut.insert(HostOf(host));
    } else {
      HangUp();
    }
  }

  // An entry starts again, and takes a moment to receive all records. A silent
  // host completes no handshake.
  void RestartEntry(size_t number) {
    RestartEmpty(m_entries[number]);
    if (!m_hung_up) daemons[m_outage.host]->connected = false;
    Reconnect(m_entries[number]);
    m_started_entry = m_entries[number];
    m_starts_until = now + kEntryStart;
  }

  // Moves the clock. Remembers the endpoints that an entry could not use
  // although they report.
  void Run(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      RunFor(step);
      Progress();
      for (Reporter& reporter : reporters) Report(reporter);
      CheckEntries();
    }
  }

  // Whether an entry considers the endpoint usable.
  bool IsUsedBySome(const EndpointId& id) const {
    return std::ranges::any_of(m_entries, [&](size_t number) {
      const Endpoint* known = daemons[number]->directory.Find(id);
      return known != nullptr && known->usable;
    });
  }

  std::vector<Reporter> reporters;
  size_t unusable = 0;  // entries' views of live endpoints, summed over steps
  std::string first_unusable;

 private:
  bool IsDown(size_t host) const {
    return host == m_outage.host && now < m_outage.until;
  }

  void HangUp() {
    RestartEmpty(m_outage.host);
    m_hung_up = true;
  }

  void Progress() {
    if (m_outage.until == Instant{}) return;
    const bool given_up = now - m_outage.from >= kPeerSilence;
    if (!m_hung_up && (given_up || now >= m_outage.until)) HangUp();
    if (now < m_outage.until + kReconnect) return;
    cut.erase(HostOf(m_outage.host));
    if (m_outage.kind == Loss::kReplaced) {
      Add(kToAll, {}, kMinPulseInterval);
      m_control.push_back(daemons.size() - 1);
      std::erase(m_control, m_outage.host);
    } else {
      Reconnect(m_outage.host);
    }
    m_outage = {};
    m_outage.host = daemons.size();
  }

  void Report(Reporter& reporter) {
    if (reporter.ended || now < reporter.next) return;
    const bool known =
        std::ranges::find(m_control, reporter.host) != m_control.end();
    if (known && !IsDown(reporter.host)) {
      Announce(reporter.host, ++reporter.sequence, false, reporter.id);
      reporter.next += kHeartbeat;
      return;
    }
    const bool answers_nothing = known && m_outage.kind == Loss::kSilent;
    reporter.next = now + (answers_nothing ? kAckTimeout : kReconnect);
    reporter.host = m_control[Draw(m_control.size())];
  }

  void CheckEntries() {
    if (now - m_started < 4s) return;
    for (const size_t entry : m_entries) {
      if (entry == m_started_entry && now < m_starts_until) continue;
      for (const Reporter& reporter : reporters) {
        const Endpoint* known = daemons[entry]->directory.Find(reporter.id);
        if (reporter.ended || (known != nullptr && known->usable)) continue;
        if (unusable++ > 0) continue;
        first_unusable = reporter.id + " at " + daemons[entry]->host;
      }
    }
  }

  std::mt19937_64 m_random;
  const Instant m_started = now;
  const std::vector<size_t> m_entries = {kControlHosts, kControlHosts + 1,
                                         kControlHosts + 2};
  std::vector<size_t> m_control = {0, 1, 2, 3, 4};
  Outage m_outage{.host = kControlHosts};
  bool m_hung_up = true;
  size_t m_started_entry = 0;
  Instant m_starts_until;
};

class SpreadLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadLossTest);
  CPPUNIT_TEST(EndpointsOfALostHostAreNotSilent);
  CPPUNIT_TEST(EndpointsOfASilentHostAreNotSilent);
  CPPUNIT_TEST(EndpointsOfReplacedHostsAreNotSilent);
  CPPUNIT_TEST(EndpointsOfALargeFleetAreNotSilent);
  CPPUNIT_TEST(EndpointThatEndsWithItsHostIsFound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kSeeds = 150;
  static constexpr size_t kLossesInSeries = 3;

  static constexpr size_t kEndpoints = 6;
  // So many that not each heartbeat is sent on.
  static constexpr size_t kManyEndpoints = 140;

  // Loses hosts in series. An entry starts again during the first outage.
  static void LoseInSeries(FleetUnderLosses& fleet, Loss kind) {
    for (size_t i = 0; i < kLossesInSeries; ++i) {
      const size_t host = kind == Loss::kReplaced
                              ? i
                              : fleet.reporters[fleet.Draw(kEndpoints)].host;
      fleet.Lose(host, kind, 200ms + fleet.DrawUpTo(2800ms));
      const Duration before = fleet.DrawUpTo(kBetweenLosses / 2);
      fleet.Run(before);
      if (i == 0) fleet.RestartEntry(fleet.Draw(kEntries));
      fleet.Run(kBetweenLosses - before);
    }
  }

  static void AssertNoneSilent(Loss kind, size_t endpoints = kEndpoints,
                               size_t seeds = kSeeds) {
    size_t broken = 0;
    std::string first;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      FleetUnderLosses fleet(seed, endpoints);
      LoseInSeries(fleet, kind);
      if (fleet.unusable == 0) continue;
      if (broken++ == 0)
        first = "seed " + std::to_string(seed) + ": " + fleet.first_unusable;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first, size_t{0}, broken);
  }

  // The lost host had acknowledged heartbeats that no other had heard of, and
  // is back, or others take them, before the next ones. Callers were refused
  // while all endpoints counted as silent.
  void EndpointsOfALostHostAreNotSilent() { AssertNoneSilent(Loss::kKilled); }
  void EndpointsOfASilentHostAreNotSilent() { AssertNoneSilent(Loss::kSilent); }
  void EndpointsOfReplacedHostsAreNotSilent() {
    AssertNoneSilent(Loss::kReplaced);
  }

  void EndpointsOfALargeFleetAreNotSilent() {
    constexpr size_t kFewSeeds = 4;
    AssertNoneSilent(Loss::kKilled, kManyEndpoints, kFewSeeds);
    AssertNoneSilent(Loss::kSilent, kManyEndpoints, kFewSeeds);
  }

  // No more heartbeats come, and the host that heard the last ones is lost.
  void EndpointThatEndsWithItsHostIsFound() {
    constexpr Duration kFoundWithin =
        kPeerSilence + DirectoryOptions{}.silent_after + 500ms;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const Loss kind : {Loss::kKilled, Loss::kSilent, Loss::kReplaced}) {
        FleetUnderLosses fleet(seed, kEndpoints);
        Reporter& reporter = fleet.reporters.front();
        reporter.ended = true;
        fleet.Lose(reporter.host, kind, 200ms + fleet.DrawUpTo(2800ms));
        fleet.Run(kFoundWithin);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                               !fleet.IsUsedBySome(reporter.id));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.unusable);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpreadLossTest);

}  // namespace
}  // namespace dotterelshift::directory
