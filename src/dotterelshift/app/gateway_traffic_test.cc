// A caller disconnects at each stage of its request. Bytes that were not handed
// over by then must not reach the endpoint, whose connection is reset at once,
// even while this host still holds bytes for it.
#include "dotterelshift/app/gateway_traffic.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <array>        // for array
#include <filesystem>   // for directory_iterator
#include <functional>   // for function
#include <iterator>     // for distance
#include <memory>       // for make_shared
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for exchange

#include "dotterelshift/http/test_connection.h"   // for TestConnection
#include "dotterelshift/http/test_listener.h"     // for TestListener
#include "dotterelshift/telemetry/log_testing.h"  // for CapturedLog

namespace dotterelshift::app {
namespace {

constexpr Duration kGuard = 10s;
constexpr size_t kShortBody = 6'000;
// kHeldBody exceeds what an endpoint that reads nothing receives, but fits into
// this host's kernel buffers for it; kLongBody exceeds both together.
constexpr int kSmallBuffer = 4 << 10;
constexpr size_t kHeldBody = 512 << 10;
constexpr size_t kLongBody = 32 << 20;

constexpr char kStreamBegin[] =
    "HTTP/1.1 200 OK\r\nx-id: caller-1\r\ncontent-type: text/event-stream\r\n"
    "content-length: 1000000\r\n\r\nid: 1\ndata: a\n\n";
constexpr char kAnswerToAnother[] =
    "HTTP/1.1 200 OK\r\nx-id: caller-2\r\ncontent-length: 1000000\r\n\r\n";

// A caller that can disconnect at any time and reads as much as the test
// specifies.
class FakeExchange : public http::Exchange {
 public:
  FakeExchange(const std::string& path, size_t body) {
    m_request.method = "POST";
    m_request.path = path;
    m_request.body.assign(body, 'x');
  }

  const http::Request& GetRequest() const override { return m_request; }
  void Answer(int status, const http::Headers&, std::string) override {
    m_status = status;
  }
  void SendHead(int status, const http::Headers&) override {
    m_status = status;
  }
  void WriteChunk(std::string_view piece) override {
    m_consumed_bytes += piece;
  }
  void Finish() override {}
  void Abort() override {}
  size_t Backlog() const override { return m_backlog; }
  void OnGone(std::function<void()> callback) override {
    m_on_gone = std::move(callback);
  }
  void OnDrained(std::function<void()>) override {}

  void Leave() {
    const auto callback = std::exchange(m_on_gone, nullptr);
    CPPUNIT_ASSERT(callback);
    callback();
  }
  void SetBacklog(size_t bytes) { m_backlog = bytes; }
  const std::string& Taken() const { return m_consumed_bytes; }
  int Status() const { return m_status; }

 private:
  http::Request m_request;
  std::function<void()> m_on_gone;
  std::string m_consumed_bytes;
  size_t m_backlog = 0;
  int m_status = 0;
};

// A dialect that counts the attempts.
class TestDialect : public gateway::Dialect {
 public:
  gateway::RequestInfo ReadRequestInfo(
      const http::Request& request) const override {
    gateway::RequestInfo info;
    info.caller_id = "caller-1";
    info.host = "h";
    info.path = request.path;
    return info;
  }
  http::Headers OnwardHeaders(const http::Request&,
                              const gateway::StartAttempt&) const override {
    ++m_attempts;
    return {{"host", "h"}};
  }
  gateway::ResponseInfo ReadResponseInfo(
      int, const http::Headers& headers) const override {
    gateway::ResponseInfo response_info;
    response_info.has_proof = true;
    for (const auto& [name, value] : headers) {
      if (name == "x-id") response_info.echoed_id = value;
      if (name == "content-type") response_info.event_stream = true;
    }
    return response_info;
  }
  std::optional<gateway::Routes> ReadRoutes(std::string_view,
                                            std::string*) const override {
    return std::nullopt;
  }
  std::string_view ReadyPath() const override { return "/ready"; }

  int Attempts() const { return m_attempts; }

 private:
  mutable int m_attempts = 0;
};

class GatewayTrafficTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTrafficTest);
  CPPUNIT_TEST(LeavesBeforeItsAttemptConnects);
  CPPUNIT_TEST(LeavesBeforeItsEndpointAcceptsTheConnection);
  CPPUNIT_TEST(LeavesWhileItsRequestIsPartlySent);
  CPPUNIT_TEST(LeavesWhileItsRequestIsInTheKernelBuffer);
  CPPUNIT_TEST(LeavesWhileItsRequestRuns);
  CPPUNIT_TEST(LeavesOnAReusedConnection);
  CPPUNIT_TEST(LeavesBetweenTwoAttempts);
  CPPUNIT_TEST(LeavesWhileItsStreamRuns);
  CPPUNIT_TEST(LeavesWhileItsStreamIsPausedWithHeldBytes);
  CPPUNIT_TEST(ResponseToAnotherRequestDropsHeldBytes);
  CPPUNIT_TEST(LogSaysThatTheConnectionWasReset);
  CPPUNIT_TEST(LogNamesNoResetOfWhatWasNotHandedOver);
  CPPUNIT_TEST(LeavesAtARealServer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_load =
        std::make_unique<gateway::FleetLoad>(gateway::FleetLoadOptions{"dc"});
    m_budgets = std::make_unique<gateway::HeldGrants>(
        gateway::HeldGrantsOptions(),
        [] { return std::make_unique<wire::CommandIdT>(); });
    m_retries =
        std::make_unique<gateway::RetryShare>(gateway::RetryShareOptions());
    m_core = gateway::MakeCore(
        gateway::CoreOptions(),
        {m_load.get(), m_budgets.get(), m_retries.get(), nullptr});
    m_traffic = std::make_unique<GatewayTraffic>(m_loop, *m_core, m_dialect,
                                                 *m_metrics, m_link);
    gateway::Route once;
    once.name = once.path_prefix = "/once/";
    once.host = "h";
    once.kind = gateway::RouteKind::kOnce;
    once.services = {{"plain", 1}};
    once.timeout = once.target = 60s;
    gateway::Route safe = once;
    safe.name = safe.path_prefix = "/safe/";
    safe.kind = gateway::RouteKind::kIdempotent;
    safe.attempts = 2;
    gateway::Route stream = once;
    stream.name = stream.path_prefix = "/stream/";
    stream.kind = gateway::RouteKind::kStream;
    gateway::Routes routes;
    routes.version = 1;
    routes.routes = {once, safe, stream};
    routes.services = {{"plain", 10, std::nullopt}};
    m_core->OnRoutes(
        std::make_shared<const gateway::RouteTable>(std::move(routes)), 1,
        m_loop.Now());
  }

  void LeavesBeforeItsAttemptConnects() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kShortBody);
    CPPUNIT_ASSERT_EQUAL(1, m_dialect.Attempts());
    caller->Leave();
    Turn();
    CPPUNIT_ASSERT(!endpoint.HasConnection());
    ExpectNothingOpen();
  }

  void LeavesBeforeItsEndpointAcceptsTheConnection() {
    http::TestListener endpoint(0);
    endpoint.Fill();
    Announce(endpoint);
    const size_t before = OpenDescriptors();
    const auto caller = Ask("/once/x", kShortBody);
    RunUntil([&] { return OpenDescriptors() == before + 1; });
    caller->Leave();
    // No attempt uses the connection any more.
    CPPUNIT_ASSERT_EQUAL(before, OpenDescriptors());
    const http::TestPeer other = endpoint.Accept();
    Turn();
    CPPUNIT_ASSERT(!endpoint.HasConnection());
    ExpectNothingOpen();
  }

  void LeavesWhileItsRequestIsPartlySent() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kLongBody);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    caller->Leave();
    ExpectResetBefore(peer, kLongBody);
  }

  void LeavesWhileItsRequestIsInTheKernelBuffer() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kHeldBody);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    caller->Leave();
    ExpectResetBefore(peer, kHeldBody);
  }

  void LeavesWhileItsRequestRuns() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kShortBody);
    const http::TestPeer peer = AcceptWith(endpoint, kShortBody);
    caller->Leave();
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
    ExpectNothingOpen();
  }

  void LeavesOnAReusedConnection() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto first = Ask("/once/x", 1);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    const size_t sent_first = peer.Waiting();
    peer.Send(
        "HTTP/1.1 200 OK\r\nx-id: caller-1\r\ncontent-length: 2\r\n\r\nok");
    RunUntil([&] { return first->Status() == 200; });
    const auto second = Ask("/once/x", kHeldBody);
    RunUntil([&] { return peer.Waiting() > sent_first; });
    Turn();
    CPPUNIT_ASSERT(!endpoint.HasConnection());
    second->Leave();
    ExpectResetBefore(peer, kHeldBody);
  }

  // The first attempt has failed; the second has been started and has no
  // connection yet.
  void LeavesBetweenTwoAttempts() {
    const std::array<http::TestListener, 2> endpoints{http::TestListener(1),
                                                      http::TestListener(1)};
    for (const http::TestListener& endpoint : endpoints) Announce(endpoint);
    const auto caller = Ask("/safe/x", kShortBody);
    RunUntil([&] {
      return endpoints[0].HasConnection() || endpoints[1].HasConnection();
    });
    const size_t first = endpoints[0].HasConnection() ? 0 : 1;
    AcceptWith(endpoints.at(first), kShortBody).Reset();
    RunUntil([this] { return m_dialect.Attempts() == 2; });
    caller->Leave();
    Turn();
    CPPUNIT_ASSERT(!endpoints.at(1 - first).HasConnection());
    ExpectNothingOpen();
  }

  void LeavesWhileItsStreamRuns() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    const auto caller = Ask("/stream/x", kShortBody);
    const http::TestPeer peer = AcceptWith(endpoint, kShortBody);
    peer.Send(kStreamBegin);
    RunUntil([&] { return !caller->Taken().empty(); });
    caller->Leave();
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
    ExpectNothingOpen();
  }

  // An endpoint may answer before it has read the whole request.
  void LeavesWhileItsStreamIsPausedWithHeldBytes() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto caller = Ask("/stream/x", kHeldBody);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    caller->SetBacklog(kLongBody);
    peer.Send(kStreamBegin);
    RunUntil([&] { return !caller->Taken().empty(); });
    Turn();
    caller->Leave();
    ExpectResetBefore(peer, kHeldBody);
  }

  // The attempt is cancelled while its response is being read.
  void ResponseToAnotherRequestDropsHeldBytes() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kHeldBody);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    peer.Send(kAnswerToAnother);
    RunUntil([&] { return caller->Status() != 0; });
    ExpectResetBefore(peer, kHeldBody);
  }

  // The line of a caller's disconnect is written once the endpoint's connection
  // has been reset, also that of a stream paused with held bytes.
  void LogSaysThatTheConnectionWasReset() {
    const telemetry::CapturedLog log(telemetry::LogLevel::kInfo);
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto caller = Ask("/stream/x", kHeldBody);
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    caller->SetBacklog(kLongBody);
    peer.Send(kStreamBegin);
    RunUntil([&] { return !caller->Taken().empty(); });
    Turn();
    caller->Leave();
    CPPUNIT_ASSERT(Contains(log, "\"outcome\":\"caller_gone\""));
    CPPUNIT_ASSERT(Contains(log, "\"reset\":\"done\""));
    ExpectResetBefore(peer, kHeldBody);
  }

  void LogNamesNoResetOfWhatWasNotHandedOver() {
    const telemetry::CapturedLog log(telemetry::LogLevel::kInfo);
    const http::TestListener endpoint(1);
    Announce(endpoint);
    const auto caller = Ask("/once/x", kShortBody);
    caller->Leave();
    CPPUNIT_ASSERT(Contains(log, "\"handed_over\":\"no\""));
    CPPUNIT_ASSERT(!Contains(log, "\"reset\""));
    ExpectNothingOpen();
  }

  void LeavesAtARealServer() {
    const http::TestListener endpoint(1, kSmallBuffer);
    Announce(endpoint);
    const auto server = http::MakeServer(
        m_loop, {}, [this](std::shared_ptr<http::Exchange> exchange) {
          m_traffic->Accept(std::move(exchange));
        });
    http::TestConnection caller(server->Port());
    caller.Send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(kShortBody) + "\r\n\r\n" +
                std::string(kShortBody, 'x'));
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    caller.Close();
    RunUntil([this] { return m_core->OpenRequests() == 0; });
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
    RunUntil([&] { return server->OpenConnections() == 0; });
  }

 private:
  void Announce(const http::TestListener& endpoint) {
    wire::EndpointRecordT record;
    record.id = "p" + std::to_string(endpoint.Port());
    record.sequence = 1;
    record.address = "127.0.0.1:" + std::to_string(endpoint.Port());
    record.data_centre = "dc";
    record.services = {"plain"};
    record.slots = 6;
    m_directory.OnRecord(record, m_loop.Now());
    m_core->OnEndpointsChanged(m_directory, m_loop.Now());
  }

  std::shared_ptr<FakeExchange> Ask(const std::string& path, size_t body) {
    auto exchange = std::make_shared<FakeExchange>(path, body);
    m_traffic->Accept(exchange);
    return exchange;
  }

  // The endpoint's side of the connection, once this many bytes have arrived.
  http::TestPeer AcceptWith(const http::TestListener& endpoint, size_t bytes) {
    RunUntil([&] { return endpoint.HasConnection(); });
    http::TestPeer peer = endpoint.Accept();
    RunUntil([&] { return peer.Waiting() >= bytes; });
    return peer;
  }

  static bool Contains(const telemetry::CapturedLog& log,
                       std::string_view part) {
    return log.Text().find(part) != std::string::npos;
  }

  void ExpectResetBefore(const http::TestPeer& peer, size_t body) {
    const http::TestPeer::End end = peer.ReadToEnd();
    CPPUNIT_ASSERT(end.reset);
    CPPUNIT_ASSERT(end.bytes < body);
    ExpectNothingOpen();
  }

  void ExpectNothingOpen() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_traffic->OpenResponses());
  }

  static size_t OpenDescriptors() {
    return static_cast<size_t>(std::distance(
        std::filesystem::directory_iterator("/proc/self/fd"), {}));
  }

  // Polls the loop without blocking, because the endpoints do not run on it.
  void RunUntil(const std::function<bool()>& condition) {
    const Instant begin = m_loop.Now();
    while (!condition()) {
      CPPUNIT_ASSERT(m_loop.Now() - begin < kGuard);
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
  }

  // Runs what is due, without waiting for further events.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  TestDialect m_dialect;
  directory::Directory m_directory;
  std::unique_ptr<telemetry::Metrics> m_metrics = telemetry::MakeMetrics();
  std::unique_ptr<gateway::FleetLoad> m_load;
  std::unique_ptr<gateway::HeldGrants> m_budgets;
  std::unique_ptr<gateway::RetryShare> m_retries;
  std::unique_ptr<gateway::Core> m_core;
  LinkGuard m_link{settings::Settings()};
  std::unique_ptr<GatewayTraffic> m_traffic;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTrafficTest);

}  // namespace
}  // namespace dotterelshift::app
