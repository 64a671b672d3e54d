#ifndef DOTTERELSHIFT_STATE_STATE_TESTING_H_
#define DOTTERELSHIFT_STATE_STATE_TESTING_H_

#include <memory>   // for make_unique
#include <string>   // for string
#include <utility>  // for move
#include <vector>   // for vector

#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

// Helpers that build and send commands, for tests and benchmarks.
namespace dotterelshift::state {

// Sends commands of one host incarnation to a state, with increasing sequences.
class TestSender {
 public:
  TestSender(State* state, HostId host, Incarnation incarnation)
      : m_state(state), m_run{std::move(host), incarnation} {}

  template <typename Body>
  wire::CommandT Command(Body body) {
    wire::CommandT command;
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = m_run.host;
    command.id->incarnation = m_run.incarnation;
    command.id->sequence = ++m_sequence;
    command.body.Set(std::move(body));
    return command;
  }

  template <typename Body>
  wire::CommandAnswerT Send(Body body, WallMs stamp) {
    return Resend(Command(std::move(body)), stamp);
  }

  wire::CommandAnswerT Resend(const wire::CommandT& command, WallMs stamp) {
    wire::CommandBatchT batch;
    batch.stamp_ms = stamp;
    batch.commands.push_back(std::make_unique<wire::CommandT>(command));
    return std::move(m_state->Apply(batch).front());
  }

  const HostRun& Id() const { return m_run; }

 private:
  State* m_state;
  HostRun m_run;
  uint64_t m_sequence = 0;
};

template <typename Body>
wire::ChangeT ChangeOf(Body body) {
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

inline wire::ChangeT TeamChange(
    const TeamId& id, wire::GrantWay grant_mode = wire::GrantWay::Witnessed,
    uint32_t partition_seconds = 60) {
  wire::UpsertTeamT body;
  body.team = std::make_unique<wire::TeamT>();
  body.team->id = id;
  body.team->grant_way = grant_mode;
  body.team->partition_seconds = partition_seconds;
  return ChangeOf(std::move(body));
}

inline wire::ChangeT BudgetChange(const BudgetId& id, const TeamId& team) {
  wire::UpsertBudgetT body;
  body.budget = std::make_unique<wire::BudgetT>();
  body.budget->id = id;
  body.budget->team = team;
  return ChangeOf(std::move(body));
}

inline wire::ChangeT TopUpChange(const std::string& id, const BudgetId& budget,
                                 Tokens tokens) {
  wire::TopUpT body;
  body.id = id;
  body.budget = budget;
  body.tokens = tokens;
  return ChangeOf(std::move(body));
}

inline wire::StorePlanT PlanOf(const std::string& id, uint64_t base,
                               const std::string& author,
                               std::vector<wire::ChangeT> changes) {
  wire::StorePlanT body;
  body.plan = std::make_unique<wire::PlanT>();
  body.plan->id = id;
  body.plan->base_version = base;
  body.plan->author = author;
  for (wire::ChangeT& change : changes)
    body.plan->changes.push_back(
        std::make_unique<wire::ChangeT>(std::move(change)));
  return body;
}

inline wire::ConfirmPlanT ConfirmOf(const std::string& id) {
  wire::ConfirmPlanT body;
  body.plan = id;
  return body;
}

// Stores and confirms a plan based on the newest version. Returns the answer to
// the confirmation.
inline wire::CommandAnswerT Accept(TestSender& run, State& state,
                                   const std::string& id,
                                   std::vector<wire::ChangeT> changes,
                                   WallMs stamp) {
  run.Send(PlanOf(id, state.GetConfiguration().Version(), "operator",
                  std::move(changes)),
           stamp);
  return run.Send(ConfirmOf(id), stamp);
}

inline wire::RequestGrantT GrantRequestOf(const BudgetId& budget, Tokens wanted,
                                          Tokens demand = 0,
                                          Tokens minimum = 1) {
  wire::RequestGrantT body;
  body.budget = budget;
  body.wanted = wanted;
  body.minimum = minimum;
  body.demand_per_second = demand;
  return body;
}

inline wire::OpenAttemptT OpeningOf(const BudgetId& budget,
                                    const std::string& key, AttemptId attempt,
                                    Tokens reserved) {
  wire::OpenAttemptT body;
  body.budget = budget;
  body.team = "team";
  body.request_key = key;
  body.attempt = attempt;
  body.reserved = reserved;
  return body;
}

inline wire::SettleT SettlementOf(const BudgetId& budget,
                                  const std::string& key, AttemptId attempt,
                                  Tokens reserved, Tokens spent,
                                  bool witnessed = true) {
  wire::SettleT body;
  body.budget = budget;
  body.team = "team";
  body.request_key = key;
  body.attempt = attempt;
  body.reserved = reserved;
  body.spent = spent;
  body.billed = spent;
  body.outcome = wire::Outcome::Answered;
  body.witnessed = witnessed;
  return body;
}

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_STATE_TESTING_H_
