#include "dotterelshift/gateway/held_grants.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class HeldGrantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldGrantsTest);
  CPPUNIT_TEST(EachBudgetIsRequestedBeforeFirstUse);
  CPPUNIT_TEST(PendingGrantRequestIsNotDuplicated);
  CPPUNIT_TEST(IdleHoldingsCanBeLentDuringAPartition);
  CPPUNIT_TEST(RequestBeyondTheTotalIsRejectedAtOnce);
  CPPUNIT_TEST(LastOfATotalIsRationedToSmallRequests);
  CPPUNIT_TEST(SpendIsReportedOnceAndTheRestReturned);
  CPPUNIT_TEST(ControlOutageLeavesOneReportToSend);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_grants = std::make_unique<HeldGrants>(HeldGrantsOptions(), [this] {
      auto id = std::make_unique<wire::CommandIdT>();
      id->sequence = ++m_sequence;
      return id;
    });
    Routes routes;
    routes.teams = {{"t", {"k"}, std::nullopt, 1'000'000}};
    m_grants->SetConnected(true, m_now);
    m_grants->OnRoutes(RouteTable(routes), 4, m_now);
  }

 private:
  std::vector<wire::CommandT> Take() { return m_grants->TakeCommands(m_now); }

  static std::vector<const wire::RequestGrantT*> GrantRequests(
      const std::vector<wire::CommandT>& commands) {
    std::vector<const wire::RequestGrantT*> requests;
    for (const wire::CommandT& command : commands)
      if (const auto* request = command.body.AsRequestGrant())
        requests.push_back(request);
    return requests;
  }

  void Answer(uint64_t sequence, Tokens tokens, Tokens free) {
    wire::CommandAnswerT answer;
    answer.id = std::make_unique<wire::CommandIdT>();
    answer.id->sequence = sequence;
    wire::GrantAnswerT grant;
    grant.budget = "t";
    grant.tokens = tokens;
    grant.standing = tokens;
    grant.free = free;
    answer.body.Set(std::move(grant));
    m_grants->OnAnswer(answer, m_now);
  }

  // Takes the first grant request and grants it.
  void GrantFirst(Tokens tokens, Tokens free) {
    const auto commands = Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, GrantRequests(commands).size());
    Answer(m_sequence, tokens, free);
  }

  void EachBudgetIsRequestedBeforeFirstUse() {
    const auto commands = Take();
    const auto requests = GrantRequests(commands);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, requests.size());
    // A quarter of what all four entries together hold initially.
    const auto own_share = static_cast<Tokens>(
        HeldGrantsOptions().initial_fraction * 1'000'000 / 4);
    CPPUNIT_ASSERT_EQUAL(own_share, requests[0]->wanted);
  }

  void PendingGrantRequestIsNotDuplicated() {
    Take();
    for (int i = 0; i < 10; ++i) {
      m_now += 300ms;
      m_grants->Reserve("t", 5000, m_now);
      CPPUNIT_ASSERT(GrantRequests(Take()).empty());
    }
  }

  // All callers of a team may be at one entry. The tokens that other entries
  // hold for the team are then idle there, and are all that is available once
  // control is unreachable.
  void IdleHoldingsCanBeLentDuringAPartition() {
    GrantFirst(87'500, 900'000);
    m_now += 20s;
    for (const wire::CommandT& command : Take())
      CPPUNIT_ASSERT(command.body.AsReturnGrant() == nullptr);
    m_grants->SetConnected(false, m_now);
    wire::TokenBorrowT borrow;
    borrow.budget = "t";
    borrow.wanted = 900'000;
    borrow.minimum = 17'000;
    borrow.demand_per_second = 100'000;
    const Tokens lent = m_grants->OnBorrow(borrow, {"other", 1}, m_now);
    CPPUNIT_ASSERT(lent > 80'000 && lent <= 87'500);
    // Lent tokens are no longer available.
    CPPUNIT_ASSERT(m_grants->OnBorrow(borrow, {"third", 1}, m_now) <=
                   87'500 - lent);
    m_grants->SetConnected(true, m_now);
    m_now += HeldGrantsOptions().report_every;
    size_t moves = 0;
    for (const wire::CommandT& command : Take())
      if (const auto* report = command.body.AsReportHoldings())
        moves += report->moves.size();
    CPPUNIT_ASSERT(moves >= 1);
  }

  void RequestBeyondTheTotalIsRejectedAtOnce() {
    GrantFirst(100'000, 50'000);
    CPPUNIT_ASSERT(m_grants->Reserve("t", 90'000, m_now) ==
                   BudgetDecision::kReserved);
    CPPUNIT_ASSERT(m_grants->Reserve("t", 120'000, m_now) ==
                   BudgetDecision::kWait);
    CPPUNIT_ASSERT(m_grants->Reserve("t", 160'000, m_now) ==
                   BudgetDecision::kExhausted);
    // An outdated remainder is not used.
    m_now += HeldGrantsOptions().remainder_max_age;
    CPPUNIT_ASSERT(m_grants->Reserve("t", 160'000, m_now) ==
                   BudgetDecision::kWait);
    CPPUNIT_ASSERT(m_grants->Reserve("free", 1600, m_now) ==
                   BudgetDecision::kUnlimited);
  }

  // 28,000 of a million are left when 40 requests a second arrive at each of
  // four entries: 15 s later, small requests are still served.
  void LastOfATotalIsRationedToSmallRequests() {
    GrantFirst(20'000, 8'000);
    Tokens small = 0;
    Tokens late = 0;
    for (int ms = 0; ms < 20'000; ms += 25, m_now += 25ms) {
      const bool large = ms % 100 == 0;
      const Tokens size = large ? 15'000 : 1'500;
      if (m_grants->Reserve("t", size, m_now) != BudgetDecision::kReserved)
        continue;
      CPPUNIT_ASSERT(!large);
      m_grants->Settle("t", size, size, true, m_now);
      small += size;
      if (ms >= 15'000) late += size;
    }
    CPPUNIT_ASSERT(late > 0);
    CPPUNIT_ASSERT(small <= 30'000 / 4);
  }

  void SpendIsReportedOnceAndTheRestReturned() {
    GrantFirst(10'000, 900'000);
    CPPUNIT_ASSERT(m_grants->Reserve("t", 4000, m_now) ==
                   BudgetDecision::kReserved);
    m_grants->Settle("t", 4000, 2500, true, m_now);
    m_now += 1s;
    Tokens reported = 0;
    Tokens returned = 0;
    const auto count = [&](const std::vector<wire::CommandT>& commands) {
      for (const wire::CommandT& command : commands) {
        if (const auto* report = command.body.AsReportHoldings())
          for (const auto& line : report->spends) reported += line->spent;
        if (const auto* rest = command.body.AsReturnGrant())
          returned += rest->tokens;
      }
    };
    count(Take());
    count(m_grants->TakeLastCommands(m_now));
    CPPUNIT_ASSERT_EQUAL(Tokens{2500}, reported);
    CPPUNIT_ASSERT_EQUAL(Tokens{7500}, returned);
  }

  // All of control restarts and needs ten seconds: what each entry then sends
  // must not grow with that time.
  void ControlOutageLeavesOneReportToSend() {
    GrantFirst(80'000, 900'000);
    m_grants->SetConnected(false, m_now);
    wire::TokenBorrowT borrow;
    borrow.budget = "t";
    borrow.wanted = 10;
    borrow.minimum = 10;
    size_t commands = 0;
    uint64_t first = 0;
    for (int ms = 0; ms < 10'000; ms += 20, m_now += 20ms) {
      m_grants->Reserve("t", 100, m_now);
      m_grants->Settle("t", 100, 100, true, m_now);
      m_grants->OnBorrow(borrow, {"other", 1}, m_now);
      const auto taken = Take();
      commands += taken.size();
      if (!taken.empty() && first == 0) first = taken.front().id->sequence;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, commands);
    m_grants->SetConnected(true, m_now);
    wire::CommandAnswerT answer;
    answer.id = std::make_unique<wire::CommandIdT>();
    answer.id->sequence = first;
    answer.body.Set(wire::DoneAnswerT());
    m_grants->OnAnswer(answer, m_now);
    m_now += HeldGrantsOptions().report_every;
    size_t reports = 0;
    for (const wire::CommandT& command : Take())
      reports += command.body.AsReportHoldings() != nullptr ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reports);
  }

  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  std::unique_ptr<HeldGrants> m_grants;
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeldGrantsTest);

}  // namespace
}  // namespace dotterelshift::gateway
