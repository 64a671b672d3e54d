#include "dotterelshift/callers/caller_request.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <string>             // for string
#include <vector>             // for vector

#include "dotterelshift/callers/prompt.h"  // for IsUtf8, PrefixHashes

namespace dotterelshift::callers {
namespace {

using nlohmann::json;

const std::string kChatPath = "/v1/chat/completions";
const std::string kGood =
    R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";

http::Request MakeRequest(const std::string& path, const std::string& body,
                          const http::Headers& more = {}) {
  http::Request request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  request.headers = {{"authorization", "Bearer key"}};
  request.headers.insert(request.headers.end(), more.begin(), more.end());
  return request;
}

std::variant<CallerRequest, Refusal> Parse(const http::Request& request) {
  return ParseCallerRequest(request, {}, "secret");
}

CallerRequest MustParse(const http::Request& request) {
  auto parsed = Parse(request);
  if (const auto* refusal = std::get_if<Refusal>(&parsed))
    CPPUNIT_FAIL(std::string(RowOf(refusal->kind).name) + refusal->detail);
  return std::get<CallerRequest>(parsed);
}

std::string WithField(const std::string& field) {
  return kGood.substr(0, kGood.size() - 1) + "," + field + "}";
}

// An invalid request and the error kind that it is refused with.
struct Row {
  std::string name;
  ErrorKind kind;
  std::string path = kChatPath;
  std::string body = kGood;
  http::Headers headers = {};
  std::string method = "POST";
};

std::vector<Row> Rows() {
  using enum ErrorKind;
  std::vector<Row> rows = {
      {"empty body", kBadJson, kChatPath, ""},
      {"half an object", kBadJson, kChatPath, "{\"model\":"},
      {"lone surrogate escape", kBadJson, kChatPath,
       R"({"model":"\ud800","messages":[]})"},
      {"a list", kBadField, kChatPath, "[]"},
      {"latin-1 byte", kBadUtf8, kChatPath, "{\"model\":\"caf\xe9\"}"},
      {"overlong form", kBadUtf8, kChatPath, "{\"model\":\"\xc0\xaf\"}"},
      {"raw surrogate", kBadUtf8, kChatPath, "{\"model\":\"\xed\xa0\x80\"}"},
      {"cut sequence", kBadUtf8, kChatPath, "\xe2\x82"},
      {"no model", kBadField, kChatPath,
       "{\"messages\":[{\"role\":\"user\"}]}"},
      {"model is a number", kBadField, kChatPath,
       R"({"model":1,"messages":[{"role":"user"}]})"},
      {"no messages", kBadField, kChatPath, R"({"model":"m"})"},
      {"empty messages", kBadField, kChatPath,
       R"({"model":"m","messages":[]})"},
      {"message without role", kBadField, kChatPath,
       R"({"model":"m","messages":[{}]})"},
      {"content is a number", kBadField, kChatPath,
       R"({"model":"m","messages":[{"role":"user","content":1}]})"},
      {"no prompt", kBadField, "/v1/completions", R"({"model":"m"})"},
      {"two prompts", kBadField, "/v1/completions",
       R"({"model":"m","prompt":["a","b"]})"},
      {"stream is a text", kBadField, kChatPath,
       WithField(R"("stream":"yes")")},
      {"stream options are a list", kBadField, kChatPath,
       WithField(R"("stream":true,"stream_options":[])")},
      {"two answers", kBadField, kChatPath, WithField("\"n\":2")},
      {"best of three", kBadField, kChatPath, WithField("\"best_of\":3")},
      {"unknown path", kUnknownPath, "/v1/models"},
      {"path that climbs", kUnknownPath, "/v1/services/a/../b"},
      {"service without name", kUnknownPath, "/v1/services/"},
      {"blank in the path", kUnknownPath, "/v1/services/a b"},
      {"GET of a model", kBadMethod, kChatPath, kGood, {}, "GET"},
      {"TRACE of a service", kBadMethod, "/v1/services/a", "", {}, "TRACE"},
  };
  for (const char* limit : {"-1", "0", "1.5", "\"many\"", "1e3", "32769",
                            "99999999999999999999", "true", "[]"}) {
    rows.push_back({std::string("output limit ") + limit, kBadOutputLimit,
                    kChatPath,
                    WithField("\"max_tokens\":" + std::string(limit))});
    rows.push_back(
        {std::string("newer output limit ") + limit, kBadOutputLimit, kChatPath,
         WithField("\"max_completion_tokens\":" + std::string(limit))});
  }
  const std::vector<std::pair<std::string, std::vector<std::string>>> headers =
      {
          {"dotterelshift-deadline-ms",
           {"0", "-5", "1.5", "soon", "600001", "5 "}},
          {"dotterelshift-priority", {"11", "-11", "high", "1.0"}},
          {"dotterelshift-idempotent", {"no", "FALSE", "0"}},
          {"dotterelshift-team", {"a b", std::string(129, 'x')}},
          {"dotterelshift-budget", {"a\tb", std::string(129, 'x')}},
          {"idempotency-key",
           {"a b", "\xc3\xa9", "~e1.1", std::string(256, 'x')}},
      };
  for (const auto& [name, values] : headers) {
    for (const std::string& value : values) {
      std::string row_name = name;
      row_name.append(": ").append(value);
      rows.push_back({row_name, kBadHeader, kChatPath, kGood, {{name, value}}});
    }
  }
  rows.push_back({"not idempotent without a key",
                  kKeyRequired,
                  kChatPath,
                  kGood,
                  {{"dotterelshift-idempotent", "false"}}});
  return rows;
}

class CallerRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerRequestTest);
  CPPUNIT_TEST(InvalidRequestsAreRefusedWithTheirKind);
  CPPUNIT_TEST(MissingOrBrokenKeyIsUnauthorized);
  CPPUNIT_TEST(ChatRequestIsParsed);
  CPPUNIT_TEST(OutputLimitIsAlwaysSentToTheEndpoint);
  CPPUNIT_TEST(UsageIsAlwaysRequestedForStreams);
  CPPUNIT_TEST(HeadersAreParsed);
  CPPUNIT_TEST(ServiceCallsAreForwardedUnchanged);
  CPPUNIT_TEST(PromptBoundCoversTheBody);
  CPPUNIT_TEST(PromptsWithACommonPrefixShareHashes);
  CPPUNIT_TEST(ContentHashDistinguishesRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidRequestsAreRefusedWithTheirKind() {
    for (const Row& row : Rows()) {
      http::Request request = MakeRequest(row.path, row.body, row.headers);
      request.method = row.method;
      const auto parsed = Parse(request);
      const auto* refusal = std::get_if<Refusal>(&parsed);
      CPPUNIT_ASSERT_MESSAGE(row.name, refusal != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(RowOf(row.kind).name),
                                   std::string(RowOf(refusal->kind).name));
      CPPUNIT_ASSERT_MESSAGE(row.name, RowOf(refusal->kind).ran == Ran::kNo);
    }
  }

  void MissingOrBrokenKeyIsUnauthorized() {
    for (const std::string value :
         {"", "key", "Bearer ", "Basic key", "bearer key", "Bearer a b"}) {
      http::Request request = MakeRequest(kChatPath, kGood);
      request.headers = {{"authorization", value}};
      const auto parsed = Parse(request);
      const auto* refusal = std::get_if<Refusal>(&parsed);
      CPPUNIT_ASSERT_MESSAGE(value, refusal != nullptr);
      CPPUNIT_ASSERT_MESSAGE(value, refusal->kind == ErrorKind::kUnauthorized);
    }
  }

  void ChatRequestIsParsed() {
    const CallerRequest parsed = MustParse(MakeRequest(kChatPath, kGood));
    CPPUNIT_ASSERT(parsed.kind == RequestKind::kChat);
    CPPUNIT_ASSERT(parsed.key_hash == state::HashKey("key", "secret"));
    CPPUNIT_ASSERT_EQUAL(std::string("m"), parsed.target);
    CPPUNIT_ASSERT_EQUAL(kChatPath, parsed.path);
    CPPUNIT_ASSERT(parsed.idempotent);
    CPPUNIT_ASSERT(!parsed.stream);
    CPPUNIT_ASSERT(parsed.deadline == CallerLimits().default_deadline);
  }

  void OutputLimitIsAlwaysSentToTheEndpoint() {
    struct Case {
      std::string fields;
      Tokens limit;
    };
    for (const Case& c :
         std::vector<Case>{{"\"user\":\"u\"", 1024},
                           {"\"max_tokens\":null", 1024},
                           {"\"max_tokens\":7", 7},
                           {"\"max_completion_tokens\":9", 9},
                           {"\"max_tokens\":7,\"max_completion_tokens\":5", 5},
                           {"\"max_tokens\":32768", 32768}}) {
      const CallerRequest parsed =
          MustParse(MakeRequest(kChatPath, WithField(c.fields)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fields, c.limit, parsed.output_limit);
      const json body = json::parse(parsed.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fields, c.limit,
                                   body.at("max_tokens").get<Tokens>());
      if (body.contains("max_completion_tokens")) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            c.fields, c.limit, body.at("max_completion_tokens").get<Tokens>());
      }
    }
  }

  void UsageIsAlwaysRequestedForStreams() {
    const CallerRequest plain =
        MustParse(MakeRequest(kChatPath, WithField("\"stream\":true")));
    CPPUNIT_ASSERT(plain.stream && !plain.wants_usage);
    CPPUNIT_ASSERT(json::parse(plain.body)
                       .at("stream_options")
                       .at("include_usage")
                       .get<bool>());
    const CallerRequest asked = MustParse(MakeRequest(
        kChatPath,
        WithField(R"("stream":true,"stream_options":{"include_usage":true})")));
    CPPUNIT_ASSERT(asked.wants_usage);
  }

  void HeadersAreParsed() {
    const CallerRequest parsed =
        MustParse(MakeRequest(kChatPath, kGood,
                              {{"idempotency-key", "k-1"},
                               {"dotterelshift-idempotent", "false"},
                               {"dotterelshift-deadline-ms", "2500"},
                               {"dotterelshift-priority", "-10"},
                               {"dotterelshift-team", "dakar"},
                               {"dotterelshift-budget", "loans"}}));
    CPPUNIT_ASSERT_EQUAL(std::string("k-1"), parsed.idempotency_key);
    CPPUNIT_ASSERT(!parsed.idempotent);
    CPPUNIT_ASSERT(parsed.deadline == 2500ms);
    CPPUNIT_ASSERT_EQUAL(-10, parsed.priority);
    CPPUNIT_ASSERT_EQUAL(-10,
                         json::parse(parsed.body).at("priority").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("dakar"), parsed.claimed_team);
    CPPUNIT_ASSERT_EQUAL(std::string("loans"), parsed.budget);
  }

  void ServiceCallsAreForwardedUnchanged() {
    http::Request request =
        MakeRequest("/v1/services/loans/a%2Fb", "\xff not text",
                    {{"content-type", "image/png"}});
    request.method = "PUT";
    request.query = "q=1&r=%20";
    const CallerRequest parsed = MustParse(request);
    CPPUNIT_ASSERT(parsed.kind == RequestKind::kService);
    CPPUNIT_ASSERT_EQUAL(std::string("loans"), parsed.target);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"), parsed.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/services/loans/a%2Fb?q=1&r=%20"),
                         parsed.path);
    CPPUNIT_ASSERT_EQUAL(request.body, parsed.body);
    CPPUNIT_ASSERT_EQUAL(std::string("image/png"), parsed.content_type);
    CPPUNIT_ASSERT_EQUAL(Tokens{1}, parsed.output_limit);
  }

  void PromptBoundCoversTheBody() {
    const CallerRequest text = MustParse(MakeRequest(kChatPath, kGood));
    CPPUNIT_ASSERT(text.prompt_bound > Tokens(text.body.size()));
    const CallerRequest image = MustParse(
        MakeRequest(kChatPath,
                    R"({"model":"m","messages":[{"role":"user","content":[
            {"type":"text","text":"what"},
            {"type":"image_url","image_url":{"url":"http://x"}}]}]})"));
    CPPUNIT_ASSERT(image.prompt_bound > Tokens(image.body.size()) + 16000);
  }

  void PromptsWithACommonPrefixShareHashes() {
    const std::string common(600, 'a');
    const auto one = PrefixHashes("m", common + std::string(300, 'b'), 256, 64);
    const auto two = PrefixHashes("m", common + std::string(300, 'c'), 256, 64);
    const auto other = PrefixHashes("n", common, 256, 64);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, one.size());
    CPPUNIT_ASSERT(one[0] == two[0] && one[1] == two[1] && one[2] != two[2]);
    CPPUNIT_ASSERT(one[0] != one[1] && one[0] != other[0]);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         PrefixHashes("m", common + common, 256, 2).size());
    CPPUNIT_ASSERT(PrefixHashes("m", "short", 256, 64).empty());
  }

  void ContentHashDistinguishesRequests() {
    const auto hash = [](const std::string& body, const http::Headers& more) {
      return MustParse(MakeRequest(kChatPath, body, more)).content_hash;
    };
    const uint64_t first = hash(kGood, {});
    // The idempotency key and the whitespace of the JSON do not affect the
    // hash.
    CPPUNIT_ASSERT_EQUAL(first, hash(kGood, {{"idempotency-key", "k"}}));
    CPPUNIT_ASSERT_EQUAL(first, hash(" " + kGood + "\n", {}));
    CPPUNIT_ASSERT(first != hash(WithField("\"temperature\":1"), {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestTest);

}  // namespace
}  // namespace dotterelshift::callers
