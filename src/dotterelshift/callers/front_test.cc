#include "dotterelshift/callers/front.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <vector>             // for vector

namespace dotterelshift::callers {
namespace {

using nlohmann::json;

// Records the response and simulates the caller.
class RecordingExchange : public http::Exchange {
 public:
  explicit RecordingExchange(const std::string& body) {
    m_request.method = "POST";
    m_request.path = "/v1/chat/completions";
    m_request.headers = {{"authorization", "Bearer key"}};
    m_request.body = body;
  }
  const http::Request& GetRequest() const override { return m_request; }
  void Answer(int status, const http::Headers& headers,
              std::string body) override {
    SendHead(status, headers);
    bytes = std::move(body);
    finished = true;
  }
  void SendHead(int code, const http::Headers& sent) override {
    ++heads;
    status = code;
    headers = sent;
  }
  void WriteChunk(std::string_view chunk) override {
    bytes += chunk;
    backlog += chunk.size();
  }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t Backlog() const override { return backlog; }
  void OnGone(std::function<void()> callback) override {
    gone = std::move(callback);
  }
  void OnDrained(std::function<void()> callback) override {
    drained = std::move(callback);
  }

  std::string HeaderOf(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (key == name) return value;
    return "";
  }

  int heads = 0;
  int status = 0;
  http::Headers headers;
  std::string bytes;
  size_t backlog = 0;
  bool finished = false;
  bool aborted = false;
  std::function<void()> gone;
  std::function<void()> drained;

 private:
  http::Request m_request;
};

const std::string kStreamBody =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";

class FrontTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontTest);
  CPPUNIT_TEST(EveryErrorKindIsAnsweredByItsTableRow);
  CPPUNIT_TEST(EveryErrorKindEndsAStreamWithAnErrorEvent);
  CPPUNIT_TEST(EveryErrorKindReplacesABufferedResponse);
  CPPUNIT_TEST(LongerRetryAfterOverridesTheTableRow);
  CPPUNIT_TEST(RefusedRequestGetsAnErrorAndIsReported);
  CPPUNIT_TEST(StreamEndsWithTheEndMarker);
  CPPUNIT_TEST(NonStreamedResponseIsSentComplete);
  CPPUNIT_TEST(SlowReaderPausesTheEndpointUntilDrained);
  CPPUNIT_TEST(DisconnectedCallerIsReportedOnce);
  CPPUNIT_TEST(DetailIsAlwaysValidJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryErrorKindIsAnsweredByItsTableRow() {
    for (const ErrorRow& row : ErrorTable()) {
      RecordingExchange exchange("");
      SendErrorResponse(exchange, row.kind, "why");
      CheckAnswer(row, exchange);
    }
  }

  void EveryErrorKindReplacesABufferedResponse() {
    for (const ErrorRow& row : ErrorTable()) {
      const RequestId request = Accept(kStreamBody);
      m_front->SendHead(request, 200, "application/json");
      m_front->WriteChunk(request, "{\"half\":");
      m_front->Fail(request, row.kind, "why", 0);
      CheckAnswer(row, *m_exchange);
      CPPUNIT_ASSERT_EQUAL(std::to_string(request),
                           m_exchange->HeaderOf("Dotterelshift-Request-Id"));
    }
  }

  void EveryErrorKindEndsAStreamWithAnErrorEvent() {
    for (const ErrorRow& row : ErrorTable()) {
      const std::string name(row.name);
      const RequestId request = Accept(kStreamBody);
      m_front->SendHead(request, 200, "text/event-stream");
      m_front->WriteChunk(request, "data: {}\n\n");
      m_front->Fail(request, row.kind, "why", 0);
      CPPUNIT_ASSERT_MESSAGE(
          name, m_exchange->bytes.starts_with("data: {}\n\ndata: {\"error\":"));
      CPPUNIT_ASSERT_MESSAGE(name, m_exchange->bytes.ends_with("}\n\n"));
      CPPUNIT_ASSERT_MESSAGE(
          name, m_exchange->bytes.find("[DONE]") == std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(name, m_exchange->finished);
      const std::string event = m_exchange->bytes.substr(16);
      CheckBody(row, json::parse(event));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, size_t{0}, m_front->Open());
    }
  }

  void LongerRetryAfterOverridesTheTableRow() {
    RecordingExchange exchange("");
    SendErrorResponse(exchange, ErrorKind::kOverloaded, "", 17);
    CPPUNIT_ASSERT_EQUAL(std::string("17"), exchange.HeaderOf("Retry-After"));
  }

  void RefusedRequestGetsAnErrorAndIsReported() {
    auto exchange = std::make_shared<RecordingExchange>("{\"model\":");
    m_front->Accept(exchange);
    CheckAnswer(RowOf(ErrorKind::kBadJson), *exchange);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_refused.size());
    CPPUNIT_ASSERT(m_requests.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_front->Open());
  }

  void StreamEndsWithTheEndMarker() {
    const RequestId request = Accept(kStreamBody);
    m_front->SendHead(request, 200, "text/event-stream; charset=utf-8");
    CPPUNIT_ASSERT_EQUAL(1, m_exchange->heads);
    CPPUNIT_ASSERT(m_front->WriteChunk(request, "data: {}\n\n"));
    m_front->Finish(request);
    CPPUNIT_ASSERT_EQUAL(std::string("data: {}\n\ndata: [DONE]\n\n"),
                         m_exchange->bytes);
    CPPUNIT_ASSERT(m_exchange->finished);
    // Later calls for a finished request have no effect.
    m_front->WriteChunk(request, "late");
    m_front->Fail(request, ErrorKind::kStreamCut, "", 0);
    CPPUNIT_ASSERT(m_exchange->bytes.ends_with("[DONE]\n\n"));
  }

  void NonStreamedResponseIsSentComplete() {
    const RequestId request = Accept(kStreamBody);
    m_front->SendHead(request, 404, "application/json");
    m_front->WriteChunk(request, "{\"a\":");
    m_front->WriteChunk(request, "1}");
    CPPUNIT_ASSERT_EQUAL(0, m_exchange->heads);
    m_front->Finish(request);
    CPPUNIT_ASSERT_EQUAL(404, m_exchange->status);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), m_exchange->bytes);
  }

  void SlowReaderPausesTheEndpointUntilDrained() {
    const RequestId request = Accept(kStreamBody);
    m_front->SendHead(request, 200, "text/event-stream");
    CPPUNIT_ASSERT(m_front->WriteChunk(request, std::string(100, 'x')));
    m_exchange->drained();
    CPPUNIT_ASSERT_EQUAL(0, m_drained);
    CPPUNIT_ASSERT(!m_front->WriteChunk(request, std::string(1, 'x')));
    m_exchange->drained();
    m_exchange->drained();
    CPPUNIT_ASSERT_EQUAL(1, m_drained);
  }

  void DisconnectedCallerIsReportedOnce() {
    const RequestId request = Accept(kStreamBody);
    const auto gone = m_exchange->gone;
    gone();
    gone();
    CPPUNIT_ASSERT_EQUAL(1, m_gone);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_front->Open());
    m_front->SendHead(request, 200, "text/event-stream");
    m_front->Finish(request);
    CPPUNIT_ASSERT_EQUAL(0, m_exchange->heads);
  }

  void DetailIsAlwaysValidJson() {
    const std::string body =
        MakeErrorBody(ErrorKind::kInternal, "\xff\"\n", "7");
    CPPUNIT_ASSERT(json::accept(body));
  }

 private:
  static void CheckBody(const ErrorRow& row, const json& body) {
    const std::string name(row.name);
    const json& error = body.at("error");
    CPPUNIT_ASSERT_EQUAL(name, error.at("kind").get<std::string>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(NameOf(row.ran)),
                                 error.at("ran").get<std::string>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.sentence),
                                 error.at("message").get<std::string>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("why"),
                                 error.value("detail", "").substr(0, 3));
    const std::string retry = error.at("retry").get<std::string>();
    const bool later = row.retry == RetryAdvice::kLater;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, later, retry == "later");
  }

  static void CheckAnswer(const ErrorRow& row,
                          const RecordingExchange& exchange) {
    const std::string name(row.name);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.status, exchange.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(NameOf(row.ran)),
                                 exchange.HeaderOf("Dotterelshift-Ran"));
    const std::string wait = row.retry_after_seconds > 0
                                 ? std::to_string(row.retry_after_seconds)
                                 : "";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, wait, exchange.HeaderOf("Retry-After"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("application/json"),
                                 exchange.HeaderOf("Content-Type"));
    CPPUNIT_ASSERT_MESSAGE(name, exchange.finished && exchange.heads == 1);
    json body = json::parse(exchange.bytes);
    // The request parser sets its own detail, so it is not compared.
    if (row.kind == ErrorKind::kBadJson) body["error"]["detail"] = "why";
    CheckBody(row, body);
  }

  RequestId Accept(const std::string& body) {
    m_exchange = std::make_shared<RecordingExchange>(body);
    m_front->Accept(m_exchange);
    return m_requests.back();
  }

  FrontEvents Events() {
    return {
        .on_request =
            [this](RequestId request, const CallerRequest&) {
              m_requests.push_back(request);
            },
        .on_refused = [this](RequestId request,
                             const Refusal&) { m_refused.push_back(request); },
        .on_gone = [this](RequestId) { ++m_gone; },
        .on_drained = [this](RequestId) { ++m_drained; }};
  }

  std::vector<RequestId> m_requests;
  std::vector<RequestId> m_refused;
  int m_gone = 0;
  int m_drained = 0;
  std::shared_ptr<RecordingExchange> m_exchange;
  std::unique_ptr<Front> m_front =
      MakeFront({.fleet_secret = "s", .pause_above_bytes = 100}, Events());
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrontTest);

}  // namespace
}  // namespace dotterelshift::callers
