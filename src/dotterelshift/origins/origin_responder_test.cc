#include "dotterelshift/origins/origin_responder.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::origins {
namespace {

class OriginResponderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginResponderTest);
  CPPUNIT_TEST(KnownOriginIsAnsweredAtOnce);
  CPPUNIT_TEST(UnknownStreamIsHeldAndThenMissing);
  CPPUNIT_TEST(OriginThatArrivesWhileHeldIsAnswered);
  CPPUNIT_TEST(StreamWithTwoOriginsIsUnclear);
  CPPUNIT_TEST(EntryThatHasJustStartedSaysSo);
  CPPUNIT_TEST(EntryThatIsGoneIsNotAnswered);
  CPPUNIT_TEST(AnswerCountsForTheAskingEntryFromThenOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_now += 60s; }

  void KnownOriginIsAnsweredAtOnce() {
    Begin(1, m_old);
    Ask(1);
    const OriginAnswer answer = TakeAnswer();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answer.known.size());
    CPPUNIT_ASSERT_EQUAL(m_old, answer.known.front().software());
    CPPUNIT_ASSERT(answer.missing.empty());
    CPPUNIT_ASSERT(m_responder.TakeAnswers(m_now).empty());
  }

  void UnknownStreamIsHeldAndThenMissing() {
    Ask(1);
    CPPUNIT_ASSERT(m_responder.TakeAnswers(m_now).empty());
    CPPUNIT_ASSERT(m_responder.NextTimer() == m_now + kHold);
    m_now += kHold;
    m_responder.OnTimer(m_now);
    const OriginAnswer answer = TakeAnswer();
    CPPUNIT_ASSERT(answer.missing == std::vector<StreamKey>{1});
    CPPUNIT_ASSERT(!answer.starting);
  }

  // The caller was quicker than the origin.
  void OriginThatArrivesWhileHeldIsAnswered() {
    Ask(1);
    m_now += 10ms;
    Begin(1, m_old);
    m_responder.OnLearned(1, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeAnswer().known.size());
    m_now += kHold;
    m_responder.OnTimer(m_now);
    CPPUNIT_ASSERT(m_responder.TakeAnswers(m_now).empty());
  }

  void StreamWithTwoOriginsIsUnclear() {
    Begin(1, m_old);
    Begin(1, m_new);
    Ask(1);
    CPPUNIT_ASSERT(TakeAnswer().unclear == std::vector<StreamKey>{1});
  }

  void EntryThatHasJustStartedSaysSo() {
    OriginResponder started(m_origins, m_now);
    started.OnQuestion("a", {1}, m_now);
    started.OnTimer(m_now + kHold);
    CPPUNIT_ASSERT(started.TakeAnswers(m_now + kHold).at("a").starting);
  }

  void EntryThatIsGoneIsNotAnswered() {
    Begin(1, m_old);
    Ask(1);
    Ask(2);
    m_responder.OnDown("a");
    m_now += kHold;
    m_responder.OnTimer(m_now);
    CPPUNIT_ASSERT(m_responder.TakeAnswers(m_now).empty());
  }

  void AnswerCountsForTheAskingEntryFromThenOn() {
    Begin(1, m_old);
    Begin(2, m_old);
    Begin(2, m_new);
    Ask(1);
    Ask(2);
    const OriginAnswer answer = TakeAnswer();
    StreamOrigins asking;
    asking.OnUpdates("b", answer.known, m_now);
    for (const StreamKey stream : answer.unclear)
      asking.OnUnclear("b", stream, m_now);
    CPPUNIT_ASSERT(asking.Find(1, m_now).state == OriginState::kKnown);
    CPPUNIT_ASSERT(asking.Find(2, m_now).state == OriginState::kUnclear);
    CPPUNIT_ASSERT(asking.TakeLearned().size() >= 2);
  }

 private:
  static constexpr Duration kHold = OriginResponderOptions().hold;

  void Begin(StreamKey stream, SoftwareKey software) {
    m_origins.OnBegun(stream, software, m_now);
  }
  void Ask(StreamKey stream) { m_responder.OnQuestion("a", {stream}, m_now); }
  OriginAnswer TakeAnswer() {
    const auto answers = m_responder.TakeAnswers(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    return answers.at("a");
  }

  const SoftwareKey m_old = SoftwareKeyOf("engine", "v1");
  const SoftwareKey m_new = SoftwareKeyOf("engine", "v2");
  Instant m_now{1000s};
  StreamOrigins m_origins;
  OriginResponder m_responder{m_origins, m_now};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginResponderTest);

}  // namespace
}  // namespace dotterelshift::origins
