#include "dotterelshift/gateway/spend_reports.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class SpendReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpendReportsTest);
  CPPUNIT_TEST(OneReportIsInFlightAtATime);
  CPPUNIT_TEST(PendingReportIsBoundedByTeamsAndReceivers);
  CPPUNIT_TEST(FinalReportDoesNotWait);
  CPPUNIT_TEST_SUITE_END();

 private:
  void OneReportIsInFlightAtATime() {
    CPPUNIT_ASSERT(!m_reports.Take());
    m_reports.OnSpent("t", 100, true);
    CPPUNIT_ASSERT_EQUAL(Tokens{100}, SpentIn(m_reports.Take()));
    m_reports.OnSent(7);
    m_reports.OnSpent("t", 30, true);
    m_reports.OnSpent("t", 20, false);
    CPPUNIT_ASSERT(!m_reports.Take());
    CPPUNIT_ASSERT(!m_reports.OnAnswer(6));
    CPPUNIT_ASSERT(!m_reports.Take());
    CPPUNIT_ASSERT(m_reports.OnAnswer(7));
    const auto next = m_reports.Take();
    CPPUNIT_ASSERT_EQUAL(Tokens{50}, SpentIn(next));
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, next->spends.front()->requests);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, next->spends.front()->answered);
  }

  // Control is unreachable for a minute of requests of 24 teams and loans to 5
  // entries.
  void PendingReportIsBoundedByTeamsAndReceivers() {
    constexpr int kTeams = 24;
    constexpr int kReceivers = 5;
    constexpr int kEvents = 60'000;
    Tokens lent = 0;
    for (int i = 0; i < kEvents; ++i) {
      const TeamId team = "t" + std::to_string(i % kTeams);
      m_reports.OnSpent(team, 10, true);
      m_reports.OnLent(team, {"e" + std::to_string(i % kReceivers), 1}, 3);
      lent += 3;
    }
    CPPUNIT_ASSERT(m_reports.PendingLines() <= kTeams + kTeams * kReceivers);
    const auto report = m_reports.Take();
    CPPUNIT_ASSERT_EQUAL(Tokens{kEvents} * 10, SpentIn(report));
    Tokens moved = 0;
    for (const auto& move : report->moves) moved += move->tokens;
    CPPUNIT_ASSERT_EQUAL(lent, moved);
  }

  void FinalReportDoesNotWait() {
    m_reports.OnSpent("t", 100, true);
    m_reports.Take();
    m_reports.OnSent(7);
    m_reports.OnLent("t", {"e", 1}, 40);
    const auto last = m_reports.TakeFinal();
    CPPUNIT_ASSERT(last);
    CPPUNIT_ASSERT_EQUAL(Tokens{40}, last->moves.front()->tokens);
    CPPUNIT_ASSERT(!m_reports.TakeFinal());
  }

  static Tokens SpentIn(const std::optional<wire::ReportHoldingsT>& report) {
    CPPUNIT_ASSERT(report);
    Tokens spent = 0;
    for (const auto& line : report->spends) spent += line->spent;
    return spent;
  }

  SpendReports m_reports;
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpendReportsTest);

}  // namespace
}  // namespace dotterelshift::gateway
