#include "dotterelshift/gateway/crash_suspects.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for count_if

namespace dotterelshift::gateway {
namespace {

constexpr SoftwareKey kVersion = 1;
constexpr SoftwareKey kNewVersion = 2;

using Keys = std::vector<SegmentKey>;

Prompt PromptOf(uint64_t segment) {
  Prompt prompt;
  prompt.parts = {{segment, 100, "s"}, {77, 10, "own"}};
  return prompt;
}

class CrashSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSuspectsTest);
  CPPUNIT_TEST(LastSegmentIsNeverSuspected);
  CPPUNIT_TEST(AcquittedSegmentIsNotAccused);
  CPPUNIT_TEST(AcquittalEnds);
  CPPUNIT_TEST(SuspectedSegmentIsTriedOnceControlAllows);
  CPPUNIT_TEST(RequestsWaitUntilABrokenAttemptIsDecided);
  CPPUNIT_TEST(ControlsWordBlocksAndClears);
  CPPUNIT_TEST(AcquittalOfAnEntryRefutesControl);
  CPPUNIT_TEST(WithoutControlAnEntryBlocksByItself);
  CPPUNIT_TEST(OtherTeamsAndVersionsAreNotHeldBack);
  CPPUNIT_TEST(MemoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = Instant(1000s);
    m_suspects.emplace();
    m_suspects->SetConnected(true);
  }

  void LastSegmentIsNeverSuspected() {
    for (const SegmentKey& key : KeysOf("a"))
      CPPUNIT_ASSERT_EQUAL(std::string("s"), key.id);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, KeysOf("a").size());
  }

  void AcquittedSegmentIsNotAccused() {
    m_suspects->OnCompleteResponse(KeysOf("a"), m_now);
    CPPUNIT_ASSERT(m_suspects->NotAcquitted(KeysOf("a"), m_now).empty());
    // A complete response of one team is none of another team.
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         m_suspects->NotAcquitted(KeysOf("b"), m_now).size());
  }

  void AcquittalEnds() {
    m_suspects->OnCompleteResponse(KeysOf("a"), m_now);
    m_now += CrashSuspectsOptions().acquittal_memory;
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_suspects->NotAcquitted(KeysOf("a"), m_now).size());
  }

  void SuspectedSegmentIsTriedOnceControlAllows() {
    Crash("a", "e1");
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kWaits);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeReports(SuspectReportKind::kTrial));
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kWaits);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, TakeReports(SuspectReportKind::kTrial));
    Answer("a", 1, wire::SuspectTrial::Granted);
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kTrial);
    CPPUNIT_ASSERT(Judge("a", 2) == SuspectVerdict::kBusy);
    m_suspects->OnEnded(1);
    CPPUNIT_ASSERT(Judge("a", 2) == SuspectVerdict::kTrial);
    Crash("a", "e2");
    CPPUNIT_ASSERT(Judge("a", 3) == SuspectVerdict::kWaits);
    Answer("a", 2, wire::SuspectTrial::Denied);
    CPPUNIT_ASSERT(Judge("a", 3) == SuspectVerdict::kBusy);
    m_now += CrashSuspectsOptions().denied_for;
    CPPUNIT_ASSERT(Judge("a", 3) == SuspectVerdict::kWaits);
  }

  void RequestsWaitUntilABrokenAttemptIsDecided() {
    m_suspects->OnBroken(KeysOf("a"));
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kWaits);
    CPPUNIT_ASSERT(Judge("b", 1) == SuspectVerdict::kFree);
    m_suspects->OnDecided(KeysOf("a"));
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kFree);
    CPPUNIT_ASSERT(m_suspects->IsIdle());
    CPPUNIT_ASSERT(m_suspects->TakeReports().empty());
  }

  void ControlsWordBlocksAndClears() {
    wire::SuspectAnswerT word = WordOf("a", 3);
    word.blocked_ms = 5000;
    m_suspects->OnAnswer(word, m_now);
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kBlocked);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_suspects->Blocked(m_now));
    m_now += 5s;
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kWaits);
    m_suspects->OnAnswer(WordOf("a", 0), m_now);
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kFree);
  }

  void AcquittalOfAnEntryRefutesControl() {
    m_suspects->OnCompleteResponse(KeysOf("a"), m_now);
    for (int i = 0; i < 3; ++i) m_suspects->OnAnswer(WordOf("a", 2), m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeReports(SuspectReportKind::kCleared));
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kFree);
  }

  void WithoutControlAnEntryBlocksByItself() {
    m_suspects->SetConnected(false);
    Crash("a", "e1");
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kTrial);
    CPPUNIT_ASSERT(Judge("a", 2) == SuspectVerdict::kBusy);
    Crash("a", "e2");
    Crash("a", "e2");
    CPPUNIT_ASSERT(Judge("a", 2) == SuspectVerdict::kTrial);
    Crash("a", "e3");
    CPPUNIT_ASSERT(Judge("a", 3) == SuspectVerdict::kBlocked);
  }

  void OtherTeamsAndVersionsAreNotHeldBack() {
    for (const char* endpoint : {"e1", "e2", "e3", "e4"}) Crash("a", endpoint);
    CPPUNIT_ASSERT(Judge("a", 1) == SuspectVerdict::kBlocked);
    CPPUNIT_ASSERT(Judge("b", 1) == SuspectVerdict::kFree);
    CPPUNIT_ASSERT(m_suspects->IsFree(KeysOf("a", kNewVersion), m_now));
    // The second crash by requests of other teams counts against all.
    Crash("b", "e5");
    CPPUNIT_ASSERT(Judge("c", 1) != SuspectVerdict::kBlocked);
    Crash("b", "e6");
    CPPUNIT_ASSERT(Judge("c", 1) == SuspectVerdict::kBlocked);
  }

  void MemoryIsBounded() {
    CrashSuspectsOptions options;
    options.max_acquitted = options.max_suspects = 10;
    m_suspects.emplace(options);
    for (uint64_t segment = 1; segment <= 100; ++segment) {
      const Keys keys = SegmentKeysOf("a", PromptOf(segment), kVersion);
      m_suspects->OnCrash(keys, "e", 1, m_now);
      m_now += 1ms;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{10}, m_suspects->Suspected());
    for (uint64_t segment = 1; segment <= 100; ++segment)
      m_suspects->OnCompleteResponse(
          SegmentKeysOf("a", PromptOf(segment), kVersion), m_now);
    const Keys first = SegmentKeysOf("a", PromptOf(1), kVersion);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_suspects->NotAcquitted(first, m_now).size());
  }

 private:
  static Keys KeysOf(const TeamId& team, SoftwareKey software = kVersion) {
    return SegmentKeysOf(team, PromptOf(5), software);
  }
  void Crash(const TeamId& team, const EndpointId& endpoint) {
    m_suspects->OnCrash(KeysOf(team), endpoint, 1, m_now);
  }
  SuspectVerdict Judge(const TeamId& team, RequestId request) {
    return m_suspects->Judge(KeysOf(team), request, m_now);
  }
  // Control's word on the segment as sent by one team.
  static wire::SuspectAnswerT WordOf(const TeamId& team, uint32_t endpoints) {
    wire::SuspectAnswerT word;
    word.content_hash = KeysOf(team).front().key;
    word.shared = true;
    word.endpoints = endpoints;
    word.suspected = endpoints > 0;
    return word;
  }
  void Answer(const TeamId& team, uint32_t endpoints,
              wire::SuspectTrial trial) {
    wire::SuspectAnswerT word = WordOf(team, endpoints);
    word.trial = trial;
    m_suspects->OnAnswer(word, m_now);
  }
  size_t TakeReports(SuspectReportKind kind) {
    const auto reports = m_suspects->TakeReports();
    return std::count_if(
        reports.begin(), reports.end(),
        [kind](const SuspectReport& report) { return report.kind == kind; });
  }

  Instant m_now;
  std::optional<CrashSuspects> m_suspects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectsTest);

}  // namespace
}  // namespace dotterelshift::gateway
