// An entry that is cut off from the others, or stands still, does not learn
// that endpoints of another version begin to serve. It must not take the one
// that it knows for the only one.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreOutOfStepTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreOutOfStepTest);
  CPPUNIT_TEST(LookupThatNobodyAnsweredProvesNothing);
  CPPUNIT_TEST(OnlyVersionIsTakenOnceALeaderHasAnsweredALaterQuestion);
  CPPUNIT_TEST(AnswerToAnEarlierQuestionProvesNothing);
  CPPUNIT_TEST(EntryThatIsCutOffRefusesWhatItCannotProve);
  CPPUNIT_TEST(VersionThatTheLeaderKnowsIsNotPassedOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    CoreDependencies parts = Parts();
    parts.lookup = &m_lookup;
    m_core = MakeCore(CoreOptions(), parts);
    Publish();
    m_now += 100s;
    m_core->OnViewComplete(m_now - 50s);
  }

  void LookupThatNobodyAnsweredProvesNothing() {
    m_lookup.SetControl({"c:1"});
    m_lookup.OnUp("c:1", "control", m_now);
    Resume("first");
    m_lookup.TakeQuestions(m_now);
    m_now += origins::OriginLookupOptions().timeout;
    m_lookup.OnTimer(m_now);
    m_core->OnOriginsLookedUp(m_lookup.TakeEnded(), m_now);
    Collect();
    ExpectRefused();
  }

  void OnlyVersionIsTakenOnceALeaderHasAnsweredALaterQuestion() {
    for (const char* first : {"", "first"}) {
      setUp();
      Resume(first);
      CPPUNIT_ASSERT(m_last.empty());
      CPPUNIT_ASSERT(m_core->AwaitsConfirmationSince() == m_now);
      Confirm(m_now + 20ms, m_now + 25ms);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
      CPPUNIT_ASSERT(!m_core->AwaitsConfirmationSince());
    }
  }

  // The heartbeat may be a second old when the entry is cut off.
  void AnswerToAnEarlierQuestionProvesNothing() {
    Confirm(m_now - 1ms, m_now);
    Resume("");
    CPPUNIT_ASSERT(m_last.empty());
    Confirm(m_now - 1ms, m_now + 1ms);
    CPPUNIT_ASSERT(m_last.empty());
  }

  void EntryThatIsCutOffRefusesWhatItCannotProve() {
    Confirm(m_now - 1s, m_now);
    Resume("");
    Advance(CoreOptions().max_directory_wait - 1ms);
    CPPUNIT_ASSERT(m_last.empty());
    Advance(1ms);
    ExpectRefused();
    CPPUNIT_ASSERT(!m_core->AwaitsConfirmationSince());
  }

  void VersionThatTheLeaderKnowsIsNotPassedOver() {
    Resume("");
    wire::EndpointRecordT record;
    record.id = "l3";
    record.sequence = 1;
    record.address = "l3:80";
    record.services = {"llm"};
    record.slots = 6;
    record.software_version = "v2";
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Confirm(m_now + 1ms, m_now + 5ms);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
  }

 private:
  void Confirm(Instant asked_at, Instant now) {
    m_now = now;
    m_core->OnViewConfirmed(asked_at, m_now);
    Collect();
  }

  // Its caller may come again soon.
  void ExpectRefused() {
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    CPPUNIT_ASSERT(Only<Refuse>().retry_after <=
                   2 * CoreOptions().min_retry_after);
  }

  origins::OriginLookup m_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreOutOfStepTest);

}  // namespace
}  // namespace dotterelshift::gateway
