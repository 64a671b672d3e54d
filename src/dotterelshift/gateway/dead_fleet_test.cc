// A fleet of entries built from the real HeldGrants, State and RecallCore, with
// a manual clock. All entries crash at once when most of the budgets are spent,
// and new incarnations on the same hosts continue with what is left.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>   // for max, min
#include <cmath>       // for exp
#include <functional>  // for function
#include <map>         // for multimap
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <random>      // for mt19937_64
#include <string>      // for string, to_string
#include <vector>      // for vector

#include "dotterelshift/budget/recall_core.h"   // for RecallCore
#include "dotterelshift/gateway/held_grants.h"  // for HeldGrants
#include "dotterelshift/state/state.h"          // for State

namespace dotterelshift::gateway {
namespace {

constexpr int kEntries = 60;
constexpr Duration kTick = 20ms;
constexpr Duration kOneWay = 10ms;   // entry to control, commit included
constexpr Duration kTokenWait = 1s;  // a request waits for tokens this long
constexpr Duration kDowntime = 2s;
constexpr Duration kTimeAfterRestart =
    40s;                     // callers continue this long after the crash
constexpr int kLenders = 3;  // entries that a borrower asks
constexpr uint64_t kSeeds = 4;

struct Workload {
  int teams = 12;
  double requests_per_second = 250;
  Tokens mean = 8'000;         // worst case of a request
  double spread = 0.8;         // sigma of its logarithm
  double budget_seconds = 35;  // seconds of demand that the totals cover
};

struct Request {
  TeamId team;
  Tokens worst_case = 0;
  Instant since;
  Instant ends;
};

struct Entry {
  HostRun run;
  std::unique_ptr<HeldGrants> grants;
  uint64_t sequence = 0;
  std::vector<Request> waiting;
  std::vector<Request> running;
};

class Fleet {
 public:
  Fleet(const Workload& workload, uint64_t seed)
      : m_workload(workload), m_random(seed), m_state(state::MakeState()) {
    Publish();
    m_entries.resize(kEntries);
    for (int i = 0; i < kEntries; ++i) {
      m_entries[i].run.host = "entry" + std::to_string(i);
      Start(m_entries[i]);
    }
  }

  Tokens Left() const { return m_total - m_consumed; }
  Tokens Total() const { return m_total; }
  Tokens Lost() const { return m_state->PublishedSums().lost; }
  Instant Now() const { return m_now; }

  void Step() {
    m_now += kTick;
    Deliver();
    for (Entry& entry : m_entries) Settle(entry);
    Arrive();
    for (Entry& entry : m_entries) ServeWaiting(entry);
    if (m_now >= m_next_heartbeat) SendHeartbeats();
  }

  // Tokens that open requests have used until then stay spent.
  void KillAllEntries() {
    m_in_flight.clear();
    for (Entry& entry : m_entries) {
      for (const Request& request : entry.running) {
        m_consumed += static_cast<Tokens>(
            std::uniform_real_distribution<>(0, 1)(m_random) *
            static_cast<double>(request.worst_case));
      }
      entry.running.clear();
      entry.waiting.clear();
    }
    m_now += kDowntime;
    m_recalls = budget::RecallCore();
    for (Entry& entry : m_entries) Start(entry);
  }

 private:
  static std::string TeamName(int team) { return "t" + std::to_string(team); }

  // Relative demand of a team; falls with the team's number.
  double WeightOf(int team) const { return 1.0 / (1 + team); }

  // Total demand, in tokens per second.
  double Demand() const {
    return m_workload.requests_per_second *
           static_cast<double>(m_workload.mean);
  }

  void Publish() {
    double weights = 0;
    for (int team = 0; team < m_workload.teams; ++team)
      weights += WeightOf(team);
    wire::PublishRoutesT body;
    body.version = 1;
    body.document = {1};
    Routes routes;
    for (int team = 0; team < m_workload.teams; ++team) {
      const auto total = static_cast<Tokens>(
          Demand() * m_workload.budget_seconds * WeightOf(team) / weights);
      auto line = std::make_unique<wire::TeamTotalT>();
      line->team = TeamName(team);
      line->tokens = total;
      body.totals.push_back(std::move(line));
      routes.teams.push_back({TeamName(team), {"k"}, std::nullopt, total});
      m_total += total;
      m_weights.push_back(WeightOf(team));
    }
    m_routes.emplace(std::move(routes));
    wire::CommandT command;
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = "control";
    command.id->sequence = 1;
    command.body.Set(std::move(body));
    Apply(command);
  }

  void Start(Entry& entry) {
    ++entry.run.incarnation;
    entry.sequence = 0;
    entry.grants = std::make_unique<HeldGrants>(
        HeldGrantsOptions(), [&entry] { return NextId(entry); });
    wire::CommandT command;
    command.id = NextId(entry);
    command.body.Set(wire::RegisterHostT());
    Apply(command);
    entry.grants->SetConnected(true, m_now);
    entry.grants->OnRoutes(*m_routes, kEntries, m_now);
  }

  static std::unique_ptr<wire::CommandIdT> NextId(Entry& entry) {
    auto id = std::make_unique<wire::CommandIdT>();
    id->host = entry.run.host;
    id->incarnation = entry.run.incarnation;
    id->sequence = ++entry.sequence;
    return id;
  }

  wire::CommandAnswerT Apply(const wire::CommandT& command) {
    wire::CommandBatchT batch;
    batch.stamp_ms = ToMs(m_now.time_since_epoch());
    batch.commands.push_back(std::make_unique<wire::CommandT>(command));
    return std::move(m_state->Apply(batch).front());
  }

  void After(Duration delay, std::function<void()> event) {
    m_in_flight.emplace(m_now + delay, std::move(event));
  }

  void Deliver() {
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
      const auto event = std::move(m_in_flight.begin()->second);
      m_in_flight.erase(m_in_flight.begin());
      event();
    }
  }

  void Arrive() {
    const double share = std::chrono::duration<double>(kTick).count();
    int arrivals = std::poisson_distribution<>(m_workload.requests_per_second *
                                               share)(m_random);
    std::discrete_distribution<int> team(m_weights.begin(), m_weights.end());
    std::normal_distribution<> normal;
    for (; arrivals > 0; --arrivals) {
      Request request;
      request.team = TeamName(team(m_random));
      const double factor = std::exp(m_workload.spread * normal(m_random) -
                                     m_workload.spread * m_workload.spread / 2);
      request.worst_case = std::max<Tokens>(
          50,
          static_cast<Tokens>(factor * static_cast<double>(m_workload.mean)));
      request.since = m_now;
      AnyEntry().waiting.push_back(std::move(request));
    }
  }

  Entry& AnyEntry() { return m_entries[m_random() % m_entries.size()]; }

  void Settle(Entry& entry) {
    std::erase_if(entry.running, [&](const Request& request) {
      if (m_now < request.ends) return false;
      // A request uses 80 to 100% of its worst case.
      const auto spent = static_cast<Tokens>(
          static_cast<double>(request.worst_case) *
          std::uniform_real_distribution<>(0.8, 1)(m_random));
      m_consumed += spent;
      entry.grants->Settle(request.team, request.worst_case, spent, true,
                           m_now);
      return true;
    });
  }

  void ServeWaiting(Entry& entry) {
    std::erase_if(entry.waiting, [&](Request& request) {
      const BudgetDecision answer =
          entry.grants->Reserve(request.team, request.worst_case, m_now);
      if (answer == BudgetDecision::kReserved) {
        request.ends =
            m_now + std::chrono::milliseconds(200 + m_random() % 800);
        entry.running.push_back(request);
        return true;
      }
      return answer != BudgetDecision::kWait ||
             m_now - request.since > kTokenWait;
    });
    for (wire::CommandT& command : entry.grants->TakeCommands(m_now))
      Propose(entry, std::move(command));
    for (const wire::TokenBorrowT& borrow : entry.grants->TakeBorrowRequests())
      for (int i = 0; i < kLenders; ++i) Borrow(entry, borrow);
  }

  void Propose(Entry& entry, wire::CommandT command) {
    After(kOneWay, [this, &entry,
                    command =
                        std::make_shared<wire::CommandT>(std::move(command))] {
      auto answer = std::make_shared<wire::CommandAnswerT>(Apply(*command));
      RecallFor(entry, *command, *answer);
      After(kOneWay,
            [this, &entry, answer] { entry.grants->OnAnswer(*answer, m_now); });
    });
  }

  void RecallFor(const Entry& entry, const wire::CommandT& command,
                 const wire::CommandAnswerT& answer) {
    const wire::RequestGrantT* ask = command.body.AsRequestGrant();
    const wire::GrantAnswerT* grant = answer.body.AsGrantAnswer();
    if (ask == nullptr || grant == nullptr) return;
    const bool is_short = grant->tokens < ask->minimum || grant->tokens == 0;
    if (!is_short || grant->elsewhere == 0) return;
    if (!m_recalls.IsDue(*ask, m_now)) return;
    for (const budget::RecallMessage& message : m_recalls.OnShortage(
             entry.run, *ask, m_state->HoldingsOf(ask->budget), m_now)) {
      for (Entry& holder : m_entries) {
        if (holder.run.host != message.host) continue;
        After(kOneWay, [this, &holder, recall = message.recall] {
          holder.grants->OnRecall(recall, m_now);
        });
      }
    }
  }

  void Borrow(Entry& borrower, const wire::TokenBorrowT& borrow) {
    Entry& lender = AnyEntry();
    if (&lender == &borrower) return;
    After(kOneWay, [this, &lender, &borrower, borrow] {
      const Tokens lent = lender.grants->OnBorrow(borrow, borrower.run, m_now);
      if (lent == 0) return;
      After(kOneWay, [this, &borrower, team = borrow.budget, lent] {
        wire::TokenLoanT loan;
        loan.budget = team;
        loan.tokens = lent;
        borrower.grants->OnLoan(loan, m_now);
      });
    });
  }

  void SendHeartbeats() {
    m_next_heartbeat = m_now + 1s;
    for (const Entry& entry : m_entries) {
      wire::EntryBeatT beat;
      for (wire::BudgetHoldingT& holding : entry.grants->Holdings(m_now))
        beat.held.push_back(
            std::make_unique<wire::BudgetHoldingT>(std::move(holding)));
      m_recalls.OnHeartbeat(entry.run.host, beat, m_now);
    }
  }

  const Workload m_workload;
  std::mt19937_64 m_random;
  Instant m_now{Duration{1000s}};
  Instant m_next_heartbeat{};
  std::unique_ptr<state::State> m_state;
  budget::RecallCore m_recalls;
  std::optional<RouteTable> m_routes;
  std::vector<double> m_weights;
  std::vector<Entry> m_entries;
  std::multimap<Instant, std::function<void()>> m_in_flight;
  Tokens m_total = 0;
  Tokens m_consumed = 0;  // actual spend of all incarnations
};

// Result of one crash of all entries.
struct Outcome {
  Tokens left = 0;      // of the totals, by actual spend
  Tokens lost = 0;      // held by dead incarnations, so counted as spent
  Tokens consumed = 0;  // of `left`, by requests after the crash
};

// All entries crash when 25 to 35% of the totals are left, drawn by the seed.
// Callers continue to send requests.
Outcome RunFullRestart(const Workload& workload, uint64_t seed) {
  std::mt19937_64 random(seed);
  const double fraction = std::uniform_real_distribution<>(0.25, 0.35)(random);
  Fleet fleet(workload, seed);
  while (static_cast<double>(fleet.Left()) >
         fraction * static_cast<double>(fleet.Total()))
    fleet.Step();
  fleet.KillAllEntries();
  Outcome outcome;
  outcome.left = fleet.Left();
  outcome.lost = fleet.Lost();
  for (const Instant end = fleet.Now() + kTimeAfterRestart; fleet.Now() < end;)
    fleet.Step();
  outcome.consumed = outcome.left - fleet.Left();
  CPPUNIT_ASSERT(fleet.Left() >= 0);
  return outcome;
}

class DeadFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeadFleetTest);
  CPPUNIT_TEST(TokensThatAreNotLostServeCallers);
  CPPUNIT_TEST(AQuarterOfWhatIsLeftServesCallers);
  CPPUNIT_TEST_SUITE_END();

  void TokensThatAreNotLostServeCallers() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = RunFullRestart({}, seed);
      const Tokens free = outcome.left - outcome.lost;
      CPPUNIT_ASSERT(outcome.consumed >= free / 10 * 9);
    }
  }

  void AQuarterOfWhatIsLeftServesCallers() {
    std::string failed;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = RunFullRestart({}, seed);
      if (outcome.consumed >= outcome.left / 4) continue;
      failed += "seed " + std::to_string(seed) + ": " +
                std::to_string(outcome.consumed) + " of " +
                std::to_string(outcome.left) + " left, " +
                std::to_string(outcome.lost) + " lost; ";
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DeadFleetTest);

}  // namespace
}  // namespace dotterelshift::gateway
