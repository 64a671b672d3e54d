// Guards against the end of a process whose callers' connections and bodies
// together need more memory than its machine has.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST
#include <malloc.h>                           // for mallinfo2

#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/http/server.h"           // for MakeServer
#include "dotterelshift/http/test_connection.h"  // for TestConnection
#include "dotterelshift/loop/loop.h"             // for Loop
#include "dotterelshift/memory/account.h"        // for Account

#ifdef __SANITIZE_ADDRESS__
// The sanitizer's allocator, whose header GCC does not install.
extern "C" size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace dotterelshift::http {
namespace {

constexpr size_t kLimit = 64'000'000;

// Of each response's body.
constexpr size_t kResponseBytes = 10'000;

size_t AllocatedBytes() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  return mallinfo2().uordblks;
#endif
}

std::string Head(size_t body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body) + "\r\n\r\n";
}

class ServerMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerMemoryTest);
  CPPUNIT_TEST(IdleConnectionNeedsLittleMemory);
  CPPUNIT_TEST(OldestIdleConnectionsAreClosedForNewOnes);
  CPPUNIT_TEST(LargeBodiesWaitAndAreServed);
  CPPUNIT_TEST(LargeBodiesThatCannotWaitAreRefused);
  CPPUNIT_TEST(SmallRequestsAreServedBesideLargeBodies);
  CPPUNIT_TEST(StalledBodyYieldsToThoseThatWait);
  CPPUNIT_TEST(AccountIsEmptyAfterwards);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Serve(kLimit); }

  // Two kilobytes are asked of a connection that has carried one request.
  void IdleConnectionNeedsLittleMemory() {
    constexpr size_t kCallers = 200;
    constexpr size_t kMostBytes = 2000;
    (void)Callers(1);
    const size_t before = AllocatedBytes();
    std::vector<TestConnection> callers = Callers(kCallers);
    size_t after = AllocatedBytes();
    for (const TestConnection& caller : callers)
      after -= caller.Received().capacity();
    CPPUNIT_ASSERT(after < before + kCallers * kMostBytes);
  }

  void OldestIdleConnectionsAreClosedForNewOnes() {
    std::vector<TestConnection> callers = Callers(10);
    m_account->Add(memory::Use::kResponses, kLimit * 64 / 100);
    std::vector<TestConnection> later = Callers(1);
    for (TestConnection& caller : callers) {
      Turn();
      caller.Receive();
      CPPUNIT_ASSERT(caller.Closed());
    }
    CPPUNIT_ASSERT(later.front().Has("ok"));
    CPPUNIT_ASSERT(later.front().Has("Connection: close"));
  }

  void LargeBodiesWaitAndAreServed() {
    constexpr size_t kBody = 20'000'000;
    std::vector<TestConnection> callers;
    for (int i = 0; i < 3; ++i) {
      callers.emplace_back(m_server->Port());
      callers.back().Send(Head(kBody));
      Turn();
    }
    CPPUNIT_ASSERT(m_account->Of(memory::Use::kBodies) == kBody);
    CPPUNIT_ASSERT(m_account->Of(memory::Use::kUnread) > 0);
    callers.at(0).Close();
    Turn();
    CPPUNIT_ASSERT(m_account->Of(memory::Use::kBodies) == kBody);
    SendBody(callers.at(1), kBody);
    RunUntil([&] { return Answered(callers.at(1)); });
    CPPUNIT_ASSERT(callers.at(1).Has("HTTP/1.1 200"));
  }

  void LargeBodiesThatCannotWaitAreRefused() {
    std::vector<TestConnection> callers;
    for (int i = 0; i < 3; ++i) {
      callers.emplace_back(m_server->Port());
      callers.back().Send(Head(20'000'000));
      Turn();
    }
    RunUntil([&] { return Answered(callers.at(2)); });
    CPPUNIT_ASSERT(callers.at(2).Has("HTTP/1.1 503"));
    CPPUNIT_ASSERT(callers.at(2).Has("Retry-After: 1"));
    CPPUNIT_ASSERT(callers.at(2).Has("Dotterelshift-Ran: no"));
    CPPUNIT_ASSERT(!Answered(callers.at(0)));
  }

  void SmallRequestsAreServedBesideLargeBodies() {
    std::vector<TestConnection> large;
    for (int i = 0; i < 3; ++i) {
      large.emplace_back(m_server->Port());
      large.back().Send(Head(20'000'000));
    }
    Turn();
    CPPUNIT_ASSERT(Callers(1).front().Has("HTTP/1.1 200"));
  }

  void StalledBodyYieldsToThoseThatWait() {
    constexpr size_t kBody = 20'000'000;
    TestConnection stalled(m_server->Port());
    stalled.Send(Head(kBody) + "begin");
    Turn();
    const Instant begun = m_loop.Now();
    // Callers that are refused return, as those of the platform do.
    while (!Answered(stalled)) {
      TestConnection waiting(m_server->Port());
      waiting.Send(Head(kBody));
      RunUntil([&] { return Answered(waiting) || Answered(stalled); });
      CPPUNIT_ASSERT(m_loop.Now() - begun < 10s);
    }
    CPPUNIT_ASSERT(stalled.Has("HTTP/1.1 408"));
  }

  void AccountIsEmptyAfterwards() {
    {
      std::vector<TestConnection> callers = Callers(20);
      callers.at(0).Send(Head(1000) + "part");
      callers.at(1).Send("POST /x HT");
      callers.at(2).Send("X Y\r\n");
      callers.emplace_back(m_server->Port());
      callers.back().Send(Head(20'000'000));
      Turn();
    }
    RunUntil([this] { return m_server->OpenConnections() == 0; });
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_account->Total());
  }

 private:
  void Serve(size_t limit) {
    m_server.reset();
    m_account = std::make_unique<memory::Account>(limit);
    ServerOptions options;
    options.max_body_bytes = limit;
    options.memory = m_account.get();
    m_server =
        MakeServer(m_loop, options, [](const std::shared_ptr<Exchange>& what) {
          what->Answer(200, {}, "ok" + std::string(kResponseBytes, '.'));
        });
  }

  // Callers that keep their connections after the response to their request.
  std::vector<TestConnection> Callers(size_t count) {
    std::vector<TestConnection> callers;
    for (size_t i = 0; i < count; ++i) {
      callers.emplace_back(m_server->Port());
      callers.back().Send(Head(0));
      RunUntil([&] { return Answered(callers.back()); });
    }
    Turn();
    return callers;
  }

  static bool Answered(TestConnection& caller) {
    caller.Receive();
    return caller.Has("HTTP/1.1");
  }

  void SendBody(TestConnection& caller, size_t bytes) {
    const std::string part(100'000, 'x');
    for (size_t sent = 0; sent < bytes; sent += part.size()) {
      caller.Send(part);
      RunUntil([&] { return caller.AllArrived(); });
    }
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  // Processes pending events without blocking.
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) ev_run(m_loop.Raw(), EVRUN_NOWAIT);
  }

  loop::Loop m_loop;
  std::unique_ptr<memory::Account> m_account;
  std::unique_ptr<Server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerMemoryTest);

}  // namespace
}  // namespace dotterelshift::http
