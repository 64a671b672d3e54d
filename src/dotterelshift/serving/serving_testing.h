#ifndef DOTTERELSHIFT_SERVING_SERVING_TESTING_H_
#define DOTTERELSHIFT_SERVING_SERVING_TESTING_H_

#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT_MESSAGE

#include <algorithm>  // for min
#include <deque>      // for deque
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "dotterelshift/serving/request_core.h"  // for RequestCore
#include "dotterelshift/state/state_testing.h"   // for TestSender

// A test environment for the request core, with the real ledger, queue,
// directory, router and state. The test takes the role of control, endpoints
// and callers.
namespace dotterelshift::serving {

inline constexpr char kSecret[] = "secret";
inline constexpr WallMs kStamp = 1'700'000'000'000;

// Control as a single state machine that commits every command at once.
class TestControl {
 public:
  explicit TestControl(Tokens purchased,
                       wire::GrantWay way = wire::GrantWay::Witnessed)
      : state(state::MakeState()), m_operator(state.get(), "operator", 1) {
    m_operator.Send(wire::RegisterHostT(), kStamp);
    std::vector<wire::ChangeT> changes;
    changes.push_back(TeamWith(way));
    changes.push_back(Key());
    changes.push_back(Set());
    changes.push_back(state::BudgetChange("budget", "team"));
    Accept(std::move(changes));
    TopUp(purchased);
  }

  void TopUp(Tokens tokens) {
    std::vector<wire::ChangeT> changes;
    changes.push_back(state::TopUpChange("top-up-" + std::to_string(m_plans),
                                         "budget", tokens));
    Accept(std::move(changes));
  }

  wire::CommandAnswerT Commit(const wire::CommandT& command) {
    wire::CommandBatchT batch;
    batch.stamp_ms = ++stamp;
    batch.commands.push_back(std::make_unique<wire::CommandT>(command));
    return std::move(state->Apply(batch).front());
  }

  const state::BudgetAccount& Account() const {
    return *state->FindAccount("budget");
  }

  std::unique_ptr<state::State> state;
  WallMs stamp = kStamp;

 private:
  static wire::ChangeT TeamWith(wire::GrantWay way) {
    wire::ChangeT change = state::TeamChange("team", way);
    change.body.AsUpsertTeam()->team->endpoint_sets = {"all"};
    return change;
  }
  static wire::ChangeT Key() {
    const state::KeyHash hash = state::HashKey("key", kSecret);
    wire::UpsertKeyT body;
    body.key = std::make_unique<wire::ApiKeyT>();
    body.key->id = "key";
    body.key->team = "team";
    body.key->hash.assign(hash.begin(), hash.end());
    return state::ChangeOf(std::move(body));
  }
  static wire::ChangeT Set() {
    wire::UpsertEndpointSetT body;
    body.endpoint_set = std::make_unique<wire::EndpointSetT>();
    body.endpoint_set->id = "all";
    body.endpoint_set->models = {"model"};
    body.endpoint_set->services = {"loans"};
    return state::ChangeOf(std::move(body));
  }
  void Accept(std::vector<wire::ChangeT> changes) {
    state::Accept(m_operator, *state, "plan-" + std::to_string(++m_plans),
                  std::move(changes), ++stamp);
  }

  state::TestSender m_operator;
  int m_plans = 0;
};

// How a request ended.
struct TestEnd {
  ErrorKind kind = ErrorKind::kNone;
  int retry_after_seconds = 0;
};

// One entry and its adapters.
class TestEntry {
 public:
  TestEntry(TestControl* control, const HostId& host,
            RequestCoreOptions options = {})
      : m_control(control) {
    options.self = {host, 1};
    routing::RouterOptions routing;
    ledger = budget::MakeLedger();
    queue = admission::MakeFairQueue();
    router = routing::MakeRouter(routing);
    RequestCoreDependencies dependencies;
    dependencies.configuration = &control->state->GetConfiguration();
    dependencies.directory = &directory;
    dependencies.ledger = ledger.get();
    dependencies.router = router.get();
    dependencies.queue = queue.get();
    core = MakeRequestCore(options, dependencies);
    wire::CommandT registration;
    registration.id = std::make_unique<wire::CommandIdT>();
    registration.id->host = host;
    registration.id->incarnation = 1;
    registration.body.Set(wire::RegisterHostT());
    control->Commit(registration);
    Reach(ControlReach::kConnected);
  }

  void Reach(ControlReach reach) {
    connected = reach == ControlReach::kConnected;
    core->OnControlReach(reach, now);
    Pump();
  }

  // An endpoint announces that it is available, or draining.
  void Announce(const EndpointId& id, bool draining = false) {
    wire::EndpointRecordT record;
    record.id = id;
    record.address = record.id + ":1";
    record.incarnation = 1;
    record.sequence = ++m_sequence;
    record.draining = draining;
    record.slots = 8;
    record.models.push_back(std::make_unique<wire::ModelStateT>());
    record.models.back()->model = "model";
    record.services = {"loans"};
    directory.OnRecord(record, now);
    core->OnRefresh(now);
    Pump();
  }

  static callers::CallerRequest Chat(uint64_t content = 1) {
    callers::CallerRequest request;
    request.key_hash = state::HashKey("key", kSecret);
    request.target = "model";
    request.prompt_bound = 100;
    request.output_limit = 50;
    request.deadline = 60s;
    request.content_hash = content;
    return request;
  }

  // A request to a service that is not idempotent.
  static callers::CallerRequest Loan(const std::string& key,
                                     uint64_t content = 7) {
    callers::CallerRequest request = Chat(content);
    request.kind = callers::RequestKind::kService;
    request.target = "loans";
    request.prompt_bound = 10;
    request.output_limit = 0;
    request.idempotent = false;
    request.idempotency_key = key;
    return request;
  }

  RequestId Send(callers::CallerRequest request) {
    core->OnRequest(++m_last_request, std::move(request), now);
    Pump();
    return m_last_request;
  }

  // Events of an endpoint. The default attempt is the last one that was
  // started.
  ChunkVerdict Chunk(Tokens tokens, AttemptId attempt = 0) {
    serving::Chunk chunk;
    chunk.tokens = tokens;
    return Deliver(chunk, attempt);
  }
  ChunkVerdict SendUsage(Tokens prompt, Tokens output, AttemptId attempt = 0) {
    serving::Chunk chunk;
    chunk.has_usage = true;
    chunk.usage_prompt = prompt;
    chunk.usage_output = output;
    return Deliver(chunk, attempt);
  }
  void End(AttemptEnd end, AttemptId attempt = 0) {
    core->OnAttemptEnd(attempt == 0 ? LastStart().attempt : attempt, end, now);
    Pump();
  }
  void CallerGone(RequestId request) {
    core->OnCallerGone(request, now);
    Pump();
  }

  // Advances the clock in steps of 50 ms and runs the timers.
  void AdvanceClock(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      now = std::min(end, now + 50ms);
      for (const auto& [id, endpoint] : directory.All())
        directory.OnAlive(id, now);
      core->OnTimer(now);
      Pump();
    }
  }

  // Executes actions until none is left.
  void Pump() {
    for (;;) {
      std::vector<Action> actions = core->TakeActions();
      for (Action& action : actions)
        std::visit([this](auto& wanted) { Execute(wanted); }, action);
      const bool answered = connected && !held && AnswerOldest();
      if (actions.empty() && !answered) return;
    }
  }

  // Commits the oldest unanswered command and delivers its answer.
  bool AnswerOldest() {
    if (proposals.empty()) return false;
    const wire::CommandT command = std::move(proposals.front());
    proposals.pop_front();
    core->OnAnswer(m_control->Commit(command), now);
    return true;
  }

  // The number of proposed commands of one type that are not committed yet.
  template <typename Body>
  size_t CountProposed() const {
    size_t count = 0;
    for (const wire::CommandT& command : proposals)
      if (command.body.type == wire::CommandBodyUnionTraits<Body>::enum_value)
        ++count;
    return count;
  }

  bool HasEnded(RequestId request) const { return ends.contains(request); }
  ErrorKind EndOf(RequestId request) const { return ends.at(request).kind; }
  const StartAttempt& LastStart() const {
    CPPUNIT_ASSERT_MESSAGE("no attempt was started" + EndsText(),
                           !starts.empty());
    return starts.back();
  }

  Instant now = Instant{} + 1000s;
  bool connected = true;
  // Control accepts commands but does not answer them.
  bool held = false;
  // Control replicas that store spools are reachable.
  bool spooling_available = true;
  directory::Directory directory;
  std::unique_ptr<budget::Ledger> ledger;
  std::unique_ptr<admission::FairQueue> queue;
  std::unique_ptr<routing::Router> router;
  std::unique_ptr<RequestCore> core;
  std::vector<StartAttempt> starts;
  std::vector<AttemptId> cancelled;
  std::map<RequestId, TestEnd> ends;
  std::map<RequestId, int> end_counts;
  std::deque<wire::CommandT> proposals;
  std::vector<wire::CommandT> spooled;

 private:
  std::string EndsText() const {
    std::string text;
    for (const auto& [request, end] : ends)
      text.append("; ended: ").append(RowOf(end.kind).name);
    return text;
  }

  ChunkVerdict Deliver(const serving::Chunk& chunk, AttemptId attempt) {
    const AttemptId to = attempt == 0 ? LastStart().attempt : attempt;
    const ChunkVerdict verdict = core->OnChunk(to, chunk, now);
    Pump();
    return verdict;
  }

  void Execute(StartAttempt& action) { starts.push_back(action); }
  void Execute(CancelAttempt& action) { cancelled.push_back(action.attempt); }
  void Execute(FinishResponse& action) {
    ends[action.request] = {};
    ++end_counts[action.request];
  }
  void Execute(FailResponse& action) {
    ends[action.request] = {action.kind, action.retry_after_seconds};
    ++end_counts[action.request];
  }
  void Execute(ProposeCommand& action) {
    proposals.push_back(std::move(action.command));
  }
  void Execute(SpoolCommand& action) {
    spooled.push_back(action.command);
    if (spooling_available) core->OnSpooled(*action.command.id, now);
  }

  TestControl* m_control;
  uint64_t m_sequence = 0;
  RequestId m_last_request = 0;
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_SERVING_TESTING_H_
