// A stream goes on only at the software version that wrote its first event.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

using http::TransferEnd;

class CoreStreamsTest : public CoreFixture {
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
  CPPUNIT_TEST(BrokenConnectionMakesItsEndpointASuspect);
  CPPUNIT_TEST(ResumedStreamAvoidsEndpointsThatMayHaveRestarted);
  CPPUNIT_TEST(ResumedStreamWaitsForAnnouncementsIfAllMayHaveRestarted);
  CPPUNIT_TEST(BookedStreamLeavesAnEndpointThatMayHaveRestarted);
  CPPUNIT_TEST(ResumedStreamLeavesAnEndpointThatStartedAgain);
  CPPUNIT_TEST(EventsAfterABreakThatWasLearnedLateAreNotPassedOn);
  CPPUNIT_TEST(StreamInDoubtIsKeptIfItWouldNotGoOnElsewhere);
  CPPUNIT_TEST(NewStreamPrefersEndpointsThatCertainlyRun);
  CPPUNIT_TEST(OriginAtASuspectIsUnknownUntilItAnnouncesItself);
  CPPUNIT_TEST(OriginIsUnclearIfItsEndpointHadStartedAgain);
  CPPUNIT_TEST(StreamThatBeginsAfterARestartHasNoKnownOrigin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    Publish();
    for (const char* id : {"l1", "l2"}) Leave(id);
    AnnounceVersions();
    m_now += 5s;
    AnnounceVersions();
    Collect();
  }

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

  void BrokenConnectionMakesItsEndpointASuspect() {
    const StartAttempt first = Begin();
    End(first.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT(m_restarts->All() == std::vector{KeyOf(first.endpoint.id)});
  }

  void ResumedStreamAvoidsEndpointsThatMayHaveRestarted() {
    for (const char* broken : {"a1", "b1"}) {
      Break(broken);
      Tell("first", "v1");
      Resume("first");
      const StartAttempt start = Only<StartAttempt>();
      CPPUNIT_ASSERT_EQUAL(std::string("v1"), start.endpoint.software_version);
      CPPUNIT_ASSERT(start.endpoint.id != broken);
      m_core->OnCallerGone(kRequest, m_now);
      Collect();
      m_now += 400ms;
      AnnounceVersions();
    }
  }

  // It is refused as not run rather than sent to another version.
  void ResumedStreamWaitsForAnnouncementsIfAllMayHaveRestarted() {
    for (const std::string& id : IdsOf("v1")) Break(id);
    Tell("first", "v1");
    Resume("first");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    Advance(75ms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<Refuse>());
    Advance(225ms);
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    m_now += 400ms;
    AnnounceVersions();
    Resume("first");
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         Only<StartAttempt>().endpoint.software_version);
  }

  // It waits for the prompt that is prefilled before its own.
  void BookedStreamLeavesAnEndpointThatMayHaveRestarted() {
    Leave("b1");
    Tell("first", "v1");
    m_load->OnAssigned({KeyOf("a1"), 0s, 0s, 3'000}, LongPrompt(), m_now);
    Resume("first");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, m_load->Running(KeyOf("a1")));
    Break("a1");
    Advance(45ms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, m_load->Running(KeyOf("a1")));
  }

  // What it sends from then on is of another version.
  void ResumedStreamLeavesAnEndpointThatStartedAgain() {
    const StartAttempt start = ResumeOnNewConnection();
    AnnounceEndpoint(start.endpoint.id, "v2", 2);
    Collect();
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != start.endpoint.id);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), second.endpoint.software_version);
  }

  // Another entry lost a connection before the response began.
  void EventsAfterABreakThatWasLearnedLateAreNotPassedOn() {
    const StartAttempt start = ResumeOnNewConnection();
    m_now += 20ms;
    Head(start.attempt, 200, true);
    m_now += 10ms;
    const EndpointKey key = KeyOf(start.endpoint.id);
    m_restarts->OnTold(start.endpoint, {key, 15, false}, m_now);
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<StartAttempt>().endpoint.id != start.endpoint.id);
  }

  void StreamInDoubtIsKeptIfItWouldNotGoOnElsewhere() {
    const StartAttempt start = ResumeOnNewConnection();
    Head(start.attempt, 200, true);
    Break(start.endpoint.id);
    *m_retries = RetryShare(RetryShareOptions{.ratio = 0, .slack = 0});
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
  }

  void NewStreamPrefersEndpointsThatCertainlyRun() {
    for (const char* id : {"a1", "b1", "a2"}) Break(id);
    Request("/resume/");
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), Only<StartAttempt>().endpoint.id);
    m_core->OnCallerGone(kRequest, m_now);
    Break("b2");
    Request("/resume/");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  void OriginAtASuspectIsUnknownUntilItAnnouncesItself() {
    for (const char* id : {"a1", "b1", "a2", "b2"}) Break(id);
    const StartAttempt start = Begin();
    const origins::StreamKey stream = origins::StreamKeyOf("team", "caller-1");
    CPPUNIT_ASSERT(m_origins->Find(stream, m_now).state ==
                   origins::OriginState::kMissing);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, m_core->Resumptions().begun_in_doubt);
    m_now += 400ms;
    AnnounceVersions();
    m_restarts->Update(m_now);
    m_origins->Update(m_directory, *m_restarts, m_now);
    CPPUNIT_ASSERT(m_origins->Find(stream, m_now).state ==
                   origins::OriginState::kKnown);
    CPPUNIT_ASSERT_EQUAL(start.endpoint.software,
                         m_origins->Find(stream, m_now).software);
    // Within this response it is not known.
    End(start.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  // No connection of this entry told of the restart.
  void OriginIsUnclearIfItsEndpointHadStartedAgain() {
    const StartAttempt start = Begin();
    const origins::StreamKey stream = origins::StreamKeyOf("team", "caller-1");
    CPPUNIT_ASSERT(m_origins->Find(stream, m_now).state ==
                   origins::OriginState::kKnown);
    AnnounceEndpoint(start.endpoint.id,
                     start.endpoint.software_version == "v1" ? "v2" : "v1", 2);
    CPPUNIT_ASSERT(m_origins->Find(stream, m_now).state ==
                   origins::OriginState::kUnclear);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    // It does not go on at the version that had been announced.
    End(start.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  // The announcement comes while the prompt is read.
  void StreamThatBeginsAfterARestartHasNoKnownOrigin() {
    Request("/resume/");
    const StartAttempt start = Only<StartAttempt>();
    AnnounceEndpoint(start.endpoint.id,
                     start.endpoint.software_version == "v1" ? "v2" : "v1", 2);
    Collect();
    Head(start.attempt, 200, true);
    Chunk(start.attempt, "id: 1\n\n");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
    CPPUNIT_ASSERT(
        m_origins->Find(origins::StreamKeyOf("team", "caller-1"), m_now)
            .state == origins::OriginState::kMissing);
  }

 private:
  static Prompt LongPrompt() {
    Prompt prompt;
    prompt.prompt_tokens = 3'000;
    return prompt;
  }

  // A connection to the endpoint broke.
  void Break(const std::string& id) {
    m_restarts->OnBroken(*m_load->Find(KeyOf(id)), m_now);
  }

  static std::vector<std::string> IdsOf(const std::string& version) {
    if (version == "v1") return {"a1", "b1"};
    return {"a2", "b2"};
  }

  EndpointKey KeyOf(const std::string& id) const {
    return directory::PulseKey(id, m_directory.Find(id)->record.incarnation);
  }

  void AnnounceVersions() {
    for (const char* version : {"v1", "v2"})
      for (const std::string& id : IdsOf(version))
        AnnounceEndpoint(id, version);
  }

  void AnnounceEndpoint(const std::string& id, const std::string& version,
                        uint64_t incarnation = 1) {
    wire::EndpointRecordT record;
    record.id = id;
    record.incarnation = incarnation;
    record.sequence = ++m_sequence;
    record.address = record.id + ":80";
    record.data_centre = "dc";
    record.services = {"llm"};
    record.slots = 6;
    record.software_version = version;
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  void Leave(const std::string& id) {
    wire::EndpointRecordT record = m_directory.Find(id)->record;
    record.sequence = ++m_sequence;
    record.draining = true;
    m_directory.OnRecord(record, m_now);
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  // A stream of which three events were passed on, on a kept connection.
  StartAttempt Begin() {
    Request("/resume/");
    StartAttempt start = Only<StartAttempt>();
    Head(start.attempt, 200, true);
    Chunk(start.attempt, "id: 1\n\nid: 2\n\nid: 3\n\n");
    return start;
  }

  void Tell(const std::string& first, const std::string& version,
            const TeamId& team = "team") {
    m_origins->OnUpdates("other",
                         {{origins::StreamKeyOf(team, first),
                           origins::SoftwareKeyOf("llm", version)}},
                         m_now);
  }

  void Resume(const std::string& first) {
    RequestInfo info = MakeRequestInfo("/resume/");
    info.last_event_id = "3";
    info.first_caller_id = first;
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
  }

  // No announcement was received since the connection was established.
  StartAttempt ResumeOnNewConnection() {
    Tell("first", "v1");
    Resume("first");
    StartAttempt start = Only<StartAttempt>();
    m_core->OnConnected(start.attempt, m_now);
    Collect();
    return start;
  }

  StartAttempt BeginResponse(const StartAttempt& start) {
    Head(start.attempt, 200, true);
    return start;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreStreamsTest);

}  // namespace
}  // namespace dotterelshift::gateway
