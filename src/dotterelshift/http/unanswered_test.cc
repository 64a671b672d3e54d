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
constexpr Duration kShortTimeout = 30ms;
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
  CPPUNIT_TEST(CloseIdleServesARequestThatHasArrived);
  CPPUNIT_TEST(ReceiveDeadlineServesARequestThatHasArrived);
  CPPUNIT_TEST(ReceiveDeadlineWithinARequestRefusesIt);
  CPPUNIT_TEST(RequestOfACallerThatClosedFirstIsRefused);
  CPPUNIT_TEST(IdleConnectionStaysOpenForTheTimeSet);
  CPPUNIT_TEST(RaisedTimeAppliesToIdleConnections);
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

  // The request lies in the socket's buffer when the connection, idle until
  // then, is to be closed.
  void CloseIdleServesARequestThatHasArrived() {
    TestConnection caller = KeepIdle();
    caller.Send(Whole());
    RunUntilArrived(caller);
    m_server->CloseIdle();
    ExpectServedAndClosed(caller);
  }

  // The same at the receive deadline, after which the loop runs late.
  void ReceiveDeadlineServesARequestThatHasArrived() {
    Serve(kShortTimeout);
    TestConnection caller = KeepIdle();
    caller.Send(Whole());
    RunUntilArrived(caller);
    HoldUpUntilDeadline();
    ExpectServed(caller);
  }

  // A request whose head was begun, and whose end arrives while the loop is
  // held up past the deadline, gets the refusal of a slow caller.
  void ReceiveDeadlineWithinARequestRefusesIt() {
    Serve(kShortTimeout);
    TestConnection caller(m_server->Port());
    caller.Send("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
    RunUntil([this] { return m_server->OpenExchanges() == 1; });
    caller.Send("body");
    RunUntilArrived(caller);
    HoldUpUntilDeadline();
    RunUntilClosed(caller);
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT(caller.Has("HTTP/1.1 408") || m_kept.size() == 1);
    CPPUNIT_ASSERT(!caller.Has("HTTP/1.1 408") || m_kept.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_reports.size());
  }

  // An incomplete head of another caller, begun later, reaches its deadline
  // first.
  void IdleConnectionStaysOpenForTheTimeSet() {
    Serve(kShortTimeout);
    m_server->SetCallerTimes({.head = kShortTimeout, .idle = kServerTimeout});
    TestConnection caller = KeepIdle();
    RunUntilLaterHeadTimesOut();
    caller.Receive();
    CPPUNIT_ASSERT(!caller.Closed());
    caller.Send(Whole());
    ExpectServed(caller);
  }

  void RaisedTimeAppliesToIdleConnections() {
    Serve(kShortTimeout);
    TestConnection caller = KeepIdle();
    m_server->SetCallerTimes({.head = kShortTimeout, .idle = kServerTimeout});
    RunUntilLaterHeadTimesOut();
    caller.Receive();
    CPPUNIT_ASSERT(!caller.Closed());
    caller.Send(Whole());
    ExpectServed(caller);
  }

  // The end of the request is received together with the caller's close. A
  // caller that has closed only its sending side learns that nothing ran.
  void RequestOfACallerThatClosedFirstIsRefused() {
    TestConnection caller(m_server->Port());
    caller.Send("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
    RunUntil([this] { return m_server->OpenExchanges() == 1; });
    caller.Send("body");
    caller.HalfClose();
    RunUntil([&caller] { return caller.HalfCloseArrived(); }, false);
    RunUntilClosed(caller);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_kept.size());
    ExpectOne(UnansweredCause::kCallerClosedFirst, false);
    CPPUNIT_ASSERT(caller.Has("HTTP/1.1 503"));
    CPPUNIT_ASSERT(caller.Has("Dotterelshift-Ran: no"));
    CPPUNIT_ASSERT(caller.Has("Connection: close"));
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

  // A caller that keeps its connection after the response to its request.
  TestConnection KeepIdle() {
    TestConnection caller = Ask();
    m_kept.at(0)->Answer(200, {}, "first");
    RunUntil([&] {
      caller.Receive();
      return caller.Has("first") && m_server->OpenExchanges() == 0;
    });
    Turn();
    return caller;
  }

  // Processes pending events without blocking.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  // Waits without running the server.
  void RunUntilArrived(const TestConnection& caller) {
    RunUntil([&caller] { return caller.AllArrived(); }, false);
  }

  void RunUntilLaterHeadTimesOut() {
    TestConnection slow(m_server->Port());
    slow.Send("POST /v1/x HTTP/1.1\r\n");
    RunUntilClosed(slow);
    CPPUNIT_ASSERT(slow.Has("HTTP/1.1 408"));
  }

  void HoldUpUntilDeadline() {
    const Instant end = std::chrono::steady_clock::now() + 2 * kShortTimeout;
    while (std::chrono::steady_clock::now() < end) continue;
  }

  void ExpectServed(TestConnection& caller) {
    RunUntil([&] {
      caller.Receive();
      return m_kept.size() == 2 || caller.Closed();
    });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_kept.size());
    m_kept.at(1)->Answer(200, {}, "second");
    RunUntil([&caller] {
      caller.Receive();
      return caller.Has("second") || caller.Closed();
    });
    CPPUNIT_ASSERT(caller.Has("second"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_reports.size());
  }

  void ExpectServedAndClosed(TestConnection& caller) {
    ExpectServed(caller);
    CPPUNIT_ASSERT(caller.Has("Connection: close"));
    RunUntilClosed(caller);
  }

  void RunUntilClosed(TestConnection& caller) {
    RunUntil([&caller] {
      caller.Receive();
      return caller.Closed();
    });
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
  // `serving`: whether the server runs meanwhile.
  void RunUntil(const std::function<bool()>& condition, bool serving = true) {
    const Instant begin = std::chrono::steady_clock::now();
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < kGuard);
      if (serving) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
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
