// An HTTP client, a relay and raw endpoints on loopback. What one side of a
// tunnel does, the other side sees: bytes, an orderly close, a reset.
#include "dotterelshift/relay/relay_server.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for count
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/http/client.h"           // for MakeClient
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/http/test_listener.h"    // for TestListener
#include "support/run_until.h"                   // for RunUntil

namespace dotterelshift::relay {
namespace {

using http::TransferEnd;
using testing::RunUntil;

constexpr char kClient[] = "client";
constexpr size_t kLargeBody = 3 << 20;

class RelayServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayServerTest);
  CPPUNIT_TEST(PassesRequestAndResponseOnUnchanged);
  CPPUNIT_TEST(TunnelIsReusedForTheNextRequest);
  CPPUNIT_TEST(LargeBodyIsHeldWithinBounds);
  CPPUNIT_TEST(CancelResetsTheTarget);
  CPPUNIT_TEST(CancelReachesATargetThatDoesNotRead);
  CPPUNIT_TEST(OrderlyCloseEndsAResponseWithoutLength);
  CPPUNIT_TEST(ResetOfTheTargetTruncatesTheResponse);
  CPPUNIT_TEST(LossOfTheRelayTruncatesTheResponse);
  CPPUNIT_TEST(RefusedTargetIsNotSent);
  CPPUNIT_TEST(SilentTargetIsNotSent);
  CPPUNIT_TEST(OwnFailureOfTheRelayIsToldApart);
  CPPUNIT_TEST(UnknownTargetIsNotSent);
  CPPUNIT_TEST(RelayThatDeclinesIsToldApart);
  CPPUNIT_TEST(WithoutAValidTokenNothingIsRelayed);
  CPPUNIT_TEST(NoHeaderOfACallerOpensATunnel);
  CPPUNIT_TEST(LostClientHostEndsItsTunnels);
  CPPUNIT_TEST(TunnelIsBusyWhileAResponseIsDue);
  CPPUNIT_TEST(TunnelIsBusyWhileAResponsePauses);
  CPPUNIT_TEST(LostRelayIsToldApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_admission = Admission::kAllowed;
    m_own_failure = false;
    m_events.clear();
    RelayServerOptions options;
    options.idle_after = 0s;
    RelayCallbacks callbacks;
    callbacks.admit = [this](const std::string&) { return m_admission; };
    callbacks.on_connect_failed = [this](const std::string&, Duration) {
      return m_own_failure;
    };
    callbacks.on_event = [this](const TunnelReport& report) {
      m_events.push_back(report.event);
    };
    m_server = MakeRelayServer(m_loop, options, std::move(callbacks));
    m_token = m_server->Authorise(kClient);
  }
  void tearDown() override {
    m_client = http::MakeClient(m_loop);
    m_server.reset();
  }

  void PassesRequestAndResponseOnUnchanged() {
    const http::TestListener target(4);
    Send(target, "body");
    http::TestPeer peer = Accept(target);
    const std::string received = ReadUntil(peer, "body");
    CPPUNIT_ASSERT(received.starts_with("POST /path HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(received.find(m_token) == std::string::npos);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_seen.body);
    CPPUNIT_ASSERT(m_server->Counters().bytes > received.size());
  }

  void TunnelIsReusedForTheNextRequest() {
    const http::TestListener target(4);
    Send(target, "first");
    http::TestPeer peer = Accept(target);
    ReadUntil(peer, "first");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunUntilEnded();
    Send(target, "second");
    ReadUntil(peer, "second");
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_server->Counters().opened);
  }

  void LargeBodyIsHeldWithinBounds() {
    const http::TestListener target(4, 4 << 10);
    Send(target, std::string(kLargeBody, 'x'));
    http::TestPeer peer = Accept(target);
    for (int i = 0; i < 200; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    // What is neither at the target nor held here is still at the client.
    CPPUNIT_ASSERT(m_server->Counters().bytes < kLargeBody);
    size_t received = 0;
    RunUntil(m_loop, "the body", [&] {
      received += peer.ReadSome().size();
      return received > kLargeBody;
    });
  }

  void CancelResetsTheTarget() {
    const http::TestListener target(4);
    const http::TransferId id = Send(target, "body");
    const http::TestPeer peer = Accept(target);
    RunUntil(m_loop, "the request", [&] { return peer.Waiting() > 0; });
    m_client->Cancel(id);
    RunUntil(m_loop, "the close", [&] { return Saw(TunnelEvent::kClosed); });
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
  }

  void CancelReachesATargetThatDoesNotRead() {
    const http::TestListener target(4, 4 << 10);
    const http::TransferId id = Send(target, std::string(kLargeBody, 'x'));
    const http::TestPeer peer = Accept(target);
    for (int i = 0; i < 200; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    m_client->Cancel(id);
    const Instant left = m_loop.Now();
    RunUntil(m_loop, "the close", [&] { return Saw(TunnelEvent::kClosed); });
    CPPUNIT_ASSERT(m_loop.Now() - left < 500ms);
  }

  void OrderlyCloseEndsAResponseWithoutLength() {
    const http::TestListener target(4);
    Send(target, "body");
    {
      http::TestPeer peer = Accept(target);
      ReadUntil(peer, "body");
      peer.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
    }
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_seen.body);
  }

  void ResetOfTheTargetTruncatesTheResponse() {
    const http::TestListener target(4);
    http::TestPeer peer = SendAndReceive(target);
    peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    RunUntil(m_loop, "the part", [&] { return m_seen.body == "part"; });
    peer.Reset();
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kCut);
  }

  // Nothing but the end of the connection ends such a response.
  void LossOfTheRelayTruncatesTheResponse() {
    const http::TestListener target(4);
    http::TestPeer peer = SendAndReceive(target);
    peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    RunUntil(m_loop, "the part", [&] { return m_seen.body == "part"; });
    m_server.reset();
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kCut);
  }

  void RefusedTargetIsNotSent() {
    uint16_t port = 0;
    {
      const http::TestListener closed(1);
      port = closed.Port();
    }
    SendTo(port, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kNotSent);
    CPPUNIT_ASSERT(Saw(TunnelEvent::kTargetRefused));
  }

  void SilentTargetIsNotSent() {
    http::TestListener target(0);
    target.Fill();
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kNotSent);
    CPPUNIT_ASSERT(Saw(TunnelEvent::kTargetTimedOut));
  }

  void OwnFailureOfTheRelayIsToldApart() {
    m_own_failure = true;
    http::TestListener target(0);
    target.Fill();
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kRelayFailed);
  }

  void UnknownTargetIsNotSent() {
    m_admission = Admission::kUnknownTarget;
    const http::TestListener target(4);
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kNotSent);
    CPPUNIT_ASSERT(!target.HasConnection());
  }

  void RelayThatDeclinesIsToldApart() {
    m_admission = Admission::kNotNow;
    const http::TestListener target(4);
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kRelayFailed);
  }

  void WithoutAValidTokenNothingIsRelayed() {
    const http::TestListener target(4);
    m_token.back() = m_token.back() == '0' ? '1' : '0';
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kRelayFailed);
    CPPUNIT_ASSERT(Saw(TunnelEvent::kUnauthorised));
    CPPUNIT_ASSERT(!target.HasConnection());
  }

  void NoHeaderOfACallerOpensATunnel() {
    const http::TestListener target(4);
    http::TestConnection caller(m_server->Port());
    caller.Send(
        "POST /path HTTP/1.1\r\nHost: h\r\n"
        "Proxy-Authorization: Bearer " +
        m_token + "\r\n\r\n");
    RunUntil(m_loop, "the refusal",
             [&] { return Saw(TunnelEvent::kBadRequest); });
    CPPUNIT_ASSERT(!target.HasConnection());
  }

  void LostClientHostEndsItsTunnels() {
    const http::TestListener target(4);
    Send(target, "body");
    const http::TestPeer peer = Accept(target);
    RunUntil(m_loop, "the request", [&] { return peer.Waiting() > 0; });
    m_server->Dismiss(kClient);
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
    CPPUNIT_ASSERT(Saw(TunnelEvent::kDismissed));
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kFailedBeforeHead);
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kRelayFailed);
  }

  void TunnelIsBusyWhileAResponseIsDue() {
    const http::TestListener target(4);
    http::TestPeer peer = SendAndReceive(target);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_server->BusyTunnels(m_loop.Now()));
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_server->BusyTunnels(m_loop.Now()));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_server->OpenTunnels());
  }

  // A silent endpoint may go on: its tunnel keeps an entry from its exit.
  void TunnelIsBusyWhileAResponsePauses() {
    const http::TestListener target(4);
    http::TestPeer peer = SendAndReceive(target);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart");
    RunUntil(m_loop, "the part", [&] { return m_seen.body == "part"; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_server->BusyTunnels(m_loop.Now() + 2s));
  }

  void LostRelayIsToldApart() {
    const http::TestListener target(4);
    m_port = m_server->Port();
    m_server.reset();
    Send(target, "body");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kRelayFailed);
  }

 private:
  struct Seen {
    std::string body;
    bool ended = false;
    TransferEnd end = TransferEnd::kWhole;
  };

  http::TransferId Send(const http::TestListener& target,
                        const std::string& body) {
    return SendTo(target.Port(), body);
  }

  http::TransferId SendTo(uint16_t port, const std::string& body) {
    if (m_server) m_port = m_server->Port();
    http::ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/path";
    request.body = body;
    request.relay = http::Relay{"127.0.0.1:" + std::to_string(m_port), m_token};
    m_seen = {};
    http::TransferCallbacks callbacks;
    callbacks.on_chunk = [this](std::string_view chunk) {
      m_seen.body += chunk;
      return true;
    };
    callbacks.on_end = [this](TransferEnd end) {
      m_seen.end = end;
      m_seen.ended = true;
    };
    return m_client->Start(std::move(request), std::move(callbacks));
  }

  http::TestPeer Accept(const http::TestListener& target) {
    RunUntil(m_loop, "a connection", [&] { return target.HasConnection(); });
    return target.Accept();
  }

  // Sends a request, which the target has received when this returns.
  http::TestPeer SendAndReceive(const http::TestListener& target) {
    Send(target, "body");
    http::TestPeer peer = Accept(target);
    ReadUntil(peer, "body");
    return peer;
  }

  std::string ReadUntil(const http::TestPeer& peer, const std::string& end) {
    std::string received;
    RunUntil(m_loop, end, [&] {
      received += peer.ReadSome();
      return received.ends_with(end);
    });
    return received;
  }

  void RunUntilEnded() {
    RunUntil(m_loop, "the end", [&] { return m_seen.ended; });
  }

  bool Saw(TunnelEvent event) const {
    return std::ranges::count(m_events, event) > 0;
  }

  loop::Loop m_loop;
  Admission m_admission = Admission::kAllowed;
  bool m_own_failure = false;
  std::vector<TunnelEvent> m_events;
  std::unique_ptr<RelayServer> m_server;
  uint16_t m_port = 0;
  std::string m_token;
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
  Seen m_seen;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayServerTest);

}  // namespace
}  // namespace dotterelshift::relay
