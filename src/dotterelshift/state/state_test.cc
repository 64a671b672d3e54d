#include "dotterelshift/state/state.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string

#include "dotterelshift/base/error.h"           // for ErrorKind
#include "dotterelshift/state/state_testing.h"  // for TestSender

namespace dotterelshift::state {
namespace {

constexpr WallMs kDay = 86'400'000;
constexpr WallMs kStart = 20'000 * kDay;

bool Is(const wire::CommandAnswerT& answer, ErrorKind kind) {
  return answer.error == static_cast<uint16_t>(kind);
}

Tokens Granted(const wire::CommandAnswerT& answer) {
  const auto* body = answer.body.AsGrantAnswer();
  return body == nullptr ? -1 : body->tokens;
}

bool FirstBill(const wire::CommandAnswerT& answer) {
  const auto* body = answer.body.AsSettleAnswer();
  CPPUNIT_ASSERT(body != nullptr);
  return body->first_bill;
}

class StateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateTest);
  CPPUNIT_TEST(GrantsMoveBetweenAccountColumns);
  CPPUNIT_TEST(DeadHolderLosesOnlyWhatItMayHaveSpent);
  CPPUNIT_TEST(SpoolOfDeadHolderSettlesOnce);
  CPPUNIT_TEST(RetirementTakesTwoSteps);
  CPPUNIT_TEST(ExpiredLeaseIsReclaimed);
  CPPUNIT_TEST(RequestIsBilledOnce);
  CPPUNIT_TEST(ResendGetsFirstAnswer);
  CPPUNIT_TEST(AcknowledgedAnswersAreDropped);
  CPPUNIT_TEST(ClaimStatesOfResends);
  CPPUNIT_TEST(KeysOfCompactedRequestsAreRefused);
  CPPUNIT_TEST(ConcurrentPlansFromOneBase);
  CPPUNIT_TEST(PlanIsAppliedAtomically);
  CPPUNIT_TEST(SnapshotRestoresEverything);
  CPPUNIT_TEST(DamagedSnapshotChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = MakeState(m_options);
    m_operator = TestSender(m_state.get(), "control", 1);
    m_entry = TestSender(m_state.get(), "entry", 1);
    Set("p0", {wire::GrantWay::Witnessed, 10});
  }

  void tearDown() override {
    const auto lines = m_state->Disagreements();
    CPPUNIT_ASSERT_MESSAGE(lines.empty() ? "" : lines.front(), lines.empty());
  }

  void GrantsMoveBetweenAccountColumns() {
    CPPUNIT_ASSERT_EQUAL(Tokens{250}, Granted(RequestGrant(m_entry, 600)));
    CPPUNIT_ASSERT_EQUAL(Tokens{500},
                         Granted(RequestGrant(m_entry, 500, 0, 500)));
    CPPUNIT_ASSERT_EQUAL(Tokens{0},
                         Granted(RequestGrant(m_entry, 500, 0, 500)));
    CPPUNIT_ASSERT(Is(Open("k", 1, 800), ErrorKind::kBudgetUnavailable));
    CPPUNIT_ASSERT(Is(Open("k", 1, 700), ErrorKind::kNone));
    Settle("k", 1, 700, 100);
    wire::ReturnGrantT return_grant;
    return_grant.budget = "b";
    return_grant.tokens = 600;
    m_entry.Send(return_grant, kStart);
    CheckAmounts({1000, 100, 100, 50, 0});
    CPPUNIT_ASSERT(Is(m_entry.Send(GrantRequestOf("none", 1), kStart),
                      ErrorKind::kNoBudget));
    CPPUNIT_ASSERT(Is(m_entry.Send(GrantRequestOf("b", -1), kStart),
                      ErrorKind::kBadFrame));
  }

  void DeadHolderLosesOnlyWhatItMayHaveSpent() {
    // 500 held, 120 of them pre-authorized (10 s at 12 a second), 200 opened.
    RequestGrant(m_entry, 500, 12, 500);
    Open("k", 1, 200);
    CPPUNIT_ASSERT_EQUAL(Tokens{120}, m_state->HoldingsOf("b")[0].standing);
    TestSender next(m_state.get(), "entry", 2);
    next.Send(wire::RegisterHostT(), kStart);
    CheckAmounts({1000, 0, 0, 0, 320});
    CPPUNIT_ASSERT(Is(RequestGrant(m_entry, 1), ErrorKind::kStaleIncarnation));
    CPPUNIT_ASSERT_EQUAL(Tokens{680}, Granted(RequestGrant(next, 680, 0, 680)));
  }

  void SpoolOfDeadHolderSettlesOnce() {
    RequestGrant(m_entry, 500, 12, 500);
    Open("k", 1, 200);
    const auto late = m_entry.Command(SettlementOf("b", "k", 1, 200, 50));
    const auto unwitnessed =
        m_entry.Command(SettlementOf("b", "u", 2, 100, 30, false));
    TestSender next(m_state.get(), "entry", 2);
    next.Send(wire::RegisterHostT(), kStart);
    for (int times = 0; times < 2; ++times) {
      CPPUNIT_ASSERT(FirstBill(m_entry.Resend(late, kStart)));
      CPPUNIT_ASSERT(FirstBill(m_entry.Resend(unwitnessed, kStart)));
      // The opening is settled; 90 of the pre-authorized tokens may still have
      // been spent.
      CheckAmounts({1000, 80, 80, 0, 90});
    }
  }

  void RetirementTakesTwoSteps() {
    RequestGrant(m_entry, 500, 12, 500);
    Open("k", 1, 200);
    Retire("r1");
    CheckAmounts({1000, 0, 0, 0, 320});
    CPPUNIT_ASSERT(Is(Open("k2", 2, 1), ErrorKind::kStaleIncarnation));
    Retire("r2");
    CheckAmounts({1000, 200, 0, 0, 0});
  }

  void ExpiredLeaseIsReclaimed() {
    Set("p1", {wire::GrantWay::ClockLease, 10});
    RequestGrant(m_entry, 900, 50, 900);
    TestSender other(m_state.get(), "other", 1);
    const WallMs expired_stamp = kStart + m_options.lease_ms + 1;
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Granted(RequestGrant(other, 500, 0, 500)));
    CPPUNIT_ASSERT_EQUAL(
        Tokens{500}, Granted(RequestGrant(other, 500, 0, 500, expired_stamp)));
    CPPUNIT_ASSERT(Is(Open("k", 1, 10), ErrorKind::kBudgetUnavailable));
    CheckAmounts({1000, 0, 0, 500, 0});
  }

  void RequestIsBilledOnce() {
    RequestGrant(m_entry, 250);
    TestSender other(m_state.get(), "other", 1);
    RequestGrant(other, 100);
    CPPUNIT_ASSERT(FirstBill(Settle("k", 1, 10, 7)));
    CPPUNIT_ASSERT(
        !FirstBill(other.Send(SettlementOf("b", "k", 1, 10, 6), kStart)));
    CPPUNIT_ASSERT(
        FirstBill(Settle("k", 1, 10, 7)));  // the first attempt again
    CPPUNIT_ASSERT_EQUAL(Tokens{13}, m_state->FindAccount("b")->settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{7}, m_state->FindAccount("b")->billed);
    const auto days = m_state->Report("team", 0, 30'000);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, days.at(0).answered);
    CPPUNIT_ASSERT_EQUAL(Tokens{13}, days.at(0).spent);
    // An opening that arrives after its settlement does not stay open.
    CPPUNIT_ASSERT(Is(Open("k", 1, 10), ErrorKind::kResendTooOld));
  }

  void ResendGetsFirstAnswer() {
    const auto grant_request = m_entry.Command(GrantRequestOf("b", 100));
    CPPUNIT_ASSERT_EQUAL(Tokens{100},
                         Granted(m_entry.Resend(grant_request, kStart)));
    CPPUNIT_ASSERT_EQUAL(Tokens{100},
                         Granted(m_entry.Resend(grant_request, kStart)));
    CheckAmounts({1000, 0, 0, 100, 0});
    for (size_t i = 0; i < m_options.max_kept_answers; ++i)
      m_entry.Send(wire::RecordRefusalsT(), kStart);
    CPPUNIT_ASSERT(
        Is(m_entry.Resend(grant_request, kStart), ErrorKind::kResendTooOld));
    CheckAmounts({1000, 0, 0, 100, 0});
  }

  // A restarting fleet sends thousands of commands a second, so control keeps
  // only the answers that may still be asked for.
  void AcknowledgedAnswersAreDropped() {
    const auto first = m_entry.Command(GrantRequestOf("b", 100));
    auto second = m_entry.Command(GrantRequestOf("b", 50));
    m_entry.Resend(first, kStart);
    m_entry.Resend(second, kStart);
    auto third = m_entry.Command(GrantRequestOf("b", 10));
    third.id->answered_below = second.id->sequence;
    m_entry.Resend(third, kStart);
    CPPUNIT_ASSERT(Is(m_entry.Resend(first, kStart), ErrorKind::kResendTooOld));
    CPPUNIT_ASSERT_EQUAL(Tokens{50}, Granted(m_entry.Resend(second, kStart)));
    CPPUNIT_ASSERT_EQUAL(Tokens{10}, Granted(m_entry.Resend(third, kStart)));
    CheckAmounts({1000, 0, 0, 160, 0});
    // A sender that acknowledges more than it has sent does not lose its next
    // answer.
    auto fourth = m_entry.Command(GrantRequestOf("b", 5));
    fourth.id->answered_below = fourth.id->sequence + 100;
    m_entry.Resend(fourth, kStart);
    CPPUNIT_ASSERT_EQUAL(Tokens{5}, Granted(m_entry.Resend(fourth, kStart)));
    const std::string small = m_state->Snapshot();
    for (int i = 0; i < 1000; ++i) {
      auto command = m_entry.Command(wire::RecordRefusalsT());
      command.id->answered_below = command.id->sequence;
      m_entry.Resend(command, kStart);
    }
    CPPUNIT_ASSERT(m_state->Snapshot().size() < small.size() + 1000);
  }

  void ClaimStatesOfResends() {
    struct Row {
      const char* name;
      wire::Outcome outcome;
      bool unknown;
      bool settled;
      bool dead;
      uint64_t body;
      wire::ClaimState resent;
    };
    using wire::ClaimState;
    using wire::Outcome;
    const Row rows[] = {
        {"runs", Outcome::Answered, false, false, false, 1,
         ClaimState::Running},
        {"body", Outcome::Answered, false, false, false, 2,
         ClaimState::BodyDiffers},
        {"ran", Outcome::Answered, false, true, false, 1,
         ClaimState::AlreadyRan},
        {"failed", Outcome::Failed, false, true, false, 1,
         ClaimState::AlreadyRan},
        {"unknown", Outcome::Failed, true, true, false, 1,
         ClaimState::OutcomeUnknown},
        {"not run", Outcome::Refused, false, true, false, 1,
         ClaimState::Granted},
        {"holder died", Outcome::Answered, false, false, true, 1,
         ClaimState::OutcomeUnknown},
        {"ran, then died", Outcome::Answered, false, true, true, 1,
         ClaimState::AlreadyRan},
    };
    TestSender other(m_state.get(), "other", 1);
    Incarnation incarnation = 1;
    for (const Row& row : rows) {
      TestSender holder(m_state.get(), "holder", ++incarnation);
      const auto claim = ClaimOf(row.name, 1, 7);
      CPPUNIT_ASSERT_MESSAGE(
          row.name, StateOf(holder.Send(claim, kStart)) == ClaimState::Granted);
      wire::SettleT settle = SettlementOf("b", row.name, 7, 0, 0);
      settle.outcome = row.outcome;
      settle.unknown = row.unknown;
      if (row.settled) holder.Send(settle, kStart);
      if (row.dead)
        TestSender(m_state.get(), "holder", ++incarnation)
            .Send(wire::RegisterHostT(), kStart);
      const auto answer = other.Send(ClaimOf(row.name, row.body, 9), kStart);
      CPPUNIT_ASSERT_MESSAGE(row.name, StateOf(answer) == row.resent);
    }
  }

  void KeysOfCompactedRequestsAreRefused() {
    RequestGrant(m_entry, 250);
    m_entry.Send(ClaimOf("claimed", 1, 1), kStart);
    Settle("claimed", 1, 0, 0);
    Settle("k", 2, 10, 10);
    Settle("~made-up", 3, 10, 10);
    const WallMs late = kStart + m_options.bill_retention_ms + kDay;
    m_entry.Send(wire::AgeOutT(), late);
    const auto claim = m_entry.Send(ClaimOf("claimed", 1, 4), late);
    CPPUNIT_ASSERT(StateOf(claim) == wire::ClaimState::Expired);
    CPPUNIT_ASSERT(Is(claim, ErrorKind::kKeyExpired));
    CPPUNIT_ASSERT(Is(Open("k", 5, 10), ErrorKind::kKeyExpired));
    CPPUNIT_ASSERT(Is(Open("~made-up", 6, 10), ErrorKind::kNone));
    CPPUNIT_ASSERT(Is(Open("fresh", 7, 10), ErrorKind::kNone));
    CPPUNIT_ASSERT_EQUAL(Tokens{20}, m_state->FindAccount("b")->billed);
  }

  void ConcurrentPlansFromOneBase() {
    const uint64_t base = m_state->GetConfiguration().Version();
    m_operator.Send(PlanOf("one", base, "awa", List(TeamChange("team"))),
                    kStart);
    m_operator.Send(PlanOf("two", base, "ben", List(TeamChange("team"))),
                    kStart);
    m_operator.Send(PlanOf("far", base, "ben", List(TeamChange("far"))),
                    kStart);
    CPPUNIT_ASSERT(Is(Confirm("one"), ErrorKind::kNone));
    const auto second = Confirm("two");
    CPPUNIT_ASSERT(Is(second, ErrorKind::kPlanConflict));
    CPPUNIT_ASSERT(second.detail.find("awa") != std::string::npos);
    CPPUNIT_ASSERT(second.detail.find("team team") != std::string::npos);
    const auto far = Confirm("far");
    CPPUNIT_ASSERT(Is(far, ErrorKind::kNone));
    // Repeated confirmations get the first answer, from any sender.
    CPPUNIT_ASSERT_EQUAL(base + 1, Confirm("one").body.AsPlanAnswer()->version);
    CPPUNIT_ASSERT_EQUAL(base + 2, Confirm("far").body.AsPlanAnswer()->version);
    m_operator.Send(PlanOf("three", base + 1, "cem", List(TeamChange("x"))),
                    kStart);
    m_operator.Send(PlanOf("four", base, "dia", List(TeamChange("x"))), kStart);
    CPPUNIT_ASSERT(Is(Confirm("three"), ErrorKind::kNone));
    const auto stale = Confirm("four");
    CPPUNIT_ASSERT(Is(stale, ErrorKind::kPlanStale));
    CPPUNIT_ASSERT(stale.detail.find("cem") != std::string::npos);
    CPPUNIT_ASSERT(Is(Confirm("none"), ErrorKind::kPlanUnknown));
    m_operator.Send(wire::AgeOutT(), kStart + 2 * kDay);
    CPPUNIT_ASSERT(Is(Confirm("two"), ErrorKind::kPlanUnknown));
    CPPUNIT_ASSERT_EQUAL(base + 1, Confirm("one").body.AsPlanAnswer()->version);
  }

  void PlanIsAppliedAtomically() {
    struct Row {
      const char* name;
      wire::ChangeT change;
    };
    Row rows[] = {
        {"negative", TopUpChange("t1", "b", -5)},
        {"zero", TopUpChange("t2", "b", 0)},
        {"overflow", TopUpChange("t3", "b", kMaxTokens)},
        {"no budget", TopUpChange("t4", "none", 5)},
        {"no id", TopUpChange("", "b", 5)},
        {"moved budget", BudgetChange("b", "other")},
    };
    const uint64_t base = m_state->GetConfiguration().Version();
    for (Row& row : rows) {
      const auto answer = Accept(
          m_operator, *m_state, row.name,
          List(TopUpChange(std::string("good") + row.name, "b", 5), row.change),
          kStart);
      CPPUNIT_ASSERT_MESSAGE(row.name, Is(answer, ErrorKind::kBadIntent));
    }
    CPPUNIT_ASSERT_EQUAL(base, m_state->GetConfiguration().Version());
    // The same top-up in two plans counts once.
    for (const char* plan : {"x", "y"})
      Accept(m_operator, *m_state, plan, List(TopUpChange("t", "b", 5)),
             kStart);
    CheckAmounts({1005, 0, 0, 0, 0});
  }

  void SnapshotRestoresEverything() {
    RequestGrant(m_entry, 200, 10);
    Open("open", 1, 20);
    m_entry.Send(ClaimOf("k", 1, 2), kStart);
    Settle("k", 2, 10, 7);
    Settle("k", 3, 10, 7);
    m_entry.Send(wire::ReportSuspectT(), kStart);
    Retire("r1");
    const std::string bytes = m_state->Snapshot();
    const auto copy = MakeState(m_options);
    copy->Restore(bytes);
    CPPUNIT_ASSERT(copy->Snapshot() == bytes);
    CPPUNIT_ASSERT(copy->Disagreements().empty());
    // Both states continue identically.
    TestSender left(m_state.get(), "entry", 2);
    TestSender right(copy.get(), "entry", 2);
    for (TestSender* run : {&left, &right}) RequestGrant(*run, 100);
    CPPUNIT_ASSERT(copy->Snapshot() == m_state->Snapshot());
  }

  void DamagedSnapshotChangesNothing() {
    const std::string bytes = m_state->Snapshot();
    for (const size_t length : {size_t{0}, size_t{3}, bytes.size() / 2}) {
      try {
        m_state->Restore(bytes.substr(0, length));
        CPPUNIT_FAIL("a truncated snapshot was accepted");
      } catch (const Error& error) {
        CPPUNIT_ASSERT(error.Kind() == ErrorKind::kStorageDamaged);
      }
    }
    CPPUNIT_ASSERT(m_state->Snapshot() == bytes);
  }

 private:
  struct GrantMode {
    wire::GrantWay grant_mode;
    uint32_t partition_seconds;
  };

  template <typename... Changes>
  static std::vector<wire::ChangeT> List(Changes... changes) {
    std::vector<wire::ChangeT> list;
    (list.push_back(std::move(changes)), ...);
    return list;
  }

  // Stores the team with this grant mode, and its budget of 1000 tokens.
  void Set(const std::string& plan, const GrantMode& grant_mode) {
    const auto answer =
        Accept(m_operator, *m_state, plan,
               List(TeamChange("team", grant_mode.grant_mode,
                               grant_mode.partition_seconds),
                    BudgetChange("b", "team"), TopUpChange("t0", "b", 1000)),
               kStart);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.detail, uint16_t{0}, answer.error);
  }

  static wire::CommandAnswerT RequestGrant(TestSender& run, Tokens wanted,
                                           Tokens demand = 0,
                                           Tokens minimum = 1,
                                           WallMs stamp = kStart) {
    return run.Send(GrantRequestOf("b", wanted, demand, minimum), stamp);
  }
  wire::CommandAnswerT Open(const std::string& key, AttemptId attempt,
                            Tokens reserved) {
    return m_entry.Send(OpeningOf("b", key, attempt, reserved), kStart);
  }
  wire::CommandAnswerT Settle(const std::string& key, AttemptId attempt,
                              Tokens reserved, Tokens spent) {
    return m_entry.Send(SettlementOf("b", key, attempt, reserved, spent),
                        kStart);
  }
  wire::CommandAnswerT Confirm(const std::string& plan) {
    return m_operator.Send(ConfirmOf(plan), kStart);
  }
  void Retire(const std::string& plan) {
    wire::RetireHolderT body;
    body.host = "entry";
    body.incarnation = 1;
    CPPUNIT_ASSERT(
        Is(Accept(m_operator, *m_state, plan, List(ChangeOf(body)), kStart),
           ErrorKind::kNone));
  }
  static wire::ClaimT ClaimOf(const std::string& key, uint64_t body_hash,
                              AttemptId attempt) {
    wire::ClaimT body;
    body.team = "team";
    body.request_key = key;
    body.body_hash = body_hash;
    body.attempt = attempt;
    return body;
  }
  static wire::ClaimState StateOf(const wire::CommandAnswerT& answer) {
    CPPUNIT_ASSERT(answer.body.AsClaimAnswer() != nullptr);
    return answer.body.AsClaimAnswer()->state;
  }

  void CheckAmounts(const BudgetAccount& wanted) {
    const BudgetAccount& amounts = *m_state->FindAccount("b");
    CPPUNIT_ASSERT_EQUAL(wanted.purchased, amounts.purchased);
    CPPUNIT_ASSERT_EQUAL(wanted.settled, amounts.settled);
    CPPUNIT_ASSERT_EQUAL(wanted.billed, amounts.billed);
    CPPUNIT_ASSERT_EQUAL(wanted.granted, amounts.granted);
    CPPUNIT_ASSERT_EQUAL(wanted.lost, amounts.lost);
  }

  StateOptions m_options;
  std::unique_ptr<State> m_state;
  TestSender m_operator{nullptr, "", 0};
  TestSender m_entry{nullptr, "", 0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateTest);

}  // namespace
}  // namespace dotterelshift::state
