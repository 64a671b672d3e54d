#include "dotterelshift/operators/api.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <nlohmann/json.hpp>  // for json

#include "dotterelshift/operators/render.h"      // for ParseDay
#include "dotterelshift/operators/test_mocks.h"  // for MockBackend
#include "dotterelshift/state/state_testing.h"   // for TestSender

namespace dotterelshift::operators {
namespace {

using nlohmann::json;

const std::string kIntent =
    "teams: [{id: ucad, endpoint_sets: [drafting]}]\n"
    "keys: [{id: ucad-1, team: ucad, key: 0123456789abcdef}]\n"
    "budgets: [{id: ucad-2026, team: ucad}]\n"
    "top_ups: [{id: po-1, budget: ucad-2026, tokens: 1k}]\n"
    "endpoint_sets: [{id: drafting, endpoints: [draft-1], models: [m]}]\n";

// A bad request, and the error kind and part of the detail that it must get.
struct BadCase {
  std::string method;
  std::string target;  // path, and query after a '?'
  std::string body;
  std::string authorization;
  ErrorKind kind;
  std::string detail;
};

const std::string kGoodKey = "Bearer operator-key-0001";

const BadCase kBadRequests[] = {
    {"GET", "status", "", "", ErrorKind::kUnauthorized, ""},
    {"GET", "status", "", "Bearer ", ErrorKind::kUnauthorized, ""},
    {"GET", "status", "", "Bearer operator-key-000", ErrorKind::kUnauthorized,
     ""},
    {"GET", "status", "", "Bearer operator-key-00011", ErrorKind::kUnauthorized,
     ""},
    {"GET", "status", "", "Basic operator-key-0001", ErrorKind::kUnauthorized,
     ""},
    {"GET", "nothing", "", kGoodKey, ErrorKind::kUnknownPath, ""},
    {"GET", "status/more", "", kGoodKey, ErrorKind::kUnknownPath, ""},
    {"POST", "confirm", "", kGoodKey, ErrorKind::kUnknownPath, ""},
    {"POST", "confirm/", "", kGoodKey, ErrorKind::kUnknownPath, ""},
    {"POST", "status", "", kGoodKey, ErrorKind::kBadMethod, ""},
    {"GET", "plan", "", kGoodKey, ErrorKind::kBadMethod, ""},
    {"GET", "confirm/p1", "", kGoodKey, ErrorKind::kBadMethod, ""},
    {"GET", "report?colour=red", "", kGoodKey, ErrorKind::kBadField, ""},
    {"GET", "report?team=a&team=b", "", kGoodKey, ErrorKind::kBadField, ""},
    {"GET", "report?team", "", kGoodKey, ErrorKind::kBadField, ""},
    {"GET", "report?team=none", "", kGoodKey, ErrorKind::kBadField, "no such"},
    {"GET", "report?from=2026-02-30", "", kGoodKey, ErrorKind::kBadField, ""},
    {"GET", "report?from=yesterday", "", kGoodKey, ErrorKind::kBadField, ""},
    {"GET", "report?from=2026-02-03&to=2026-02-02", "", kGoodKey,
     ErrorKind::kBadField, "not after"},
    {"GET", "budget?budget=none", "", kGoodKey, ErrorKind::kBadField,
     "no such"},
    {"POST", "confirm/none", "", kGoodKey, ErrorKind::kPlanUnknown, ""},
    {"POST", "plan", "", kGoodKey, ErrorKind::kBadIntent, "intent:1: "},
    {"POST", "plan?file=a.yaml", "team: []", kGoodKey, ErrorKind::kBadIntent,
     "a.yaml:1: unknown field 'team'"},
    {"POST", "plan", "top_ups: [{id: a, budget: b, tokens: -1}]", kGoodKey,
     ErrorKind::kBadIntent, "intent:1: "},
    {"POST", "plan", "top_ups: [{id: a, budget: b, tokens: 1X}]", kGoodKey,
     ErrorKind::kBadIntent, "wrong unit"},
    {"POST", "plan", "top_ups: [{id: a, budget: b, tokens: 9999999999G}]",
     kGoodKey, ErrorKind::kBadIntent, "too large"},
    {"POST", "plan", "teams: [{id: a}, {id: a}]", kGoodKey,
     ErrorKind::kBadIntent, "twice"},
    {"POST", "plan", "budgets: [{id: a, team: nobody}]", kGoodKey,
     ErrorKind::kBadIntent, "nobody"},
};

class ApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiTest);
  CPPUNIT_TEST(BadRequestsAreRefusedAndChangeNothing);
  CPPUNIT_TEST(PlanChangesNothingUntilConfirmed);
  CPPUNIT_TEST(ResentConfirmReturnsItsFirstAnswer);
  CPPUNIT_TEST(OnlyOneOfTwoPlansOnTheSameBaseIsConfirmed);
  CPPUNIT_TEST(StalePlanIsRefused);
  CPPUNIT_TEST(CallsWithoutAQuorumAreRefused);
  CPPUNIT_TEST(FollowerRedirectsToTheLeader);
  CPPUNIT_TEST(EntryWithoutKeysRedirectsToTheLeader);
  CPPUNIT_TEST(EveryReadVerbAnswers);
  CPPUNIT_TEST(BudgetShowsWhereItsTokensAre);
  CPPUNIT_TEST(ReportListsDisagreements);
  CPPUNIT_TEST(DaysAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_backend = std::make_unique<MockBackend>();
    MakeApiWith({{"awa", "operator-key-0001"}, {"lebo", "operator-key-0002"}});
  }

 private:
  void MakeApiWith(std::vector<settings::OperatorKey> keys) {
    m_api = MakeApi({std::move(keys), "fleet-secret"}, *m_backend);
  }

  MockExchange Send(const std::string& method, const std::string& target,
                    const std::string& body = "",
                    const std::string& authorization = kGoodKey) {
    const auto exchange = std::make_shared<MockExchange>();
    const size_t mark = target.find('?');
    exchange->request.method = method;
    exchange->request.path = "/operator/v1/" + target.substr(0, mark);
    if (mark != std::string::npos)
      exchange->request.query = target.substr(mark + 1);
    exchange->request.headers = {{"authorization", authorization}};
    exchange->request.body = body;
    m_api->Accept(exchange);
    return *exchange;
  }

  static void AssertRefused(const MockExchange& exchange, ErrorKind kind,
                            const std::string& what) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what + exchange.body, 1, exchange.answers);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what + exchange.body, RowOf(kind).status,
                                 exchange.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        what, std::string(RowOf(kind).name),
        json::parse(exchange.body)["error"]["kind"].get<std::string>());
  }

  json SendGood(const std::string& method, const std::string& target,
                const std::string& body = "",
                const std::string& authorization = kGoodKey) {
    const MockExchange exchange = Send(method, target, body, authorization);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(target + exchange.body, 200, exchange.status);
    CPPUNIT_ASSERT_EQUAL(1, exchange.answers);
    return json::parse(exchange.body);
  }

  std::string PlanOf(const std::string& intent,
                     const std::string& authorization = kGoodKey) {
    return SendGood("POST", "plan", intent, authorization)["plan"];
  }

  void BadRequestsAreRefusedAndChangeNothing() {
    for (const BadCase& bad : kBadRequests) {
      const MockExchange exchange =
          Send(bad.method, bad.target, bad.body, bad.authorization);
      std::string what = bad.method + " " + bad.target + " ";
      what += bad.body;
      AssertRefused(exchange, bad.kind, what);
      const std::string detail = json::parse(exchange.body)["error"]["detail"];
      what += ": " + detail;
      CPPUNIT_ASSERT_MESSAGE(what,
                             detail.find(bad.detail) != std::string::npos);
    }
    const state::Configuration& configuration =
        m_backend->state->GetConfiguration();
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, configuration.Version());
    CPPUNIT_ASSERT(configuration.AsChanges().empty());
    CPPUNIT_ASSERT(!m_backend->state->FindPlan("plan-1"));
  }

  void PlanChangesNothingUntilConfirmed() {
    const json plan = SendGood("POST", "plan", kIntent);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, plan["changes"].size());
    CPPUNIT_ASSERT(!m_backend->state->GetConfiguration().FindTeam("ucad"));
    const json done =
        SendGood("POST", "confirm/" + plan["plan"].get<std::string>());
    CPPUNIT_ASSERT(m_backend->state->GetConfiguration().FindTeam("ucad"));
    CPPUNIT_ASSERT_EQUAL(m_backend->state->GetConfiguration().Version(),
                         done["version"].get<uint64_t>());
    const json budget = SendGood("GET", "budget?budget=ucad-2026");
    CPPUNIT_ASSERT_EQUAL(1000, budget[0]["bought"].get<int>());
  }

  void ResentConfirmReturnsItsFirstAnswer() {
    const std::string plan = PlanOf(kIntent);
    const json first = SendGood("POST", "confirm/" + plan);
    PlanAndConfirm("teams: [{id: other}]\n");
    CPPUNIT_ASSERT(first == SendGood("POST", "confirm/" + plan));
    const json budget = SendGood("GET", "budget?budget=ucad-2026");
    CPPUNIT_ASSERT_EQUAL(1000, budget[0]["bought"].get<int>());
  }

  void PlanAndConfirm(const std::string& intent,
                      const std::string& authorization = kGoodKey) {
    SendGood("POST", "confirm/" + PlanOf(intent, authorization), "",
             authorization);
  }

  void OnlyOneOfTwoPlansOnTheSameBaseIsConfirmed() {
    PlanAndConfirm(kIntent);
    const std::string first = PlanOf("teams: [{id: ucad, weight: 2}]\n");
    const std::string second =
        PlanOf("teams: [{id: ucad, weight: 3}]\n", "Bearer operator-key-0002");
    SendGood("POST", "confirm/" + second, "", "Bearer operator-key-0002");
    const MockExchange refused = Send("POST", "confirm/" + first);
    AssertRefused(refused, ErrorKind::kPlanConflict, "");
    CPPUNIT_ASSERT_MESSAGE(refused.body,
                           refused.body.find("lebo") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        uint32_t{3},
        m_backend->state->GetConfiguration().FindTeam("ucad")->weight);
  }

  void StalePlanIsRefused() {
    PlanAndConfirm(kIntent);
    const std::string plan = PlanOf("teams: [{id: ucad, weight: 2}]\n");
    PlanAndConfirm("teams: [{id: pikine}]\n");
    PlanAndConfirm("remove: {teams: [ucad], keys: [ucad-1]}\n");
    const MockExchange refused = Send("POST", "confirm/" + plan);
    CPPUNIT_ASSERT_EQUAL(409, refused.status);
    CPPUNIT_ASSERT_MESSAGE(refused.body,
                           refused.body.find("ucad") != std::string::npos);
    CPPUNIT_ASSERT(!m_backend->state->GetConfiguration().FindTeam("ucad"));
  }

  void CallsWithoutAQuorumAreRefused() {
    m_backend->read_error = ErrorKind::kNoQuorum;
    for (const char* verb :
         {"status", "report", "budget", "endpoints", "hosts", "orders"})
      AssertRefused(Send("GET", verb), ErrorKind::kNoQuorum, verb);
    AssertRefused(Send("POST", "plan", kIntent), ErrorKind::kNoQuorum, "plan");
    m_backend->read_error = ErrorKind::kNone;
    const std::string plan = PlanOf(kIntent);
    m_backend->propose_error = ErrorKind::kNoQuorum;
    AssertRefused(Send("POST", "confirm/" + plan), ErrorKind::kNoQuorum, "");
    CPPUNIT_ASSERT(!m_backend->state->GetConfiguration().FindTeam("ucad"));
  }

  void FollowerRedirectsToTheLeader() {
    m_backend->leader = "127.0.0.1:9";
    const MockExchange redirected = Send("GET", "report?team=ucad");
    CPPUNIT_ASSERT_EQUAL(307, redirected.status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("http://127.0.0.1:9/operator/v1/report?team=ucad"),
        redirected.headers.at(0).second);
    AssertRefused(Send("GET", "status", "", "Bearer wrong"),
                  ErrorKind::kUnauthorized, "");
    m_backend->leader = "";
    AssertRefused(Send("GET", "status"), ErrorKind::kNoQuorum, "");
  }

  void EntryWithoutKeysRedirectsToTheLeader() {
    MakeApiWith({});
    AssertRefused(Send("GET", "status"), ErrorKind::kUnauthorized, "leads");
    m_backend->leader = "127.0.0.1:9";
    CPPUNIT_ASSERT_EQUAL(307, Send("GET", "status").status);
    m_backend->leader = "";
    AssertRefused(Send("GET", "status"), ErrorKind::kNoQuorum, "none leads");
  }

  void EveryReadVerbAnswers() {
    PlanAndConfirm(kIntent);
    CPPUNIT_ASSERT_EQUAL(1, SendGood("GET", "status")["teams"].get<int>());
    CPPUNIT_ASSERT(SendGood("GET", "report")["disagreements"].empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("draft-1"),
        SendGood("GET", "endpoints")[0]["endpoint"].get<std::string>());
    CPPUNIT_ASSERT(SendGood("GET", "hosts").is_array());
    CPPUNIT_ASSERT(SendGood("GET", "orders").is_array());
  }

  // A state whose days do not match its accounts, and that reports a
  // disagreement of its own.
  class DisagreeingState : public MockState {
   public:
    using MockState::MockState;
    std::vector<state::TeamDay> Report(const TeamId&, int64_t,
                                       int64_t) const override {
      state::TeamDay day;
      day.team = "ucad";
      day.billed = 5;
      return {day};
    }
    std::vector<std::string> Disagreements() const override {
      return {"the state's own line"};
    }
  };

  // A team can be refused before its total is spent, because holders keep the
  // rest. Operators must see which holders, and which of them are dead.
  void BudgetShowsWhereItsTokensAre() {
    wire::PublishRoutesT routes;
    routes.version = 1;
    auto total = std::make_unique<wire::TeamTotalT>();
    total->team = "ucad";
    total->tokens = 1000;
    routes.totals.push_back(std::move(total));
    wire::CommandT command;
    command.body.Set(std::move(routes));
    m_backend->Propose(std::move(command), [](ErrorKind, const auto&) {});
    state::TestSender dead(m_backend->state.get(), "entry-1", 1);
    dead.Send(state::GrantRequestOf("ucad", 300), 1);
    state::TestSender live(m_backend->state.get(), "entry-1", 2);
    live.Send(state::GrantRequestOf("ucad", 100), 1);
    const json budget = json::parse(Send("GET", "budget?budget=ucad").body)[0];
    CPPUNIT_ASSERT_EQUAL(1000, budget["bought"].get<int>());
    CPPUNIT_ASSERT_EQUAL(300, budget["stranded"].get<int>());
    CPPUNIT_ASSERT_EQUAL(100, budget["granted"].get<int>());
    CPPUNIT_ASSERT_EQUAL(600, budget["free"].get<int>());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, budget["holders"].size());
    for (const json& holder : budget["holders"])
      CPPUNIT_ASSERT_EQUAL(holder["tokens"].get<int>() == 300,
                           holder["dead"].get<bool>());
  }

  void ReportListsDisagreements() {
    PlanAndConfirm(kIntent);
    const DisagreeingState state(*m_backend->state);
    const json lines = RenderReport(state, {"ucad", 0, 1})["disagreements"];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(lines.dump(), size_t{3}, lines.size());
    for (const char* part :
         {"the state's own line", "billed 5, more than spent 0",
          "its budgets billed 0, its days 5"})
      CPPUNIT_ASSERT_MESSAGE(lines.dump(),
                             lines.dump().find(part) != std::string::npos);
  }

  void DaysAreChecked() {
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-02"),
                         FormatDay(*ParseDay("2026-12-02")));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, *ParseDay("1970-01-01"));
    for (const char* bad : {"", "2026-1-02", "2026-13-01", "2026-02-29",
                            "1969-12-31", "2026-+1-01", "2026-12-0x"})
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseDay(bad));
  }

  std::unique_ptr<MockBackend> m_backend;
  std::unique_ptr<Api> m_api;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiTest);

}  // namespace
}  // namespace dotterelshift::operators
