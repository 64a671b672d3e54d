// A stream goes on only at the software version that wrote its first event.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/versioned_core_testing.h"  // for VersionedCoreFixture

namespace dotterelshift::gateway {
namespace {

using http::TransferEnd;

class CoreStreamsTest : public VersionedCoreFixture {
  CPPUNIT_TEST_SUITE(CoreStreamsTest);
  CPPUNIT_TEST(BrokenStreamGoesOnAtItsVersion);
  CPPUNIT_TEST(BrokenStreamWithoutEventsMayGoAnywhere);
  CPPUNIT_TEST(StreamIsCutIfItsVersionHasLeft);
  CPPUNIT_TEST(FullEndpointOfTheVersionIsWaitedFor);
  CPPUNIT_TEST(ResumedStreamGoesToTheVersionThatAnotherEntryTold);
  CPPUNIT_TEST(UnknownOriginIsRefusedAtOnceWhileTwoVersionsAreKnown);
  CPPUNIT_TEST(OriginOfAnotherTeamIsUnknown);
  CPPUNIT_TEST(VersionThatHasLeftIsRefusedAtOnce);
  CPPUNIT_TEST(OneVersionIsEnoughIfAllEndpointsAreKnown);
  CPPUNIT_TEST(ResumedStreamGetsItsEventsAtOnce);
  CPPUNIT_TEST(EndpointThatIsNotTheOneNamedIsLeft);
  CPPUNIT_TEST(SilentEndpointOfAResumedStreamIsLeft);
  CPPUNIT_TEST(SilentEndpointOfAResumedStreamIsKeptIfThereIsNoOther);
  CPPUNIT_TEST(LastAttemptOfAResumedStreamIsCutAfterItsEvents);
  CPPUNIT_TEST(BrokenResumedStreamGoesOnAfterItsLastEvent);
  CPPUNIT_TEST(OriginIsKnownFromTheFirstEventOn);
  CPPUNIT_TEST(RefusedResumptionIsLoggedAndCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BrokenStreamGoesOnAtItsVersion() {
    const StartAttempt first = Begin();
    End(first.attempt, TransferEnd::kCut);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT_EQUAL(first.endpoint.software, second.endpoint.software);
    CPPUNIT_ASSERT(first.endpoint.id != second.endpoint.id);
  }

  void BrokenStreamWithoutEventsMayGoAnywhere() {
    Request("/resume/");
    const StartAttempt first = Only<StartAttempt>();
    for (const std::string& id : IdsOf(first.endpoint.software_version))
      if (id != first.endpoint.id) Leave(id);
    End(first.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT(first.endpoint.software !=
                   Only<StartAttempt>().endpoint.software);
  }

  void StreamIsCutIfItsVersionHasLeft() {
    const StartAttempt first = Begin();
    const std::string version = first.endpoint.software_version;
    for (const std::string& id : IdsOf(version))
      if (id != first.endpoint.id) Leave(id);
    Leave(first.endpoint.id);
    End(first.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  void FullEndpointOfTheVersionIsWaitedFor() {
    const StartAttempt first = Begin();
    for (const std::string& id : IdsOf(first.endpoint.software_version))
      m_load->OnOverloaded(KeyOf(id), m_now);
    End(first.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<AbortStream>());
    Advance(60ms);
    CPPUNIT_ASSERT_EQUAL(first.endpoint.software,
                         Only<StartAttempt>().endpoint.software);
  }

  void ResumedStreamGoesToTheVersionThatAnotherEntryTold() {
    for (const char* version : {"v1", "v2"}) {
      Tell("first", version);
      Resume("first");
      CPPUNIT_ASSERT_EQUAL(std::string(version),
                           Only<StartAttempt>().endpoint.software_version);
      CPPUNIT_ASSERT_EQUAL(std::string("3"),
                           Only<StartAttempt>().last_event_id);
      m_core->OnCallerGone(kRequest, m_now);
      m_origins.emplace();
    }
  }

  void UnknownOriginIsRefusedAtOnceWhileTwoVersionsAreKnown() {
    m_core->OnViewComplete(m_now - 100s);
    for (const char* first : {"", "never-heard-of"}) {
      Resume(first);
      const Refuse refuse = Only<Refuse>();
      CPPUNIT_ASSERT(refuse.kind == ErrorKind::kNotResumable);
      CPPUNIT_ASSERT(RowOf(refuse.kind).ran == Ran::kNo);
      CPPUNIT_ASSERT(refuse.retry_after > 0s);
    }
  }

  void OriginOfAnotherTeamIsUnknown() {
    Tell("first", "v1", "another team");
    Resume("first");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
  }

  void VersionThatHasLeftIsRefusedAtOnce() {
    Tell("first", "v1");
    for (const std::string& id : IdsOf("v1")) Leave(id);
    Resume("first");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
  }

  void OneVersionIsEnoughIfAllEndpointsAreKnown() {
    m_directory = directory::Directory();
    m_now += origins::ServiceVersions::kMemory + 1s;
    AnnounceEndpoint("a1", "v1");
    Resume("");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    m_core->OnViewConfirmed(m_now, m_now);
    m_core->OnViewComplete(m_now - 7s);
    Resume("");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotResumable);
    m_core->OnViewComplete(m_now - 8s);
    Resume("");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  // Its endpoint has not announced itself since the connection was established.
  void ResumedStreamGetsItsEventsAtOnce() {
    const StartAttempt start = ResumeOnNewConnection();
    Head(start.attempt, 200, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayHead>());
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 4\ndata: x\n\n"),
                         Only<RelayChunk>().bytes);
  }

  // Another endpoint has the address now, at another version.
  void EndpointThatIsNotTheOneNamedIsLeft() {
    const StartAttempt start = ResumeOnNewConnection();
    ResponseInfo misdirected;
    misdirected.address_reassigned = true;
    m_core->OnHead(start.attempt, 421, misdirected, m_now);
    End(start.attempt, TransferEnd::kWhole);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != start.endpoint.id);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), second.endpoint.software_version);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), second.last_event_id);
    CPPUNIT_ASSERT(m_core->TakeReplaced() ==
                   std::vector<EndpointKey>{KeyOf(start.endpoint.id)});
    CPPUNIT_ASSERT(m_core->TakeReplaced().empty());
  }

  void SilentEndpointOfAResumedStreamIsLeft() {
    const StartAttempt start = BeginResponse(ResumeOnNewConnection());
    Advance(1s);
    CPPUNIT_ASSERT(m_last.empty());
    Advance(600ms);
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<StartAttempt>().endpoint.id != start.endpoint.id);
  }

  void SilentEndpointOfAResumedStreamIsKeptIfThereIsNoOther() {
    const StartAttempt start = BeginResponse(ResumeOnNewConnection());
    for (const std::string& id : IdsOf("v1"))
      if (id != start.endpoint.id) Leave(id);
    for (int i = 0; i < 40; ++i) {
      Advance(50ms);
      CPPUNIT_ASSERT(m_last.empty());
    }
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
  }

  // The caller goes on after the events that it has.
  void LastAttemptOfAResumedStreamIsCutAfterItsEvents() {
    const StartAttempt first = BeginResponse(ResumeOnNewConnection());
    End(first.attempt, TransferEnd::kCut);
    const StartAttempt last = BeginResponse(Only<StartAttempt>());
    Chunk(last.attempt, "id: 4\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 4\ndata: x\n\n"),
                         Only<RelayChunk>().bytes);
    End(last.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<FinishStream>());
    for (const std::string& id : IdsOf("v1"))
      CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_load->Running(KeyOf(id)));
  }

  void BrokenResumedStreamGoesOnAfterItsLastEvent() {
    const StartAttempt start = BeginResponse(ResumeOnNewConnection());
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    End(start.attempt, TransferEnd::kCut);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != start.endpoint.id);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), second.endpoint.software_version);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), second.last_event_id);
  }

  void OriginIsKnownFromTheFirstEventOn() {
    Request("/resume/");
    const StartAttempt start = Only<StartAttempt>();
    Head(start.attempt, 200, true);
    const origins::StreamKey stream = origins::StreamKeyOf("team", "caller-1");
    CPPUNIT_ASSERT(!m_origins->HasUpdates());
    Chunk(start.attempt, "id: 1\n\n");
    const origins::KnownOrigin known = m_origins->Find(stream, m_now);
    CPPUNIT_ASSERT(known.state == origins::OriginState::kKnown);
    CPPUNIT_ASSERT_EQUAL(start.endpoint.software, known.software);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_origins->TakeUpdates().size());
    Chunk(start.attempt, "id: 2\n\n");
    CPPUNIT_ASSERT(!m_origins->HasUpdates());
  }

  void RefusedResumptionIsLoggedAndCounted() {
    Resume("never-heard-of");
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_core->Resumptions().refused);
    const Decision& line = m_log_lines.front();
    CPPUNIT_ASSERT_EQUAL(std::string("resumption_refused"),
                         std::string(line.event));
    CPPUNIT_ASSERT_EQUAL(std::string("origin_unknown"),
                         line.inputs.front().second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreStreamsTest);

}  // namespace
}  // namespace dotterelshift::gateway
