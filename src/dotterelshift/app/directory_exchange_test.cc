#include "dotterelshift/app/directory_exchange.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/app/recording_hub_testing.h"  // for RecordingHub
#include "dotterelshift/telemetry/log_testing.h"      // for CapturedLog

namespace dotterelshift::app {
namespace {

constexpr size_t kNeeded = 2;

class DirectoryExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryExchangeTest);
  CPPUNIT_TEST(HeartbeatIsAcknowledgedAtOnce);
  CPPUNIT_TEST(DepartureIsAcknowledgedOnceOthersHoldIt);
  CPPUNIT_TEST(DepartureOfAnEarlierIncarnationIsAcknowledgedAtOnce);
  CPPUNIT_TEST(DepartureIsRefusedWhenTooFewAreLeft);
  CPPUNIT_TEST(ReceivedDepartureIsConfirmed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { m_log.reset(); }
  void setUp() override {
    m_log.emplace(telemetry::LogLevel::kInfo);
    m_exchange.SetHub(&m_hub);
    for (const char* host : {"control-2", "control-3", "control-4"})
      m_exchange.OnPeerUp(PeerOf(host, wire::HostRole::Control));
    m_exchange.OnPeerUp(PeerOf("entry-1", wire::HostRole::Entry));
  }

 private:
  static peers::PeerInfo PeerOf(const HostId& host, wire::HostRole role) {
    peers::PeerInfo peer;
    peer.run = {host, 1};
    peer.role = role;
    return peer;
  }
  static wire::EndpointRecordT Record(uint64_t sequence, bool draining,
                                      uint64_t incarnation = 1) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.address = "127.0.0.1:1";
    record.incarnation = incarnation;
    record.sequence = sequence;
    record.draining = draining;
    return record;
  }

  void Announce(const wire::EndpointRecordT& record) {
    m_exchange.OnAnnounced(record, kNeeded, [this](ErrorKind error) {
      m_answers.push_back(error);
    });
  }

  void Confirm(const HostId& host, wire::HostRole role) {
    wire::DirectoryDeltaT delta;
    delta.confirmed.push_back(directory::DepartureKey(Record(2, true)));
    m_exchange.OnFrame(PeerOf(host, role), peers::MakeFrame(std::move(delta)));
  }

  // The hosts that were asked to confirm departures since the last call.
  std::vector<HostId> TakeAsked() {
    std::vector<HostId> asked;
    for (const auto& [host, frame] : m_hub.sent) {
      const auto* delta = frame.body.AsDirectoryDelta();
      if (delta != nullptr && delta->confirm) asked.push_back(host);
    }
    m_hub.sent.clear();
    return asked;
  }

  void HeartbeatIsAcknowledgedAtOnce() {
    Announce(Record(1, false));
    CPPUNIT_ASSERT(m_answers == std::vector{ErrorKind::kNone});
    CPPUNIT_ASSERT(TakeAsked().empty());
  }

  void DepartureIsAcknowledgedOnceOthersHoldIt() {
    Announce(Record(1, false));
    Announce(Record(2, true));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_answers.size());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, TakeAsked().size());
    Confirm("control-2", wire::HostRole::Control);
    Confirm("entry-1", wire::HostRole::Entry);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_answers.size());
    Confirm("control-4", wire::HostRole::Control);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_answers.size());
    CPPUNIT_ASSERT(m_answers.back() == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("departure_held"));
    Announce(Record(3, true));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_answers.size());
    CPPUNIT_ASSERT(TakeAsked().empty());
  }

  void DepartureOfAnEarlierIncarnationIsAcknowledgedAtOnce() {
    Announce(Record(1, false, 2));
    Announce(Record(2, true, 1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_answers.size());
    CPPUNIT_ASSERT(m_exchange.GetDirectory().Find("e")->usable);
  }

  void DepartureIsRefusedWhenTooFewAreLeft() {
    Announce(Record(1, false));
    Announce(Record(2, true));
    for (const char* host : {"control-2", "control-3"})
      m_exchange.OnPeerDown(PeerOf(host, wire::HostRole::Control));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_answers.size());
    CPPUNIT_ASSERT(m_answers.back() == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log->Count("departure_refused"));
    CPPUNIT_ASSERT(m_exchange.GetDirectory().Find("e")->record.draining);
  }

  void ReceivedDepartureIsConfirmed() {
    wire::DirectoryDeltaT delta;
    delta.confirm = true;
    delta.records.push_back(
        std::make_unique<wire::EndpointRecordT>(Record(2, true)));
    m_hub.sent.clear();
    m_exchange.OnFrame(PeerOf("control-3", wire::HostRole::Control),
                       peers::MakeFrame(std::move(delta)));
    CPPUNIT_ASSERT(!m_hub.sent.empty());
    const auto& [host, frame] = m_hub.sent.front();
    CPPUNIT_ASSERT_EQUAL(HostId("control-3"), host);
    const std::vector<uint64_t> expected = {
        directory::DepartureKey(Record(2, true))};
    CPPUNIT_ASSERT(expected == frame.body.AsDirectoryDelta()->confirmed);
  }

  static directory::SpreadOptions ToAll() {
    directory::SpreadOptions options;
    options.self = "control-1";
    options.fan_out = 1000;
    return options;
  }

  std::optional<telemetry::CapturedLog> m_log;  // while a test runs
  loop::Loop m_loop;
  RecordingHub m_hub;
  DirectoryExchange m_exchange{
      m_loop,
      ToAll(),
      {},
      {[] {}, [](const std::vector<wire::CacheEventT>&) {}}};
  std::vector<ErrorKind> m_answers;
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryExchangeTest);

}  // namespace
}  // namespace dotterelshift::app
