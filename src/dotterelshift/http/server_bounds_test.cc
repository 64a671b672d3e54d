#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/callers/front.h"         // for ServerRefusalResponse
#include "dotterelshift/http/server.h"           // for MakeServer
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/loop/loop.h"             // for Loop

namespace dotterelshift::http {
namespace {

constexpr size_t kMaxBody = 1000;

// What a caller sends, and the texts that the response must contain. The server
// closes the connection in each case.
struct Row {
  std::string name;
  std::string sent;
  std::vector<std::string> answer;
};

std::string Head(const std::string& more) {
  return "POST /v1/x HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

std::vector<Row> Rows() {
  const std::string not_run = "Dotterelshift-Ran: no";
  return {
      {"nothing sent", "", {}},
      {"incomplete head",
       "POST /v1/x HTTP/1.1\r\nHost: h\r\n",
       {"HTTP/1.1 408", not_run, "Retry-After: 1", "\"slow_caller\""}},
      {"incomplete body",
       Head("Content-Length: 10\r\n") + "half",
       {"HTTP/1.1 408", not_run, "Retry-After: 1", "\"slow_caller\""}},
      {"body over the limit",
       Head("Content-Length: 1001\r\n"),
       {"HTTP/1.1 413", not_run, "\"body_too_large\""}},
      {"chunked body over the limit",
       Head("Transfer-Encoding: chunked\r\nConnection: close\r\n") + "5dc\r\n" +
           std::string(1500, 'x') + "\r\n0\r\n\r\n",
       {"HTTP/1.1 413", not_run, "\"body_too_large\""}},
      {"chunked body without end",
       Head("Transfer-Encoding: chunked\r\n") + "ffff\r\n" +
           std::string(0xffff, 'x'),
       {}},
      {"head over the limit",
       Head("X-Long: " + std::string(5000, 'x') + "\r\nConnection: close\r\n"),
       {"HTTP/1.1 400", not_run, "\"bad_header\""}},
      {"head over the library's memory",
       Head("X-Long: " + std::string(40000, 'x') + "\r\n"),
       {"HTTP/1.1 4"}},
      {"not HTTP", "what is this\r\n\r\n", {}},
  };
}

class ServerBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerBoundsTest);
  CPPUNIT_TEST(RequestsOverALimitAreRefused);
  CPPUNIT_TEST(SlowCallerIsDisconnected);
  CPPUNIT_TEST(ConnectionsOverTheLimitGetARefusalResponse);
  CPPUNIT_TEST(CallerClosingBeforeItsResponseIsDetected);
  CPPUNIT_TEST(SequentialRequestsOnOneConnection);
  CPPUNIT_TEST(StopAcceptingKeepsOpenExchanges);
  CPPUNIT_TEST(StoppedListenerRefusesAndResumesOnItsPort);
  CPPUNIT_TEST(RejectedConnectionIsClosedUnread);
  CPPUNIT_TEST(ReportsConnectionsUntilTheirFirstRequest);
  CPPUNIT_TEST(CloseIdleClosesOnlyKeepAliveConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsOverALimitAreRefused() {
    Serve(16, 30ms);
    for (const Row& row : Rows()) {
      TestConnection caller(m_server->Port());
      caller.Send(row.sent);
      RunUntilClosed(caller);
      for (const std::string& text : row.answer) {
        CPPUNIT_ASSERT_MESSAGE(row.name + ": " + caller.Received(),
                               caller.Has(text));
      }
      if (row.answer.empty()) {
        CPPUNIT_ASSERT_MESSAGE(row.name, !caller.Has("HTTP/1.1 200"));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0, m_handled);
    }
    RunUntil([this] { return m_server->OpenExchanges() == 0; });
  }

  void SlowCallerIsDisconnected() {
    Serve(16, 30ms);
    TestConnection caller(m_server->Port());
    caller.Send("POST /v1/x HTTP/1.1\r\nX-Long: ");
    RunUntil([&caller] {
      caller.Send("x");
      caller.Receive();
      return caller.Closed();
    });
    CPPUNIT_ASSERT_EQUAL(0, m_handled);
  }

  void ConnectionsOverTheLimitGetARefusalResponse() {
    Serve(2, 10s);
    m_keep = true;
    TestConnection first(m_server->Port());
    TestConnection second(m_server->Port());
    first.Send(Head("Content-Length: 0\r\n"));
    second.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 2; });
    TestConnection third(m_server->Port());
    third.Send(Head("Content-Length: 0\r\n"));
    RunUntilClosed(third);
    CPPUNIT_ASSERT(third.Has("HTTP/1.1 503"));
    CPPUNIT_ASSERT(third.Has("\"too_many_connections\""));
    CPPUNIT_ASSERT(third.Has("Retry-After: 1"));
    CPPUNIT_ASSERT_EQUAL(2, m_handled);
    first.Close();
    RunUntil([this] { return m_server->OpenExchanges() == 1; });
    TestConnection fourth(m_server->Port());
    fourth.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 3; });
  }

  void CallerClosingBeforeItsResponseIsDetected() {
    Serve(16, 10s);
    m_keep = true;
    TestConnection caller(m_server->Port());
    // Bytes after the request must not hide the disconnect.
    caller.Send(Head("Content-Length: 0\r\n") + "POST /next HTTP/1.1\r\n");
    RunUntil([this] { return m_handled == 1; });
    CPPUNIT_ASSERT_EQUAL(0, m_gone);
    caller.Close();
    RunUntil([this] { return m_gone == 1; });
    RunUntil([this] { return m_server->OpenExchanges() == 0; });
  }

  void SequentialRequestsOnOneConnection() {
    Serve(16, 10s);
    TestConnection caller(m_server->Port());
    caller.Send(Head("Content-Length: 0\r\n") + Head("Content-Length: 0\r\n"));
    RunUntil([&] {
      caller.Receive();
      return m_handled == 2 && m_server->OpenExchanges() == 0;
    });
    CPPUNIT_ASSERT(!caller.Closed());
  }

  void StopAcceptingKeepsOpenExchanges() {
    Serve(16, 10s);
    m_keep = true;
    TestConnection caller(m_server->Port());
    caller.Send(Head("Content-Length: 0\r\nConnection: close\r\n"));
    RunUntil([this] { return m_handled == 1; });
    const uint16_t port = m_server->Port();
    m_server->StopAccepting();
    TestConnection late(port);
    late.Send("x");
    late.Receive();
    CPPUNIT_ASSERT(late.Closed());
    m_kept.at(0)->Answer(200, {}, "still here");
    RunUntilClosed(caller);
    CPPUNIT_ASSERT(caller.Has("still here"));
  }

  // Callers must not be left waiting for an entry that does not accept them.
  void StoppedListenerRefusesAndResumesOnItsPort() {
    Serve(16, 10s);
    const uint16_t port = m_server->Port();
    for (int i = 0; i < 3; ++i) {
      m_server->StopAccepting();
      TestConnection refused(port);
      refused.Send(Head("Content-Length: 0\r\n"));
      CPPUNIT_ASSERT(refused.Closed());
      CPPUNIT_ASSERT(m_server->ResumeAccepting());
      CPPUNIT_ASSERT_EQUAL(port, m_server->Port());
      TestConnection caller(port);
      caller.Send(Head("Content-Length: 0\r\n"));
      RunUntil([&] { return m_handled == i + 1; });
    }
  }

  void RejectedConnectionIsClosedUnread() {
    Serve(16, 10s);
    m_server->SetRejectConnections(true);
    TestConnection caller(m_server->Port());
    caller.Send(Head("Content-Length: 0\r\n"));
    RunUntilClosed(caller);
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.Received());
    CPPUNIT_ASSERT_EQUAL(1, m_rejected);
    m_server->SetRejectConnections(false);
    TestConnection next(m_server->Port());
    next.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 1; });
  }

  void ReportsConnectionsUntilTheirFirstRequest() {
    Serve(16, 10s);
    TestConnection silent(m_server->Port());
    RunUntil([this] { return m_accepted == 1; });
    silent.Close();
    RunUntil([this] { return m_closed_unused == 1; });
    TestConnection caller(m_server->Port());
    caller.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 1; });
    CPPUNIT_ASSERT_EQUAL(2, m_accepted);
    caller.Close();
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(1, m_closed_unused);
  }

  // A connection with a request or response in progress is not closed.
  void CloseIdleClosesOnlyKeepAliveConnections() {
    Serve(16, 10s);
    TestConnection idle(m_server->Port());
    idle.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 1; });
    m_keep = true;
    TestConnection unspoken(m_server->Port());
    TestConnection sending(m_server->Port());
    sending.Send("POST /v1/x HTTP/1.1\r\nHost: h\r\n");
    TestConnection waiting(m_server->Port());
    waiting.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 2 && m_accepted == 4; });
    RunUntil([&idle] {
      idle.Receive();
      return idle.Has("ok");
    });
    m_server->CloseIdle();
    RunUntilClosed(idle);
    sending.Send("Content-Length: 0\r\n\r\n");
    unspoken.Send(Head("Content-Length: 0\r\n"));
    RunUntil([this] { return m_handled == 4; });
    m_kept.at(1)->Answer(200, {}, "whole");
    RunUntil([&waiting] {
      waiting.Receive();
      return waiting.Has("whole");
    });
  }

 private:
  void Serve(size_t max_connections, Duration receive_timeout) {
    m_server = MakeServer(m_loop,
                          {.max_body_bytes = kMaxBody,
                           .max_connections = max_connections,
                           .receive_timeout = receive_timeout,
                           .refusal = callers::ServerRefusalResponse,
                           .connections = Reports()},
                          [this](std::shared_ptr<Exchange> exchange) {
                            ++m_handled;
                            exchange->OnGone([this] { ++m_gone; });
                            if (!m_keep) exchange->Answer(200, {}, "ok");
                            m_kept.push_back(std::move(exchange));
                          });
  }

  ConnectionCallbacks Reports() {
    return {[this] { ++m_accepted; }, [this] { ++m_rejected; },
            [this] { ++m_closed_unused; }};
  }

  // Runs the loop without blocking, because the callers' sockets are not on it.
  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  void RunUntilClosed(TestConnection& caller) {
    while (!caller.Closed()) {
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
      caller.Receive();
    }
  }

  loop::Loop m_loop;
  bool m_keep = false;
  int m_handled = 0;
  int m_gone = 0;
  int m_accepted = 0;
  int m_rejected = 0;
  int m_closed_unused = 0;
  std::vector<std::shared_ptr<Exchange>> m_kept;
  std::unique_ptr<Server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerBoundsTest);

}  // namespace
}  // namespace dotterelshift::http
