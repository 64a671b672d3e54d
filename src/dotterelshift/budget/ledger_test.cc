#include "dotterelshift/budget/ledger.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::budget {
namespace {

wire::GrantAnswerT AnswerOf(Tokens tokens, Tokens standing = 0,
                            Tokens elsewhere = 0) {
  wire::GrantAnswerT answer;
  answer.tokens = tokens;
  answer.standing = standing;
  answer.elsewhere = elsewhere;
  return answer;
}

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(ReservesNoMoreThanIsHeld);
  CPPUNIT_TEST(CutOffSpendsOnlyThePreauthorizedAmount);
  CPPUNIT_TEST(GrantModeDecidesWhetherAnOpeningIsNeeded);
  CPPUNIT_TEST(OpeningInDoubtMayUseThePreauthorizedAmount);
  CPPUNIT_TEST(GrantRequestIsRepeatedOnlyAfterTheRetryInterval);
  CPPUNIT_TEST(RefusalIsCachedUntilItExpires);
  CPPUNIT_TEST(IdleAndRecalledTokensAreReturned);
  CPPUNIT_TEST(RefusedOpeningReturnsTheHolding);
  CPPUNIT_TEST(RequestsDemandTimesPartition);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_ledger = MakeLedger();
    m_now = Instant(1000s);
    m_budget = m_ledger->Open("b", m_policy);
  }

  void ReservesNoMoreThanIsHeld() {
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kWait);
    Grant(AnswerOf(100));
    CPPUNIT_ASSERT(Reserve(60) == ReserveResult::kReserved);
    CPPUNIT_ASSERT(Reserve(60) == ReserveResult::kWait);
    m_ledger->Settle(m_budget, 60, 20, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, m_ledger->Held(m_budget));
    CPPUNIT_ASSERT(Reserve(80) == ReserveResult::kReserved);
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, m_ledger->Reserved(m_budget));
  }

  void CutOffSpendsOnlyThePreauthorizedAmount() {
    Grant(AnswerOf(100, 30));
    m_ledger->SetConnected(false, m_now);
    CPPUNIT_ASSERT(Reserve(20) == ReserveResult::kReservedPreauthorized);
    CPPUNIT_ASSERT(Reserve(20) == ReserveResult::kWait);
    m_ledger->SettlePreauthorized(m_budget, 20, 5, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{25}, m_ledger->Preauthorized(m_budget));
    CPPUNIT_ASSERT(Reserve(26) == ReserveResult::kExhausted);
    CPPUNIT_ASSERT(m_ledger->TakeAdjustments(m_now).empty());
    m_ledger->SetConnected(true, m_now);
    CPPUNIT_ASSERT(Reserve(26) == ReserveResult::kReserved);
  }

  void GrantModeDecidesWhetherAnOpeningIsNeeded() {
    struct Row {
      wire::GrantWay way;
      ReserveResult connected;
      ReserveResult cut_off;
    };
    const Row rows[] = {
        {wire::GrantWay::Unwitnessed, ReserveResult::kReservedPreauthorized,
         ReserveResult::kReservedPreauthorized},
        {wire::GrantWay::ClockLease, ReserveResult::kReserved,
         ReserveResult::kExhausted},
        {wire::GrantWay::Witnessed, ReserveResult::kReserved,
         ReserveResult::kReservedPreauthorized},
    };
    for (const Row& row : rows) {
      m_policy.way = row.way;
      setUp();
      Grant(AnswerOf(100, 100));
      const ReserveResult connected = Reserve(10);
      CPPUNIT_ASSERT(connected == row.connected);
      if (connected == ReserveResult::kReserved)
        m_ledger->Settle(m_budget, 10, 0, m_now);
      else
        m_ledger->SettlePreauthorized(m_budget, 10, 0, m_now);
      m_ledger->SetConnected(false, m_now);
      CPPUNIT_ASSERT(Reserve(10) == row.cut_off);
    }
  }

  void OpeningInDoubtMayUseThePreauthorizedAmount() {
    Grant(AnswerOf(100, 30));
    Reserve(40);
    Reserve(20);
    m_ledger->SetConnected(false, m_now);
    CPPUNIT_ASSERT(!m_ledger->MoveToPreauthorized(m_budget, 40, m_now));
    CPPUNIT_ASSERT(m_ledger->MoveToPreauthorized(m_budget, 20, m_now));
    CPPUNIT_ASSERT_EQUAL(Tokens{10}, m_ledger->Preauthorized(m_budget));
    m_ledger->SettlePreauthorized(m_budget, 20, 20, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{10}, m_ledger->Preauthorized(m_budget));
  }

  void GrantRequestIsRepeatedOnlyAfterTheRetryInterval() {
    Reserve(10'000);
    const auto adjustments = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, adjustments.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{10'000}, adjustments[0].minimum);
    Reserve(10'000);
    CPPUNIT_ASSERT(m_ledger->TakeAdjustments(m_now).empty());
    m_now += LedgerOptions().retry_request_after;
    CPPUNIT_ASSERT(m_ledger->NextDue() && *m_ledger->NextDue() <= m_now);
    const auto again = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(adjustments[0].wanted, again[0].wanted);
    // After a reconnection the request is sent again at once.
    m_ledger->SetConnected(false, m_now);
    m_ledger->SetConnected(true, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ledger->TakeAdjustments(m_now).size());
  }

  void RefusalIsCachedUntilItExpires() {
    Reserve(10);
    m_ledger->TakeAdjustments(m_now);
    Grant(AnswerOf(0, 0, 500));
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kWait);  // held elsewhere
    Grant(AnswerOf(0));
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kExhausted);
    CPPUNIT_ASSERT(m_ledger->TakeAdjustments(m_now).empty());
    m_now += LedgerOptions().refusal_ttl;
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kWait);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ledger->TakeAdjustments(m_now).size());
  }

  void IdleAndRecalledTokensAreReturned() {
    Grant(AnswerOf(100'000, 60'000));
    Reserve(20'000);
    m_ledger->OnRecall("b", 50'000, m_now);
    auto adjustments = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT(adjustments.at(0).kind == GrantAdjustment::Kind::kReturn);
    CPPUNIT_ASSERT_EQUAL(Tokens{50'000}, adjustments[0].wanted);
    // The pre-authorized amount never exceeds the remaining idle tokens.
    CPPUNIT_ASSERT_EQUAL(Tokens{30'000}, adjustments[0].standing);
    m_now += LedgerOptions().idle_return_after;
    CPPUNIT_ASSERT(m_ledger->NextDue() && *m_ledger->NextDue() <= m_now);
    adjustments = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{30'000}, adjustments.at(0).wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{20'000}, m_ledger->Held(m_budget));
    m_ledger->Settle(m_budget, 20'000, 0, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{20'000}, m_ledger->ReturnAll(m_now)[0].wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, m_ledger->Held(m_budget));
  }

  void RefusedOpeningReturnsTheHolding() {
    Grant(AnswerOf(100, 30));
    Reserve(40);
    Reserve(20);
    m_ledger->OnOpeningRefused(m_budget, 40, m_now);
    const auto adjustments = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, adjustments.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, adjustments[0].wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{30}, adjustments[0].standing);
    CPPUNIT_ASSERT(adjustments[1].kind == GrantAdjustment::Kind::kRequestGrant);
    CPPUNIT_ASSERT_EQUAL(Tokens{20}, m_ledger->Held(m_budget));
  }

  void RequestsDemandTimesPartition() {
    Grant(AnswerOf(10'000'000));
    for (int second = 0; second < 60; ++second) {
      Reserve(1000);
      m_ledger->Settle(m_budget, 1000, 1000, m_now);
      m_now += 1s;
    }
    const Tokens demand = m_ledger->DemandPerSecond(m_budget, m_now);
    CPPUNIT_ASSERT(demand > 850 && demand < 1150);
    m_ledger->OnRecall("b", 10'000'000, m_now);
    const auto adjustments = m_ledger->TakeAdjustments(m_now);
    CPPUNIT_ASSERT(adjustments.at(1).kind ==
                   GrantAdjustment::Kind::kRequestGrant);
    CPPUNIT_ASSERT(adjustments[1].wanted > 50'000 &&
                   adjustments[1].wanted < 70'000);
  }

 private:
  ReserveResult Reserve(Tokens tokens) {
    return m_ledger->Reserve(m_budget, tokens, m_now);
  }
  void Grant(const wire::GrantAnswerT& answer) {
    m_ledger->OnGrant(m_budget, answer, m_now);
  }

  HoldingPolicy m_policy;
  std::unique_ptr<Ledger> m_ledger;
  BudgetHandle m_budget = 0;
  Instant m_now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
}  // namespace dotterelshift::budget
