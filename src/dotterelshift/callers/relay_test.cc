#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/callers/front.h"             // for MakeFront
#include "dotterelshift/endpoints/attempt_runner.h"  // for MakeAttemptRunner
#include "dotterelshift/http/test_connection.h"      // for TestConnection
#include "dotterelshift/loop/loop.h"                 // for Loop

namespace dotterelshift::callers {
namespace {

using http::Exchange;
using http::TestConnection;
using serving::AttemptEnd;

constexpr size_t kPauseAbove = 64 << 10;
constexpr size_t kChunkBytes = 16 << 10;

// Far more than the kernel buffers between an endpoint and a caller.
constexpr size_t kStreamBytes = 24 << 20;

// End of a response in HTTP chunked transfer encoding.
constexpr std::string_view kChunksEnd = "\r\n0\r\n\r\n";

const std::string kRequest =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";

// Connects a Front and an AttemptRunner as an entry does, but without the
// request core: each one's events are passed directly to the other.
class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(StreamIsRelayedCompletely);
  CPPUNIT_TEST(StreamBrokenByTheEndpointEndsWithAnError);
  CPPUNIT_TEST(CallerThatStopsReadingPausesTheEndpoint);
  CPPUNIT_TEST(CallerDisconnectClosesTheEndpointConnection);
  CPPUNIT_TEST(CallerDisconnectBeforeTheHeadClosesTheEndpointConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StreamIsRelayedCompletely() {
    m_endpoint = [](Exchange& exchange) {
      exchange.SendHead(200, {{"Content-Type", "text/event-stream"}});
      exchange.WriteChunk("data: {\"text\":\"a\"}\n\ndata: [DONE]\n\n");
      exchange.Finish();
    };
    TestConnection caller = Call();
    RunUntil([&] {
      caller.Receive();
      return caller.Received().ends_with(kChunksEnd);
    });
    CPPUNIT_ASSERT(caller.Has("data: {\"text\":\"a\"}\n\n"));
    CPPUNIT_ASSERT(caller.Has("data: [DONE]\n\n"));
  }

  void StreamBrokenByTheEndpointEndsWithAnError() {
    m_endpoint = [](Exchange& exchange) {
      exchange.SendHead(200, {{"Content-Type", "text/event-stream"}});
      exchange.WriteChunk("data: {\"text\":\"a\"}\n\n");
      exchange.OnDrained([&exchange] { exchange.Abort(); });
    };
    TestConnection caller = Call();
    RunUntil([&] {
      caller.Receive();
      return caller.Received().ends_with(kChunksEnd);
    });
    CPPUNIT_ASSERT(caller.Has("data: {\"text\":\"a\"}\n\n"));
    CPPUNIT_ASSERT(caller.Has("\"stream_cut\""));
    CPPUNIT_ASSERT(!caller.Has("[DONE]"));
  }

  void CallerThatStopsReadingPausesTheEndpoint() {
    size_t produced = 0;
    const std::string chunk =
        "data: {\"text\":\"" + std::string(kChunkBytes, 'x') + "\"}\n\n";
    // Writes the next chunk once the previous one has been sent, so that the
    // endpoint buffers at most one.
    m_endpoint = [&](Exchange& exchange) {
      exchange.SendHead(200, {{"Content-Type", "text/event-stream"}});
      exchange.OnDrained([&] {
        if (produced >= kStreamBytes) return;
        produced += chunk.size();
        exchange.WriteChunk(chunk);
        if (produced < kStreamBytes) return;
        exchange.WriteChunk("data: [DONE]\n\n");
        exchange.Finish();
      });
      exchange.WriteChunk(chunk);
      produced += chunk.size();
    };
    TestConnection caller = Call(64 << 10);
    RunUntil([this] { return m_paused; });
    for (int i = 0; i < 2000; ++i) {
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
      // One read from the endpoint's socket may exceed the limit.
      CPPUNIT_ASSERT(m_exchange->Backlog() <= kPauseAbove + 2 * chunk.size());
    }
    CPPUNIT_ASSERT(produced < kStreamBytes);
    const size_t stopped_at = produced;
    RunUntil([&] {
      caller.Receive();
      return caller.Received().ends_with(kChunksEnd) || caller.Closed();
    });
    CPPUNIT_ASSERT(produced > stopped_at);
    CPPUNIT_ASSERT(caller.Received().size() > kStreamBytes);
    CPPUNIT_ASSERT(caller.Has("data: [DONE]\n\n"));
  }

  void CallerDisconnectClosesTheEndpointConnection() {
    m_endpoint = [this](Exchange& exchange) {
      exchange.OnGone([this] { m_endpoint_saw_end = true; });
      exchange.SendHead(200, {{"Content-Type", "text/event-stream"}});
      exchange.WriteChunk("data: {\"text\":\"a\"}\n\n");
    };
    TestConnection caller = Call();
    RunUntil([&] {
      caller.Receive();
      return caller.Has("\"a\"");
    });
    caller.Close();
    RunUntil([this] { return m_endpoint_saw_end; });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_front->Open());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_runner->Open());
  }

  void CallerDisconnectBeforeTheHeadClosesTheEndpointConnection() {
    bool reached = false;
    m_endpoint = [&](Exchange& exchange) {
      reached = true;
      exchange.OnGone([this] { m_endpoint_saw_end = true; });
    };
    TestConnection caller = Call();
    RunUntil([&reached] { return reached; });
    caller.Close();
    RunUntil([this] { return m_endpoint_saw_end; });
  }

 private:
  using ExchangePtr = std::shared_ptr<Exchange>;

  TestConnection Call(int receive_buffer = 0) {
    TestConnection caller(m_server->Port(), receive_buffer);
    caller.Send(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: "
        "Bearer key\r\nContent-Length: " +
        std::to_string(kRequest.size()) + "\r\n\r\n" + kRequest);
    return caller;
  }

  FrontEvents CallersEvents() {
    return {
        .on_request =
            [this](RequestId request, const CallerRequest& parsed) {
              const std::string address =
                  "127.0.0.1:" + std::to_string(m_endpoint_server->Port());
              m_runner->Start(request, address, parsed, 60s);
            },
        .on_refused = [](RequestId, const Refusal&) {},
        .on_gone = [this](RequestId request) { m_runner->Cancel(request); },
        .on_drained = [this](RequestId request) { m_runner->Resume(request); }};
  }

  endpoints::AttemptEvents EndpointsEvents() {
    return {.on_head =
                [this](AttemptId attempt, int status, std::string_view type) {
                  m_front->SendHead(attempt, status, type);
                },
            .on_chunk =
                [this](AttemptId attempt, const serving::Chunk&,
                       std::string_view bytes) {
                  const bool more = m_front->WriteChunk(attempt, bytes);
                  m_paused = m_paused || !more;
                  return more;
                },
            .on_end =
                [this](AttemptId attempt, AttemptEnd end) {
                  if (end == AttemptEnd::kWhole) {
                    m_front->Finish(attempt);
                  } else {
                    m_front->Fail(attempt, ErrorKind::kStreamCut, "", 0);
                  }
                }};
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  std::function<void(Exchange&)> m_endpoint;
  std::vector<ExchangePtr> m_kept;
  ExchangePtr m_exchange;
  bool m_paused = false;
  bool m_endpoint_saw_end = false;
  std::unique_ptr<http::Server> m_endpoint_server =
      http::MakeServer(m_loop, {}, [this](ExchangePtr exchange) {
        m_endpoint(*exchange);
        m_kept.push_back(std::move(exchange));
      });
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
  std::unique_ptr<endpoints::AttemptRunner> m_runner =
      endpoints::MakeAttemptRunner(*m_client, {}, EndpointsEvents());
  std::unique_ptr<Front> m_front = MakeFront(
      {.fleet_secret = "s", .pause_above_bytes = kPauseAbove}, CallersEvents());
  std::unique_ptr<http::Server> m_server =
      http::MakeServer(m_loop, {}, [this](ExchangePtr exchange) {
        m_exchange = exchange;
        m_front->Accept(std::move(exchange));
      });
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace dotterelshift::callers
