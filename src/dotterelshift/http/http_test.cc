#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/http/client.h"         // for MakeClient
#include "dotterelshift/http/server.h"         // for MakeServer
#include "dotterelshift/http/test_listener.h"  // for TestListener
#include "dotterelshift/loop/loop.h"           // for Loop

namespace dotterelshift::http {
namespace {

// The callbacks' results of one transfer.
struct Seen {
  int status = 0;
  Headers headers;
  std::string body;
  bool ended = false;
  TransferEnd end = TransferEnd::kNotSent;
};

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(CompleteResponseAtOnce);
  CPPUNIT_TEST(ResponseAfterTheHandlerReturned);
  CPPUNIT_TEST(StreamArrivesInChunks);
  CPPUNIT_TEST(AbortTruncatesTheResponse);
  CPPUNIT_TEST(AbortDeliversWhatWasWrittenBefore);
  CPPUNIT_TEST(AbortBeforeHeadFailsTheTransfer);
  CPPUNIT_TEST(RefusedConnectionIsNotSent);
  CPPUNIT_TEST(CancelReachesASuspendedExchange);
  CPPUNIT_TEST(CancelReachesAStream);
  CPPUNIT_TEST(CancelDiscardsUnsentBytes);
  CPPUNIT_TEST(WithdrawnTransferIsNeverSent);
  CPPUNIT_TEST(ConnectingTransferCanBeWithdrawn);
  CPPUNIT_TEST(SentTransferCannotBeWithdrawn);
  CPPUNIT_TEST(PausedTransferResumes);
  CPPUNIT_TEST(TimedOutTransfer);
  CPPUNIT_TEST(ConnectionsAreReused);
  CPPUNIT_TEST(HandOverReportsTheConnection);
  CPPUNIT_TEST(UnconnectedTransferIsNotHandedOver);
  CPPUNIT_TEST(ExchangeOutlivesItsServer);
  CPPUNIT_TEST(HeadWithoutEndIsGivenUp);
  CPPUNIT_TEST(HeadLineWithoutEndIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CompleteResponseAtOnce() {
    Serve([](const std::shared_ptr<Exchange>& exchange) {
      const Request& request = exchange->GetRequest();
      exchange->Answer(
          201, {{"X-Test", "yes"}},
          request.method + " " + request.path + " " + request.query + " " +
              std::string(request.Header("x-name")) + " " + request.body);
    });
    Send("/a%2Fb?c=d", "body", {{"X-Name", "value"}});
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(201, m_seen.status);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a%2Fb c=d value body"),
                         m_seen.body);
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_server->OpenExchanges());
  }

  void ResponseAfterTheHandlerReturned() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_kept->Answer(200, {}, "late");
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(std::string("late"), m_seen.body);
  }

  void StreamArrivesInChunks() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_kept->SendHead(200, {{"Content-Type", "text/event-stream"}});
    std::string expected;
    for (int i = 0; i < 20; ++i) {
      const std::string chunk = "piece " + std::to_string(i);
      expected += chunk;
      m_kept->WriteChunk(chunk);
      RunUntil([&] { return m_seen.body == expected; });
      CPPUNIT_ASSERT(!m_seen.ended);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, m_kept->Backlog());
    }
    m_kept->Finish();
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(expected, m_seen.body);
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kWhole);
  }

  void AbortTruncatesTheResponse() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_kept->SendHead(200, {});
    m_kept->WriteChunk("begin");
    RunUntil([this] { return m_seen.body == "begin"; });
    m_kept->Abort();
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kCut);
  }

  void AbortDeliversWhatWasWrittenBefore() {
    const std::string large(1 << 20, 'y');
    for (const std::string& last : {std::string("end"), large}) {
      ServeKeeping();
      m_seen = {};
      m_kept = nullptr;
      Send("/", "x");
      RunUntil([this] { return m_kept != nullptr; });
      m_kept->SendHead(200, {});
      m_kept->WriteChunk("begin");
      RunUntil([this] { return m_seen.body == "begin"; });
      m_kept->WriteChunk(last);
      m_kept->Abort();
      RunUntilEnded();
      CPPUNIT_ASSERT_EQUAL("begin" + last, m_seen.body);
      CPPUNIT_ASSERT(m_seen.end == TransferEnd::kCut);
    }
  }

  void AbortBeforeHeadFailsTheTransfer() {
    Serve([](const std::shared_ptr<Exchange>& exchange) { exchange->Abort(); });
    Send("/", "x");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kFailedBeforeHead);
  }

  void RefusedConnectionIsNotSent() {
    ServeKeeping();
    m_port = m_server->Port();
    m_server.reset();
    Send("/", "x");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kNotSent);
  }

  void CancelReachesASuspendedExchange() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_client->Cancel(m_transfer);
    RunUntil([this] { return m_gone > 0; });
    RunUntil([this] { return m_server->OpenExchanges() == 0; });
    CPPUNIT_ASSERT_EQUAL(1, m_gone);
    CPPUNIT_ASSERT(!m_seen.ended);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_client->OpenTransfers());
  }

  void CancelReachesAStream() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_kept->SendHead(200, {});
    m_kept->WriteChunk("begin");
    RunUntil([this] { return !m_seen.body.empty(); });
    m_client->Cancel(m_transfer);
    RunUntil([this] { return m_gone > 0; });
    RunUntil([this] { return m_server->OpenExchanges() == 0; });
    m_kept->WriteChunk("nobody reads this");
    m_kept->Finish();
    CPPUNIT_ASSERT_EQUAL(1, m_gone);
  }

  // A peer that does not read stands in for a full link: most of the request is
  // still buffered on this host. After an orderly close, it would still be sent
  // and run.
  void CancelDiscardsUnsentBytes() {
    const TestListener listener(1);
    m_port = listener.Port();
    Send("/", std::string(16 << 20, 'x'));
    Turn();
    TestPeer peer = listener.Accept();
    RunUntil([&] { return peer.Waiting() > 0; });
    CPPUNIT_ASSERT(m_client->Unsent(m_transfer) > size_t{1 << 20});
    CPPUNIT_ASSERT(m_client->Cancel(m_transfer));
    CPPUNIT_ASSERT(!m_client->Unsent(m_transfer));
    CPPUNIT_ASSERT(!m_client->Cancel(m_transfer));
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
  }

  void WithdrawnTransferIsNeverSent() {
    ServeKeeping();
    Send("/withdrawn", "x");
    CPPUNIT_ASSERT(m_client->Withdraw(m_transfer));
    CPPUNIT_ASSERT(!m_client->Withdraw(m_transfer));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_client->OpenTransfers());
    Send("/next", "x");
    RunUntil([this] { return m_kept != nullptr; });
    CPPUNIT_ASSERT_EQUAL(std::string("/next"), m_kept->GetRequest().path);
    CPPUNIT_ASSERT(!m_seen.ended);
  }

  void ConnectingTransferCanBeWithdrawn() {
    TestListener listener(0);
    listener.Fill();
    m_port = listener.Port();
    Send("/", "x");
    Turn();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_client->OpenTransfers());
    CPPUNIT_ASSERT(m_client->Withdraw(m_transfer));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_client->OpenTransfers());
    CPPUNIT_ASSERT(!m_seen.ended);
  }

  void SentTransferCannotBeWithdrawn() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    CPPUNIT_ASSERT(!m_client->Withdraw(m_transfer));
    m_kept->Answer(200, {}, "answer");
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), m_seen.body);
    CPPUNIT_ASSERT(!m_client->Withdraw(m_transfer));
  }

  void PausedTransferResumes() {
    const std::string body(1 << 20, 'x');
    Serve([&body](const std::shared_ptr<Exchange>& exchange) {
      exchange->Answer(200, {}, body);
    });
    m_pause_each_piece = true;
    Send("/", "x");
    RunUntilEnded();
    CPPUNIT_ASSERT_EQUAL(body.size(), m_seen.body.size());
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kWhole);
  }

  void TimedOutTransfer() {
    ServeKeeping();
    Send("/", "x", {}, 20ms);
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kTimedOut);
  }

  void ConnectionsAreReused() {
    Serve([](const std::shared_ptr<Exchange>& exchange) {
      exchange->Answer(200, {}, "ok");
    });
    for (int i = 0; i < 50; ++i) {
      m_seen = {};
      Send("/", "x");
      RunUntilEnded();
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_seen.body);
    }
  }

  void HandOverReportsTheConnection() {
    Serve([](const std::shared_ptr<Exchange>& exchange) {
      exchange->Answer(200, {}, "ok");
    });
    for (int i = 0; i < 2; ++i) {
      m_seen = {};
      Send("/", "12345", {{"a", "b"}});
      RunUntilEnded();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_handed_over.size());
    CPPUNIT_ASSERT(m_handed_over[0].new_connection);
    CPPUNIT_ASSERT(m_handed_over[0].connected_in > 0s);
    CPPUNIT_ASSERT(!m_handed_over[1].new_connection);
    CPPUNIT_ASSERT(m_handed_over[1].connected_in == 0s);
    CPPUNIT_ASSERT_EQUAL(m_client->BytesSent(),
                         uint64_t{2} * m_handed_over[0].bytes);
  }

  void UnconnectedTransferIsNotHandedOver() {
    TestListener listener(0);
    listener.Fill();
    m_port = listener.Port();
    Send("/", "x");
    Turn();
    CPPUNIT_ASSERT(m_handed_over.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_client->Unsent(m_transfer).value_or(0));
  }

  void ExchangeOutlivesItsServer() {
    ServeKeeping();
    Send("/", "x");
    RunUntil([this] { return m_kept != nullptr; });
    m_server.reset();
    m_kept->Answer(200, {}, "nobody");
    RunUntilEnded();
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kFailedBeforeHead);
  }

  void HeadWithoutEndIsGivenUp() { ExpectTooLarge("X-More: 1\r\n"); }
  void HeadLineWithoutEndIsGivenUp() { ExpectTooLarge("more"); }

 private:
  // A head that goes on with these bytes until the client leaves.
  void ExpectTooLarge(const std::string& bytes) {
    const TestListener listener(1);
    m_port = listener.Port();
    Send("/", "x");
    RunUntil([&] { return listener.HasConnection(); });
    const TestPeer peer = listener.Accept();
    (void)peer.SendSome("HTTP/1.1 200 OK\r\nX-First: ");
    constexpr size_t kMost = 1 << 20;
    std::string piece;
    while (piece.size() < (16 << 10)) piece += bytes;
    for (size_t sent = 0; !m_seen.ended && sent < kMost; Turn())
      sent += peer.SendSome(piece);
    CPPUNIT_ASSERT(m_seen.ended);
    CPPUNIT_ASSERT(m_seen.end == TransferEnd::kTooLarge);
    CPPUNIT_ASSERT_EQUAL(0, m_seen.status);
  }

  void Serve(Handler handler) {
    m_server = MakeServer(m_loop, {}, std::move(handler));
    m_port = m_server->Port();
  }

  // Keeps the exchange, so that the test can respond later.
  void ServeKeeping() {
    Serve([this](const std::shared_ptr<Exchange>& exchange) {
      m_kept = exchange;
      exchange->OnGone([this] { ++m_gone; });
    });
  }

  void Send(const std::string& path, const std::string& body,
            const Headers& headers = {}, Duration timeout = 0s) {
    ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(m_port) + path;
    request.headers = headers;
    request.body = body;
    request.total_timeout = timeout;
    TransferCallbacks callbacks;
    callbacks.on_handed_over = [this](const HandOver& what) {
      m_handed_over.push_back(what);
    };
    callbacks.on_head = [this](int status, const Headers& answered) {
      m_seen.status = status;
      m_seen.headers = answered;
    };
    callbacks.on_chunk = [this](std::string_view chunk) {
      m_seen.body += chunk;
      if (m_pause_each_piece) m_client->Resume(m_transfer);
      return !m_pause_each_piece;
    };
    callbacks.on_end = [this](TransferEnd end) {
      m_seen.ended = true;
      m_seen.end = end;
    };
    m_transfer = m_client->Start(std::move(request), std::move(callbacks));
  }

  // Runs the loop until the condition holds.
  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_ONCE);
  }

  // Processes pending events without blocking.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  void RunUntilEnded() {
    RunUntil([this] { return m_seen.ended; });
  }

  loop::Loop m_loop;
  std::unique_ptr<Server> m_server;
  std::unique_ptr<Client> m_client = MakeClient(m_loop);
  uint16_t m_port = 0;
  std::shared_ptr<Exchange> m_kept;
  int m_gone = 0;
  bool m_pause_each_piece = false;
  Seen m_seen;
  std::vector<HandOver> m_handed_over;
  TransferId m_transfer = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace dotterelshift::http
