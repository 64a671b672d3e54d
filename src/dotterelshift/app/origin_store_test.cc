// What entries told each other is lost when all are killed; control has copies.
#include "dotterelshift/app/origin_store.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>   // for make_unique, unique_ptr
#include <utility>  // for exchange

#include "dotterelshift/app/origin_exchange.h"        // for OriginExchange
#include "dotterelshift/app/recording_hub_testing.h"  // for RecordingHub

namespace dotterelshift::app {
namespace {

peers::PeerInfo PeerOf(const HostId& host, wire::HostRole role) {
  peers::PeerInfo peer;
  peer.run = {host, 1};
  peer.role = role;
  peer.address = host + ":1";
  return peer;
}

// An entry that is connected with control.
struct Entry {
  explicit Entry(loop::Loop& loop) : exchange(loop, origins) {
    exchange.Connect(&hub, [](const std::string&) { return true; });
    exchange.OnUp(PeerOf("control", wire::HostRole::Control));
    exchange.SetControl({"control:1"});
  }

  origins::StreamOrigins origins;
  RecordingHub hub;
  OriginExchange exchange;
};

class OriginStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginStoreTest);
  CPPUNIT_TEST(StreamsOfAKilledFleetAreKnownToTheNextOne);
  CPPUNIT_TEST(OriginIsSentWithTheFirstEvent);
  CPPUNIT_TEST(ControlThatStartsAgainIsSentWhatEntriesKnow);
  CPPUNIT_TEST(StreamWithTwoOriginsIsUnclear);
  CPPUNIT_TEST(UnknownStreamIsAnsweredSoon);
  CPPUNIT_TEST(OtherFramesAreLeftToOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_store = std::make_unique<OriginStore>(m_loop);
    m_store->Connect(&m_control_hub);
  }

  void StreamsOfAKilledFleetAreKnownToTheNextOne() {
    Begin(kStream, 7);
    ExchangeAndDeliver();
    m_entry = std::make_unique<Entry>(m_loop);
    CPPUNIT_ASSERT(m_entry->exchange.Lookup().Start(kStream, m_loop.Now()));
    ExchangeAndDeliver();
    const origins::KnownOrigin known = Find(kStream);
    CPPUNIT_ASSERT(known.state == origins::OriginState::kKnown);
    CPPUNIT_ASSERT_EQUAL(SoftwareKey{7}, known.software);
    const auto ended = m_entry->exchange.Exchange();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ended.size());
    CPPUNIT_ASSERT(ended.front().outcome == origins::LookupOutcome::kLearned);
  }

  // Not with the next load update, which may wait for the link.
  void OriginIsSentWithTheFirstEvent() {
    Begin(kStream, 7);
    m_entry->exchange.Exchange();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_entry->hub.sent.size());
    CPPUNIT_ASSERT_EQUAL(HostId("control"), m_entry->hub.sent.front().first);
  }

  void ControlThatStartsAgainIsSentWhatEntriesKnow() {
    Begin(kStream, 7);
    ExchangeAndDeliver();
    setUp();
    const auto control = PeerOf("control", wire::HostRole::Control);
    m_entry->exchange.OnDown(control);
    m_entry->exchange.OnUp(control);
    ExchangeAndDeliver();
    StreamsOfAKilledFleetAreKnownToTheNextOne();
  }

  void StreamWithTwoOriginsIsUnclear() {
    Begin(kStream, 7);
    Begin(kStream, 8);
    ExchangeAndDeliver();
    m_entry = std::make_unique<Entry>(m_loop);
    m_entry->exchange.Lookup().Start(kStream, m_loop.Now());
    ExchangeAndDeliver();
    CPPUNIT_ASSERT(Find(kStream).state == origins::OriginState::kUnclear);
  }

  void UnknownStreamIsAnsweredSoon() {
    m_entry->exchange.Lookup().Start(kStream, m_loop.Now());
    ExchangeAndDeliver();
    loop::Timer end(m_loop, [this] { m_loop.Stop(); });
    end.ArmIn(origins::OriginResponderOptions().hold + 10ms);
    m_loop.Run();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_control_hub.sent.size());
    const auto* answer =
        m_control_hub.sent.front().second.body.AsOriginAnswer();
    CPPUNIT_ASSERT(answer->missing == std::vector<uint64_t>{kStream});
    // It has just started itself.
    CPPUNIT_ASSERT(answer->starting);
  }

  void OtherFramesAreLeftToOthers() {
    CPPUNIT_ASSERT(!m_store->OnFrame(PeerOf("entry", wire::HostRole::Entry),
                                     peers::MakeFrame(wire::ProposeT())));
  }

 private:
  static constexpr origins::StreamKey kStream = 5;

  void Begin(origins::StreamKey stream, SoftwareKey software) {
    m_entry->origins.OnBegun(stream, software, m_loop.Now());
  }

  origins::KnownOrigin Find(origins::StreamKey stream) {
    return m_entry->origins.Find(stream, m_loop.Now());
  }

  // One loop iteration of the entry, then one of control.
  void ExchangeAndDeliver() {
    m_entry->exchange.Exchange();
    const auto entry = PeerOf("entry", wire::HostRole::Entry);
    for (const auto& [host, frame] : std::exchange(m_entry->hub.sent, {}))
      CPPUNIT_ASSERT(m_store->OnFrame(entry, frame));
    const auto control = PeerOf("control", wire::HostRole::Control);
    for (const auto& [host, frame] : std::exchange(m_control_hub.sent, {}))
      CPPUNIT_ASSERT(m_entry->exchange.OnFrame(control, frame));
  }

  loop::Loop m_loop;
  RecordingHub m_control_hub;
  std::unique_ptr<OriginStore> m_store;
  std::unique_ptr<Entry> m_entry = std::make_unique<Entry>(m_loop);
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginStoreTest);

}  // namespace
}  // namespace dotterelshift::app
