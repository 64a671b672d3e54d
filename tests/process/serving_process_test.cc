// Runs real daemons on loopback under kills, drains and partitions. Compares
// what callers receive with what the endpoints ran and what control billed.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <csignal>  // for SIGTERM
#include <map>      // for map
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/base/tokens.h"  // for Tokens
#include "process/fleet.h"              // for Fleet
#include "process/link_proxy.h"         // for LinkProxy
#include "support/run_until.h"          // for RunUntil

namespace dotterelshift::testing {
namespace {

using nlohmann::json;

constexpr char kTeamKey[] = "team-key-0123456789";
constexpr Tokens kPurchased = 5'000'000;
constexpr int kTokensPerResponse = 30;
// Text in a prompt that makes a fake endpoint exit.
constexpr char kCrashMark[] = "crash-mark";

std::string Intent(const std::string& grant_way) {
  return R"(
teams:
  - {id: lib, policy: refusals_first, partition: 600s, endpoint_sets: [all],
     grant_way: )" +
         grant_way + R"(}
keys: [{id: lib-1, team: lib, key: team-key-0123456789}]
budgets: [{id: lib-b, team: lib}]
top_ups: [{id: first, budget: lib-b, tokens: 5M}]
endpoint_sets: [{id: all, endpoints: [f0, f1, f2, f3], models: [m], services: [loan]}]
)";
}

json Question(const std::string& text, bool stream) {
  return {{"model", "m"},
          {"stream", stream},
          {"max_tokens", 64},
          {"messages", {{{"role", "user"}, {"content", text}}}}};
}

// One caller's request with its own idempotency key, as the caller sees it.
struct Call {
  std::string key;
  std::string entry;
  std::string text;  // the prompt; if empty, the key
  std::string body;
  int status = 0;
  bool ended = false;
  http::TransferEnd end = http::TransferEnd::kNotSent;

  bool WholeAnswer() const {
    return status == 200 && end == http::TransferEnd::kWhole &&
           body.ends_with("data: [DONE]\n\n") &&
           body.find("\"error\"") == std::string::npos;
  }
  // "no", "yes" or "unknown" as the error reports; empty if it reports nothing.
  std::string Ran() const {
    const size_t at = body.find("\"ran\":\"");
    if (at == std::string::npos) return {};
    const size_t begin = at + 7;
    return body.substr(begin, body.find('"', begin) - begin);
  }
};

class ServingProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingProcessTest);
  CPPUNIT_TEST(StreamsSurviveTheLossOfAnEndpointAndAnEntry);
  CPPUNIT_TEST(ShutdownCompletesOpenStreams);
  CPPUNIT_TEST(TopUpDuringAnEntryPartition);
  CPPUNIT_TEST(NonIdempotentRequestRunsOnceAcrossEntries);
  CPPUNIT_TEST(RequestThatCrashesEndpointsIsQuarantined);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StreamsSurviveTheLossOfAnEndpointAndAnEntry() {
    StartFleet("witnessed");
    constexpr int kCalls = 200;
    std::vector<Call> calls(kCalls);
    int ended = 0;
    for (int i = 0; i < kCalls; ++i) {
      calls[i].key = "call-" + std::to_string(i);
      calls[i].entry = i % 2 == 0 ? "e1" : "e2";
      Start(calls[i], &ended);
    }
    // All requests are in flight, and some have received chunks.
    RunUntil(Loop(), "first chunks", [&] {
      int begun = 0;
      for (const Call& call : calls) begun += call.body.empty() ? 0 : 1;
      return begun > 20;
    });
    m_fleet->Kill("f0");
    m_fleet->Send("POST", Url("f1", "/control/drain"), {}, {});
    m_fleet->Kill("e2");
    RunUntil(Loop(), "the end of all requests",
             [&] { return ended == kCalls; });
    const std::map<std::string, int> ran = RunsByKey();
    for (const Call& call : calls) CheckReportedOutcome(call, ran);

    // Every caller without a complete response retries with the same key at the
    // entry that is still running.
    std::set<std::string> whole;
    for (Call& call : calls) {
      if (call.WholeAnswer()) whole.insert(call.key);
    }
    CPPUNIT_ASSERT(whole.size() < kCalls);
    int again = 0;
    int asked = 0;
    for (Call& call : calls) {
      if (call.WholeAnswer()) continue;
      const std::string key = call.key;
      call = {};
      call.key = key;
      call.entry = "e1";
      Start(call, &again);
      ++asked;
    }
    RunUntil(Loop(), "the retries", [&] { return again == asked; });
    for (const Call& call : calls) {
      CPPUNIT_ASSERT_MESSAGE(call.key + ": " + call.body, call.WholeAnswer());
    }
    CheckBilling(kCalls);
  }

  void ShutdownCompletesOpenStreams() {
    StartFleet("witnessed");
    constexpr int kCalls = 40;
    std::vector<Call> calls(kCalls);
    int ended = 0;
    for (int i = 0; i < kCalls; ++i) {
      calls[i].key = "call-" + std::to_string(i);
      calls[i].entry = "e1";
      Start(calls[i], &ended);
    }
    RunUntil(Loop(), "first chunks", [&] {
      int begun = 0;
      for (const Call& call : calls) begun += call.body.empty() ? 0 : 1;
      return begun == kCalls;
    });
    m_fleet->GetProcess("e1").Signal(SIGTERM);
    m_fleet->GetProcess("e1").Signal(SIGTERM);
    RunUntil(Loop(), "the end of all requests",
             [&] { return ended == kCalls; });
    for (const Call& call : calls) {
      CPPUNIT_ASSERT_MESSAGE(call.key + ": " + call.body, call.WholeAnswer());
    }
    CPPUNIT_ASSERT_EQUAL(0, m_fleet->AwaitExit("e1"));
    CheckBilling(kCalls);
    // The entry has returned the tokens that it held.
    const json report = Report();
    for (const json& budget : report.at("budgets")) {
      CPPUNIT_ASSERT_EQUAL(Tokens{0}, budget.at("granted").get<Tokens>());
    }
  }

  void TopUpDuringAnEntryPartition() {
    StartFleet("unwitnessed");
    // From its first response on, the entry holds a pre-authorized amount.
    CPPUNIT_ASSERT(AskOnce("e2", "before").WholeAnswer());
    m_links[1]->Cut();
    RunUntil(Loop(), "cut off", [&] {
      return m_fleet->Send("GET", Url("e2", "/readyz"), {}, {}).status == 503;
    });
    const HttpResponse confirmed = m_fleet->PlanAndConfirm(
        "c1", "top_ups: [{id: second, budget: lib-b, tokens: 1M}]\n");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(confirmed.body, 200, confirmed.status);
    // An entry that can record a settlement nowhere does not finish its
    // responses (bill_not_recorded). The other entry is not affected.
    CPPUNIT_ASSERT(AskOnce("e1", "meanwhile").WholeAnswer());
    m_links[1]->Heal();
    m_fleet->AwaitReady("e2");
    CPPUNIT_ASSERT(AskOnce("e2", "after").WholeAnswer());
    const json report = Report();
    CPPUNIT_ASSERT_EQUAL(kPurchased + 1'000'000,
                         report.at("budgets").at(0).at("bought").get<Tokens>());
    CPPUNIT_ASSERT(report.at("disagreements").empty());
  }

  void NonIdempotentRequestRunsOnceAcrossEntries() {
    StartFleet("witnessed");
    const http::Headers headers = {
        {"authorization", std::string("Bearer ") + kTeamKey},
        {"idempotency-key", "order-7"},
        {"dotterelshift-idempotent", "false"}};
    const HttpResponse first = m_fleet->Send(
        "POST", Url("e1", "/v1/services/loan/orders"), headers, "{\"book\":1}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, 200, first.status);
    const HttpResponse again = m_fleet->Send(
        "POST", Url("e2", "/v1/services/loan/orders"), headers, "{\"book\":1}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, 409, again.status);
    CPPUNIT_ASSERT(again.body.find("already_ran") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, RunsByKey().at("order-7"));
  }

  void RequestThatCrashesEndpointsIsQuarantined() {
    StartFleet("witnessed");
    constexpr int kHealthyCalls = 30;
    std::vector<Call> calls(kHealthyCalls);
    int ended = 0;
    for (int i = 0; i < kHealthyCalls; ++i) {
      calls[i].key = "call-" + std::to_string(i);
      calls[i].entry = i % 2 == 0 ? "e1" : "e2";
      Start(calls[i], &ended);
    }
    // The caller resends the crashing request, alternating between the entries.
    std::string last;
    for (int round = 0; round < 12 && last.find("quarantined") == last.npos;
         ++round) {
      Call poison;
      poison.key = std::string(kCrashMark) + std::to_string(round);
      poison.text = kCrashMark;
      poison.entry = round % 2 == 0 ? "e1" : "e2";
      int poison_ended = 0;
      Start(poison, &poison_ended);
      RunUntil(Loop(), "an answer", [&] { return poison_ended == 1; });
      CPPUNIT_ASSERT_MESSAGE(poison.body, !poison.WholeAnswer());
      last = poison.body;
    }
    CPPUNIT_ASSERT_MESSAGE(last, last.find("quarantined") != std::string::npos);
    // The connections of a process close before its parent sees that it ended.
    RunUntil(Loop(), "three dead endpoints", [&] { return CountDead() >= 3; });
    // The other requests must not be reported as quarantined. Those without a
    // complete response are retried, and the retry must complete.
    RunUntil(Loop(), "the end of all requests",
             [&] { return ended == kHealthyCalls; });
    for (Call& call : calls) {
      if (call.WholeAnswer()) continue;
      CPPUNIT_ASSERT_MESSAGE(
          call.body, call.body.find("quarantined") == std::string::npos);
      const Call again = AskOnce("e1", call.key);
      CPPUNIT_ASSERT_MESSAGE(again.body, again.WholeAnswer());
    }
    CPPUNIT_ASSERT_EQUAL(3, CountDead());
  }

 private:
  loop::Loop& Loop() { return m_fleet->GetLoop(); }
  std::string Url(const std::string& name, const std::string& path) const {
    return "http://" + m_fleet->HttpAddress(name) + path;
  }

  // Starts one control, two entries, each connected to it through a proxy of
  // its own, and four endpoints.
  void StartFleet(const std::string& grant_way) {
    m_links.clear();
    m_fleet = std::make_unique<Fleet>();
    m_fleet->StartControl("c1", {"c1"}, {});
    for (const char* entry : {"e1", "e2"}) {
      m_links.push_back(MakeLinkProxy(Loop(), m_fleet->PeerAddress("c1")));
      std::vector<std::string> dial = {m_links.back()->Address()};
      if (std::string(entry) == "e2")
        dial.push_back(m_fleet->PeerAddress("e1"));
      m_fleet->StartEntry(entry, dial, "shutdown_notice: 100ms\n");
    }
    for (const char* id : {"f0", "f1", "f2", "f3"}) {
      m_fleet->StartEndpoint(
          id, m_fleet->HttpAddress("e1") + "," + m_fleet->HttpAddress("e2"),
          {"--models", "m", "--services", "loan", "--tokens",
           std::to_string(kTokensPerResponse), "--token-interval-ms", "10",
           "--slots", "256", "--crash-mark", kCrashMark});
    }
    m_fleet->AwaitReady("e1");
    m_fleet->AwaitReady("e2");
    const HttpResponse confirmed =
        m_fleet->PlanAndConfirm("c1", Intent(grant_way));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(confirmed.body, 200, confirmed.status);
    for (const char* entry : {"e1", "e2"}) {
      m_fleet->AwaitVersion(entry, 1);
      AwaitEndpoints(entry);
    }
  }

  // Waits until the entry's metrics show all four endpoints as usable.
  void AwaitEndpoints(const std::string& entry) {
    RunUntil(Loop(), entry + " knows the endpoints", [&] {
      const HttpResponse answer =
          m_fleet->Send("GET", Url(entry, "/metrics"), {}, {});
      return answer.body.find("dotterelshift_endpoints_usable 4") !=
             std::string::npos;
    });
  }

  void Start(Call& call, int* ended) {
    http::TransferCallbacks callbacks;
    callbacks.on_head = [&call](int status, const http::Headers&) {
      call.status = status;
    };
    callbacks.on_chunk = [&call](std::string_view chunk) {
      call.body.append(chunk);
      return true;
    };
    callbacks.on_end = [&call, ended](http::TransferEnd end) {
      call.end = end;
      call.ended = true;
      ++*ended;
    };
    http::ClientRequest request;
    request.url = Url(call.entry, "/v1/chat/completions");
    request.headers = {{"authorization", std::string("Bearer ") + kTeamKey},
                       {"content-type", "application/json"},
                       {"idempotency-key", call.key}};
    request.body =
        Question(call.text.empty() ? call.key : call.text, true).dump();
    m_fleet->GetClient().Start(std::move(request), callbacks);
  }

  Call AskOnce(const std::string& entry, const std::string& key) {
    Call call;
    call.key = key;
    call.entry = entry;
    int ended = 0;
    Start(call, &ended);
    RunUntil(Loop(), key, [&] { return ended == 1; });
    return call;
  }

  int CountDead() const {
    int dead = 0;
    for (const char* id : {"f0", "f1", "f2", "f3"})
      dead += m_fleet->GetProcess(id).Ended() ? 1 : 0;
    return dead;
  }

  // How often the endpoints that still run received each request key.
  std::map<std::string, int> RunsByKey() {
    std::map<std::string, int> runs;
    for (const char* id : {"f0", "f1", "f2", "f3"}) {
      if (m_fleet->GetProcess(id).Ended()) continue;
      const HttpResponse answer =
          m_fleet->Send("GET", Url(id, "/control/served"), {}, {});
      for (const json& served : json::parse(answer.body)) {
        ++runs[served.at("key").get<std::string>()];
      }
    }
    return runs;
  }

  // Checks that a request reported as not run was run by no endpoint that still
  // exists, that callers of e1 get a complete response or a reported outcome,
  // and that all content belongs to the caller's own request.
  static void CheckReportedOutcome(const Call& call,
                                   const std::map<std::string, int>& ran) {
    if (call.Ran() == "no") {
      CPPUNIT_ASSERT_MESSAGE(call.key + ": " + call.body,
                             !ran.contains(call.key));
    }
    if (call.entry == "e1") {
      const bool spoken = call.WholeAnswer() || !call.Ran().empty();
      CPPUNIT_ASSERT_MESSAGE(call.key + ": " + call.body, spoken);
    }
    // No caller received content of another request.
    for (size_t at = call.body.find("\"content\":\""); at != std::string::npos;
         at = call.body.find("\"content\":\"", at + 1)) {
      const std::string text = call.body.substr(at + 11, call.key.size() + 1);
      CPPUNIT_ASSERT_EQUAL(call.key + "-", text);
    }
  }

  json Report() {
    const HttpResponse answer =
        m_fleet->SendOperatorRequest("c1", "GET", "report?team=lib", {});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
    return json::parse(answer.body);
  }

  // Checks that there are as many bills as complete responses, and that spend
  // stays within the budget.
  void CheckBilling(int whole_answers) {
    const json report = Report();
    int answered = 0;
    for (const json& day : report.at("days"))
      answered += day.at("answered").get<int>();
    CPPUNIT_ASSERT_EQUAL(whole_answers, answered);
    const json& budget = report.at("budgets").at(0);
    CPPUNIT_ASSERT(budget.at("spent").get<Tokens>() <= kPurchased);
    CPPUNIT_ASSERT(budget.at("free").get<Tokens>() >= 0);
    CPPUNIT_ASSERT_MESSAGE(report.dump(), report.at("disagreements").empty());
  }

  std::unique_ptr<Fleet> m_fleet;
  std::vector<std::unique_ptr<LinkProxy>> m_links;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingProcessTest);

}  // namespace
}  // namespace dotterelshift::testing
