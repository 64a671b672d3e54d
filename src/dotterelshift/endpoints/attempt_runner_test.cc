#include "dotterelshift/endpoints/attempt_runner.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/http/server.h"  // for MakeServer
#include "dotterelshift/loop/loop.h"    // for Loop

namespace dotterelshift::endpoints {
namespace {

using callers::CallerRequest;
using callers::RequestKind;
using http::Exchange;
using serving::AttemptEnd;

// The events that the runner reported for one attempt.
struct Report {
  int heads = 0;
  int status = 0;
  std::string bytes;
  Tokens tokens = 0;
  serving::Chunk usage;
  std::vector<AttemptEnd> ends;
};

const http::Headers kEvents = {{"Content-Type", "text/event-stream"}};
const http::Headers kJson = {{"Content-Type", "application/json"}};

std::string Event(const std::string& text) {
  return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

const std::string kUsageEvent =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
    "\"completion_tokens\":3}}\n\n";
const std::string kDone = "data: [DONE]\n\n";

// An endpoint's behaviour and the result that the runner must report.
struct Row {
  std::string name;
  bool stream;
  std::function<void(Exchange&)> endpoint;
  AttemptEnd end;
  std::string bytes;
  Tokens tokens;
  Tokens usage_output;
};

std::function<void(Exchange&)> Answers(int status, const http::Headers& headers,
                                       const std::string& body) {
  return [=](Exchange& exchange) { exchange.Answer(status, headers, body); };
}

std::function<void(Exchange&)> Streams(const std::vector<std::string>& chunks,
                                       bool cut = false) {
  return [=](Exchange& exchange) {
    exchange.SendHead(200, kEvents);
    for (const std::string& chunk : chunks) exchange.WriteChunk(chunk);
    if (cut) {
      exchange.OnDrained([&exchange] { exchange.Abort(); });
    } else {
      exchange.Finish();
    }
  };
}

const std::string kWhole =
    R"({"choices":[{"message":{"content":"abcdefgh"}}]})";
const std::string kWholeWithUsage =
    R"({"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3}})";

std::vector<Row> Rows() {
  using enum AttemptEnd;
  return {
      {"stream with usage", true,
       Streams({Event("a"), Event("b"), Event(""), kUsageEvent, kDone}), kWhole,
       Event("a") + Event("b") + Event(""), 2, 3},
      {"stream without usage", true, Streams({Event("a"), kDone}), kWhole,
       Event("a"), 1, 0},
      {"events split anywhere", true,
       Streams({"data: {\"choices\":[{\"delta\":{\"con", "tent\":\"a\"}}]}\n",
                "\ndata: [DO", "NE]\n\n"}),
       kWhole, Event("a"), 1, 0},
      {"lines that end in CR LF", true,
       Streams({"data: {\"text\":\"a\"}\r\n\r\ndata: [DONE]\r\n\r\n"}), kWhole,
       "data: {\"text\":\"a\"}\r\n\r\n", 1, 0},
      {"comments and other fields", true,
       Streams({": ping\n\nevent: x\nid: 1\nretry: 5\n" + Event("a") + kDone}),
       kWhole, ": ping\n\nevent: x\nid: 1\nretry: 5\n" + Event("a"), 1, 0},
      {"quoted names inside a text", true,
       Streams({Event(R"(\"usage\": {\"text\":\"x)") + kDone}), kWhole,
       Event(R"(\"usage\": {\"text\":\"x)"), 1, 0},
      {"stream without end mark", true, Streams({Event("a")}), kDied,
       Event("a"), 1, 0},
      {"stream cut after the end mark", true, Streams({kDone}, true), kWhole,
       "", 0, 0},
      {"garbage line", true, Streams({"what is this\n\n", kDone}), kDied, "", 0,
       0},
      {"garbage data", true, Streams({"data: 17\n\n", kDone}), kDied, "", 0, 0},
      {"broken usage", true, Streams({"data: {\"usage\":{]}\n\n", kDone}),
       kDied, "", 0, 0},
      {"error event", true,
       Streams({Event("a"), "data: {\"error\":{}}\n\n", kDone}), kDied,
       Event("a"), 1, 0},
      {"event past its bound", true,
       Streams({"data: {\"text\":\"" + std::string(2 << 20, 'x')}), kDied, "",
       0, 0},
      {"stream answered as JSON", true, Answers(200, kJson, "{}"), kDied, "", 0,
       0},
      {"whole answer", false, Answers(200, kJson, kWholeWithUsage), kWhole,
       kWholeWithUsage, 0, 3},
      {"whole answer without usage", false,
       Answers(200, kJson, endpoints::kWhole), kWhole, endpoints::kWhole, 2, 0},
      {"whole answer that is no JSON", false, Answers(200, kJson, "{\"cho"),
       kDied, "", 0, 0},
      {"whole answer past its bound", false,
       Answers(200, kJson, "{\"a\":\"" + std::string(80 << 10, 'x') + "\"}"),
       kDied, "", 0, 0},
      {"400", true, Answers(400, kJson, "{\"bad\":1}"), kCallerError,
       "{\"bad\":1}", 0, 0},
      {"429", true, Answers(429, kJson, "{}"), kRefusedBeforeRun, "", 0, 0},
      {"503 that ran nothing", true,
       Answers(503, {{"Dotterelshift-Ran", "no"}}, "{}"), kRefusedBeforeRun, "",
       0, 0},
      {"503 that says nothing", true, Answers(503, kJson, "{}"), kDied, "", 0,
       0},
      {"500", false, Answers(500, kJson, "{}"), kDied, "", 0, 0},
      {"302", false, Answers(302, {{"Location", "/x"}}, ""), kDied, "", 0, 0},
      {"connection closed before a head", false,
       [](Exchange& exchange) { exchange.Abort(); }, kDied, "", 0, 0},
  };
}

class AttemptRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptRunnerTest);
  CPPUNIT_TEST(AttemptEndMatchesEndpointBehaviour);
  CPPUNIT_TEST(ConnectionRefusedIsReportedAsNotSent);
  CPPUNIT_TEST(AttemptTimesOut);
  CPPUNIT_TEST(CancelClosesTheConnectionAndStopsReports);
  CPPUNIT_TEST(CallbacksMayCancelTheirOwnAttempt);
  CPPUNIT_TEST(RequestKeyIsSentToTheEndpoint);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AttemptEndMatchesEndpointBehaviour() {
    for (const Row& row : Rows()) {
      m_report = {};
      m_endpoint = row.endpoint;
      Start(row.stream);
      RunUntil([this] { return !m_report.ends.empty(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, size_t{1}, m_report.ends.size());
      CPPUNIT_ASSERT_MESSAGE(row.name, m_report.ends[0] == row.end);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.bytes, m_report.bytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.tokens, m_report.tokens);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.usage_output,
                                   m_report.usage.usage_output);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, size_t{0}, m_runner->Open());
    }
  }

  void ConnectionRefusedIsReportedAsNotSent() {
    m_server.reset();
    Start(true);
    RunUntil([this] { return !m_report.ends.empty(); });
    CPPUNIT_ASSERT(m_report.ends[0] == AttemptEnd::kNotSent);
  }

  void AttemptTimesOut() {
    m_endpoint = [](Exchange&) {};
    Start(false, 20ms);
    RunUntil([this] { return !m_report.ends.empty(); });
    CPPUNIT_ASSERT(m_report.ends[0] == AttemptEnd::kTimedOut);
  }

  void CancelClosesTheConnectionAndStopsReports() {
    bool gone = false;
    m_endpoint = [&gone](Exchange& exchange) {
      exchange.OnGone([&gone] { gone = true; });
      exchange.SendHead(200, kEvents);
      exchange.WriteChunk(Event("a"));
    };
    Start(true);
    RunUntil([this] { return !m_report.bytes.empty(); });
    m_runner->Cancel(kAttempt);
    RunUntil([&gone] { return gone; });
    CPPUNIT_ASSERT(m_report.ends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_runner->Open());
  }

  void CallbacksMayCancelTheirOwnAttempt() {
    bool gone = false;
    m_cancel_at_first_piece = true;
    m_endpoint = [&gone](Exchange& exchange) {
      exchange.OnGone([&gone] { gone = true; });
      exchange.SendHead(200, kEvents);
      exchange.WriteChunk(Event("a") + "garbage\n\n" + kDone);
    };
    Start(true);
    RunUntil([&gone] { return gone; });
    CPPUNIT_ASSERT_EQUAL(Event("a"), m_report.bytes);
    CPPUNIT_ASSERT(m_report.ends.empty());
  }

  void RequestKeyIsSentToTheEndpoint() {
    std::string key;
    m_endpoint = [&key](Exchange& exchange) {
      key = exchange.GetRequest().Header("dotterelshift-request-key");
      exchange.Answer(200, kJson, "{}");
    };
    Start(false);
    RunUntil([this] { return !m_report.ends.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("key-1"), key);
  }

 private:
  static constexpr AttemptId kAttempt = 7;

  void Start(bool stream, Duration time_left = 10s) {
    CallerRequest request;
    request.kind = RequestKind::kChat;
    request.path = "/v1/chat/completions";
    request.body = "{}";
    request.stream = stream;
    request.idempotency_key = "key-1";
    m_runner->Start(kAttempt, "127.0.0.1:" + std::to_string(m_port), request,
                    time_left);
  }

  AttemptEvents Events() {
    AttemptEvents events;
    events.on_head = [this](AttemptId, int status, std::string_view) {
      ++m_report.heads;
      m_report.status = status;
    };
    events.on_chunk = [this](AttemptId attempt, const serving::Chunk& chunk,
                             std::string_view bytes) {
      m_report.bytes += bytes;
      m_report.tokens += chunk.tokens;
      if (chunk.has_usage) m_report.usage = chunk;
      if (m_cancel_at_first_piece) m_runner->Cancel(attempt);
      return true;
    };
    events.on_end = [this](AttemptId, AttemptEnd end) {
      m_report.ends.push_back(end);
    };
    return events;
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_ONCE);
  }

  loop::Loop m_loop;
  std::function<void(Exchange&)> m_endpoint;
  std::vector<std::shared_ptr<Exchange>> m_kept;
  std::unique_ptr<http::Server> m_server =
      http::MakeServer(m_loop, {}, [this](std::shared_ptr<Exchange> exchange) {
        m_endpoint(*exchange);
        m_kept.push_back(std::move(exchange));
      });
  uint16_t m_port = m_server->Port();
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
  std::unique_ptr<AttemptRunner> m_runner =
      MakeAttemptRunner(*m_client, {.max_response_bytes = 64 << 10}, Events());
  Report m_report;
  bool m_cancel_at_first_piece = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptRunnerTest);

}  // namespace
}  // namespace dotterelshift::endpoints
