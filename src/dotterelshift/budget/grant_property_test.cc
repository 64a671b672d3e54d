// Random schedules over the real State and Ledger cores: entries die, are cut
// off and reconnect; commands and answers are lost, duplicated and reordered;
// settlements are spooled, budgets topped up, holders retired and grant modes
// changed.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for min
#include <iostream>   // for cout
#include <map>        // for map
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/budget/ledger.h"        // for Ledger
#include "dotterelshift/state/grants.h"         // for RecoverDeadGrant
#include "dotterelshift/state/state_core.h"     // for MakeStateWith
#include "dotterelshift/state/state_testing.h"  // for ChangeOf

namespace dotterelshift::budget {
namespace {

constexpr int kEntries = 3;
constexpr int kSteps = 600;
constexpr uint64_t kSchedules = 400;
constexpr WallMs kStamp = 1'000'000;

// Faulty rules: tokens that a dead incarnation may have spent without control
// knowing are granted again.
struct ReissuingRules {
  static constexpr bool kRetainDeadPreauthorized = false;
};

// An attempt of an entry, from its reservation to its end.
struct Attempt {
  std::string key;
  Tokens reserved = 0;
  bool standing = false;
  bool running = false;  // dispatched; otherwise waiting for its opening
};

struct Entry {
  HostRun run;
  std::unique_ptr<Ledger> ledger;
  BudgetHandle budget = 0;
  bool connected = true;
  uint64_t sequence = 0;
  uint64_t grant_request = 0;  // sequence of the last grant request
  std::map<AttemptId, Attempt> attempts;
  std::map<uint64_t, wire::CommandT> outbox;  // not answered yet
};

class World {
 public:
  World(uint64_t seed, state::RecoverGrant recover)
      : m_random(seed),
        m_state(state::MakeStateWith({}, recover)),
        m_twin(state::MakeStateWith({}, recover)) {
    ChangeGrantMode();
    Accept(state::BudgetChange("b", "team"));
    TopUp();
    for (int i = 0; i < kEntries; ++i) {
      Entry& entry = m_entries.emplace_back();
      entry.run.host = "entry" + std::to_string(i);
      Start(entry);
    }
  }

  // Runs the schedule. Returns the first violated invariant, or an empty string
  // when all invariants held at every step and at the end.
  std::string Play() {
    for (int step = 0; step < kSteps && m_failure.empty(); ++step) Step();
    if (m_failure.empty()) RecoverAll();
    return m_failure;
  }

  Tokens Consumed() const { return m_consumed; }
  Tokens Purchased() const { return m_purchased; }

 private:
  uint64_t Draw(uint64_t below) { return m_random() % below; }
  Entry& AnyEntry() { return m_entries[Draw(m_entries.size())]; }

  void Start(Entry& entry) {
    entry.run.incarnation += 1;
    entry.ledger = MakeLedger();
    HoldingPolicy policy;
    policy.way = m_grant_mode;
    entry.budget = entry.ledger->Open("b", policy);
    entry.connected = true;
    entry.sequence = 0;
    entry.grant_request = 0;
    entry.attempts.clear();
    entry.outbox.clear();
    Propose(entry, wire::RegisterHostT());
  }

  template <typename Body>
  uint64_t Propose(Entry& entry, Body body) {
    wire::CommandT command;
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = entry.run.host;
    command.id->incarnation = entry.run.incarnation;
    command.id->sequence = ++entry.sequence;
    command.body.Set(std::move(body));
    m_network.push_back(command);
    entry.outbox[entry.sequence] = std::move(command);
    return entry.sequence;
  }

  void Step() {
    m_now += 20ms;
    Entry& entry = AnyEntry();
    switch (Draw(24)) {
      case 0:
        return KillProcess(entry);
      case 1:
      case 2:
        return ToggleConnection(entry);
      case 3:
        return Draw(10) == 0 ? TopUp() : MergeSpool();
      case 4:
        return Retire();
      case 5:
        return Draw(8) == 0 ? ChangeGrantMode() : AbandonOpening(entry);
      case 6:
        return entry.ledger->OnRecall("b", static_cast<Tokens>(Draw(400)),
                                      m_now);
      case 7:
      case 8:
        return Resend(entry);
      case 9:
      case 10:
      case 11:
      case 12:
        return Reserve(entry);
      case 13:
      case 14:
      case 15:
        return Finish(entry);
      case 16:
      case 17:
        return PollLedger(entry);
      default:
        return DeliverMessage();
    }
  }

  // ---- actions of an entry

  void Reserve(Entry& entry) {
    HoldingPolicy policy;
    policy.way = m_grant_mode;
    entry.ledger->Open("b", policy);
    Attempt attempt;
    attempt.key = "k" + std::to_string(Draw(200));
    attempt.reserved = 1 + static_cast<Tokens>(Draw(150));
    const ReserveResult result =
        entry.ledger->Reserve(entry.budget, attempt.reserved, m_now);
    const AttemptId id = ++m_last_attempt;
    attempt.standing = result == ReserveResult::kReservedPreauthorized;
    attempt.running = attempt.standing;
    if (attempt.standing) m_unsettled_without_opening[entry.run].insert(id);
    if (result == ReserveResult::kReserved)
      Propose(entry, state::OpeningOf("b", attempt.key, id, attempt.reserved));
    if (result == ReserveResult::kReserved || attempt.standing)
      entry.attempts[id] = attempt;
  }

  void Finish(Entry& entry) {
    for (const auto& [id, attempt] : entry.attempts) {
      if (!attempt.running) continue;
      const auto spent = static_cast<Tokens>(Draw(attempt.reserved + 1));
      m_consumed += spent;
      Settle(entry, id, attempt, spent, wire::Outcome::Answered);
      entry.attempts.erase(id);
      return;
    }
  }

  void Settle(Entry& entry, AttemptId id, const Attempt& attempt, Tokens spent,
              wire::Outcome outcome) {
    if (attempt.standing) {
      entry.ledger->SettlePreauthorized(entry.budget, attempt.reserved, spent,
                                        m_now);
    } else {
      entry.ledger->Settle(entry.budget, attempt.reserved, spent, m_now);
    }
    wire::SettleT settle = state::SettlementOf(
        "b", attempt.key, id, attempt.reserved, spent, !attempt.standing);
    settle.outcome = outcome;
    settle.holder = entry.run.host;
    settle.holder_incarnation = entry.run.incarnation;
    const uint64_t sequence = Propose(entry, std::move(settle));
    if (!entry.connected && Draw(2) == 0)
      m_spool.push_back(entry.outbox[sequence]);
  }

  // Handles an opening that is not answered in time: the attempt is dispatched
  // with pre-authorized tokens or abandoned. Its settlement ends the opening in
  // both cases.
  void AbandonOpening(Entry& entry) {
    for (auto& [id, attempt] : entry.attempts) {
      if (attempt.running) continue;
      if (!entry.connected && entry.ledger->MoveToPreauthorized(
                                  entry.budget, attempt.reserved, m_now)) {
        attempt.standing = true;
        attempt.running = true;
        m_unsettled_without_opening[entry.run].insert(id);
        return;
      }
      Settle(entry, id, attempt, 0, wire::Outcome::Refused);
      entry.attempts.erase(id);
      return;
    }
  }

  // The process dies. The tokens that its running attempts consumed until then
  // remain consumed, but their number is unknown to control.
  void KillProcess(Entry& entry) {
    if (Draw(3) != 0) return;
    for (const auto& [id, attempt] : entry.attempts)
      if (attempt.running)
        m_consumed += static_cast<Tokens>(Draw(attempt.reserved + 1));
    m_dead.push_back(entry.run);
    Start(entry);
  }

  void ToggleConnection(Entry& entry) {
    entry.connected = !entry.connected;
    entry.ledger->SetConnected(entry.connected, m_now);
  }

  void PollLedger(Entry& entry) {
    for (const GrantAdjustment& adjustment :
         entry.ledger->TakeAdjustments(m_now)) {
      if (adjustment.kind == GrantAdjustment::Kind::kReturn) {
        wire::ReturnGrantT body;
        body.budget = "b";
        body.tokens = adjustment.wanted;
        body.standing = adjustment.standing;
        Propose(entry, body);
      } else if (entry.grant_request != 0 &&
                 entry.outbox.contains(entry.grant_request)) {
        m_network.push_back(entry.outbox[entry.grant_request]);
      } else {
        entry.grant_request = Propose(
            entry, state::GrantRequestOf(
                       "b", adjustment.wanted % 500 + adjustment.minimum,
                       static_cast<Tokens>(Draw(5)), adjustment.minimum));
      }
    }
  }

  void Resend(Entry& entry) {
    if (!entry.connected || entry.outbox.empty()) return;
    auto command = entry.outbox.begin();
    std::advance(command, Draw(entry.outbox.size()));
    m_network.push_back(command->second);
  }

  // ---- the network and control

  // Delivers one message. Messages are reordered, some are lost or duplicated,
  // and commands of dead or cut-off incarnations may still be in flight.
  void DeliverMessage() {
    if (m_network.empty()) return;
    const size_t index = Draw(m_network.size());
    const wire::CommandT command = m_network[index];
    if (Draw(10) != 0) {
      m_network[index] = m_network.back();
      m_network.pop_back();
    }
    if (Draw(8) == 0) return;
    const wire::CommandAnswerT answer = Apply(command);
    for (Entry& entry : m_entries) {
      const bool received = entry.run.host == command.id->host &&
                            entry.run.incarnation == command.id->incarnation &&
                            entry.connected && Draw(8) != 0;
      if (received) OnAnswer(entry, command, answer);
    }
  }

  void OnAnswer(Entry& entry, const wire::CommandT& command,
                const wire::CommandAnswerT& answer) {
    const bool first = entry.outbox.erase(command.id->sequence) > 0;
    // The incarnation was retired by an operator: the daemon restarts.
    if (static_cast<ErrorKind>(answer.error) == ErrorKind::kStaleIncarnation) {
      m_dead.push_back(entry.run);
      for (const auto& [id, attempt] : entry.attempts)
        if (attempt.running) m_consumed += attempt.reserved / 2;
      return Start(entry);
    }
    if (!first) return;
    if (command.body.type == wire::CommandBody::RequestGrant) {
      entry.ledger->OnGrant(entry.budget,
                            answer.error == 0 ? *answer.body.AsGrantAnswer()
                                              : wire::GrantAnswerT(),
                            m_now);
    }
    if (command.body.type == wire::CommandBody::OpenAttempt)
      OnOpening(entry, *command.body.AsOpenAttempt(), answer.error == 0);
  }

  void OnOpening(Entry& entry, const wire::OpenAttemptT& opening,
                 bool granted) {
    const auto found = entry.attempts.find(opening.attempt);
    if (found == entry.attempts.end() || found->second.running) return;
    found->second.running = granted;
    if (granted) return;
    entry.ledger->OnOpeningRefused(entry.budget, opening.reserved, m_now);
    entry.attempts.erase(found);
  }

  wire::CommandAnswerT Apply(const wire::CommandT& command) {
    wire::CommandBatchT batch;
    batch.stamp_ms = kStamp + ToMs(m_now.time_since_epoch());
    batch.commands.push_back(std::make_unique<wire::CommandT>(command));
    wire::CommandAnswerT answer = std::move(m_state->Apply(batch).front());
    m_twin->Apply(batch);
    RecordSettlement(command, answer);
    Check();
    return answer;
  }

  void RecordSettlement(const wire::CommandT& command,
                        const wire::CommandAnswerT& answer) {
    const wire::SettleT* settle = command.body.AsSettle();
    if (settle == nullptr || answer.error != 0) return;
    m_unsettled_without_opening[{settle->holder, settle->holder_incarnation}]
        .erase(settle->attempt);
    if (!answer.body.AsSettleAnswer()->first_bill) return;
    std::set<AttemptId>& billed = m_billed[settle->request_key];
    billed.insert(settle->attempt);
    if (billed.size() > 1) Fail("billed twice: " + settle->request_key);
  }

  void MergeSpool() {
    if (!m_spool.empty()) Apply(m_spool[Draw(m_spool.size())]);
  }

  void Accept(wire::ChangeT change) {
    const std::string id = "p" + std::to_string(++m_plans);
    std::vector<wire::ChangeT> changes;
    changes.push_back(std::move(change));
    const uint64_t base = m_state->GetConfiguration().Version();
    SubmitAsOperator(state::PlanOf(id, base, "operator", std::move(changes)));
    // The answer may be lost, so that an operator confirms again.
    for (uint64_t times = 0; times <= Draw(2); ++times)
      SubmitAsOperator(state::ConfirmOf(id));
  }

  template <typename Body>
  void SubmitAsOperator(Body body) {
    wire::CommandT command;
    command.id = std::make_unique<wire::CommandIdT>();
    command.id->host = "control";
    command.id->sequence = ++m_operator_sequence;
    command.body.Set(std::move(body));
    Apply(command);
  }

  void TopUp() {
    const auto tokens = static_cast<Tokens>(300 + Draw(500));
    m_purchased += tokens;
    Accept(state::TopUpChange("t" + std::to_string(m_plans), "b", tokens));
    if (m_state->FindAccount("b")->purchased != m_purchased)
      Fail("a top-up is not counted");
  }

  void ChangeGrantMode() {
    m_grant_mode = static_cast<wire::GrantWay>(Draw(3));
    Accept(state::TeamChange("team", m_grant_mode, 20 + Draw(40)));
  }

  // An operator retires an incarnation only when everything that it spent
  // without a committed opening is settled, as the plan's warning requires.
  void Retire() {
    if (m_dead.empty()) return;
    const HostRun run = m_dead[Draw(m_dead.size())];
    if (!m_unsettled_without_opening[run].empty()) return;
    wire::RetireHolderT body;
    body.host = run.host;
    body.incarnation = run.incarnation;
    Accept(state::ChangeOf(body));
  }

  // ---- invariants

  void Fail(const std::string& what) {
    if (m_failure.empty()) m_failure = what;
  }

  void Check() {
    const state::BudgetAccount* account = m_state->FindAccount("b");
    if (account == nullptr) return;
    for (const std::string& line : m_state->Disagreements()) Fail(line);
    if (account->purchased > m_purchased) Fail("a top-up was counted twice");
    if (account->settled + account->granted + account->lost > m_purchased)
      Fail("settled, granted and lost tokens exceed the purchased tokens");
    if (m_consumed > m_purchased) Fail("consumed more than was purchased");
    if (m_consumed > account->settled + account->granted + account->lost)
      Fail("consumed tokens are free to be granted again");
  }

  void EndAttempt(Entry& entry) {
    const auto first = entry.attempts.begin();
    if (first->second.running) return Finish(entry);
    Settle(entry, first->first, first->second, 0, wire::Outcome::Refused);
    entry.attempts.erase(first);
  }

  // Ends all faults and attempts, and checks that the consumed tokens are
  // settled or counted as lost.
  void RecoverAll() {
    for (Entry& entry : m_entries) {
      if (!entry.connected) ToggleConnection(entry);
      while (!entry.attempts.empty()) EndAttempt(entry);
    }
    for (const wire::CommandT& command : m_spool) Apply(command);
    for (Entry& entry : m_entries)
      for (const auto& [sequence, command] : entry.outbox) Apply(command);
    const state::BudgetAccount& account = *m_state->FindAccount("b");
    if (account.settled + account.lost < m_consumed)
      Fail("consumed tokens are neither settled nor lost");
    if (m_state->Snapshot() != m_twin->Snapshot())
      Fail("two states that applied the same batches differ");
  }

  std::mt19937_64 m_random;
  std::unique_ptr<state::State> m_state;
  std::unique_ptr<state::State> m_twin;  // applies the same batches
  wire::GrantWay m_grant_mode = wire::GrantWay::Witnessed;
  std::vector<Entry> m_entries;
  std::vector<wire::CommandT> m_network;
  std::vector<wire::CommandT> m_spool;  // on the replicas' disks
  // Attempts without a committed opening whose settlement has not reached
  // control, by incarnation.
  std::map<HostRun, std::set<AttemptId>> m_unsettled_without_opening;
  std::vector<HostRun> m_dead;
  std::map<std::string, std::set<AttemptId>> m_billed;  // attempts by key
  Instant m_now{Duration{1000s}};
  AttemptId m_last_attempt = 0;
  uint64_t m_operator_sequence = 0;
  uint64_t m_plans = 0;
  Tokens m_purchased = 0;
  Tokens m_consumed = 0;  // actual consumption of all incarnations
  std::string m_failure;
};

class GrantPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrantPropertyTest);
  CPPUNIT_TEST(SpendNeverExceedsTheBudget);
  CPPUNIT_TEST(ReissuedGrantOfADeadHolderIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpendNeverExceedsTheBudget() {
    Tokens consumed = 0;
    Tokens purchased = 0;
    for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
      World world(seed, &state::RecoverDeadGrant<state::SafetyRules>);
      const std::string failure = world.Play();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + failure,
                             failure.empty());
      consumed += world.Consumed();
      purchased += world.Purchased();
    }
    std::cout << "grants: " << kSchedules << " schedules of " << kSteps
              << " steps, " << consumed << " of " << purchased
              << " tokens consumed\n";
    CPPUNIT_ASSERT(consumed > 0);
  }

  void ReissuedGrantOfADeadHolderIsDetected() {
    uint64_t caught = 0;
    for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
      World world(seed, &state::RecoverDeadGrant<ReissuingRules>);
      if (world.Play().starts_with("consumed")) ++caught;
    }
    std::cout << "grants: reissued grants detected in " << caught << " of "
              << kSchedules << " schedules\n";
    CPPUNIT_ASSERT(caught > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantPropertyTest);

}  // namespace
}  // namespace dotterelshift::budget
