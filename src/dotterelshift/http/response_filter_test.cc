// A server sends a response once more, where the next one on the connection is
// due. It is skipped, and the request gets its own, on the same connection.
#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>       // for make_unique, unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/http/client.h"         // for MakeClient
#include "dotterelshift/http/test_listener.h"  // for TestListener
#include "dotterelshift/loop/loop.h"           // for Loop
#include "support/run_until.h"                 // for RunUntil

namespace dotterelshift::http {
namespace {

using testing::RunUntil;

constexpr std::string_view kDue =
    "HTTP/1.1 200 OK\r\nX-Id: due\r\nContent-Length: 4\r\n\r\nbody";

std::string Stray(const std::string& rest) {
  return "HTTP/1.1 503 No\r\nX-Id: other\r\n" + rest;
}

// Every framing of which the end can be told.
std::vector<std::string> Strays() {
  const std::string large(20'000, 'x');  // more than is looked at at once
  return {
      Stray("Content-Length: 2\r\n\r\nno"),
      Stray("Content-Length: 0\r\n\r\n"),
      Stray("Content-Length: 20000\r\n\r\n" + large),
      Stray("Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"),
      Stray("Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nno\r\nA\r\n0123456789"
            "\r\n0\r\nX-Last: 1\r\n\r\n"),
      Stray("Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + large +
            "\r\n0\r\n\r\n"),
      "HTTP/1.1 204 None\r\nX-Id: other\r\n\r\n",
      "HTTP/1.1 103 Hints\r\nX-Id: other\r\n\r\n" +
          Stray("Content-Length: 2\r\n\r\nno"),
      "HTTP/1.1 503 No\nX-Id: other\nContent-Length: 2\n\nno",
  };
}

class ResponseFilterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseFilterTest);
  CPPUNIT_TEST(ResponseToAnotherRequestIsSkipped);
  CPPUNIT_TEST(ResponseThatArrivesInPiecesIsSkipped);
  CPPUNIT_TEST(BothInOneReadAreToldApart);
  CPPUNIT_TEST(SeveralAreSkipped);
  CPPUNIT_TEST(ResponseThatArrivesBeforeTheRequestIsSkipped);
  CPPUNIT_TEST(ResponseThatIsLeftOnAnIdleConnectionIsNotDue);
  CPPUNIT_TEST(ResponseThatIsLeftIsNotDueToARequestWithoutAnId);
  CPPUNIT_TEST(ResponseThatArrivesWhileTheRequestIsSentIsSkipped);
  CPPUNIT_TEST(ResponseThatCannotBeSkippedIsPassedOn);
  CPPUNIT_TEST(BytesLeftOnAnIdleConnectionAreLeftWithIt);
  CPPUNIT_TEST(ClosedIdleConnectionIsNotUsed);
  CPPUNIT_TEST(PartOfAHeadIsPassedOnInTheEnd);
  CPPUNIT_TEST(ResponseThroughARelayIsSkipped);
  CPPUNIT_TEST(FirstResponseOnAConnectionIsDue);
  CPPUNIT_TEST(ResponsesWithoutEndEndTheRequest);
  CPPUNIT_TEST(BodyWithoutEndOfAnotherResponseEndsTheRequest);
  CPPUNIT_TEST(InterimHeadsWithoutEndEndTheRequest);
  CPPUNIT_TEST(ResponsesWithoutEndOnAnIdleConnectionLeaveIt);
  CPPUNIT_TEST(ChunkExtensionWithoutEndEndsTheRequest);
  CPPUNIT_TEST(LateResponsesUpToTheLimitAreSkipped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_client = MakeClient(m_loop);
    m_relayed = false;
    m_with_id = true;
    m_skipped = 0;
  }

  void ResponseToAnotherRequestIsSkipped() {
    for (const std::string& stray : Strays()) {
      BeginOnKeptConnection();
      SendAll(stray);
      RunUntil(m_loop, "the skipping", [&] { return m_skipped > 0; });
      m_peer->Send(kDue);
      ExpectDue(1);
    }
  }

  void ResponseThatArrivesInPiecesIsSkipped() {
    for (const std::string& stray : Strays()) {
      if (stray.size() > 1'000) continue;
      BeginOnKeptConnection();
      for (const char c : stray + std::string(kDue)) {
        m_peer->Send({&c, 1});
        ev_run(m_loop.Raw(), EVRUN_NOWAIT);
      }
      ExpectDue(1);
    }
  }

  void BothInOneReadAreToldApart() {
    for (const std::string& stray : Strays()) {
      BeginOnKeptConnection();
      SendAll(stray + std::string(kDue));
      ExpectDue(1);
    }
  }

  void SeveralAreSkipped() {
    BeginOnKeptConnection();
    std::string strays;
    for (const std::string& stray : Strays()) strays += stray;
    SendAll(strays + std::string(kDue));
    ExpectDue(static_cast<int>(Strays().size()));
  }

  void ResponseThatArrivesBeforeTheRequestIsSkipped() {
    for (const std::string& stray : Strays()) {
      if (stray.size() > 1'000) continue;
      Serve();
      m_peer->Send(stray);
      Turn();
      Begin();
      AwaitRequest();
      m_peer->Send(kDue);
      ExpectDue(1);
    }
  }

  // Even if it bears the id of the request, which was not sent yet.
  void ResponseThatIsLeftOnAnIdleConnectionIsNotDue() {
    Serve();
    m_peer->Send("HTTP/1.1 503 No\r\nX-Id: due\r\nContent-Length: 0\r\n\r\n");
    Turn();
    Begin();
    AwaitRequest();
    m_peer->Send(kDue);
    ExpectDue(1);
  }

  void ResponseThatIsLeftIsNotDueToARequestWithoutAnId() {
    m_with_id = false;
    for (const std::string& left : Strays()) {
      if (left.size() > 1'000) continue;
      Serve();
      m_peer->Send(left);
      Turn();
      Begin();
      AwaitRequest();
      m_peer->Send(kDue);
      ExpectDue(1);
    }
    Serve();
    m_peer->Send("no response");
    Turn();
    ExpectNewConnection();
  }

  void ResponseThatArrivesWhileTheRequestIsSentIsSkipped() {
    Serve();
    m_body.assign(32 << 20, 'x');
    Begin();
    AwaitRequest();
    m_peer->Send(Stray("Content-Length: 2\r\n\r\nno"));
    RunUntil(m_loop, "the skipping", [&] { return m_skipped > 0; });
    size_t received = 0;
    while (received < m_body.size()) {
      received += m_peer->ReadSome().size();
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
    m_peer->Send(kDue);
    m_body.clear();
    ExpectDue(1);
  }

  // Whoever reads it can tell from its head that it is not the one.
  void ResponseThatCannotBeSkippedIsPassedOn() {
    for (const std::string& stray :
         {Stray("\r\nends with its connection"),
          Stray("Content-Length: x\r\n\r\n"),
          Stray("Connection: close\r\nContent-Length: 2\r\n\r\nno")}) {
      BeginOnKeptConnection();
      m_peer->Send(stray);
      m_peer.reset();
      RunUntil(m_loop, "the end", [&] { return m_end.has_value(); });
      CPPUNIT_ASSERT(m_status != 200);
      CPPUNIT_ASSERT_EQUAL(0, m_skipped);
    }
  }

  void BytesLeftOnAnIdleConnectionAreLeftWithIt() {
    for (const std::string& bytes :
         {std::string("no response"), Stray("\r\nwithout a length"),
          Stray("X-Unfinished: ")}) {
      Serve();
      m_peer->Send(bytes);
      Turn();
      ExpectNewConnection();
    }
  }

  void ClosedIdleConnectionIsNotUsed() {
    Serve();
    m_peer.reset();
    ExpectNewConnection();
  }

  void PartOfAHeadIsPassedOnInTheEnd() {
    BeginOnKeptConnection();
    m_peer->Send("HTTP/1.1 200 OK\r\nX-Id: d");
    Turn();
    m_peer.reset();
    RunUntil(m_loop, "the end", [&] { return m_end.has_value(); });
    CPPUNIT_ASSERT(*m_end != TransferEnd::kWhole);
  }

  void ResponseThroughARelayIsSkipped() {
    m_relayed = true;
    for (const std::string& stray : Strays()) {
      BeginOnKeptConnection();
      SendAll(stray + std::string(kDue));
      ExpectDue(1);
    }
  }

  void FirstResponseOnAConnectionIsDue() {
    Begin();
    Accept();
    m_peer->Send(Stray("Content-Length: 2\r\n\r\nno"));
    RunUntil(m_loop, "the end", [&] { return m_end.has_value(); });
    CPPUNIT_ASSERT_EQUAL(503, m_status);
    CPPUNIT_ASSERT_EQUAL(0, m_skipped);
  }

  // An endpoint that sends more than a few late responses is faulty, and would
  // keep this host busy for as long as it sends.
  void ResponsesWithoutEndEndTheRequest() {
    for (const bool relayed : {false, true}) {
      m_relayed = relayed;
      BeginOnKeptConnection();
      ExpectEndless("", Stray("Content-Length: 2\r\n\r\nno"));
      CPPUNIT_ASSERT(m_skipped <= kMaxSkipped + 1);
    }
  }

  void BodyWithoutEndOfAnotherResponseEndsTheRequest() {
    const std::string some(1'000, 'x');
    BeginOnKeptConnection();
    ExpectEndless(Stray("Content-Length: 1000000000000\r\n\r\n"), some);
    BeginOnKeptConnection();
    ExpectEndless(Stray("Transfer-Encoding: chunked\r\n\r\n"),
                  "3e8\r\n" + some + "\r\n");
    BeginOnKeptConnection();
    ExpectEndless(Stray("Transfer-Encoding: chunked\r\n\r\n2;"), some);
  }

  void InterimHeadsWithoutEndEndTheRequest() {
    const std::string interim = "HTTP/1.1 103 Hints\r\nX-Hint: 1\r\n\r\n";
    BeginOnKeptConnection();
    ExpectEndless("", interim);
    Begin();
    Accept();
    ExpectEndless("", interim);
  }

  void ResponsesWithoutEndOnAnIdleConnectionLeaveIt() {
    Serve();
    std::string strays;
    for (int i = 0; i <= kMaxSkipped; ++i)
      strays += Stray("Content-Length: 2\r\n\r\nno");
    m_peer->Send(strays);
    Turn();
    Begin();
    Accept();
    m_peer->Send(kDue);
    RunUntil(m_loop, "the end", [&] { return m_end.has_value(); });
    CPPUNIT_ASSERT(*m_end == TransferEnd::kWhole);
  }

  // libcurl drops what follows a chunk's size, and tells nobody.
  void ChunkExtensionWithoutEndEndsTheRequest() {
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Id: due\r\nTransfer-Encoding: chunked\r\n\r\n";
    Begin();
    Accept();
    ExpectEndless(head + "4\r\nbody\r\n2;", std::string(1'000, 'x'));
    BeginOnKeptConnection();
    ExpectEndless(head + "2;", std::string(1'000, 'x'));
  }

  void LateResponsesUpToTheLimitAreSkipped() {
    BeginOnKeptConnection();
    std::string strays;
    for (int i = 0; i < kMaxSkipped; ++i)
      strays += Stray("Content-Length: 2\r\n\r\nno");
    SendAll(strays + std::string(kDue));
    ExpectDue(kMaxSkipped);
  }

 private:
  static constexpr int kMaxSkipped = 16;

  static bool IsDue(int, const Headers& headers) {
    for (const auto& [name, value] : headers)
      if (name == "x-id") return value == "due";
    return false;
  }

  // A request was sent on a connection that served another one before.
  void BeginOnKeptConnection() {
    Serve();
    Begin();
    AwaitRequest();
  }

  // Serves a request on a new connection, which is then idle.
  void Serve() {
    m_client = MakeClient(m_loop);
    Begin();
    Accept();
    m_peer->Send(kDue);
    ExpectDue(0);
  }

  void Begin() {
    m_end.reset();
    m_status = 0;
    m_skipped = 0;
    ClientRequest request;
    const std::string server = "127.0.0.1:" + std::to_string(m_listener.Port());
    request.url = "http://" + server + "/x";
    request.body = m_body;
    if (m_relayed) request.relay = Relay{server, "token"};
    TransferCallbacks callbacks;
    if (m_with_id) callbacks.due.is_due = IsDue;
    callbacks.due.on_skipped = [this](int, const Headers&) { ++m_skipped; };
    callbacks.on_head = [this](int status, const Headers&) {
      m_status = status;
    };
    callbacks.on_end = [this](TransferEnd how) { m_end = how; };
    m_client->Start(std::move(request), std::move(callbacks));
  }

  void Accept() {
    RunUntil(m_loop, "a connection",
             [&] { return m_listener.HasConnection(); });
    m_peer = std::make_unique<TestPeer>(m_listener.Accept());
    AwaitRequest();
    if (!m_relayed) return;
    m_peer->Send("HTTP/1.1 200 Connected\r\n\r\n");
    AwaitRequest();
  }

  void AwaitRequest() {
    RunUntil(m_loop, "a request", [&] { return m_peer->Waiting() > 0; });
    if (m_body.empty()) (void)m_peer->ReadSome();
  }

  // Sends what is larger than the buffers of a connection, too.
  void SendAll(std::string_view bytes) {
    while (!bytes.empty()) {
      bytes.remove_prefix(m_peer->SendSome(bytes));
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
  }

  // Sends `unit` again and again after `begin`, until the request has ended.
  void ExpectEndless(const std::string& begin, const std::string& unit) {
    constexpr size_t kMost = 64 << 20;  // far above the buffers of a connection
    std::string units;
    while (units.size() < 100'000) units += unit;
    std::string_view rest;
    size_t sent = 0;
    m_peer->Send(begin);
    while (!m_end && sent < kMost) {
      if (rest.empty()) rest = units;
      const size_t now = m_peer->SendSome(rest);
      rest.remove_prefix(now);
      sent += now;
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
    CPPUNIT_ASSERT(m_end.has_value());
    CPPUNIT_ASSERT(*m_end == TransferEnd::kTooLarge);
  }

  void ExpectDue(int skipped) {
    RunUntil(m_loop, "the end", [&] { return m_end.has_value(); });
    CPPUNIT_ASSERT(*m_end == TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(200, m_status);
    CPPUNIT_ASSERT_EQUAL(skipped, m_skipped);
    CPPUNIT_ASSERT(!m_listener.HasConnection());
  }

  void ExpectNewConnection() {
    Begin();
    Accept();
    m_peer->Send(kDue);
    ExpectDue(0);
  }

  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  const TestListener m_listener{4};
  std::unique_ptr<Client> m_client;
  std::unique_ptr<TestPeer> m_peer;
  std::string m_body;
  bool m_relayed = false;
  bool m_with_id = true;  // the request has one, by which its response is known
  std::optional<TransferEnd> m_end;
  int m_status = 0;
  int m_skipped = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseFilterTest);

}  // namespace
}  // namespace dotterelshift::http
