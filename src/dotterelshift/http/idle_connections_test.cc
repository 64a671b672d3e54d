// A server that ends closes the connections that are kept for reuse, too. The
// client learns of it at once, and not with the next request.
#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>    // for make_unique, unique_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/http/client.h"         // for MakeClient
#include "dotterelshift/http/test_listener.h"  // for TestListener
#include "dotterelshift/loop/loop.h"           // for Loop
#include "support/run_until.h"                 // for RunUntil

namespace dotterelshift::http {
namespace {

using testing::RunUntil;

constexpr std::string_view kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

class IdleConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleConnectionsTest);
  CPPUNIT_TEST(CloseIsReported);
  CPPUNIT_TEST(ResetIsReported);
  CPPUNIT_TEST(CloseAfterReuseIsReportedOnce);
  CPPUNIT_TEST(CloseDuringAResponseIsItsEnd);
  CPPUNIT_TEST(BytesThatNobodyAskedForAreNotReported);
  CPPUNIT_TEST(ConnectionThatWasRefusedIsNotWatched);
  CPPUNIT_TEST(ConnectionThatTimedOutIsNotWatched);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_closed = 0;
    ClientOptions options;
    options.on_idle_closed = [this](const std::string& server, Duration idle) {
      ++m_closed;
      CPPUNIT_ASSERT_EQUAL(Server(), server);
      CPPUNIT_ASSERT(idle >= 0s);
    };
    m_client = MakeClient(m_loop, options);
  }

  void CloseIsReported() {
    auto peer = Serve();
    CPPUNIT_ASSERT_EQUAL(0, m_closed);
    peer.reset();
    ExpectReported();
    (void)Serve();
    CPPUNIT_ASSERT_EQUAL(1, m_closed);
  }

  void ResetIsReported() {
    Serve()->Reset();
    ExpectReported();
  }

  void CloseAfterReuseIsReportedOnce() {
    auto peer = Serve();
    std::optional<TransferEnd> end;
    Start(end);
    Answer(*peer, end);
    CPPUNIT_ASSERT(!m_listener.HasConnection());
    peer.reset();
    ExpectReported();
  }

  void CloseDuringAResponseIsItsEnd() {
    auto peer = Serve();
    std::optional<TransferEnd> end;
    Start(end);
    RunUntil(m_loop, "the request", [&] { return peer->Waiting() > 0; });
    peer->Send(kResponse.substr(0, kResponse.size() - 1));
    peer.reset();
    RunUntil(m_loop, "the end", [&] { return end.has_value(); });
    CPPUNIT_ASSERT(*end == TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(0, m_closed);
  }

  void BytesThatNobodyAskedForAreNotReported() {
    std::optional<TransferEnd> first_end;
    std::optional<TransferEnd> second_end;
    Start(first_end);
    Start(second_end);
    const auto first = AcceptPeer();
    auto second = AcceptPeer();
    Answer(*first, first_end);
    Answer(*second, second_end);
    first->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    second.reset();
    ExpectReported();
    ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    CPPUNIT_ASSERT_EQUAL(1, m_closed);
  }

  // Its descriptor is closed, and may be another one's by now.
  void ConnectionThatWasRefusedIsNotWatched() {
    std::string server;
    {
      const TestListener gone(1);
      server = "127.0.0.1:" + std::to_string(gone.Port());
    }
    ExpectNotSent(server);
  }

  void ConnectionThatTimedOutIsNotWatched() {
    TestListener full(0);
    full.Fill();
    ExpectNotSent("127.0.0.1:" + std::to_string(full.Port()));
  }

 private:
  void ExpectReported() {
    RunUntil(m_loop, "the close", [&] { return m_closed > 0; });
    CPPUNIT_ASSERT_EQUAL(1, m_closed);
  }

  void ExpectNotSent(const std::string& server) {
    std::optional<TransferEnd> end;
    Start(end, server);
    RunUntil(m_loop, "the end", [&] { return end.has_value(); });
    CPPUNIT_ASSERT(*end == TransferEnd::kNotSent);
    // The loop goes on, and so do other connections.
    (void)Serve();
    CPPUNIT_ASSERT_EQUAL(0, m_closed);
  }

  std::string Server() const {
    return "127.0.0.1:" + std::to_string(m_listener.Port());
  }

  void Start(std::optional<TransferEnd>& end) { Start(end, Server()); }

  void Start(std::optional<TransferEnd>& end, const std::string& server) {
    ClientRequest request;
    request.url = "http://" + server + "/x";
    request.connect_timeout = 100ms;
    TransferCallbacks callbacks;
    callbacks.on_end = [&end](TransferEnd how) { end = how; };
    m_client->Start(std::move(request), std::move(callbacks));
  }

  // Serves a request on a new connection, which is then idle.
  std::unique_ptr<TestPeer> Serve() {
    std::optional<TransferEnd> end;
    Start(end);
    auto peer = AcceptPeer();
    Answer(*peer, end);
    return peer;
  }

  std::unique_ptr<TestPeer> AcceptPeer() {
    RunUntil(m_loop, "a connection",
             [&] { return m_listener.HasConnection(); });
    return std::make_unique<TestPeer>(m_listener.Accept());
  }

  void Answer(const TestPeer& peer, const std::optional<TransferEnd>& end) {
    RunUntil(m_loop, "a request", [&] { return peer.Waiting() > 0; });
    (void)peer.ReadSome();
    peer.Send(kResponse);
    RunUntil(m_loop, "its end", [&] { return end.has_value(); });
    CPPUNIT_ASSERT(*end == TransferEnd::kWhole);
  }

  loop::Loop m_loop;
  const TestListener m_listener{4};
  int m_closed = 0;
  std::unique_ptr<Client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionsTest);

}  // namespace
}  // namespace dotterelshift::http
