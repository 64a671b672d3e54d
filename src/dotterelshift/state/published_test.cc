#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <random>  // for mt19937_64

#include "dotterelshift/base/error.h"             // for ErrorKind
#include "dotterelshift/state/packed_document.h"  // for PackDocument
#include "dotterelshift/state/state.h"            // for State
#include "dotterelshift/state/state_testing.h"    // for TestSender

namespace dotterelshift::state {
namespace {

wire::PublishRoutesT RoutesOf(uint64_t version, Tokens total) {
  wire::PublishRoutesT routes;
  routes.version = version;
  routes.document = {static_cast<uint8_t>(version)};
  auto entry = std::make_unique<wire::TeamTotalT>();
  entry->team = "t";
  entry->tokens = total;
  routes.totals.push_back(std::move(entry));
  return routes;
}

wire::RequestGrantT PublishedGrantRequest(Tokens wanted, Tokens minimum) {
  wire::RequestGrantT grant_request;
  grant_request.budget = "t";
  grant_request.wanted = wanted;
  grant_request.minimum = minimum;
  return grant_request;
}

wire::ReportSpendT SpendOf(Tokens spent) {
  wire::ReportSpendT report;
  report.budget = "t";
  report.spent = spent;
  report.requests = 1;
  return report;
}

wire::MoveGrantT MoveOf(Tokens tokens, const HostRun& to) {
  wire::MoveGrantT move;
  move.budget = "t";
  move.tokens = tokens;
  move.to_host = to.host;
  move.to_incarnation = to.incarnation;
  return move;
}

class PublishedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedTest);
  CPPUNIT_TEST(HighestVersionIsInForce);
  CPPUNIT_TEST(DeltasLeadFromVersionToVersion);
  CPPUNIT_TEST(DeltaFromAnotherVersionIsRefused);
  CPPUNIT_TEST(HeldShareOfTheRemainderIsCapped);
  CPPUNIT_TEST(HolderGetsOneSecondOfDemandAboveTheCap);
  CPPUNIT_TEST(TransferredTokensAreCountedOnceInAnyOrder);
  CPPUNIT_TEST(UnknownReceiverDoesNotMakeTheSenderStale);
  CPPUNIT_TEST(ReportItemsCountIndependently);
  CPPUNIT_TEST(TokensOfADeadEntryAreNeverGrantedAgain);
  CPPUNIT_TEST(ReserveServesSmallRequestsAfterAFleetCrash);
  CPPUNIT_TEST(LoweredTotalGrantsNothingMore);
  CPPUNIT_TEST(SpendStaysWithinTheTotalInRandomSchedules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = MakeState();
    m_control.emplace(m_state.get(), "control", 1);
    m_a.emplace(m_state.get(), "a", 1);
    m_b.emplace(m_state.get(), "b", 1);
    Register(*m_a);
    Register(*m_b);
    m_control->Send(RoutesOf(1, 1000), 1);
  }

 private:
  static void Register(TestSender& run) { run.Send(wire::RegisterHostT(), 1); }

  Tokens Grant(TestSender& run, Tokens wanted, Tokens minimum) {
    return run.Send(PublishedGrantRequest(wanted, minimum), 1)
        .body.AsGrantAnswer()
        ->tokens;
  }
  const BudgetAccount& Account() { return *m_state->FindAccount("t"); }

  void HighestVersionIsInForce() {
    const auto answer = m_control->Send(RoutesOf(5, 2000), 2);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, answer.body.AsRoutesAnswer()->version);
    const auto older = m_control->Send(RoutesOf(3, 9000), 3);
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, older.error);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, older.body.AsRoutesAnswer()->version);
    CPPUNIT_ASSERT_EQUAL(Tokens{2000}, Account().purchased);
    const auto copy = MakeState();
    copy->Restore(m_state->Snapshot());
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, copy->GetPublished().version);
    CPPUNIT_ASSERT(copy->GetPublished().document ==
                   m_state->GetPublished().document);
    CPPUNIT_ASSERT(copy->Snapshot() == m_state->Snapshot());
  }

  // Publishes a document as a delta from the current version.
  wire::PublishRoutesT DeltaTo(uint64_t version, const std::string& document) {
    const PublishedRoutes in_force = m_state->GetPublished();
    wire::PublishRoutesT step;
    step.version = version;
    step.base = in_force.version;
    step.packed = PackDocument(document, in_force.document);
    return step;
  }

  // A replica that has restored a snapshot applies further deltas, but has none
  // of the older ones.
  void DeltasLeadFromVersionToVersion() {
    m_control->Send(DeltaTo(4, "four"), 2);
    const auto copy = MakeState();
    copy->Restore(m_state->Snapshot());
    TestSender copied(copy.get(), "other", 1);
    const wire::PublishRoutesT step = DeltaTo(7, "seven");
    m_control->Send(wire::PublishRoutesT(step), 3);
    copied.Send(wire::PublishRoutesT(step), 3);
    for (const auto* state : {m_state.get(), copy.get()})
      CPPUNIT_ASSERT_EQUAL(std::string("seven"),
                           std::string(state->GetPublished().document));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_state->RouteDeltasSince(1).size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->RouteDeltasSince(4).size());
    CPPUNIT_ASSERT(m_state->RouteDeltasSince(2).empty());
    CPPUNIT_ASSERT(copy->RouteDeltasSince(1).empty());
    // A full document discards the deltas before it.
    m_control->Send(RoutesOf(9, 1000), 4);
    CPPUNIT_ASSERT(m_state->RouteDeltasSince(7).empty());
  }

  void DeltaFromAnotherVersionIsRefused() {
    const wire::PublishRoutesT late = DeltaTo(6, "six");
    m_control->Send(DeltaTo(4, "four"), 2);
    const auto answer = m_control->Send(wire::PublishRoutesT(late), 3);
    CPPUNIT_ASSERT(static_cast<ErrorKind>(answer.error) ==
                   ErrorKind::kVersionMoved);
    wire::PublishRoutesT damaged = DeltaTo(6, "six");
    damaged.packed.pop_back();
    const auto refused = m_control->Send(std::move(damaged), 4);
    CPPUNIT_ASSERT(static_cast<ErrorKind>(refused.error) ==
                   ErrorKind::kBadFrame);
    CPPUNIT_ASSERT_EQUAL(std::string("four"),
                         std::string(m_state->GetPublished().document));
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, m_state->GetPublished().version);
  }

  void HeldShareOfTheRemainderIsCapped() {
    CPPUNIT_ASSERT_EQUAL(Tokens{450}, Grant(*m_a, 1000, 0));
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(*m_b, 1000, 0));
    // A waiting request is covered beyond that share.
    CPPUNIT_ASSERT_EQUAL(Tokens{300}, Grant(*m_b, 1000, 300));
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(*m_b, 1000, 300));
  }

  // With the minimum alone, a holder would serve one request per answer from
  // control while others hold the whole share.
  void HolderGetsOneSecondOfDemandAboveTheCap() {
    CPPUNIT_ASSERT_EQUAL(Tokens{450}, Grant(*m_a, 1000, 0));
    wire::RequestGrantT grant_request = PublishedGrantRequest(1000, 10);
    grant_request.demand_per_second = 100;
    const auto granted = [&] {
      return m_b->Send(grant_request, 1).body.AsGrantAnswer()->tokens;
    };
    CPPUNIT_ASSERT_EQUAL(Tokens{100}, granted());
    // The grant is limited to a quarter of the free tokens.
    grant_request.demand_per_second = 900;
    CPPUNIT_ASSERT_EQUAL(Tokens{112}, granted());
  }

  // The receiver's spend arrives before the sender reports the transfer.
  void TransferredTokensAreCountedOnceInAnyOrder() {
    Grant(*m_a, 400, 400);
    m_b->Send(SpendOf(150), 2);
    CPPUNIT_ASSERT_EQUAL(Tokens{600}, Account().Free());
    m_a->Send(MoveOf(200, m_b->Id()), 3);
    CPPUNIT_ASSERT_EQUAL(Tokens{600}, Account().Free());
    CPPUNIT_ASSERT_EQUAL(Tokens{150}, Account().settled);
    wire::ReturnGrantT rest;
    rest.budget = "t";
    rest.tokens = 50;
    rest.standing = 50;
    m_b->Send(std::move(rest), 4);
    CPPUNIT_ASSERT_EQUAL(Tokens{650}, Account().Free());
  }

  // To a sender, kStaleIncarnation means that a newer incarnation has replaced
  // it, and it exits. A transfer to a receiver that has just started must not
  // cause that error.
  void UnknownReceiverDoesNotMakeTheSenderStale() {
    Grant(*m_a, 400, 400);
    const auto answer = m_a->Send(MoveOf(200, {"just started", 7}), 2);
    CPPUNIT_ASSERT(static_cast<ErrorKind>(answer.error) ==
                   ErrorKind::kBadField);
    TestSender started(m_state.get(), "just started", 7);
    Register(started);
    started.Send(SpendOf(200), 3);
    CPPUNIT_ASSERT_EQUAL(Tokens{600}, Account().Free());
  }

  // An item that is refused does not affect the others.
  void ReportItemsCountIndependently() {
    Grant(*m_a, 400, 400);
    wire::ReportHoldingsT report;
    wire::ReportSpendT unknown = SpendOf(10);
    unknown.budget = "nobody's";
    report.spends.push_back(std::make_unique<wire::ReportSpendT>(unknown));
    report.spends.push_back(std::make_unique<wire::ReportSpendT>(SpendOf(150)));
    report.moves.push_back(
        std::make_unique<wire::MoveGrantT>(MoveOf(50, {"not known", 3})));
    report.moves.push_back(
        std::make_unique<wire::MoveGrantT>(MoveOf(100, m_b->Id())));
    const auto command = m_a->Command(std::move(report));
    for (int resend = 0; resend < 2; ++resend) {
      const auto answer = m_a->Resend(command, 2);
      CPPUNIT_ASSERT_EQUAL(uint16_t{0}, answer.error);
      CPPUNIT_ASSERT(answer.body.AsDoneAnswer() != nullptr);
      CPPUNIT_ASSERT_EQUAL(Tokens{150}, Account().settled);
      CPPUNIT_ASSERT_EQUAL(Tokens{600}, Account().Free());
    }
    for (const Holding& holding : m_state->HoldingsOf("t")) {
      const Tokens held = holding.holder.host == "a" ? 150 : 100;
      CPPUNIT_ASSERT_EQUAL(held, holding.tokens);
    }
  }

  void TokensOfADeadEntryAreNeverGrantedAgain() {
    Grant(*m_a, 400, 400);
    m_b->Send(SpendOf(100), 2);  // received from a, which dies before
                                 // it reports the transfer
    TestSender again(m_state.get(), "a", 2);
    Register(again);
    CPPUNIT_ASSERT_EQUAL(Tokens{600}, Account().Free());
    CPPUNIT_ASSERT_EQUAL(Tokens{400}, Account().lost);
    // Everything but the reserve is granted, then the reserve in small amounts
    // until it is used up.
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(again, 1000, 593));
    CPPUNIT_ASSERT_EQUAL(Tokens{592}, Grant(again, 1000, 592));
    for (int request = 0; request < 4; ++request)
      CPPUNIT_ASSERT_EQUAL(Tokens{2}, Grant(again, 1000, 2));
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(again, 1000, 1));
  }

  // Requests of all sizes draw tokens until control grants nothing more except
  // to small ones. Then all entries die with the tokens that they hold.
  void ReserveServesSmallRequestsAfterAFleetCrash() {
    constexpr Tokens kTotal = 1'000'000;
    constexpr Tokens kSmall = 2'000;
    constexpr Tokens kMinServed = kTotal / 200;
    m_control->Send(RoutesOf(2, kTotal), 2);
    for (const Tokens size : {80'000, 40'000, 20'000, 10'000})
      while (Grant(*m_a, kTotal, size) > 0 || Grant(*m_b, kTotal, size) > 0) {
      }
    TestSender a(m_state.get(), "a", 2);
    TestSender b(m_state.get(), "b", 2);
    Register(a);
    Register(b);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(a, kTotal, 10'000));
    Tokens served = 0;
    for (Tokens granted = 1; granted > 0; served += granted)
      granted = Grant(a, kTotal, kSmall);
    CPPUNIT_ASSERT(served >= kMinServed);
    CPPUNIT_ASSERT(Account().Free() >= 0);
  }

  void LoweredTotalGrantsNothingMore() {
    Grant(*m_a, 400, 400);
    m_control->Send(RoutesOf(2, 100), 2);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(*m_b, 10, 0));
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, Grant(*m_b, 10, 10));
  }

  // Entries request grants, spend, transfer tokens, report late and die in
  // random order. What they really consumed must stay within the total.
  void SpendStaysWithinTheTotalInRandomSchedules() {
    constexpr int kSchedules = 300;
    constexpr int kSteps = 200;
    for (int seed = 0; seed < kSchedules; ++seed) {
      setUp();
      Schedule schedule(*this, seed);
      for (int step = 0; step < kSteps; ++step) schedule.Step();
      CPPUNIT_ASSERT(schedule.Consumed() <= 1000);
    }
  }

  class Schedule {
   public:
    Schedule(PublishedTest& test, uint64_t seed)
        : m_test(test), m_random(seed) {
      for (Entry& entry : m_entries) Start(entry);
    }
    Tokens Consumed() const { return m_consumed; }

    void Step() {
      Entry& entry = m_entries.at(m_random() % m_entries.size());
      switch (m_random() % 6) {
        case 0:
          entry.held += m_test.Grant(*entry.run, Draw(200), Draw(100));
          return;
        case 1:
        case 2:
          return Spend(entry);
        case 3:
          return Report(entry);
        case 4:
          return Transfer(entry);
        case 5:
          if (m_random() % 5 == 0) Start(entry);
      }
    }

   private:
    struct Entry {
      std::optional<TestSender> run;
      Tokens held = 0;
      Tokens unreported = 0;
      std::vector<wire::MoveGrantT> unreported_moves;
    };
    Tokens Draw(Tokens most) {
      return static_cast<Tokens>(m_random() % (most + 1));
    }
    void Start(Entry& entry) {
      const std::string host(
          1, static_cast<char>('p' + (&entry - m_entries.data())));
      entry.run.emplace(m_test.m_state.get(), host, ++m_incarnation);
      entry.held = 0;
      entry.unreported = 0;
      entry.unreported_moves.clear();
      Register(*entry.run);
    }
    void Spend(Entry& entry) {
      const Tokens spent = Draw(entry.held);
      entry.held -= spent;
      entry.unreported += spent;
      m_consumed += spent;
    }
    void Transfer(Entry& entry) {
      Entry& other = m_entries.at(m_random() % m_entries.size());
      const Tokens lent = Draw(entry.held);
      if (&other == &entry || lent == 0) return;
      entry.held -= lent;
      other.held += lent;
      // The transfer is reported with the next report, at once, or not at all,
      // like a report that is lost with its sender.
      switch (m_random() % 3) {
        case 0:
          entry.unreported_moves.push_back(MoveOf(lent, other.run->Id()));
          return;
        case 1:
          entry.run->Send(MoveOf(lent, other.run->Id()), 1);
      }
    }
    void Report(Entry& entry) {
      if (m_random() % 2 == 0) {
        entry.run->Send(SpendOf(std::exchange(entry.unreported, 0)), 1);
        return;
      }
      wire::ReportHoldingsT report;
      report.spends.push_back(std::make_unique<wire::ReportSpendT>(
          SpendOf(std::exchange(entry.unreported, 0))));
      for (const wire::MoveGrantT& move :
           std::exchange(entry.unreported_moves, {}))
        report.moves.push_back(std::make_unique<wire::MoveGrantT>(move));
      entry.run->Send(std::move(report), 1);
    }

    PublishedTest& m_test;
    std::mt19937_64 m_random;
    std::array<Entry, 3> m_entries;
    Incarnation m_incarnation = 10;
    Tokens m_consumed = 0;
  };

  std::unique_ptr<State> m_state;
  std::optional<TestSender> m_control;
  std::optional<TestSender> m_a;
  std::optional<TestSender> m_b;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PublishedTest);

}  // namespace
}  // namespace dotterelshift::state
