#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json
#include <optional>           // for optional
#include <string>             // for string
#include <vector>             // for vector

#include "dotterelshift/base/temporary_folder.h"     // for TemporaryFolder
#include "dotterelshift/callers/caller_request.h"    // for ParseCallerRequest
#include "dotterelshift/endpoints/announcement.h"    // for ParseAnnouncement
#include "dotterelshift/endpoints/attempt_runner.h"  // for MakeAttemptRunner
#include "dotterelshift/endpoints/order_sender.h"    // for SendOrder
#include "dotterelshift/http/server.h"               // for MakeServer
#include "dotterelshift/loop/loop.h"                 // for Loop
#include "process/process.h"                         // for Process

namespace dotterelshift::endpoints {
namespace {

using nlohmann::json;
using serving::AttemptEnd;

// How the fake endpoint is started, the request, and the expected result.
struct Row {
  std::string name;
  std::vector<std::string> options;
  bool stream;
  int limit;
  AttemptEnd end;
  Tokens tokens;       // counted by the entry
  Tokens usage;        // reported by the fake
  std::string served;  // outcome recorded by the fake; empty if none
};

std::vector<Row> Rows() {
  using enum AttemptEnd;
  return {
      {"stream", {}, true, 100, kWhole, 5, 5, "whole"},
      {"stream up to the limit", {}, true, 3, kWhole, 3, 3, "whole"},
      {"stream without usage", {"--no-usage"}, true, 9, kWhole, 5, 0, "whole"},
      {"stream past the limit",
       {"--ignore-limit"},
       true,
       3,
       kWhole,
       5,
       5,
       "whole"},
      {"stream cut", {"--cut-after", "2"}, true, 9, kDied, 2, 0, "cut"},
      {"cut before its head",
       {"--cut-after", "0"},
       true,
       9,
       kDied,
       0,
       0,
       "cut"},
      {"whole answer", {}, false, 9, kWhole, 0, 5, "whole"},
      {"refusal",
       {"--refuse-count", "1"},
       true,
       9,
       kRefusedBeforeRun,
       0,
       0,
       ""},
      {"too many wait",
       {"--max-waiting", "0"},
       true,
       9,
       kRefusedBeforeRun,
       0,
       0,
       ""},
      {"another model", {"--models", "n"}, true, 9, kCallerError, 0, 0, ""},
  };
}

// Checks that the fake endpoint, run as a separate process, follows the
// endpoint protocol.
class FakeEndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FakeEndpointTest);
  CPPUNIT_TEST(AttemptsEndAsExpected);
  CPPUNIT_TEST(CancelRecordsTheTokensWritten);
  CPPUNIT_TEST(CrashMarkEndsTheProcess);
  CPPUNIT_TEST(DrainIsAnnouncedAndRefusesNewWork);
  CPPUNIT_TEST(TerminationWaitsForOpenStreams);
  CPPUNIT_TEST(CacheEventsCanHaveGaps);
  CPPUNIT_TEST(StaleFencingNumberIsRefusedOnlyWhenChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AttemptsEndAsExpected() {
    for (const Row& row : Rows()) {
      StartFake(row.options);
      Run(row.stream, row.limit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<int>(row.end),
                                   static_cast<int>(*m_end));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.tokens, m_tokens);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.usage, m_usage);
      const json served = Get("/control/served");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.served.empty(),
                                   served.empty());
      if (row.served.empty()) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.served,
                                   served.at(0).value("state", ""));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("key-1"),
                                   served.at(0).value("key", ""));
    }
  }

  void CancelRecordsTheTokensWritten() {
    StartFake({"--tokens", "100000"});
    Start(true, 30000, "x");
    RunUntil([this] { return m_tokens > 0; });
    m_runner->Cancel(1);
    json served;
    do {
      served = Get("/control/served").at(0);
    } while (served.value("state", "") == "running");
    CPPUNIT_ASSERT(served.value("cancelled", false));
    CPPUNIT_ASSERT(served.value("tokens", Tokens{0}) >= m_tokens);
  }

  void CrashMarkEndsTheProcess() {
    StartFake({"--crash-mark", "poison"});
    Run(true, 9, "no harm");
    CPPUNIT_ASSERT(*m_end == AttemptEnd::kWhole);
    Run(true, 9, "this is poison");
    CPPUNIT_ASSERT(*m_end == AttemptEnd::kDied);
    CPPUNIT_ASSERT_EQUAL(EXIT_FAILURE, m_fake->Wait());
    Run(true, 9);
    CPPUNIT_ASSERT(*m_end == AttemptEnd::kNotSent);
  }

  void DrainIsAnnouncedAndRefusesNewWork() {
    StartFake({});
    CPPUNIT_ASSERT(!m_announced->record.draining);
    Get("/control/drain");
    RunUntil([this] { return m_announced->record.draining; });
    Run(true, 9);
    CPPUNIT_ASSERT(*m_end == AttemptEnd::kRefusedBeforeRun);
  }

  void TerminationWaitsForOpenStreams() {
    StartFake({"--tokens", "20"});
    Start(true, 100, "x");
    RunUntil([this] { return m_tokens > 0; });
    m_fake->Signal(SIGTERM);
    RunUntil([this] { return m_end.has_value(); });
    CPPUNIT_ASSERT(*m_end == AttemptEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(Tokens{20}, m_tokens);
    CPPUNIT_ASSERT_EQUAL(0, m_fake->Wait());
  }

  void CacheEventsCanHaveGaps() {
    StartFake({"--cache-gap", "2"});
    Run(true, 9, std::string(1100, 'x'));
    RunUntil([this] { return !m_cache_events.empty(); });
    // The cache events of the second and fourth of four blocks are lost.
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_cache_events.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_cache_events[0].sequence);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, m_cache_events[1].sequence);
    CPPUNIT_ASSERT(m_cache_events[0].prefix_hash == m_request.prefix_hashes[0]);
    CPPUNIT_ASSERT(m_cache_events[1].prefix_hash == m_request.prefix_hashes[2]);
  }

  void StaleFencingNumberIsRefusedOnlyWhenChecked() {
    for (const bool checks : {true, false}) {
      StartFake(checks ? std::vector<std::string>{"--checks-fencing"}
                       : std::vector<std::string>{});
      CPPUNIT_ASSERT_EQUAL(checks, m_announced->record.checks_fencing);
      CPPUNIT_ASSERT(Order(7, "new") == wire::OrderState::Done);
      RunUntil([this] { return m_announced->record.models.size() == 2; });
      CPPUNIT_ASSERT(Order(6, "old") == (checks ? wire::OrderState::Refused
                                                : wire::OrderState::Done));
      CPPUNIT_ASSERT_EQUAL(size_t{checks ? 1U : 2U},
                           Get("/control/orders").size());
    }
  }

  void tearDown() override {
    m_runner.reset();
    m_fake.reset();
  }

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // Starts the fake and waits for its first announcement, which contains its
  // address.
  void StartFake(const std::vector<std::string>& options) {
    m_fake.reset();
    m_announced.reset();
    m_cache_events.clear();
    std::vector<std::string> arguments = {
        std::string(DOTTERELSHIFT_BINARY_DIR) + "/fake_endpoint",
        "--announce",
        "127.0.0.1:" + std::to_string(m_entry->Port()),
        "--announce-interval-ms",
        "20",
        "--tokens",
        "5",
        "--token-interval-ms",
        "1",
        "--models",
        "m"};
    // A given option replaces the default value of the same option.
    for (size_t i = 0; i < options.size(); ++i) {
      const auto given = std::ranges::find(arguments, options[i]);
      if (given == arguments.end() || !options[i].starts_with("--")) {
        arguments.push_back(options[i]);
      } else {
        *(given + 1) = options[++i];
      }
    }
    m_fake =
        std::make_unique<testing::Process>(arguments, m_folder.File("log"));
    RunUntil([this] { return m_announced.has_value(); });
  }

  void OnAnnounce(http::Exchange& exchange) {
    auto parsed = ParseAnnouncement(exchange.GetRequest().body);
    exchange.Answer(200, {}, "{}");
    auto& announcement = std::get<Announcement>(parsed);
    m_cache_events.insert(m_cache_events.end(),
                          announcement.cache_events.begin(),
                          announcement.cache_events.end());
    m_announced.emplace(std::move(announcement));
  }

  void Start(bool stream, int limit, const std::string& prompt) {
    m_end.reset();
    m_tokens = 0;
    m_usage = 0;
    http::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"authorization", "Bearer key"},
                       {"idempotency-key", "key-1"}};
    request.body = json{
        {"model", "m"},
        {"prompt", prompt},
        {"stream", stream},
        {"max_tokens",
         limit}}.dump();
    m_request = std::get<callers::CallerRequest>(
        callers::ParseCallerRequest(request, {}, "secret"));
    m_runner->Start(1, m_announced->record.address, m_request, 30s);
  }

  void Run(bool stream, int limit, const std::string& prompt = "x") {
    Start(stream, limit, prompt);
    RunUntil([this] { return m_end.has_value(); });
  }

  json Get(const std::string& path) {
    http::ClientRequest request;
    request.method = "GET";
    request.url = "http://" + m_announced->record.address + path;
    std::string body;
    bool ended = false;
    http::TransferCallbacks callbacks;
    callbacks.on_chunk = [&body](std::string_view chunk) {
      body += chunk;
      return true;
    };
    callbacks.on_end = [&ended](http::TransferEnd) { ended = true; };
    m_client->Start(std::move(request), std::move(callbacks));
    RunUntil([&ended] { return ended; });
    return json::parse(body);
  }

  wire::OrderState Order(uint64_t fencing, const std::string& model) {
    wire::OrderT order;
    order.fencing = fencing;
    order.kind = wire::OrderKind::LoadModel;
    order.model = model;
    std::optional<wire::OrderState> state;
    SendOrder(*m_client, m_announced->record.address, order, 30s,
              [&state](wire::OrderState reached, const std::string&) {
                state = reached;
              });
    RunUntil([&state] { return state.has_value(); });
    return *state;
  }

  AttemptEvents Events() {
    return {
        .on_head = [](AttemptId, int, std::string_view) {},
        .on_chunk =
            [this](AttemptId, const serving::Chunk& chunk, std::string_view) {
              m_tokens += chunk.tokens;
              if (chunk.has_usage) m_usage = chunk.usage_output;
              return true;
            },
        .on_end = [this](AttemptId, AttemptEnd end) { m_end = end; }};
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) ev_run(m_loop.Raw(), EVRUN_ONCE);
  }

  TemporaryFolder m_folder;
  loop::Loop m_loop;
  std::optional<Announcement> m_announced;
  std::vector<wire::CacheEventT> m_cache_events;
  callers::CallerRequest m_request;
  std::optional<AttemptEnd> m_end;
  Tokens m_tokens = 0;
  Tokens m_usage = 0;
  std::unique_ptr<http::Server> m_entry = http::MakeServer(
      m_loop, {},
      [this](const ExchangePtr& exchange) { OnAnnounce(*exchange); });
  std::unique_ptr<http::Client> m_client = http::MakeClient(m_loop);
  std::unique_ptr<AttemptRunner> m_runner =
      MakeAttemptRunner(*m_client, {}, Events());
  std::unique_ptr<testing::Process> m_fake;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeEndpointTest);

}  // namespace
}  // namespace dotterelshift::endpoints
