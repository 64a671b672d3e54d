#include "dotterelshift/operators/api.h"

#include <sodium.h>  // for crypto_generichash, sodium_memcmp

#include <algorithm>          // for find_if
#include <array>              // for array
#include <nlohmann/json.hpp>  // for ordered_json

#include "dotterelshift/callers/front.h"     // for SendErrorResponse
#include "dotterelshift/operators/render.h"  // for RenderPlan
#include "dotterelshift/plan/intent.h"       // for ParseIntent
#include "dotterelshift/plan/planner.h"      // for MakePlan

namespace dotterelshift::operators {
namespace {

constexpr std::string_view kPrefix = "/operator/v1/";
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;

enum class Verb {
  kPlan,
  kConfirm,
  kStatus,
  kReport,
  kBudget,
  kEndpoints,
  kHosts,
  kOrders
};

struct VerbRow {
  Verb verb;
  std::string_view path;    // after the prefix
  std::string_view method;  // the only one allowed
};

constexpr std::array kVerbs = {
    VerbRow{Verb::kPlan, "plan", "POST"},
    VerbRow{Verb::kConfirm, "confirm", "POST"},
    VerbRow{Verb::kStatus, "status", "GET"},
    VerbRow{Verb::kReport, "report", "GET"},
    VerbRow{Verb::kBudget, "budget", "GET"},
    VerbRow{Verb::kEndpoints, "endpoints", "GET"},
    VerbRow{Verb::kHosts, "hosts", "GET"},
    VerbRow{Verb::kOrders, "orders", "GET"},
};

using ExchangePointer = std::shared_ptr<http::Exchange>;
using Digest = std::array<unsigned char, crypto_generichash_BYTES>;

Digest DigestOf(std::string_view text) {
  Digest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  return digest;
}

std::string_view BearerOf(const http::Request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = request.Header("authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size())
                                    : std::string_view();
}

void AnswerJson(http::Exchange& exchange, const Json& json) {
  exchange.Answer(
      kOk, {{"Content-Type", "application/json"}},
      json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n");
}

// The parameters of a query; each may be given once. Names and values are plain
// words, so no percent-decoding is needed.
struct Query {
  std::string team;
  std::string budget;
  std::string from;
  std::string to;
  std::string file;
};

// Returns the field for a query parameter; null if the name is unknown.
std::string* FieldOf(Query& query, std::string_view name) {
  if (name == "team") return &query.team;
  if (name == "budget") return &query.budget;
  if (name == "from") return &query.from;
  if (name == "to") return &query.to;
  if (name == "file") return &query.file;
  return nullptr;
}

// Parses a query; false if a parameter is unknown, repeated or has no '='.
bool ParseQuery(std::string_view text, Query* query) {
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const size_t equals = part.find('=');
    std::string* field = FieldOf(*query, part.substr(0, equals));
    if (!field || !field->empty() || equals == std::string_view::npos)
      return false;
    *field = part.substr(equals + 1);
  }
  return true;
}

// A request of an operator; Check() fills in all but the exchange.
struct Call {
  ExchangePointer exchange;
  Verb verb;
  std::string operator_name;
  std::string plan;  // of confirm
  Query query;
};

class ApiOnBackend : public Api {
 public:
  ApiOnBackend(const ApiOptions& options, Backend& backend)
      : m_secret(options.fleet_secret), m_backend(backend) {
    for (const settings::OperatorKey& key : options.keys)
      m_operators.push_back({key.name, DigestOf(key.key)});
  }

  void Accept(ExchangePointer exchange) override {
    Call call{.exchange = exchange};
    if (!Check(&call)) return;
    if (!Leads()) return RedirectToLeader(*exchange);
    if (call.verb == Verb::kConfirm) return Confirm(call);
    m_backend.ConfirmedRead([this, call](ErrorKind error) {
      if (error != ErrorKind::kNone) return Refuse(call, error);
      AnswerRead(call);
    });
  }

 private:
  struct Operator {
    std::string name;
    Digest digest;
  };

  static void Refuse(const Call& call, ErrorKind kind,
                     std::string_view detail = {}) {
    callers::SendErrorResponse(*call.exchange, kind, detail);
  }

  // Authenticates and routes a call. If it returns false, the call has been
  // answered with an error.
  bool Check(Call* call) const {
    const http::Request& request = call->exchange->GetRequest();
    // A host without keys that does not lead redirects every call to the
    // leader, which checks the key.
    const bool checked_elsewhere = m_operators.empty() && !Leads();
    if (!checked_elsewhere && !FindOperator(BearerOf(request), call)) {
      Refuse(*call, ErrorKind::kUnauthorized, "the operator key is not known");
      return false;
    }
    const ErrorKind error = Route(request, call);
    if (error != ErrorKind::kNone) Refuse(*call, error);
    return error == ErrorKind::kNone;
  }

  // Compares with every key in constant time, so that the response time does
  // not reveal how much of a key was guessed.
  bool FindOperator(std::string_view bearer, Call* call) const {
    const Digest digest = DigestOf(bearer);
    const Operator* found = nullptr;
    for (const Operator& one : m_operators) {
      const bool equal =
          sodium_memcmp(one.digest.data(), digest.data(), digest.size()) == 0;
      if (equal) found = &one;
    }
    if (!found || bearer.empty()) return false;
    call->operator_name = found->name;
    return true;
  }

  static ErrorKind Route(const http::Request& request, Call* call) {
    std::string_view path = request.path;
    if (!path.starts_with(kPrefix)) return ErrorKind::kUnknownPath;
    path.remove_prefix(kPrefix.size());
    const size_t slash = path.find('/');
    const std::string_view word = path.substr(0, slash);
    const auto row = std::find_if(
        kVerbs.begin(), kVerbs.end(),
        [&](const VerbRow& candidate) { return candidate.path == word; });
    if (row == kVerbs.end()) return ErrorKind::kUnknownPath;
    if (slash != std::string_view::npos) call->plan = path.substr(slash + 1);
    if (call->plan.empty() == (row->verb == Verb::kConfirm))
      return ErrorKind::kUnknownPath;
    if (request.method != row->method) return ErrorKind::kBadMethod;
    call->verb = row->verb;
    return ParseQuery(request.query, &call->query) ? ErrorKind::kNone
                                                   : ErrorKind::kBadField;
  }

  bool Leads() const {
    const std::string leader = m_backend.LeaderHttpAddress();
    return m_backend.GetState() && !leader.empty() &&
           leader == m_backend.SelfHttpAddress();
  }

  // Redirects a call to the leader; answers kNoQuorum if no other host is known
  // to lead.
  void RedirectToLeader(http::Exchange& exchange) const {
    const std::string leader = m_backend.LeaderHttpAddress();
    if (leader.empty() || leader == m_backend.SelfHttpAddress())
      return callers::SendErrorResponse(exchange, ErrorKind::kNoQuorum,
                                        "no leader is known");
    const http::Request& request = exchange.GetRequest();
    std::string url = "http://" + leader + request.path;
    if (!request.query.empty()) url += "?" + request.query;
    exchange.Answer(kTemporaryRedirect, {{"Location", url}}, "");
  }

  // Answers from the state, which a quorum has confirmed to be current.
  void AnswerRead(const Call& call) {
    const state::State& state = *m_backend.GetState();
    switch (call.verb) {
      case Verb::kPlan:
        return Plan(call);
      case Verb::kStatus:
        return AnswerJson(*call.exchange, RenderStatus(m_backend));
      case Verb::kReport:
        return Report(call);
      case Verb::kBudget:
        return Budget(call);
      case Verb::kEndpoints:
        return AnswerJson(*call.exchange,
                          RenderEndpoints(*m_backend.GetDirectory()));
      case Verb::kHosts:
        return AnswerJson(*call.exchange, RenderHosts(m_backend));
      case Verb::kOrders:
        return AnswerJson(*call.exchange, RenderOrders(state));
      case Verb::kConfirm:
        break;
    }
    Refuse(call, ErrorKind::kInternal);
  }

  void Plan(const Call& call) {
    auto plan = std::make_unique<wire::PlanT>();
    try {
      *plan = MakePlanOf(call);
    } catch (const Error& error) {
      return Refuse(call, error.Kind(), error.what());
    }
    plan->created_ms = m_backend.WallNow();
    const Json answer = RenderPlan(*plan);
    wire::StorePlanT body;
    body.plan = std::move(plan);
    Propose(
        std::move(body),
        [call, answer](const wire::CommandAnswerT&) {
          AnswerJson(*call.exchange, answer);
        },
        call);
  }

  wire::PlanT MakePlanOf(const Call& call) const {
    const http::Request& request = call.exchange->GetRequest();
    const std::string file =
        call.query.file.empty() ? "intent" : call.query.file;
    const plan::Intent intent = plan::ParseIntent(
        request.body, file, [this](std::string_view bearer_key) {
          return state::HashKey(bearer_key, m_secret);
        });
    return plan::MakePlan(intent, *m_backend.GetState(), m_backend.NewPlanId(),
                          call.operator_name);
  }

  void Confirm(const Call& call) {
    wire::ConfirmPlanT body;
    body.plan = call.plan;
    body.author = call.operator_name;
    Propose(
        std::move(body),
        [call](const wire::CommandAnswerT& answer) {
          const wire::PlanAnswerT* done = answer.body.AsPlanAnswer();
          AnswerJson(*call.exchange, {{"plan", call.plan},
                                      {"version", done ? done->version : 0},
                                      {"detail", answer.detail}});
        },
        call);
  }

  // Commits one command. Calls `on_done` with its answer, or answers `call`
  // with an error if the command is refused.
  template <typename Body>
  void Propose(Body body,
               std::function<void(const wire::CommandAnswerT&)> on_done,
               const Call& call) {
    wire::CommandT command;
    command.body.Set(std::move(body));
    m_backend.Propose(std::move(command),
                      [call, on_done = std::move(on_done)](
                          ErrorKind error, const wire::CommandAnswerT& answer) {
                        if (error != ErrorKind::kNone)
                          return Refuse(call, error);
                        if (answer.error != 0) {
                          return Refuse(call,
                                        static_cast<ErrorKind>(answer.error),
                                        answer.detail);
                        }
                        on_done(answer);
                      });
  }

  void Report(const Call& call) const {
    constexpr int64_t kDayMs = 24LL * 3600 * 1000;
    const int64_t today = m_backend.WallNow() / kDayMs;
    const auto first =
        call.query.from.empty() ? today : ParseDay(call.query.from);
    const auto last = call.query.to.empty() ? today : ParseDay(call.query.to);
    if (!first || !last || *first > *last)
      return Refuse(call, ErrorKind::kBadField,
                    "from and to are days like 2026-12-31, from not after to");
    const state::State& state = *m_backend.GetState();
    if (!call.query.team.empty() &&
        !state.GetConfiguration().FindTeam(call.query.team))
      return Refuse(call, ErrorKind::kBadField, "there is no such team");
    AnswerJson(*call.exchange,
               RenderReport(state, {call.query.team, *first, *last}));
  }

  void Budget(const Call& call) const {
    const state::State& state = *m_backend.GetState();
    const BudgetId& budget = call.query.budget;
    const auto budgets = RenderBudgets(state, budget);
    if (!budget.empty() && budgets.empty())
      return Refuse(call, ErrorKind::kBadField, "there is no such budget");
    AnswerJson(*call.exchange, budgets);
  }

  std::string m_secret;
  std::vector<Operator> m_operators;
  Backend& m_backend;
};

}  // namespace

std::unique_ptr<Api> MakeApi(const ApiOptions& options, Backend& backend) {
  return std::make_unique<ApiOnBackend>(options, backend);
}

}  // namespace dotterelshift::operators
