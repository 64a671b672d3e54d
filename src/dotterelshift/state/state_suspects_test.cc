// Contents and segments under which endpoints crashed, and the trials of these.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for unique_ptr

#include "dotterelshift/state/state.h"          // for MakeState
#include "dotterelshift/state/state_testing.h"  // for TestSender

namespace dotterelshift::state {
namespace {

constexpr WallMs kDay = 86'400'000;
constexpr WallMs kStart = 20'000 * kDay;

class StateSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateSuspectsTest);
  CPPUNIT_TEST(SuspectsAreQuarantined);
  CPPUNIT_TEST(ContentThatCrashesRestartedEndpointsIsQuarantined);
  CPPUNIT_TEST(SegmentsAreBlockedByThreeRuns);
  CPPUNIT_TEST(OneTeamsEvidenceDoesNotCountAgainstAll);
  CPPUNIT_TEST(SegmentIsTriedByOneEntryAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_state = MakeState(m_options);
    m_entry = TestSender(m_state.get(), "entry", 1);
  }

  void tearDown() override {
    const auto lines = m_state->Disagreements();
    CPPUNIT_ASSERT_MESSAGE(lines.empty() ? "" : lines.front(), lines.empty());
  }

  void SuspectsAreQuarantined() {
    const auto report = [this](uint64_t hash, const char* endpoint,
                               bool alone) {
      wire::ReportSuspectT body;
      body.content_hash = hash;
      body.endpoint = endpoint;
      body.alone = alone;
      m_entry.Send(body, kStart);
    };
    for (const char* endpoint : {"e1", "e1", "e1", "e2"})
      report(1, endpoint, true);
    CPPUNIT_ASSERT(m_state->Quarantined(kStart).empty());
    report(1, "e3", true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->Quarantined(kStart).size());
    CPPUNIT_ASSERT(
        m_state->Quarantined(kStart + m_options.quarantine_duration_ms)
            .empty());
    for (const char* endpoint : {"e1", "e2", "e3", "e4", "e5"})
      report(2, endpoint, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->Quarantined(kStart).size());
    report(2, "e6", false);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_state->Quarantined(kStart).size());
    wire::ClearSuspectT clear;
    clear.content_hash = 2;
    m_entry.Send(clear, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->Quarantined(kStart).size());
  }

  // A service may have fewer endpoints than crashes are needed.
  void ContentThatCrashesRestartedEndpointsIsQuarantined() {
    wire::ReportSuspectT body;
    body.content_hash = 1;
    body.endpoint = "e1";
    const uint32_t needed = 2 * m_options.quarantine_after;
    for (uint32_t run = 1; run <= needed; ++run) {
      CPPUNIT_ASSERT(m_state->Quarantined(kStart).empty());
      body.endpoint_incarnation = run;
      m_entry.Send(body, kStart);
      m_entry.Send(body, kStart);  // another entry reports the same crash
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_state->Quarantined(kStart).size());
  }

  // Runs of one endpoint count each: it may come back under its id.
  void SegmentsAreBlockedByThreeRuns() {
    for (uint64_t run : {1, 1, 2}) ReportSegment(7, "e1", run);
    CPPUNIT_ASSERT(OnlySuspect().suspected);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, OnlySuspect().blocked_ms);
    ReportSegment(7, "e1", 3);
    const auto first = static_cast<uint32_t>(m_options.first_segment_block_ms);
    CPPUNIT_ASSERT_EQUAL(first, OnlySuspect().blocked_ms);
    // A report that is late does not prolong the block; a crash after its end
    // does.
    ReportSegment(7, "e2", 1, 0, kStart + first / 2);
    CPPUNIT_ASSERT_EQUAL(first, OnlySuspect().blocked_ms);
    ReportSegment(7, "e3", 1, 0, kStart + first);
    CPPUNIT_ASSERT_EQUAL(2 * first, OnlySuspect(kStart + first).blocked_ms);
    wire::ClearSuspectT clear;
    clear.content_hash = 7;
    const auto answer = m_entry.Send(clear, kStart + first);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, answer.body.AsSuspectAnswer()->endpoints);
    CPPUNIT_ASSERT(m_state->Quarantined(kStart + first).empty());
  }

  void OneTeamsEvidenceDoesNotCountAgainstAll() {
    for (uint64_t run = 1; run <= 9; ++run) ReportSegment(7, "e", run, 100);
    CPPUNIT_ASSERT(m_state->Quarantined(kStart).empty());
    ReportSegment(7, "f", 1, 200);
    CPPUNIT_ASSERT(OnlySuspect().suspected);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, OnlySuspect().blocked_ms);
    ReportSegment(7, "f", 2, 300);
    CPPUNIT_ASSERT(OnlySuspect().blocked_ms > 0);
  }

  void SegmentIsTriedByOneEntryAtATime() {
    TestSender other(m_state.get(), "entry-other", 1);
    other.Send(wire::RegisterHostT(), kStart);
    ReportSegment(7, "e1", 1);
    CPPUNIT_ASSERT(TrialOf(m_entry, kStart) == wire::SuspectTrial::Granted);
    CPPUNIT_ASSERT(TrialOf(other, kStart) == wire::SuspectTrial::Denied);
    CPPUNIT_ASSERT(TrialOf(m_entry, kStart) == wire::SuspectTrial::Granted);
    const WallMs ended = kStart + m_options.trial_lease_ms;
    CPPUNIT_ASSERT(TrialOf(other, ended) == wire::SuspectTrial::Granted);
    // A crash ends the trial.
    ReportSegment(7, "e2", 1, 0, ended);
    CPPUNIT_ASSERT(TrialOf(m_entry, ended) == wire::SuspectTrial::Granted);
  }

 private:
  void ReportSegment(uint64_t key, const char* endpoint, uint64_t run,
                     uint64_t team = 0, WallMs stamp = kStart) {
    wire::ReportSuspectT body;
    body.content_hash = key;
    body.endpoint = endpoint;
    body.endpoint_incarnation = run;
    body.shared = true;
    body.team = team;
    m_entry.Send(body, stamp);
  }
  wire::SuspectAnswerT OnlySuspect(WallMs now = kStart) const {
    const auto suspects = m_state->Quarantined(now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, suspects.size());
    return suspects.front();
  }
  static wire::SuspectTrial TrialOf(TestSender& entry, WallMs stamp) {
    wire::TrySuspectT body;
    body.content_hash = 7;
    return entry.Send(body, stamp).body.AsSuspectAnswer()->trial;
  }

  StateOptions m_options;
  std::unique_ptr<State> m_state;
  TestSender m_entry{nullptr, "", 0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateSuspectsTest);

}  // namespace
}  // namespace dotterelshift::state
