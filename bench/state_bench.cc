// Measures the memory per record of each kind, as the slope over several sizes;
// the state at the size expected after two years; the commands applied per
// second; and the time of a reservation on a held grant.
#include <malloc.h>  // for mallinfo2

#include <algorithm>   // for sort
#include <chrono>      // for steady_clock
#include <cstdio>      // for printf
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/budget/ledger.h"        // for Ledger
#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/state/state.h"          // for State
#include "dotterelshift/state/state_testing.h"  // for TestSender

namespace dotterelshift {
namespace {

constexpr WallMs kStamp = 1'700'000'000'000;
constexpr size_t kTwoYearBudgets = 210'000;
constexpr size_t kTwoYearTeams = 37'000;

size_t UsedBytes() { return mallinfo2().uordblks; }

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Builds a state by submitting batches of changes as its operator.
class StateBuilder {
 public:
  StateBuilder()
      : m_state(state::MakeState()), m_operator(m_state.get(), "control", 1) {}

  state::State& GetState() { return *m_state; }

  void AddTeams(size_t count, bool with_keys) {
    for (size_t i = 0; i < count; ++i) {
      const std::string id = "team-" + std::to_string(m_teams++);
      wire::ChangeT change = state::TeamChange(id);
      change.body.AsUpsertTeam()->team->endpoint_sets = {"drafting"};
      Add(std::move(change));
      if (with_keys) AddKey(id);
    }
    Flush();
  }

  void AddBudgets(size_t count, Tokens tokens = 0) {
    for (size_t i = 0; i < count; ++i) {
      const std::string team = "team-" + std::to_string(m_budgets % m_teams);
      const BudgetId budget = BudgetOf(m_budgets++);
      Add(state::BudgetChange(budget, team));
      if (tokens > 0) Add(state::TopUpChange("t" + budget, budget, tokens));
    }
    Flush();
  }

  static BudgetId BudgetOf(size_t index) {
    return "budget-" + std::to_string(index);
  }

 private:
  void AddKey(const TeamId& team) {
    const state::KeyHash hash = state::HashKey(team, "a secret of the fleet");
    wire::UpsertKeyT body;
    body.key = std::make_unique<wire::ApiKeyT>();
    body.key->id = "key-" + team;
    body.key->team = team;
    body.key->hash.assign(hash.begin(), hash.end());
    Add(state::ChangeOf(std::move(body)));
  }

  void Add(wire::ChangeT change) {
    m_changes.push_back(std::move(change));
    if (m_changes.size() >= 500) Flush();
  }

  void Flush() {
    state::Accept(m_operator, *m_state, "p" + std::to_string(++m_plans),
                  std::move(m_changes), kStamp);
    m_changes.clear();
  }

  std::unique_ptr<state::State> m_state;
  state::TestSender m_operator;
  std::vector<wire::ChangeT> m_changes;
  size_t m_teams = 0;
  size_t m_budgets = 0;
  size_t m_plans = 0;
};

// Returns the bytes of state that n records of one kind take.
using Fill = std::function<size_t(size_t)>;

// Returns the bytes by which `fill` grows the memory in use after `prepare`.
size_t Measured(const std::function<void(StateBuilder&)>& prepare,
                const std::function<void(StateBuilder&)>& fill) {
  StateBuilder filled;
  prepare(filled);
  // Memory that `prepare` uses, such as a plan kept in the history, is not
  // counted.
  const size_t before = UsedBytes();
  fill(filled);
  return UsedBytes() - before;
}

void PrintSlope(const char* what, const std::vector<size_t>& sizes,
                const Fill& bytes_of) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  std::printf("| %s |", what);
  for (const size_t size : sizes) {
    const auto x = static_cast<double>(size);
    const auto y = static_cast<double>(bytes_of(size));
    std::printf(" %zu: %.0f", size, y);
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const auto n = static_cast<double>(sizes.size());
  const double slope =
      (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  std::printf(" | %.0f |\n", slope);
}

void PrintSlopes() {
  std::printf("| record | size: bytes | bytes each (fit) |\n|---|---|---|\n");
  const auto nothing = [](StateBuilder&) {};
  const auto one_budget = [](StateBuilder& filled) {
    filled.AddTeams(1, false);
    filled.AddBudgets(1);
  };
  const std::vector<size_t> sizes = {20'000, 40'000, 80'000};
  PrintSlope("team", sizes, [&](size_t n) {
    return Measured(nothing, [n](StateBuilder& f) { f.AddTeams(n, false); });
  });
  PrintSlope("team with a key", sizes, [&](size_t n) {
    return Measured(nothing, [n](StateBuilder& f) { f.AddTeams(n, true); });
  });
  PrintSlope("budget", {50'000, 100'000, 200'000}, [&](size_t n) {
    return Measured([](StateBuilder& f) { f.AddTeams(10'000, false); },
                    [n](StateBuilder& f) { f.AddBudgets(n); });
  });
  PrintSlope("grant (one holder of a budget)", sizes, [&](size_t n) {
    return Measured(
        [n](StateBuilder& f) {
          f.AddTeams(1, false);
          f.AddBudgets(n, 100);
        },
        [n](StateBuilder& f) {
          state::TestSender entry(&f.GetState(), "entry", 1);
          for (size_t i = 0; i < n; ++i) {
            auto grant_request =
                state::GrantRequestOf(StateBuilder::BudgetOf(i), 10, 5);
            entry.Send(std::move(grant_request), kStamp);
          }
        });
  });
  PrintSlope("bill", sizes, [&](size_t n) {
    return Measured(one_budget, [n](StateBuilder& f) {
      state::TestSender entry(&f.GetState(), "entry", 1);
      for (size_t i = 0; i < n; ++i) {
        entry.Send(state::SettlementOf(StateBuilder::BudgetOf(0),
                                       "~" + std::to_string(i), i, 0, 0),
                   kStamp);
      }
    });
  });
  PrintSlope("claim", sizes, [&](size_t n) {
    return Measured(one_budget, [n](StateBuilder& f) {
      state::TestSender entry(&f.GetState(), "entry", 1);
      for (size_t i = 0; i < n; ++i) {
        wire::ClaimT claim;
        claim.team = "team-0";
        claim.request_key = "k" + std::to_string(i);
        claim.attempt = i;
        entry.Send(std::move(claim), kStamp);
      }
    });
  });
  PrintSlope("key of an aged request", sizes, [&](size_t n) {
    return Measured(one_budget, [n](StateBuilder& f) {
      state::TestSender entry(&f.GetState(), "entry", 1);
      for (size_t i = 0; i < n; ++i) {
        entry.Send(state::SettlementOf(StateBuilder::BudgetOf(0),
                                       "k" + std::to_string(i), i, 0, 0),
                   kStamp);
      }
      entry.Send(wire::AgeOutT(), kStamp + 10 * 86'400'000LL);
    });
  });
  PrintSlope("endpoint (directory)", {500, 1'000, 2'000}, [&](size_t n) {
    const size_t before = UsedBytes();
    directory::Directory directory;
    for (size_t i = 0; i < n; ++i) {
      wire::EndpointRecordT record;
      record.id = "endpoint-" + std::to_string(i);
      record.incarnation = 1;
      record.sequence = 1;
      record.address = "10.0.0.1:" + std::to_string(i);
      record.models.push_back(std::make_unique<wire::ModelStateT>());
      record.models.back()->model = "draft";
      directory.OnRecord(record, Instant(Duration{1s}));
    }
    directory.TakeDelta(Instant(Duration{1s}));
    return UsedBytes() - before;
  });
}

void PrintTwoYearSize() {
  const size_t bytes = Measured([](StateBuilder&) {},
                                [](StateBuilder& f) {
                                  f.AddTeams(kTwoYearTeams, true);
                                  f.AddBudgets(kTwoYearBudgets);
                                });
  std::printf("\n%zu budgets, %zu teams and their keys: %.1f MB (10^6 bytes)\n",
              kTwoYearBudgets, kTwoYearTeams, static_cast<double>(bytes) / 1e6);
}

void PrintApplies(size_t batch_size) {
  StateBuilder filled;
  filled.AddTeams(1, false);
  filled.AddBudgets(100, 100);
  state::State& state = filled.GetState();
  state::TestSender entry(&state, "entry", 1);
  std::vector<wire::CommandBatchT> batches(200'000 / batch_size);
  AttemptId attempt = 0;
  size_t commands = 0;
  for (wire::CommandBatchT& batch : batches) {
    batch.stamp_ms = kStamp;
    while (batch.commands.size() < batch_size) {
      const std::string key = "~" + std::to_string(++attempt);
      const BudgetId budget = StateBuilder::BudgetOf(attempt % 100);
      auto add = [&](auto body) {
        batch.commands.push_back(
            std::make_unique<wire::CommandT>(entry.Command(std::move(body))));
      };
      add(state::OpeningOf(budget, key, attempt, 0));
      add(state::SettlementOf(budget, key, attempt, 0, 0));
    }
    commands += batch.commands.size();
  }
  for (size_t i = 0; i < 100; ++i)
    entry.Send(state::GrantRequestOf(StateBuilder::BudgetOf(i), 10, 5), kStamp);
  const auto start = std::chrono::steady_clock::now();
  for (const wire::CommandBatchT& batch : batches) state.Apply(batch);
  const double seconds = Seconds(std::chrono::steady_clock::now() - start);
  std::printf("applies: %.0f commands a second in batches of %zu\n",
              static_cast<double>(commands) / seconds, batch_size);
}

void PrintReservation() {
  constexpr int kBlock = 1000;
  constexpr int kBlocks = 2000;
  const auto ledger = budget::MakeLedger();
  const budget::BudgetHandle handle = ledger->Open("b", {});
  wire::GrantAnswerT grant;
  grant.tokens = 1'000'000'000;
  Instant now{Duration{1000s}};
  ledger->OnGrant(handle, grant, now);
  std::vector<double> each;
  for (int block = 0; block < kBlocks; ++block) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kBlock; ++i) {
      now += 10us;
      ledger->Reserve(handle, 10, now);
    }
    each.push_back(Seconds(std::chrono::steady_clock::now() - start) / kBlock);
    for (int i = 0; i < kBlock; ++i) ledger->Settle(handle, 10, 1, now);
    ledger->TakeAdjustments(now);
  }
  std::sort(each.begin(), each.end());
  std::printf("reservation on a held grant: median %.4f us, p99 %.4f us\n",
              each[kBlocks / 2] * 1e6, each[kBlocks * 99 / 100] * 1e6);
}

}  // namespace
}  // namespace dotterelshift

int main() {
  dotterelshift::PrintSlopes();
  dotterelshift::PrintTwoYearSize();
  dotterelshift::PrintApplies(1);
  dotterelshift::PrintApplies(100);
  dotterelshift::PrintReservation();
  return 0;
}
