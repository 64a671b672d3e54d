// A caller resumes a stream while its earlier run goes on: the caller has left
// that connection without closing it, or the close has not arrived.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/versioned_core_testing.h"  // for VersionedCoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreTakeoverTest : public VersionedCoreFixture {
  CPPUNIT_TEST_SUITE(CoreTakeoverTest);
  CPPUNIT_TEST(RunEndsWhenItsStreamIsResumedElsewhere);
  CPPUNIT_TEST(RunThatWaitsEndsToo);
  CPPUNIT_TEST(RunEndsWhenItsStreamIsResumedHere);
  CPPUNIT_TEST(ResumedStreamIsToldOnce);
  CPPUNIT_TEST(StreamThatBeginsAgainIsToldToo);
  CPPUNIT_TEST(OtherStreamsGoOn);
  CPPUNIT_TEST(StreamOfAnotherTeamGoesOn);
  CPPUNIT_TEST(LaterRunSurvivesAnEarlierNotice);
  CPPUNIT_TEST(EarlierResumedRunEnds);
  CPPUNIT_TEST_SUITE_END();

  static constexpr RequestId kNext = 2;

  StreamTakeover Takeover(const std::string& first, uint64_t after) const {
    return {origins::StreamKeyOf("team", first), after, m_now};
  }
  void TakeOver(const StreamTakeover& takeover) {
    m_core->OnTakenOver(takeover, "other", m_now);
    Collect();
  }

  void RunEndsWhenItsStreamIsResumedElsewhere() {
    const StartAttempt start = Begin();
    TakeOver(Takeover("caller-1", 2));
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(kRequest, Only<AbortStream>().request);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_core->Resumptions().taken_over);
  }

  // Nothing was passed on: the caller is not told that it did not run.
  void RunThatWaitsEndsToo() {
    Request("/resume/");
    const StartAttempt start = Only<StartAttempt>();
    TakeOver(Takeover("caller-1", 0));
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran != Ran::kNo);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void RunEndsWhenItsStreamIsResumedHere() {
    const StartAttempt start = Begin();
    Resume("caller-1", kNext);
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(kRequest, Only<AbortStream>().request);
    CPPUNIT_ASSERT_EQUAL(kNext, Only<StartAttempt>().request);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
  }

  void ResumedStreamIsToldOnce() {
    Tell("first", "v1");
    Resume("first");
    const std::vector<StreamTakeover> told = m_core->TakeTakeovers();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(origins::StreamKeyOf("team", "first"),
                         told.at(0).stream);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, told.at(0).after_event);
    CPPUNIT_ASSERT(m_core->TakeTakeovers().empty());
  }

  // The caller has no event yet, and names its first request.
  void StreamThatBeginsAgainIsToldToo() {
    RequestInfo info = MakeRequestInfo("/resume/");
    info.first_caller_id = "first";
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->TakeTakeovers().size());
    Request("/resume/", 0, kNext);
    Request("/once/", 0, kNext + 1);
    CPPUNIT_ASSERT(m_core->TakeTakeovers().empty());
  }

  void OtherStreamsGoOn() {
    Begin();
    Request("/once/", 0, kNext);
    TakeOver(Takeover("caller-2", 2));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_core->OpenRequests());
  }

  void StreamOfAnotherTeamGoesOn() {
    Begin();
    TakeOver({origins::StreamKeyOf("another team", "caller-1"), 2, m_now});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
  }

  // A caller that resumes a stream twice: the first notice arrives when the
  // second run has begun.
  void LaterRunSurvivesAnEarlierNotice() {
    Tell("first", "v1");
    const StreamTakeover before = Takeover("first", 3);
    Advance(10ms);
    Resume("first");
    TakeOver(before);
    TakeOver(Takeover("first", 2));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
  }

  void EarlierResumedRunEnds() {
    Tell("first", "v1");
    Resume("first");
    Advance(1s);
    TakeOver(Takeover("first", 3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<CancelAttempt>());
    Resume("first");
    TakeOver(Takeover("first", 4));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<CancelAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CoreTakeoverTest);

}  // namespace
}  // namespace dotterelshift::gateway
