#ifndef DOTTERELSHIFT_OPERATORS_TEST_MOCKS_H_
#define DOTTERELSHIFT_OPERATORS_TEST_MOCKS_H_

#include <memory>   // for unique_ptr
#include <string>   // for string
#include <utility>  // for move
#include <vector>   // for vector

#include "dotterelshift/operators/api.h"  // for Backend

// Mocks of the interfaces around the operator API, for the contract tests.
namespace dotterelshift::operators {

// Records the response and counts how often one was given.
class MockExchange : public http::Exchange {
 public:
  const http::Request& GetRequest() const override { return request; }
  void Answer(int answer_status, const http::Headers& answer_headers,
              std::string answer_body) override {
    ++answers;
    status = answer_status;
    headers = answer_headers;
    body = std::move(answer_body);
  }
  void SendHead(int, const http::Headers&) override {}
  void WriteChunk(std::string_view) override {}
  void Finish() override {}
  void Abort() override {}
  size_t Backlog() const override { return 0; }
  void OnGone(std::function<void()>) override {}
  void OnDrained(std::function<void()>) override {}

  http::Request request;
  int answers = 0;
  int status = 0;
  http::Headers headers;
  std::string body;
};

// Forwards every call to another state. Tests override the functions that are
// to return inconsistent data.
class MockState : public state::State {
 public:
  explicit MockState(state::State& real) : m_real(real) {}
  std::vector<wire::CommandAnswerT> Apply(
      const wire::CommandBatchT& batch) override {
    return m_real.Apply(batch);
  }
  std::string Snapshot() const override { return m_real.Snapshot(); }
  void Restore(std::string_view snapshot) override { m_real.Restore(snapshot); }
  const state::Configuration& GetConfiguration() const override {
    return m_real.GetConfiguration();
  }
  std::vector<wire::ChangeT> ChangesSince(uint64_t version) const override {
    return m_real.ChangesSince(version);
  }
  const state::BudgetAccount* FindAccount(
      const BudgetId& budget) const override {
    return m_real.FindAccount(budget);
  }
  bool KnowsTopUp(const std::string& top_up) const override {
    return m_real.KnowsTopUp(top_up);
  }
  std::vector<state::Holding> HoldingsOf(
      const BudgetId& budget) const override {
    return m_real.HoldingsOf(budget);
  }
  const wire::PlanT* FindPlan(const std::string& plan) const override {
    return m_real.FindPlan(plan);
  }
  std::vector<wire::OrderT> Orders() const override { return m_real.Orders(); }
  std::vector<wire::SuspectAnswerT> Quarantined(WallMs now) const override {
    return m_real.Quarantined(now);
  }
  std::vector<HostEntry> Hosts() const override { return m_real.Hosts(); }
  std::vector<state::TeamDay> Report(const TeamId& team, int64_t first_day,
                                     int64_t last_day) const override {
    return m_real.Report(team, first_day, last_day);
  }
  std::vector<std::string> Disagreements() const override {
    return m_real.Disagreements();
  }
  state::PublishedRoutes GetPublished() const override {
    return m_real.GetPublished();
  }
  std::vector<wire::RoutesStepT> RouteDeltasSince(
      uint64_t version) const override {
    return m_real.RouteDeltasSince(version);
  }
  state::BudgetAccount PublishedSums() const override {
    return m_real.PublishedSums();
  }
  std::vector<BudgetId> PublishedBudgets() const override {
    return m_real.PublishedBudgets();
  }
  WallMs LastStamp() const override { return m_real.LastStamp(); }

 private:
  state::State& m_real;
};

// A daemon that leads by default, with a real state that applies each command
// immediately.
class MockBackend : public Backend {
 public:
  MockBackend() {
    wire::EndpointRecordT record;
    record.id = "draft-1";
    record.incarnation = 1;
    directory.OnRecord(record, Instant{});
  }

  void Propose(
      wire::CommandT command,
      std::function<void(ErrorKind, wire::CommandAnswerT)> callback) override {
    if (propose_error != ErrorKind::kNone) return callback(propose_error, {});
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = "control-1";
    command.id->incarnation = 1;
    command.id->sequence = ++m_sequence;
    wire::CommandBatchT batch;
    batch.stamp_ms = WallNow();
    batch.commands.push_back(
        std::make_unique<wire::CommandT>(std::move(command)));
    auto answers = state->Apply(batch);
    callback(ErrorKind::kNone, std::move(answers.at(0)));
  }
  void ConfirmedRead(std::function<void(ErrorKind)> callback) override {
    callback(read_error);
  }
  const state::State* GetState() const override { return state.get(); }
  const directory::Directory* GetDirectory() const override {
    return &directory;
  }
  std::vector<peers::PeerInfo> Peers() const override { return {}; }
  std::string LeaderHttpAddress() const override { return leader; }
  std::string SelfHttpAddress() const override { return "127.0.0.1:8"; }
  std::string StatusText() const override { return R"({"role": "control"})"; }
  WallMs WallNow() const override { return 1'800'000'000'000; }
  std::string NewPlanId() override {
    return "plan-" + std::to_string(++m_plans);
  }

  std::unique_ptr<state::State> state = state::MakeState();
  directory::Directory directory;
  std::string leader = "127.0.0.1:8";
  ErrorKind read_error = ErrorKind::kNone;
  ErrorKind propose_error = ErrorKind::kNone;

 private:
  uint64_t m_sequence = 0;
  int m_plans = 0;
};

}  // namespace dotterelshift::operators

#endif  // DOTTERELSHIFT_OPERATORS_TEST_MOCKS_H_
