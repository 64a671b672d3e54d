// Requests that were received in full and end without a complete response are
// reported once, with their cause.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/http/server.h"           // for MakeServer
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/loop/loop.h"             // for Loop

namespace dotterelshift::http {
namespace {

// Far above the time of an event on loopback, far below the server's timeout.
constexpr Duration kGuard = 10s;
constexpr Duration kServerTimeout = std::chrono::hours(1);

// Receive buffer of a caller that does not read, and a response far larger than
// the kernel's buffers on both sides.
constexpr int kSmallBuffer = 4 << 10;
constexpr size_t kLongResponse = 16 << 20;

std::string Whole() {
  return "POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
}

class UnansweredTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnansweredTest);
  CPPUNIT_TEST(CallerClosesWhileTheResponseIsPending);
  CPPUNIT_TEST(CallerResetsWithinItsResponse);
  CPPUNIT_TEST(CallerStopsReadingItsResponse);
  CPPUNIT_TEST(HandlerAborts);
  CPPUNIT_TEST(ServerIsDestroyed);
  CPPUNIT_TEST(CompleteResponsesAreNotReported);
  CPPUNIT_TEST(IncompleteRequestsAreNotReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Serve(kServerTimeout); }

  void CallerClosesWhileTheResponseIsPending() {
    TestConnection caller = Ask();
    caller.Close();
    ExpectOne(UnansweredCause::kCallerClosed, true);
  }

  void CallerResetsWithinItsResponse() {
    TestConnection caller = Ask();
    m_kept.at(0)->Answer(200, {}, std::string(kLongResponse, 'x'));
    RunUntil([&caller] { return caller.Waiting() > 0; });
    caller.Reset();
    ExpectOne(UnansweredCause::kCallerClosed, true);
  }

  // The library's timeout is in whole seconds.
  void CallerStopsReadingItsResponse() {
    Serve(30ms);
    TestConnection caller = Ask();
    m_kept.at(0)->Answer(200, {}, std::string(kLongResponse, 'x'));
    ExpectOne(UnansweredCause::kCallerStalled, true);
  }

  void HandlerAborts() {
    TestConnection caller = Ask();
    m_kept.at(0)->SendHead(200, {});
    m_kept.at(0)->WriteChunk("part");
    m_kept.at(0)->Abort();
    ExpectOne(UnansweredCause::kAborted, true);
  }

  void ServerIsDestroyed() {
    TestConnection caller = Ask();
    m_server.reset();
    ExpectOne(UnansweredCause::kOwnShutdown, true);
  }

  void CompleteResponsesAreNotReported() {
    TestConnection caller = Ask();
    m_kept.at(0)->Answer(200, {}, "whole");
    RunUntil([&caller] {
      caller.Receive();
      return caller.Has("whole");
    });
    caller.Close();
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_reports.size());
  }

  void IncompleteRequestsAreNotReported() {
    TestConnection caller(m_server->Port());
    caller.Send("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
    RunUntil([this] { return m_server->OpenExchanges() == 1; });
    caller.Close();
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_reports.size());
  }

 private:
  struct Report {
    std::string path;
    UnansweredCause cause;
    bool handed_over;
  };

  void Serve(Duration receive_timeout) {
    m_server =
        MakeServer(m_loop,
                   {.receive_timeout = receive_timeout,
                    .on_unanswered =
                        [this](const Unanswered& what) {
                          m_reports.push_back({what.request.path, what.cause,
                                               what.handed_over});
                        }},
                   [this](std::shared_ptr<Exchange> exchange) {
                     m_kept.push_back(std::move(exchange));
                   });
  }

  // A caller whose request has been handed over.
  TestConnection Ask() {
    TestConnection caller(m_server->Port(), kSmallBuffer);
    caller.Send(Whole());
    RunUntil([this] { return m_kept.size() == 1; });
    return caller;
  }

  void ExpectOne(UnansweredCause cause, bool handed_over) {
    RunUntil([this] { return !m_reports.empty(); });
    if (m_server) RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_reports.size());
    const Report& report = m_reports.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string(NameOf(cause)),
                         std::string(NameOf(report.cause)));
    CPPUNIT_ASSERT_EQUAL(handed_over, report.handed_over);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/x"), report.path);
  }

  // Runs the loop without blocking, because the callers' sockets are not on it.
  void RunUntil(const std::function<bool()>& condition) {
    const Instant begin = m_loop.Now();
    while (!condition()) {
      CPPUNIT_ASSERT(m_loop.Now() - begin < kGuard);
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
  }

  loop::Loop m_loop;
  std::vector<Report> m_reports;
  std::vector<std::shared_ptr<Exchange>> m_kept;
  std::unique_ptr<Server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnansweredTest);

}  // namespace
}  // namespace dotterelshift::http
