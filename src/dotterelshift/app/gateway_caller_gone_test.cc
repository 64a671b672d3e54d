// Callers of a real server disconnect while the entry's loop does not run. Its
// next iteration must detect that and reset the endpoint's connection, and no
// request may reach an endpoint afterwards.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <array>        // for array
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move
#include <vector>       // for vector

#include "dotterelshift/app/gateway_traffic_testing.h"  // for GatewayTrafficFixture
#include "dotterelshift/http/test_connection.h"         // for TestConnection
#include "dotterelshift/http/test_listener.h"           // for TestListener

namespace dotterelshift::app {
namespace {

// More callers than one epoll_wait() call returns.
constexpr int kManyCallers = 300;

// Far more than the kernel's buffers on the way from an endpoint to a caller.
constexpr size_t kLongStream = 64 << 20;

constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nx-id: caller-1\r\ncontent-length: 2\r\n\r\nok";

std::string RequestTo(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
}

std::string StreamOf(size_t bytes) {
  std::string stream =
      "HTTP/1.1 200 OK\r\nx-id: caller-1\r\n"
      "content-type: text/event-stream\r\ncontent-length: " +
      std::to_string(2 * bytes) + "\r\n\r\n";
  const std::string event = "data: " + std::string(1000, 'a') + "\n\n";
  while (stream.size() < bytes) stream += event;
  return stream;
}

class GatewayCallerGoneTest : public GatewayTrafficFixture {
  CPPUNIT_TEST_SUITE(GatewayCallerGoneTest);
  CPPUNIT_TEST(ManyBeforeTheirConnectionsAreAccepted);
  CPPUNIT_TEST(WhileItsRequestRuns);
  CPPUNIT_TEST(WhileItsStreamIsPaused);
  CPPUNIT_TEST(WithAPipelinedRequest);
  CPPUNIT_TEST(TogetherWithTheResponseBeforeAPipelinedRequest);
  CPPUNIT_TEST(TogetherWithTheEndOfItsFirstAttempt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    GatewayTrafficFixture::setUp();
    m_server = http::MakeServer(
        m_loop, {}, [this](std::shared_ptr<http::Exchange> exchange) {
          m_traffic->Accept(std::move(exchange));
        });
  }

  void ManyBeforeTheirConnectionsAreAccepted() {
    const http::TestListener endpoint(kManyCallers);
    Announce(endpoint);
    std::vector<http::TestConnection> callers;
    for (int i = 0; i < kManyCallers; ++i) {
      callers.emplace_back(m_server->Port());
      callers.back().Send(RequestTo("/once/x"));
    }
    for (http::TestConnection& caller : callers) caller.HalfClose();
    for (const http::TestConnection& caller : callers) AwaitArrival(caller);
    RunUntil([this] { return m_server->OpenConnections() > 0; });
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    Turn();
    CPPUNIT_ASSERT_EQUAL(0, CountConnections(endpoint));
    ExpectNothingOpen();
  }

  void WhileItsRequestRuns() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    http::TestConnection caller(m_server->Port());
    caller.Send(RequestTo("/once/x"));
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    LeaveInOneTurn(caller);
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
  }

  // Neither the caller nor the entry reads any more, so that no failed write
  // can reveal the disconnect.
  void WhileItsStreamIsPaused() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    http::TestConnection caller(m_server->Port(), kSmallBuffer);
    caller.Send(RequestTo("/stream/x"));
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    SendUntilBlocked(peer, StreamOf(kLongStream));
    LeaveInOneTurn(caller);
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
  }

  void WithAPipelinedRequest() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    http::TestConnection caller(m_server->Port());
    caller.Send(RequestTo("/once/x") + RequestTo("/once/y"));
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    LeaveInOneTurn(caller);
    CPPUNIT_ASSERT(peer.ReadToEnd().reset);
    Turn();
    CPPUNIT_ASSERT(!endpoint.HasConnection());
  }

  // The first response would make the server read the second request.
  void TogetherWithTheResponseBeforeAPipelinedRequest() {
    const http::TestListener endpoint(1);
    Announce(endpoint);
    http::TestConnection caller(m_server->Port());
    caller.Send(RequestTo("/once/x") + RequestTo("/once/y"));
    const http::TestPeer peer = AcceptWith(endpoint, 1);
    Turn();
    const size_t first_request = peer.Waiting();
    peer.Send(kResponse);
    LeaveInOneTurn(caller);
    Turn();
    CPPUNIT_ASSERT_EQUAL(first_request, peer.Waiting());
    CPPUNIT_ASSERT(!endpoint.HasConnection());
  }

  // The end of the first attempt would start a second one.
  void TogetherWithTheEndOfItsFirstAttempt() {
    const std::array<http::TestListener, 2> endpoints{http::TestListener(1),
                                                      http::TestListener(1)};
    for (const http::TestListener& endpoint : endpoints) Announce(endpoint);
    http::TestConnection caller(m_server->Port());
    caller.Send(RequestTo("/safe/x"));
    RunUntil([&] {
      return endpoints[0].HasConnection() || endpoints[1].HasConnection();
    });
    const size_t first = endpoints[0].HasConnection() ? 0 : 1;
    AcceptWith(endpoints.at(first), 1).Reset();
    LeaveInOneTurn(caller);
    Turn();
    for (const http::TestListener& endpoint : endpoints)
      CPPUNIT_ASSERT(!endpoint.HasConnection());
  }

 private:
  // Returns once the entry's system has received the caller's half-close.
  static void AwaitArrival(const http::TestConnection& caller) {
    constexpr int kMaxPolls = 10'000'000;
    for (int i = 0; !caller.HalfCloseArrived(); ++i)
      CPPUNIT_ASSERT(i < kMaxPolls);
  }

  void LeaveInOneTurn(http::TestConnection& caller) {
    caller.HalfClose();
    AwaitArrival(caller);
    ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    ExpectNothingOpen();
  }

  static int CountConnections(const http::TestListener& endpoint) {
    int connections = 0;
    for (; endpoint.HasConnection(); ++connections) endpoint.Accept();
    return connections;
  }

  void SendUntilBlocked(const http::TestPeer& peer, std::string_view bytes) {
    size_t sent = 0;
    size_t before = 0;
    do {
      before = sent;
      sent += peer.SendSome(bytes.substr(sent));
      Turn();
    } while (sent > before);
    CPPUNIT_ASSERT(sent < bytes.size());
  }

  std::unique_ptr<http::Server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayCallerGoneTest);

}  // namespace
}  // namespace dotterelshift::app
