#include "process/slow_link.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/http/client.h"  // for MakeClient
#include "dotterelshift/http/server.h"  // for MakeServer
#include "support/run_until.h"          // for RunUntil

namespace dotterelshift::testing {
namespace {

constexpr double kRate = 1'000'000;  // bytes per second
constexpr size_t kBodySize = 100'000;

class SlowLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(CarriesCompleteRequestsAndResponses);
  CPPUNIT_TEST(DoesNotExceedItsRate);
  CPPUNIT_TEST(IsSharedByAllForwardersOfADirection);
  CPPUNIT_TEST(CloseArrivesAfterEarlierBytes);
  CPPUNIT_TEST(RefusedConnectionIsReset);
  CPPUNIT_TEST(ConnectionThatTimesOutBeforeOpeningSendsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    MakeLink(kRate, SlowLinkOptions().window);
    m_server = http::MakeServer(
        m_loop, {}, [this](const std::shared_ptr<http::Exchange>& exchange) {
          m_exchanges.push_back(exchange);
          exchange->OnGone([this] { ++m_gone; });
          if (m_responds)
            exchange->Answer(200, {}, exchange->GetRequest().body);
        });
    m_target = "127.0.0.1:" + std::to_string(m_server->Port());
  }
  void tearDown() override {
    m_exchanges.clear();
    m_client = http::MakeClient(m_loop);
    m_server.reset();
    m_link.reset();
  }

  void CarriesCompleteRequestsAndResponses() {
    const std::string forwarder =
        m_link->AddForwarder(m_target, LinkDirection::kIn, kHangGuard);
    Transfer first;
    Transfer second;
    Start(forwarder, kBodySize, first);
    Start(forwarder, 10, second);
    RunUntil(m_loop, "both", [&] { return first.ended && second.ended; });
    CPPUNIT_ASSERT(first.end == http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(kBodySize, first.body.size());
    CPPUNIT_ASSERT_EQUAL(std::string(10, 'x'), second.body);
  }

  void DoesNotExceedItsRate() {
    const std::string forwarder =
        m_link->AddForwarder(m_target, LinkDirection::kOut, kHangGuard);
    const Instant begin = m_loop.Now();
    Transfer transfer;
    Start(forwarder, kBodySize, transfer);
    RunUntil(m_loop, "the answer", [&] { return transfer.ended; });
    // The body passes the link in both directions.
    CPPUNIT_ASSERT(m_loop.Now() - begin >= 2 * TransferTime(kBodySize));
  }

  void IsSharedByAllForwardersOfADirection() {
    m_responds = false;
    const std::string one =
        m_link->AddForwarder(m_target, LinkDirection::kOut, kHangGuard);
    const std::string other =
        m_link->AddForwarder(m_target, LinkDirection::kOut, kHangGuard);
    const Instant begin = m_loop.Now();
    Transfer transfers[2];
    Start(one, kBodySize, transfers[0]);
    Start(other, kBodySize, transfers[1]);
    RunUntil(m_loop, "both", [&] { return m_exchanges.size() == 2; });
    CPPUNIT_ASSERT(m_loop.Now() - begin >= 2 * TransferTime(kBodySize));
  }

  void CloseArrivesAfterEarlierBytes() {
    m_responds = false;
    MakeLink(kRate / 10, kBodySize);
    const std::string forwarder =
        m_link->AddForwarder(m_target, LinkDirection::kIn, kHangGuard);
    Transfer leaver;
    const http::TransferId left = Start(forwarder, 10, leaver);
    RunUntil(m_loop, "a request", [&] { return m_exchanges.size() == 1; });
    Transfer other;
    Start(forwarder, 10, other);
    RunUntil(m_loop, "another", [&] { return m_exchanges.size() == 2; });
    Transfer filler;
    Start(forwarder, kBodySize, filler);
    RunUntil(m_loop, "a queue",
             [&] { return m_link->QueueDelay(LinkDirection::kIn) > 500ms; });
    const size_t before = m_events.size();
    m_client->Cancel(left);
    RunUntil(m_loop, "the close", [&] { return m_gone == 1; });
    size_t bytes = 0;
    for (size_t i = before; i < m_events.size(); ++i) {
      if (m_events[i].what == LinkEvent::What::kEnd) break;
      bytes += m_events[i].way == LinkDirection::kIn ? m_events[i].bytes : 0;
    }
    CPPUNIT_ASSERT(bytes > 0);
  }

  void RefusedConnectionIsReset() {
    m_server.reset();
    const std::string forwarder =
        m_link->AddForwarder(m_target, LinkDirection::kIn, kHangGuard);
    Transfer transfer;
    Start(forwarder, 10, transfer);
    RunUntil(m_loop, "the end", [&] { return transfer.ended; });
    CPPUNIT_ASSERT(transfer.end == http::TransferEnd::kFailedBeforeHead);
  }

  // The acceptance of the connection is queued behind the filler's bytes in the
  // same direction, so it arrives after the connect timeout.
  void ConnectionThatTimesOutBeforeOpeningSendsNothing() {
    m_responds = false;
    MakeLink(kRate / 10, kBodySize);
    const std::string into =
        m_link->AddForwarder(m_target, LinkDirection::kIn, kHangGuard);
    Transfer filler;
    Start(into, kBodySize, filler);
    RunUntil(m_loop, "a queue",
             [&] { return m_link->QueueDelay(LinkDirection::kIn) > 500ms; });
    const std::string out =
        m_link->AddForwarder(m_target, LinkDirection::kOut, 100ms);
    Transfer transfer;
    Start(out, 10, transfer);
    RunUntil(m_loop, "the end", [&] { return transfer.ended; });
    CPPUNIT_ASSERT(transfer.end == http::TransferEnd::kFailedBeforeHead);
    RunUntil(m_loop, "the filler", [&] { return !m_exchanges.empty(); });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_exchanges.size());
    CPPUNIT_ASSERT_EQUAL(kBodySize, m_exchanges[0]->GetRequest().body.size());
  }

 private:
  struct Transfer {
    std::string body;
    bool ended = false;
    http::TransferEnd end = http::TransferEnd::kNotSent;
  };

  void MakeLink(double rate, size_t window) {
    SlowLinkOptions options;
    options.bytes_per_second = rate;
    options.window = window;
    options.on_event = [this](const LinkEvent& event) {
      m_events.push_back(event);
    };
    m_link = MakeSlowLink(m_loop, options);
  }

  static Duration TransferTime(size_t bytes) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / kRate));
  }

  http::TransferId Start(const std::string& forwarder, size_t body,
                         Transfer& transfer) {
    http::ClientRequest request;
    request.url = "http://" + forwarder + "/";
    request.body.assign(body, 'x');
    http::TransferCallbacks callbacks;
    callbacks.on_chunk = [&transfer](std::string_view chunk) {
      transfer.body += chunk;
      return true;
    };
    callbacks.on_end = [&transfer](http::TransferEnd end) {
      transfer.ended = true;
      transfer.end = end;
    };
    return m_client->Start(std::move(request), std::move(callbacks));
  }

  loop::Loop m_loop;
  std::vector<LinkEvent> m_events;
  bool m_responds = true;
  int m_gone = 0;
  std::string m_target;
  std::vector<std::shared_ptr<http::Exchange>> m_exchanges;
  std::unique_ptr<SlowLink> m_link;
  std::unique_ptr<http::Server> m_server;
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);

}  // namespace
}  // namespace dotterelshift::testing
