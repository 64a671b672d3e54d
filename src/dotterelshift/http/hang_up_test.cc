// Callers disconnect in each phase of their request. The server must detect it
// from the connection at once, not by a timeout or a failed write.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <array>       // for array
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/http/server.h"           // for MakeServer
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/loop/loop.h"             // for Loop

namespace dotterelshift::http {
namespace {

// Far above the time of an event on loopback, far below the server's timeout.
constexpr Duration kGuard = 10s;
constexpr Duration kServerTimeout = std::chrono::hours(1);

// Receive buffer of a caller that does not read, and a stream far larger than
// the kernel's buffers on both sides.
constexpr int kSmallBuffer = 4 << 10;
constexpr size_t kLongStream = 16 << 20;

// More callers than one epoll_wait() call returns.
constexpr int kManyCallers = 300;

enum class CloseMode { kClose, kReset, kHalfClose };
constexpr std::array kCloseModes = {CloseMode::kClose, CloseMode::kReset,
                                    CloseMode::kHalfClose};

std::string NameOf(CloseMode mode) {
  constexpr std::array kNames = {"close", "reset", "half-close"};
  return kNames.at(static_cast<size_t>(mode));
}

std::string Head(const std::string& more) {
  return "POST /v1/x HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

std::string Whole() { return Head("Content-Length: 0\r\n"); }

class HangUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HangUpTest);
  CPPUNIT_TEST(BeforeSendingAnyByte);
  CPPUNIT_TEST(WithPartOfTheHeadReceived);
  CPPUNIT_TEST(WithPartOfTheBodyReceived);
  CPPUNIT_TEST(TogetherWithTheLastByte);
  CPPUNIT_TEST(WhileTheResponseIsPending);
  CPPUNIT_TEST(OnAReusedConnectionWhileTheResponseIsPending);
  CPPUNIT_TEST(AfterTheResponseHeadOfAStream);
  CPPUNIT_TEST(WithAnUnreadBacklog);
  CPPUNIT_TEST(WithAPipelinedRequest);
  CPPUNIT_TEST(BetweenAResponseAndThePipelinedRequest);
  CPPUNIT_TEST(ManyAtOnce);
  CPPUNIT_TEST(ManyAtOnceAreReportedInOneTurn);
  CPPUNIT_TEST(ManyBeforeTheirConnectionsAreAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BeforeSendingAnyByte() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      RunUntil([this] { return m_server->OpenConnections() == 1; });
      HangUp(caller, mode);
      ExpectAllEnded(0, 0);
    });
  }

  void WithPartOfTheHeadReceived() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send("POST /v1/x HTTP/1.1\r\nHost: h\r\n");
      RunUntil([this] { return m_server->OpenConnections() == 1; });
      Turn();
      HangUp(caller, mode);
      ExpectAllEnded(0, 0);
    });
  }

  void WithPartOfTheBodyReceived() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Head("Content-Length: 10\r\n") + "half");
      RunUntil([this] { return m_server->OpenExchanges() == 1; });
      HangUp(caller, mode);
      ExpectAllEnded(0, 0);
    });
  }

  // The server sees the complete request and the disconnect together. The
  // request is either not handed over, or its caller is reported as gone.
  void TogetherWithTheLastByte() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Head("Content-Length: 10\r\n") + "half");
      RunUntil([this] { return m_server->OpenExchanges() == 1; });
      caller.Send("<whole");
      HangUp(caller, mode);
      RunUntil([this] { return m_server->OpenConnections() == 0; });
      CPPUNIT_ASSERT_EQUAL(m_handled, m_gone);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, m_server->OpenExchanges());
    });
  }

  void WhileTheResponseIsPending() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Whole());
      RunUntil([this] { return m_handled == 1; });
      HangUp(caller, mode);
      ExpectAllEnded(1, 1);
    });
  }

  void OnAReusedConnectionWhileTheResponseIsPending() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Whole());
      RunUntil([this] { return m_handled == 1; });
      m_kept.at(0)->Answer(200, {}, "first");
      RunUntil([&caller] {
        caller.Receive();
        return caller.Has("first");
      });
      caller.Send(Whole());
      RunUntil([this] { return m_handled == 2; });
      HangUp(caller, mode);
      ExpectAllEnded(2, 1);
    });
  }

  void AfterTheResponseHeadOfAStream() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Whole());
      RunUntil([this] { return m_handled == 1; });
      m_kept.at(0)->SendHead(200, {});
      RunUntil([&caller] {
        caller.Receive();
        return caller.Has("HTTP/1.1 200");
      });
      HangUp(caller, mode);
      ExpectAllEnded(1, 1);
    });
  }

  // The kernel's buffers are full, so no failed write can reveal the
  // disconnect.
  void WithAnUnreadBacklog() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port(), kSmallBuffer);
      caller.Send(Whole());
      RunUntil([this] { return m_handled == 1; });
      m_kept.at(0)->SendHead(200, {});
      m_kept.at(0)->WriteChunk(std::string(kLongStream, 'x'));
      RunUntilBacklogIsStable();
      HangUp(caller, mode);
      RunUntil([this] { return m_gone == 1; });
      // A caller that has closed only its sending side keeps the connection
      // open.
      caller.Close();
      ExpectAllEnded(1, 1);
    });
  }

  void WithAPipelinedRequest() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Whole() + Whole());
      RunUntil([this] { return m_handled == 1; });
      HangUp(caller, mode);
      ExpectAllEnded(1, 1);
    });
  }

  // The first response is ready when the caller disconnects. The second
  // request, already read, is either not handed over, or its caller is reported
  // as gone.
  void BetweenAResponseAndThePipelinedRequest() {
    ForEachCloseMode([this](CloseMode mode) {
      TestConnection caller(m_server->Port());
      caller.Send(Whole() + Whole());
      RunUntil([this] { return m_handled == 1; });
      m_kept.at(0)->OnGone(nullptr);
      m_kept.at(0)->Answer(200, {}, "first");
      HangUp(caller, mode);
      RunUntil([this] { return m_server->OpenConnections() == 0; });
      CPPUNIT_ASSERT_EQUAL(m_handled - 1, m_gone);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, m_server->OpenExchanges());
    });
  }

  void ManyAtOnce() {
    ForEachCloseMode([this](CloseMode mode) {
      std::vector<TestConnection> callers = MakeManyCallers();
      RunUntil([this] { return m_handled == kManyCallers; });
      for (TestConnection& caller : callers) HangUp(caller, mode);
      ExpectAllEnded(kManyCallers, kManyCallers);
    });
  }

  // No disconnect waits for a later iteration of the loop, because one of a
  // busy loop can last 100 ms.
  void ManyAtOnceAreReportedInOneTurn() {
    Serve();
    std::vector<TestConnection> callers = MakeManyCallers();
    RunUntil([this] { return m_handled == kManyCallers; });
    HalfCloseAll(callers);
    ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    CPPUNIT_ASSERT_EQUAL(kManyCallers, m_gone);
    ExpectAllEnded(kManyCallers, kManyCallers);
  }

  // The requests are complete and their callers gone before the server runs. A
  // request that is handed over is reported as gone by the end of the next
  // iteration.
  void ManyBeforeTheirConnectionsAreAccepted() {
    Serve();
    std::vector<TestConnection> callers = MakeManyCallers();
    HalfCloseAll(callers);
    RunUntil([this] { return m_server->OpenConnections() > 0; });
    while (m_server->OpenConnections() > 0) {
      const int handled_before = m_handled;
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
      CPPUNIT_ASSERT(m_gone >= handled_before);
    }
    CPPUNIT_ASSERT_EQUAL(m_handled, m_gone);
  }

 private:
  std::vector<TestConnection> MakeManyCallers() {
    std::vector<TestConnection> callers;
    for (int i = 0; i < kManyCallers; ++i) {
      callers.emplace_back(m_server->Port());
      callers.back().Send(Whole());
    }
    return callers;
  }

  // Returns once the server's system has received each half-close.
  void HalfCloseAll(std::vector<TestConnection>& callers) {
    for (TestConnection& caller : callers) caller.HalfClose();
    const Instant begin = std::chrono::steady_clock::now();
    for (const TestConnection& caller : callers) {
      while (!caller.HalfCloseArrived())
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < kGuard);
    }
  }

  void Serve() {
    m_handled = 0;
    m_gone = 0;
    m_kept.clear();
    m_server = MakeServer(m_loop, {.receive_timeout = kServerTimeout},
                          [this](std::shared_ptr<Exchange> exchange) {
                            ++m_handled;
                            exchange->OnGone([this] { ++m_gone; });
                            m_kept.push_back(std::move(exchange));
                          });
  }

  void ForEachCloseMode(const std::function<void(CloseMode)>& test) {
    for (const CloseMode mode : kCloseModes) {
      Serve();
      m_mode_name = NameOf(mode);
      test(mode);
    }
  }

  static void HangUp(TestConnection& caller, CloseMode mode) {
    switch (mode) {
      case CloseMode::kClose:
        return caller.Close();
      case CloseMode::kReset:
        return caller.Reset();
      case CloseMode::kHalfClose:
        return caller.HalfClose();
    }
  }

  // Expects that all connections end, that `handled` requests were handed over,
  // and that `gone` callers were reported as gone, each once.
  void ExpectAllEnded(int handled, int gone) {
    RunUntil([&] { return m_gone >= gone; });
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_server->OpenExchanges());
    CPPUNIT_ASSERT_EQUAL(handled, m_handled);
    CPPUNIT_ASSERT_EQUAL(gone, m_gone);
  }

  void RunUntilBacklogIsStable() {
    size_t backlog = 0;
    do {
      backlog = m_kept.at(0)->Backlog();
      Turn();
    } while (m_kept.at(0)->Backlog() < backlog);
    CPPUNIT_ASSERT(backlog > 0);
  }

  // Runs the loop without blocking, because the callers' sockets are not on it.
  void RunUntil(const std::function<bool()>& condition) {
    const Instant begin = m_loop.Now();
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE(m_mode_name, m_loop.Now() - begin < kGuard);
      ev_run(m_loop.Raw(), EVRUN_NOWAIT);
    }
  }

  // Processes pending events without blocking.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  std::string m_mode_name;
  int m_handled = 0;
  int m_gone = 0;
  std::vector<std::shared_ptr<Exchange>> m_kept;
  std::unique_ptr<Server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HangUpTest);

}  // namespace
}  // namespace dotterelshift::http
