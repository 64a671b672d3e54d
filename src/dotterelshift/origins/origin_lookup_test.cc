#include "dotterelshift/origins/origin_lookup.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for count, find_if

namespace dotterelshift::origins {
namespace {

// Three entries in each of two other data centres.
class OriginLookupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginLookupTest);
  CPPUNIT_TEST(NobodyIsAskedInAFullMesh);
  CPPUNIT_TEST(TwoEntriesOfEachDataCentreAreAskedAtOnce);
  CPPUNIT_TEST(StreamsAreSpreadOverTheEntries);
  CPPUNIT_TEST(ManyStreamsGoInOneFrameForEachEntry);
  CPPUNIT_TEST(SecondRequestForAStreamJoinsTheLookup);
  CPPUNIT_TEST(LearnedOriginEndsTheLookupAtOnce);
  CPPUNIT_TEST(LookupEndsOnceEachDataCentreHasAnswered);
  CPPUNIT_TEST(EntryThatHasJustStartedProvesNothing);
  CPPUNIT_TEST(EntryThatIsNotConnectedIsDialledAndAskedThen);
  CPPUNIT_TEST(EntryThatFailsIsReplacedByAnother);
  CPPUNIT_TEST(DataCentreThatIsCutOffDelaysOnlyTheFirstLookups);
  CPPUNIT_TEST(SlowEntryIsStillWaitedFor);
  CPPUNIT_TEST(EntryThatRefusesTheConnectionIsReplacedByAnother);
  CPPUNIT_TEST(SilentEntryIsWaitedForAgainOnceItAnswers);
  CPPUNIT_TEST(EntryThatWasNotSentItsQuestionIsNotBlamed);
  CPPUNIT_TEST(LookupsAreBounded);
  CPPUNIT_TEST(EntryThatHasJustStartedInASmallFleetAsksControl);
  CPPUNIT_TEST(ControlIsAskedBesideOtherDataCentres);
  CPPUNIT_TEST(ControlHostThatHasJustStartedProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_lookup.SetEntries(kEntries);
    for (const DistantEntry& entry : kEntries) Up(entry.address);
  }

  void NobodyIsAskedInAFullMesh() {
    m_lookup.SetEntries({});
    CPPUNIT_ASSERT(!m_lookup.Start(kStream, m_now));
    CPPUNIT_ASSERT(m_lookup.TakeQuestions(m_now).empty());
  }

  void TwoEntriesOfEachDataCentreAreAskedAtOnce() {
    CPPUNIT_ASSERT(m_lookup.Start(kStream, m_now));
    const auto asked = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, asked.size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, CountIn(asked, 'b'));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, CountIn(asked, 'c'));
    CPPUNIT_ASSERT(m_lookup.TakeDials().empty());
  }

  void StreamsAreSpreadOverTheEntries() {
    std::map<HostId, size_t> asked;
    for (StreamKey stream = 1; stream <= 300; ++stream)
      m_lookup.Start(stream, m_now);
    for (const OriginQuestion& question : m_lookup.TakeQuestions(m_now))
      asked[question.to] = question.streams.size();
    CPPUNIT_ASSERT_EQUAL(kEntries.size(), asked.size());
    for (const auto& [host, count] : asked) CPPUNIT_ASSERT(count >= 150);
  }

  // A data centre has failed, and its callers come here at once.
  void ManyStreamsGoInOneFrameForEachEntry() {
    for (StreamKey stream = 1; stream <= 1000; ++stream)
      m_lookup.Start(stream, m_now);
    CPPUNIT_ASSERT_EQUAL(kEntries.size(), m_lookup.TakeQuestions(m_now).size());
    CPPUNIT_ASSERT(m_lookup.TakeQuestions(m_now).empty());
  }

  void SecondRequestForAStreamJoinsTheLookup() {
    m_lookup.Start(kStream, m_now);
    TakeAsked();
    CPPUNIT_ASSERT(m_lookup.Start(kStream, m_now));
    CPPUNIT_ASSERT(TakeAsked().empty());
    m_lookup.OnLearned(kStream, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_lookup.TakeEnded().size());
  }

  void LearnedOriginEndsTheLookupAtOnce() {
    m_lookup.Start(kStream, m_now);
    TakeAsked();
    m_lookup.OnLearned(kStream, m_now + 3ms);
    const EndedLookup ended = TakeOnlyEnded();
    CPPUNIT_ASSERT(ended.outcome == LookupOutcome::kLearned);
    CPPUNIT_ASSERT(ended.took == 3ms);
    m_lookup.OnTimer(m_now + 1s);
    CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
  }

  void LookupEndsOnceEachDataCentreHasAnswered() {
    m_lookup.Start(kStream, m_now);
    const auto asked = TakeAsked();
    for (const HostId& host : asked) {
      CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
      Miss(host);
    }
    CPPUNIT_ASSERT(TakeOnlyEnded().outcome == LookupOutcome::kNowhere);
  }

  // Of each data centre the third entry is asked instead.
  void EntryThatHasJustStartedProvesNothing() {
    m_lookup.Start(kStream, m_now);
    for (const HostId& host : TakeAsked()) Miss(host, true);
    CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
    const auto asked = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, asked.size());
    for (const HostId& host : asked) Miss(host, true);
    CPPUNIT_ASSERT(TakeOnlyEnded().outcome == LookupOutcome::kIncomplete);
  }

  void EntryThatIsNotConnectedIsDialledAndAskedThen() {
    for (const DistantEntry& entry : kEntries) Down(entry.address);
    m_lookup.Start(kStream, m_now);
    CPPUNIT_ASSERT(TakeAsked().empty());
    const std::vector<std::string> dials = m_lookup.TakeDials();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, dials.size());
    Up(dials.front());
    CPPUNIT_ASSERT(TakeAsked() == std::vector<HostId>{HostOf(dials.front())});
  }

  void EntryThatFailsIsReplacedByAnother() {
    m_lookup.Start(kStream, m_now);
    const auto asked = TakeAsked();
    Down(AddressOf(asked.front()));
    const auto instead = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, instead.size());
    CPPUNIT_ASSERT_EQUAL(asked.front().front(), instead.front().front());
    CPPUNIT_ASSERT(std::ranges::find(asked, instead.front()) == asked.end());
  }

  void DataCentreThatIsCutOffDelaysOnlyTheFirstLookups() {
    const Instant begin = m_now;
    StreamKey stream = 1;
    for (; m_now - begin < OriginLookupOptions().unresponsive_after; ++stream) {
      m_lookup.Start(stream, m_now);
      MissAllIn('b', TakeAsked(), stream);
      m_now += OriginLookupOptions().timeout;
      m_lookup.OnTimer(m_now);
      CPPUNIT_ASSERT(TakeOnlyEnded().outcome == LookupOutcome::kIncomplete);
    }
    // The entry of c that was not asked by then is tried, too.
    m_now += OriginLookupOptions().unresponsive_after;
    for (int i = 0; i < 2; ++i, ++stream) {
      m_lookup.Start(stream, m_now);
      MissAllIn('b', TakeAsked(), stream);
      m_now += OriginLookupOptions().timeout;
      m_lookup.OnTimer(m_now);
      m_lookup.TakeEnded();
      m_now += OriginLookupOptions().unresponsive_after;
    }
    m_lookup.Start(stream, m_now);
    MissAllIn('b', TakeAsked(), stream);
    CPPUNIT_ASSERT(TakeOnlyEnded().outcome == LookupOutcome::kIncomplete);
  }

  // The round trip takes longer than a lookup.
  void SlowEntryIsStillWaitedFor() {
    m_lookup.Start(1, m_now);
    const auto asked = TakeAsked();
    m_now += OriginLookupOptions().timeout;
    m_lookup.OnTimer(m_now);
    m_lookup.TakeEnded();
    m_lookup.Start(2, m_now);
    CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
  }

  void EntryThatRefusesTheConnectionIsReplacedByAnother() {
    for (const DistantEntry& entry : kEntries) Down(entry.address);
    m_lookup.Start(kStream, m_now);
    const std::vector<std::string> dials = m_lookup.TakeDials();
    m_lookup.OnDialFailed(dials.front(), m_now);
    const std::vector<std::string> instead = m_lookup.TakeDials();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, instead.size());
    CPPUNIT_ASSERT_EQUAL(dials.front().front(), instead.front().front());
    CPPUNIT_ASSERT(std::ranges::find(dials, instead.front()) == dials.end());
  }

  void SilentEntryIsWaitedForAgainOnceItAnswers() {
    for (StreamKey stream = 1; stream <= 300; ++stream)
      m_lookup.Start(stream, m_now);
    const auto asked = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(kEntries.size(), asked.size());
    m_now += OriginLookupOptions().unresponsive_after;
    m_lookup.OnTimer(m_now);
    m_lookup.TakeEnded();
    m_lookup.Start(301, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_lookup.TakeEnded().size());
    TakeAsked();
    for (const HostId& host : asked)
      m_lookup.OnMissing(AddressOf(host), {}, false, m_now);
    m_lookup.Start(302, m_now);
    CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, TakeAsked().size());
  }

  // This entry's event loop was held up, e.g. by the requests of a storm,
  // before it sent the question.
  void EntryThatWasNotSentItsQuestionIsNotBlamed() {
    for (StreamKey stream = 1; stream <= 20; ++stream)
      m_lookup.Start(stream, m_now);
    m_now += OriginLookupOptions().timeout;
    m_lookup.OnTimer(m_now);
    m_lookup.TakeEnded();
    m_lookup.Start(21, m_now);
    CPPUNIT_ASSERT(m_lookup.TakeEnded().empty());
  }

  void LookupsAreBounded() {
    OriginLookup few({.max_lookups = 2});
    few.SetEntries(kEntries);
    CPPUNIT_ASSERT(few.Start(1, m_now));
    CPPUNIT_ASSERT(few.Start(2, m_now));
    CPPUNIT_ASSERT(!few.Start(3, m_now));
    few.OnLearned(1, m_now);
    CPPUNIT_ASSERT(few.Start(3, m_now));
  }

  // All entries were killed together, and know of no stream.
  void EntryThatHasJustStartedInASmallFleetAsksControl() {
    m_lookup.SetEntries({});
    SetControl();
    CPPUNIT_ASSERT(m_lookup.Start(kStream, m_now));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, CountIn(TakeAsked(), 'x'));
  }

  void ControlIsAskedBesideOtherDataCentres() {
    SetControl();
    m_lookup.SetEntries(kEntries);
    m_lookup.Start(kStream, m_now);
    const auto asked = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(size_t{7}, asked.size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, CountIn(asked, 'x'));
    for (const HostId& host : asked) Miss(host);
    const EndedLookup ended = TakeOnlyEnded();
    CPPUNIT_ASSERT(ended.outcome == LookupOutcome::kNowhere);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, ended.groups);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, ended.answered);
  }

  void ControlHostThatHasJustStartedProvesNothing() {
    m_lookup.SetEntries({});
    SetControl();
    m_lookup.Start(kStream, m_now);
    for (const HostId& host : TakeAsked()) Miss(host, true);
    const auto others = TakeAsked();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, CountIn(others, 'x'));
    for (const HostId& host : others) Miss(host, true);
    CPPUNIT_ASSERT(TakeOnlyEnded().outcome == LookupOutcome::kIncomplete);
  }

 private:
  static constexpr StreamKey kStream = 7;
  inline static const std::vector<DistantEntry> kEntries = {
      {"b1:1", "b"}, {"b2:1", "b"}, {"b3:1", "b"},
      {"c1:1", "c"}, {"c2:1", "c"}, {"c3:1", "c"}};

  static HostId HostOf(const std::string& address) {
    return address.substr(0, 2);
  }
  static std::string AddressOf(const HostId& host) { return host + ":1"; }
  static std::ptrdiff_t CountIn(const std::vector<HostId>& hosts, char name) {
    return std::ranges::count(hosts, name,
                              [](const HostId& host) { return host.front(); });
  }

  void SetControl() {
    const std::vector<std::string> control = {"x1:1", "x2:1", "x3:1", "x4:1",
                                              "x5:1"};
    m_lookup.SetControl(control);
    for (const std::string& address : control) Up(address);
  }

  void Up(const std::string& address) {
    m_lookup.OnUp(address, HostOf(address), m_now);
  }
  void Down(const std::string& address) { m_lookup.OnDown(address, m_now); }
  void Miss(const HostId& host, bool starting = false) {
    m_lookup.OnMissing(AddressOf(host), {kStream}, starting, m_now);
  }
  void MissAllIn(char name, const std::vector<HostId>& asked,
                 StreamKey stream) {
    for (const HostId& host : asked)
      if (host.front() == name)
        m_lookup.OnMissing(AddressOf(host), {stream}, false, m_now);
  }

  // The hosts to which questions go.
  std::vector<HostId> TakeAsked() {
    std::vector<HostId> hosts;
    for (const OriginQuestion& question : m_lookup.TakeQuestions(m_now))
      hosts.push_back(question.to);
    return hosts;
  }
  EndedLookup TakeOnlyEnded() {
    const std::vector<EndedLookup> ended = m_lookup.TakeEnded();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ended.size());
    return ended.front();
  }

  Instant m_now{1000s};
  OriginLookup m_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginLookupTest);

}  // namespace
}  // namespace dotterelshift::origins
