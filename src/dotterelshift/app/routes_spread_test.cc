#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <functional>  // for function
#include <map>         // for multimap

#include "dotterelshift/app/control_link.h"               // for ControlLink
#include "dotterelshift/app/entry_pushes.h"               // for EntryPushes
#include "dotterelshift/app/leader_testing.h"             // for MockReplica
#include "dotterelshift/app/routes_port.h"                // for RoutesCommand
#include "dotterelshift/state/routes_document_testing.h"  // for RoutesDocument
#include "dotterelshift/state/state_testing.h"            // for TestSender

namespace dotterelshift::app {
namespace {

// A simulated clock that advances from event to event.
class Events {
 public:
  Instant Now() const { return m_now; }
  void At(Instant when, std::function<void()> event) {
    m_events.emplace(std::max(when, m_now), std::move(event));
  }
  void RunUntil(Instant end) {
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto next = m_events.extract(m_events.begin());
      m_now = next.key();
      next.mapped()();
    }
    m_now = end;
  }

 private:
  Instant m_now{1000s};
  std::multimap<Instant, std::function<void()>> m_events;
};

// A resource that processes bytes sequentially at a fixed rate.
class Link {
 public:
  explicit Link(double bytes_per_second) : m_rate(bytes_per_second) {}
  // Returns when bytes that are queued at `from` have been processed.
  Instant Pass(size_t bytes, Instant from) {
    const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                             m_rate);
    m_free =
        std::max(m_free, from) + std::chrono::duration_cast<Duration>(time);
    return m_free;
  }

 private:
  double m_rate;
  Instant m_free{};
};

// Frames use the leader's processor, the leader's link and the receiver's link.
class SlowHub : public peers::Hub {
 public:
  using Deliver = std::function<void(const HostId&, const wire::FrameT&)>;
  SlowHub(Events& events, Deliver deliver)
      : m_events(events), m_deliver(std::move(deliver)) {}

  bool Send(const HostId& host, const wire::FrameT& frame) override {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const size_t bytes = builder.GetSize();
    m_bytes += bytes;
    m_backlog[host] += bytes;
    const Instant handled =
        m_processor.Pass(bytes + kFrameOverheadBytes, m_events.Now());
    const Instant left = m_link.Pass(bytes, handled);
    Link& link = m_links.try_emplace(host, kEntryBytesPerSecond).first->second;
    m_events.At(link.Pass(bytes, left) + kLatency, [this, host, frame, bytes] {
      m_backlog[host] -= bytes;
      m_deliver(host, frame);
    });
    return true;
  }
  size_t Backlog(const HostId& host) const override {
    const auto found = m_backlog.find(host);
    return found == m_backlog.end() ? 0 : found->second;
  }
  std::vector<peers::PeerInfo> Peers() const override { return {}; }
  void Dial(const std::string&) override {}
  uint16_t Port() const override { return 0; }
  const peers::HubCounters& Counters() const override { return m_counters; }

  // The time until which the leader's processor is busy.
  Instant BusyUntil() { return m_processor.Pass(0, m_events.Now()); }
  size_t Bytes() const { return m_bytes; }

 private:
  static constexpr Duration kLatency = 2ms;
  static constexpr double kLeaderBytesPerSecond = 21e6;
  static constexpr double kEntryBytesPerSecond = 1.25e6;
  // Rate of packing and sending with a small fraction of a processor.
  static constexpr double kHandledBytesPerSecond = 16e6;
  // Fixed processing cost of a frame, as an upper bound for any frame.
  static constexpr size_t kFrameOverheadBytes = 8 << 10;

  Events& m_events;
  Deliver m_deliver;
  Link m_processor{kHandledBytesPerSecond};
  Link m_link{kLeaderBytesPerSecond};
  std::map<HostId, Link> m_links;
  std::map<HostId, size_t> m_backlog;
  size_t m_bytes = 0;
  peers::HubCounters m_counters;
};

// A leader, its entries, and an operator that changes a large routes document.
class Fleet {
 public:
  Fleet(size_t entries, size_t routes) : m_routes(routes) {
    Publish(1, {});
    for (size_t i = 0; i < entries; ++i) StartEntry();
    PushTurn();
  }

  void StartEntry() {
    peers::PeerInfo info;
    info.run = {"e" + std::to_string(m_entries.size()), 1};
    m_entries.emplace(info.run.host, ControlLinkOptions());
    m_pushes.OnUp(info);
    // An entry sends a heartbeat as soon as it is connected.
    m_pushes.OnHeartbeat(info.run.host, {}, m_events.Now());
  }

  // Publishes a version in which one route differs from the previous one.
  void Publish(uint64_t version, std::optional<size_t> changed) {
    m_document = state::RoutesDocument(
        {.version = version, .routes = m_routes, .changed = changed});
    m_control.Send(
        RoutesCommand(version, m_document, {}, m_replica.state->GetPublished()),
        1);
    m_committed[version] = m_events.Now();
  }

  void RunFor(Duration time) { m_events.RunUntil(m_events.Now() + time); }

  // The longest time from a version's commit until all entries had it or a
  // newer one; empty while an entry has not.
  std::optional<Duration> MaxWait() const {
    Duration longest{};
    for (const auto& [version, committed] : m_committed) {
      for (const auto& [host, link] : m_entries) {
        const auto held = m_held.find(host);
        if (held == m_held.end()) return std::nullopt;
        const auto first = held->second.lower_bound(version);
        if (first == held->second.end()) return std::nullopt;
        longest = std::max(longest, first->second - committed);
      }
    }
    return longest;
  }
  bool AllHoldTheDocument() const {
    return std::ranges::all_of(m_entries, [this](const auto& entry) {
      return entry.second.RoutesDocument() == m_document;
    });
  }
  // Excludes the versions published so far from MaxWait().
  void Forget() { m_committed.clear(); }
  size_t Bytes() const { return m_hub.Bytes(); }

 private:
  void PushTurn() {
    constexpr WallMs kWall = 1;
    m_pushes.PushPending(m_events.Now(), kWall);
    constexpr Duration kTick = 10ms;
    m_events.At(std::max(m_events.Now() + kTick, m_hub.BusyUntil()),
                [this] { PushTurn(); });
  }

  void Deliver(const HostId& host, const wire::FrameT& frame) {
    ControlLink& link = m_entries.at(host);
    link.OnFrame("control", frame, m_events.Now());
    m_held[host].emplace(link.RoutesVersion(), m_events.Now());
  }

  const size_t m_routes;
  Events m_events;
  std::map<HostId, ControlLink> m_entries;
  MockReplica m_replica;
  SlowHub m_hub{m_events,
                [this](const HostId& host, const wire::FrameT& frame) {
                  Deliver(host, frame);
                }};
  EntryPushes m_pushes{m_hub, m_replica, 10s};
  state::TestSender m_control{m_replica.state.get(), "control", 1};
  std::string m_document;
  std::map<uint64_t, Instant> m_committed;  // by version
  // When each entry received each version.
  std::map<HostId, std::map<uint64_t, Instant>> m_held;
};

// Target time for a change to reach all connected hosts.
constexpr Duration kInForce = 500ms;

// A burst of changes to a large document, sent to a fleet on slow links by a
// leader that has a small fraction of a processor.
class RoutesSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutesSpreadTest);
  CPPUNIT_TEST(StormOfChangesMeetsItsAim);
  CPPUNIT_TEST(StormOfChangesMeetsItsAimAtTwoYearsOfGrowth);
  CPPUNIT_TEST(StartingEntryReceivesALargeDocumentInTime);
  CPPUNIT_TEST(ChangeCostIsProportionalToItsSize);
  CPPUNIT_TEST_SUITE_END();

  static void Storm(Fleet& fleet, int changes, Duration gap) {
    fleet.RunFor(60s);
    fleet.Forget();
    for (int i = 0; i < changes; ++i) {
      fleet.Publish(2 + static_cast<uint64_t>(i), 7 * static_cast<size_t>(i));
      fleet.RunFor(gap);
    }
    fleet.RunFor(60s);
  }

  static void AssertInForce(const Fleet& fleet) {
    CPPUNIT_ASSERT(fleet.MaxWait().has_value());
    CPPUNIT_ASSERT(*fleet.MaxWait() <= kInForce);
    CPPUNIT_ASSERT(fleet.AllHoldTheDocument());
  }

  void StormOfChangesMeetsItsAim() {
    Fleet fleet(63, 1'400);
    Storm(fleet, 20, 200ms);
    AssertInForce(fleet);
  }

  void StormOfChangesMeetsItsAimAtTwoYearsOfGrowth() {
    Fleet fleet(373, 19'000);
    Storm(fleet, 5, 100ms);
    AssertInForce(fleet);
  }

  void StartingEntryReceivesALargeDocumentInTime() {
    Fleet fleet(1, 19'000);
    fleet.RunFor(60s);
    fleet.Forget();
    fleet.Publish(2, 5);
    fleet.StartEntry();
    fleet.RunFor(kInForce);
    AssertInForce(fleet);
  }

  void ChangeCostIsProportionalToItsSize() {
    constexpr size_t kEntries = 63;
    constexpr size_t kChanges = 20;
    constexpr size_t kMaxBytesOfChange = 2 << 10;
    Fleet fleet(kEntries, 1'400);
    fleet.RunFor(60s);
    const size_t before = fleet.Bytes();
    Storm(fleet, kChanges, 200ms);
    CPPUNIT_ASSERT(fleet.Bytes() - before <=
                   kEntries * kChanges * kMaxBytesOfChange);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RoutesSpreadTest);

}  // namespace
}  // namespace dotterelshift::app
