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
  CPPUNIT_TEST(CutOffSpendsTheStandingPartOnly);
  CPPUNIT_TEST(WaysDecideAboutOpenings);
  CPPUNIT_TEST(DoubtfulOpeningMayMoveToStanding);
  CPPUNIT_TEST(AsksOnceUntilItIsDueAgain);
  CPPUNIT_TEST(RefusalIsBelievedForAWhile);
  CPPUNIT_TEST(IdleAndRecalledTokensFlowBack);
  CPPUNIT_TEST(RefusedOpeningGivesTheHoldingBack);
  CPPUNIT_TEST(AsksForDemandTimesPartition);
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

  void CutOffSpendsTheStandingPartOnly() {
    Grant(AnswerOf(100, 30));
    m_ledger->SetConnected(false, m_now);
    CPPUNIT_ASSERT(Reserve(20) == ReserveResult::kReservedStanding);
    CPPUNIT_ASSERT(Reserve(20) == ReserveResult::kWait);
    m_ledger->SettleStanding(m_budget, 20, 5, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{25}, m_ledger->Standing(m_budget));
    CPPUNIT_ASSERT(Reserve(26) == ReserveResult::kExhausted);
    CPPUNIT_ASSERT(m_ledger->TakeWishes(m_now).empty());
    m_ledger->SetConnected(true, m_now);
    CPPUNIT_ASSERT(Reserve(26) == ReserveResult::kReserved);
  }

  void WaysDecideAboutOpenings() {
    struct Row {
      wire::GrantWay way;
      ReserveResult connected;
      ReserveResult cut_off;
    };
    const Row rows[] = {
        {wire::GrantWay::Unwitnessed, ReserveResult::kReservedStanding,
         ReserveResult::kReservedStanding},
        {wire::GrantWay::ClockLease, ReserveResult::kReserved,
         ReserveResult::kExhausted},
        {wire::GrantWay::Witnessed, ReserveResult::kReserved,
         ReserveResult::kReservedStanding},
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
        m_ledger->SettleStanding(m_budget, 10, 0, m_now);
      m_ledger->SetConnected(false, m_now);
      CPPUNIT_ASSERT(Reserve(10) == row.cut_off);
    }
  }

  void DoubtfulOpeningMayMoveToStanding() {
    Grant(AnswerOf(100, 30));
    Reserve(40);
    Reserve(20);
    m_ledger->SetConnected(false, m_now);
    CPPUNIT_ASSERT(!m_ledger->MoveToStanding(m_budget, 40, m_now));
    CPPUNIT_ASSERT(m_ledger->MoveToStanding(m_budget, 20, m_now));
    CPPUNIT_ASSERT_EQUAL(Tokens{10}, m_ledger->Standing(m_budget));
    m_ledger->SettleStanding(m_budget, 20, 20, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{10}, m_ledger->Standing(m_budget));
  }

  void AsksOnceUntilItIsDueAgain() {
    Reserve(10'000);
    const auto wishes = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, wishes.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{10'000}, wishes[0].minimum);
    Reserve(10'000);
    CPPUNIT_ASSERT(m_ledger->TakeWishes(m_now).empty());
    m_now += LedgerOptions().ask_again;
    CPPUNIT_ASSERT(m_ledger->NextDue() && *m_ledger->NextDue() <= m_now);
    const auto again = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(wishes[0].wanted, again[0].wanted);
    // After a reconnection the request is sent again at once.
    m_ledger->SetConnected(false, m_now);
    m_ledger->SetConnected(true, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ledger->TakeWishes(m_now).size());
  }

  void RefusalIsBelievedForAWhile() {
    Reserve(10);
    m_ledger->TakeWishes(m_now);
    Grant(AnswerOf(0, 0, 500));
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kWait);  // held elsewhere
    Grant(AnswerOf(0));
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kExhausted);
    CPPUNIT_ASSERT(m_ledger->TakeWishes(m_now).empty());
    m_now += LedgerOptions().refusal_memory;
    CPPUNIT_ASSERT(Reserve(10) == ReserveResult::kWait);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_ledger->TakeWishes(m_now).size());
  }

  void IdleAndRecalledTokensFlowBack() {
    Grant(AnswerOf(100'000, 60'000));
    Reserve(20'000);
    m_ledger->OnRecall("b", 50'000, m_now);
    auto wishes = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT(wishes.at(0).kind == GrantWish::Kind::kReturn);
    CPPUNIT_ASSERT_EQUAL(Tokens{50'000}, wishes[0].wanted);
    // The pre-authorized amount never exceeds the remaining idle tokens.
    CPPUNIT_ASSERT_EQUAL(Tokens{30'000}, wishes[0].standing);
    m_now += LedgerOptions().idle_return;
    CPPUNIT_ASSERT(m_ledger->NextDue() && *m_ledger->NextDue() <= m_now);
    wishes = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{30'000}, wishes.at(0).wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{20'000}, m_ledger->Held(m_budget));
    m_ledger->Settle(m_budget, 20'000, 0, m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{20'000}, m_ledger->ReturnAll(m_now)[0].wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, m_ledger->Held(m_budget));
  }

  void RefusedOpeningGivesTheHoldingBack() {
    Grant(AnswerOf(100, 30));
    Reserve(40);
    Reserve(20);
    m_ledger->OnOpeningRefused(m_budget, 40, m_now);
    const auto wishes = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, wishes.size());
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, wishes[0].wanted);
    CPPUNIT_ASSERT_EQUAL(Tokens{30}, wishes[0].standing);
    CPPUNIT_ASSERT(wishes[1].kind == GrantWish::Kind::kAsk);
    CPPUNIT_ASSERT_EQUAL(Tokens{20}, m_ledger->Held(m_budget));
  }

  void AsksForDemandTimesPartition() {
    Grant(AnswerOf(10'000'000));
    for (int second = 0; second < 60; ++second) {
      Reserve(1000);
      m_ledger->Settle(m_budget, 1000, 1000, m_now);
      m_now += 1s;
    }
    const Tokens demand = m_ledger->DemandPerSecond(m_budget, m_now);
    CPPUNIT_ASSERT(demand > 850 && demand < 1150);
    m_ledger->OnRecall("b", 10'000'000, m_now);
    const auto wishes = m_ledger->TakeWishes(m_now);
    CPPUNIT_ASSERT(wishes.at(1).kind == GrantWish::Kind::kAsk);
    CPPUNIT_ASSERT(wishes[1].wanted > 50'000 && wishes[1].wanted < 70'000);
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
