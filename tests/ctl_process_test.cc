// Runs dotterelshiftctl as a process against an HTTP server on loopback and
// checks the requests that it sends and how it handles redirects and errors.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <functional>  // for function
#include <memory>      // for unique_ptr

#include "dotterelshift/base/temporary_folder.h"  // for TemporaryFolder
#include "dotterelshift/ctl/ctl.h"                // for ExitCode
#include "dotterelshift/http/server.h"            // for MakeServer
#include "dotterelshift/loop/loop.h"              // for Loop
#include "process/process.h"                      // for Process
#include "support/run_until.h"                    // for RunUntil

namespace dotterelshift::ctl {
namespace {

// An address on which nothing listens.
const std::string kClosedPortAddress = "127.0.0.1:1";

// An HTTP server that responds as the test specifies and records the requests.
class FakeDaemon {
 public:
  using Answerer = std::function<void(http::Exchange&)>;
  FakeDaemon(loop::Loop& loop, const Answerer& answer) {
    m_server = http::MakeServer(
        loop, {}, [this, answer](const std::shared_ptr<http::Exchange>& one) {
          requests.push_back(one->GetRequest());
          answer(*one);
        });
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_server->Port());
  }
  // Whether at least `count` requests have arrived and none is still open.
  bool Answered(size_t count) const {
    return requests.size() >= count && m_server->OpenExchanges() == 0;
  }
  std::vector<http::Request> requests;

 private:
  std::unique_ptr<http::Server> m_server;
};

class CtlProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CtlProcessTest);
  CPPUNIT_TEST(RedirectKeepsKeyMethodAndBody);
  CPPUNIT_TEST(RedirectLoopEnds);
  CPPUNIT_TEST(TruncatedResponseIsAnError);
  CPPUNIT_TEST(ClosedPortIsNotReachable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_folder = std::make_unique<TemporaryFolder>();
    testing::WriteFile(m_folder->File("key"), "operator-key-0001\n");
    testing::WriteFile(m_folder->File("intent.yaml"), "teams: [{id: a}]\n");
  }
  void tearDown() override { m_folder.reset(); }

 private:
  std::unique_ptr<testing::Process> Start(std::vector<std::string> words,
                                          const std::string& host) {
    words.insert(words.begin(),
                 std::string(DOTTERELSHIFT_BINARY_DIR) + "/dotterelshiftctl");
    words.insert(words.end(),
                 {"--host", host, "--key-file", m_folder->File("key")});
    return std::make_unique<testing::Process>(words, m_folder->File("log"));
  }
  void AssertEnd(testing::Process& process, ExitCode code) {
    const int status = process.Wait();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(testing::ReadFile(m_folder->File("log")),
                                 static_cast<int>(code), status);
  }

  void RedirectKeepsKeyMethodAndBody() {
    FakeDaemon leader(m_loop, [](http::Exchange& exchange) {
      exchange.Answer(200, {},
                      R"({"plan": "p1", "base_version": 0, "changes": [],
                          "effects": [], "warnings": []})");
    });
    FakeDaemon follower(m_loop, [&](http::Exchange& exchange) {
      const http::Request& request = exchange.GetRequest();
      exchange.Answer(307,
                      {{"Location", "http://" + leader.Address() +
                                        request.path + "?" + request.query}},
                      "");
    });
    const auto process =
        Start({"plan", "-f", m_folder->File("intent.yaml"), "-o", "json"},
              follower.Address());
    testing::RunUntil(m_loop, "the request at the leader",
                      [&] { return leader.Answered(1); });
    AssertEnd(*process, ExitCode::kOk);
    const http::Request& request = leader.requests.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/operator/v1/plan"), request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("file=intent.yaml"), request.query);
    CPPUNIT_ASSERT_EQUAL(std::string("teams: [{id: a}]\n"), request.body);
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer operator-key-0001"),
                         std::string(request.Header("authorization")));
  }

  void RedirectLoopEnds() {
    std::string address;
    FakeDaemon daemon(m_loop, [&](http::Exchange& exchange) {
      exchange.Answer(
          307, {{"Location", "http://" + address + "/operator/v1/status"}}, "");
    });
    address = daemon.Address();
    const auto process = Start({"status"}, address);
    testing::RunUntil(m_loop, "the last redirect",
                      [&] { return daemon.Answered(6); });
    AssertEnd(*process, ExitCode::kNotReachable);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, daemon.requests.size());
  }

  void TruncatedResponseIsAnError() {
    FakeDaemon daemon(m_loop, [](http::Exchange& exchange) {
      exchange.SendHead(200, {});
      exchange.WriteChunk("{\"plan\": \"p1\"");
      exchange.Abort();
    });
    const auto process = Start({"confirm", "p1"}, daemon.Address());
    testing::RunUntil(m_loop, "the aborted response",
                      [&] { return daemon.Answered(1); });
    AssertEnd(*process, ExitCode::kNotReachable);
  }

  void ClosedPortIsNotReachable() {
    AssertEnd(*Start({"status"}, kClosedPortAddress), ExitCode::kNotReachable);
  }

  loop::Loop m_loop;
  std::unique_ptr<TemporaryFolder> m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlProcessTest);

}  // namespace
}  // namespace dotterelshift::ctl
