#include "dotterelshift/app/link_guard.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for unique_ptr
#include <string>  // for string

namespace dotterelshift::app {
namespace {

constexpr double kLinkMbit = 10;
constexpr size_t kPromptBytes = 6'000;

// A server that records the calls it receives.
class FakeServer : public http::Server {
 public:
  uint16_t Port() const override { return 1; }
  size_t OpenExchanges() const override { return 0; }
  size_t OpenConnections() const override { return connections; }
  uint64_t BytesReceived() const override { return received; }
  void StopAccepting() override { listens = false; }
  bool ResumeAccepting() override {
    ++resumed;
    listens = may_listen;
    return listens;
  }
  void SetRejectConnections(bool on) override { turns_away = on; }
  void SetCallerTimes(const http::CallerTimes&) override {}
  void CloseIdle() override { ++idle_closed; }

  size_t connections = 0;
  uint64_t received = 0;
  bool listens = true;
  bool may_listen = true;
  bool turns_away = false;
  int resumed = 0;
  int idle_closed = 0;
};

class LinkGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkGuardTest);
  CPPUNIT_TEST(FullLinkRejectsThenStopsListeningThenRecovers);
  CPPUNIT_TEST(IdleConnectionsAreClosedWhileNoneAreAccepted);
  CPPUNIT_TEST(FailedListenIsRetried);
  CPPUNIT_TEST(PeerTrafficCountsTowardsTheLinkLoad);
  CPPUNIT_TEST(HandedOverBytesAreCountedOnce);
  CPPUNIT_TEST(KeptConnectionsAreBoundedByTheLink);
  CPPUNIT_TEST(ResponsesOfOneIterationDoNotAllKeepTheirConnections);
  CPPUNIT_TEST(FastLinkKeepsAllConnections);
  CPPUNIT_TEST(RejectedCallersCountTowardsTheLinkLoad);
  CPPUNIT_TEST(UnknownLinkRateDisablesTheGuard);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Make(kLinkMbit); }

 private:
  void Make(double link_mbit) {
    settings::Settings settings;
    settings.link_mbit = link_mbit;
    m_guard = std::make_unique<LinkGuard>(settings);
    m_server = FakeServer();
    m_traffic = {};
    m_now = Instant(1000s);
    Pass(1ms);
  }

  void Pass(Duration time) {
    m_now += time;
    m_guard->Adjust(m_server, m_traffic, m_now);
    m_guard->Watch(m_server, {}, m_now);
  }

  // Receives requests on kept connections that take this much link time.
  void ReceiveRequests(Duration time) {
    const double bytes =
        kLinkMbit * 1e6 / 8 * std::chrono::duration<double>(time).count();
    http::Request request;
    request.kept = true;
    request.body = std::string(kPromptBytes, 'x');
    for (double left = bytes; left > 0; left -= kPromptBytes) {
      m_guard->OnRequest(request);
      m_server.received += kPromptBytes;
    }
  }

  // Guards against a queue of callers that grows without bound.
  void FullLinkRejectsThenStopsListeningThenRecovers() {
    ReceiveRequests(200ms);
    Pass(1ms);
    CPPUNIT_ASSERT(m_server.turns_away && m_server.listens);
    CPPUNIT_ASSERT(m_guard->IsFull(m_now));
    ReceiveRequests(300ms);
    Pass(1ms);
    CPPUNIT_ASSERT(!m_server.turns_away && !m_server.listens);
    Pass(1s);
    CPPUNIT_ASSERT(!m_server.turns_away && m_server.listens);
    Pass(1s);
    CPPUNIT_ASSERT(!m_guard->IsFull(m_now));
  }

  void IdleConnectionsAreClosedWhileNoneAreAccepted() {
    ReceiveRequests(600ms);
    Pass(1ms);
    CPPUNIT_ASSERT_EQUAL(0, m_server.idle_closed);
    for (int i = 0; i < 10; ++i) {
      ReceiveRequests(50ms);
      Pass(50ms);
    }
    CPPUNIT_ASSERT(m_server.idle_closed > 0);
  }

  void FailedListenIsRetried() {
    ReceiveRequests(600ms);
    Pass(1ms);
    m_server.may_listen = false;
    Pass(1s);
    Pass(50ms);
    CPPUNIT_ASSERT_EQUAL(2, m_server.resumed);
    CPPUNIT_ASSERT(!m_server.listens);
    m_server.may_listen = true;
    Pass(50ms);
    CPPUNIT_ASSERT(m_server.listens);
  }

  void PeerTrafficCountsTowardsTheLinkLoad() {
    m_traffic.peers.out += 1'250'000;
    Pass(1ms);
    CPPUNIT_ASSERT(!m_server.listens);
    CPPUNIT_ASSERT(m_guard->IsShedding());
  }

  // Handed-over bytes appear again in the count of all outbound bytes.
  void HandedOverBytesAreCountedOnce() {
    m_guard->OnHandedOver({125'000, false, 0s}, SendKind::kFirst, m_now);
    CPPUNIT_ASSERT(m_guard->OutboundWait(m_now) == 100ms);
    m_traffic.endpoints.out += 125'000;
    m_traffic.peers.out += 125'000;
    m_guard->Adjust(m_server, m_traffic, m_now);
    CPPUNIT_ASSERT(m_guard->OutboundWait(m_now) == 200ms);
    Pass(150ms);
    CPPUNIT_ASSERT(m_guard->OutboundWait(m_now) == 50ms);
  }

  // Guards against overload when all callers send at once on kept connections.
  void KeptConnectionsAreBoundedByTheLink() {
    ReceiveRequests(50ms);
    Pass(1s);
    m_server.connections = 10;
    CPPUNIT_ASSERT(m_guard->MayKeep(m_server, 0, m_now));
    m_server.connections = 100;
    CPPUNIT_ASSERT(!m_guard->MayKeep(m_server, 0, m_now));
    CPPUNIT_ASSERT(m_guard->MayKeep(m_server, 95, m_now));
    CPPUNIT_ASSERT(m_guard->MayKeep(m_server, 200, m_now));
  }

  // Guards against 200 callers that are refused in one event loop iteration, as
  // happens to prompts queued for the link, and all retry on kept connections.
  void ResponsesOfOneIterationDoNotAllKeepTheirConnections() {
    ReceiveRequests(50ms);
    Pass(1s);
    m_server.connections = 200;
    size_t kept = 0;
    for (size_t silent = 200; silent > 0; --silent)
      if (m_guard->MayKeep(m_server, silent - 1, m_now)) ++kept;
    const double bytes = static_cast<double>(kept) * kPromptBytes;
    CPPUNIT_ASSERT(bytes <= 0.15 * 1.25e6);
  }

  // Guards against closing connections when the link is not the bottleneck.
  void FastLinkKeepsAllConnections() {
    Make(1'000);
    ReceiveRequests(50ms);
    Pass(1s);
    m_server.connections = http::ServerOptions().max_connections;
    CPPUNIT_ASSERT(m_guard->MayKeep(m_server, 0, m_now));
  }

  // A rejected caller has already sent its prompt.
  void RejectedCallersCountTowardsTheLinkLoad() {
    ReceiveRequests(150ms);
    Pass(1ms);
    CPPUNIT_ASSERT(m_server.turns_away);
    http::ServerOptions options;
    m_guard->SetOptions(options);
    for (int i = 0; i < 50; ++i) options.connections.on_rejected();
    Pass(1ms);
    CPPUNIT_ASSERT(!m_server.listens);
  }

  void UnknownLinkRateDisablesTheGuard() {
    Make(0);
    ReceiveRequests(10s);
    Pass(1ms);
    CPPUNIT_ASSERT(m_server.listens && !m_server.turns_away);
    CPPUNIT_ASSERT(!m_guard->IsShedding() && !m_guard->IsFull(m_now));
  }

  std::unique_ptr<LinkGuard> m_guard;
  FakeServer m_server;
  LinkGuard::Traffic m_traffic;
  Instant m_now;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkGuardTest);

}  // namespace
}  // namespace dotterelshift::app
