// A stream that began in another data centre is resumed once an entry there has
// told which software version wrote its first event.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreOriginLookupTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreOriginLookupTest);
  CPPUNIT_TEST(StreamOfAnotherDataCentreWaitsForTheAnswer);
  CPPUNIT_TEST(UnknownStreamIsRefusedOnceTheLookupHasEnded);
  CPPUNIT_TEST(StreamIsRefusedAtOnceIfNobodyCanBeAsked);
  CPPUNIT_TEST(KnownStreamIsNotLookedUp);
  CPPUNIT_TEST(StreamThatCannotGoOnIsNotLookedUp);
  CPPUNIT_TEST(NewestRequestForAStreamGoesOnWithOneAnswer);
  CPPUNIT_TEST(CallerMayLeaveWhileTheStreamIsLookedUp);
  CPPUNIT_TEST(DeadlineEndsTheWait);
  CPPUNIT_TEST(ShutdownEndsTheWaitAsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    CoreDependencies parts = Parts();
    parts.lookup = &m_lookup;
    m_core = MakeCore(CoreOptions(), parts);
    Publish();
    for (const char* version : {"v1", "v2"}) AnnounceVersion(version);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Collect();
    m_lookup.SetEntries({{"b1:1", "b"}});
    m_lookup.OnUp("b1:1", "b1", m_now);
  }

  void StreamOfAnotherDataCentreWaitsForTheAnswer() {
    Resume("first");
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_lookup.TakeQuestions(m_now).size());
    m_now += 5ms;
    Tell("first", "v2");
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         Only<StartAttempt>().endpoint.software_version);
    CPPUNIT_ASSERT_EQUAL(std::string("asked"), InputOfSent("origin"));
    CPPUNIT_ASSERT_EQUAL(std::string("learned"), InputOfSent("lookup"));
  }

  void UnknownStreamIsRefusedOnceTheLookupHasEnded() {
    Resume("first");
    m_lookup.OnMissing("b1:1", {origins::StreamKeyOf("team", "first")}, false,
                       m_now);
    TakeLookups();
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
  }

  void StreamIsRefusedAtOnceIfNobodyCanBeAsked() {
    m_lookup.SetEntries({});
    Resume("first");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
  }

  void KnownStreamIsNotLookedUp() {
    Tell("first", "v1");
    Resume("first");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_lookup.Open());
  }

  // Its origin is known, and no endpoint of the version serves.
  void StreamThatCannotGoOnIsNotLookedUp() {
    m_core->OnViewComplete(m_now);
    Tell("first", "v3");
    Resume("first");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_lookup.Open());
  }

  void NewestRequestForAStreamGoesOnWithOneAnswer() {
    Resume("first", 1);
    Resume("first", 2);
    CPPUNIT_ASSERT_EQUAL(RequestId{1}, Only<Refuse>().request);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_lookup.Open());
    Tell("first", "v1");
    CPPUNIT_ASSERT_EQUAL(RequestId{2}, Only<StartAttempt>().request);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
  }

  void CallerMayLeaveWhileTheStreamIsLookedUp() {
    Resume("first");
    m_core->OnCallerGone(kRequest, m_now);
    Collect();
    Tell("first", "v1");
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void DeadlineEndsTheWait() {
    Resume("first");
    Advance(4s);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void ShutdownEndsTheWaitAsNotRun() {
    Resume("first");
    m_core->AbortOpenRequests(m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_last.size());
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    Tell("first", "v2");
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

 private:
  void AnnounceVersion(const std::string& version) {
    wire::EndpointRecordT record;
    record.id = "e-" + version;
    record.incarnation = 1;
    record.sequence = 1;
    record.address = record.id + ":80";
    record.services = {"llm"};
    record.slots = 6;
    record.software_version = version;
    m_directory.OnRecord(record, m_now);
  }

  void TakeLookups() {
    m_core->OnOriginsLookedUp(m_lookup.TakeEnded(), m_now);
    Collect();
  }

  // An entry answers, or sends the origin by itself.
  void Tell(const std::string& first, const std::string& version) {
    m_origins->OnUpdates("b1",
                         {{origins::StreamKeyOf("team", first),
                           origins::SoftwareKeyOf("llm", version)}},
                         m_now);
    for (const origins::StreamKey stream : m_origins->TakeLearned())
      m_lookup.OnLearned(stream, m_now);
    TakeLookups();
  }

  std::string InputOfSent(std::string_view name) const {
    for (const Decision& line : m_log_lines)
      for (const auto& [input, value] : line.inputs)
        if (line.event == "sent" && input == name) return value;
    return "";
  }

  origins::OriginLookup m_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreOriginLookupTest);

}  // namespace
}  // namespace dotterelshift::gateway
