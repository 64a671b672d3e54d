// An endpoint may have started again at another version under its id: streams
// that had begun before do not go on there.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/versioned_core_testing.h"  // for VersionedCoreFixture

namespace dotterelshift::gateway {
namespace {

using http::TransferEnd;

class CoreDoubtTest : public VersionedCoreFixture {
  CPPUNIT_TEST_SUITE(CoreDoubtTest);
  CPPUNIT_TEST(BrokenConnectionMakesItsEndpointASuspect);
  CPPUNIT_TEST(ResumedStreamAvoidsEndpointsThatMayHaveRestarted);
  CPPUNIT_TEST(ResumedStreamWaitsForAnnouncementsIfAllMayHaveRestarted);
  CPPUNIT_TEST(BookedStreamLeavesAnEndpointThatMayHaveRestarted);
  CPPUNIT_TEST(ResumedStreamLeavesAnEndpointThatStartedAgain);
  CPPUNIT_TEST(EventsAfterABreakThatWasLearnedLateAreNotPassedOn);
  CPPUNIT_TEST(EventsInDoubtWaitUntilTheEndpointIsKnownToRun);
  CPPUNIT_TEST(EventsInDoubtAreDroppedIfTheEndpointHasAnotherVersion);
  CPPUNIT_TEST(EventsInDoubtArePassedOnIfTheEndpointHasItsVersionAgain);
  CPPUNIT_TEST(WholeResponseInDoubtIsPassedOnLater);
  CPPUNIT_TEST(EndInDoubtIsNotTakenForTheEndOfTheStream);
  CPPUNIT_TEST(EventsInDoubtAreDroppedIfTheStreamBreaks);
  CPPUNIT_TEST(StreamInDoubtGoesOnElsewhereAsSoonAsItMay);
  CPPUNIT_TEST(EventsInDoubtWaitNoLongerThanTheSuspicionLasts);
  CPPUNIT_TEST(NewStreamPrefersEndpointsThatCertainlyRun);
  CPPUNIT_TEST(OriginAtASuspectIsUnknownUntilItAnnouncesItself);
  CPPUNIT_TEST(OriginIsUnclearIfItsEndpointHadStartedAgain);
  CPPUNIT_TEST(StreamThatBeginsAfterARestartHasNoKnownOrigin);
  CPPUNIT_TEST(StreamThatBeganBetweenTwoRestartsHasNoKnownOrigin);
  CPPUNIT_TEST_SUITE_END();

 public:
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

  // Mostly a single stream broke at its endpoint, but that may have started
  // again.
  void EventsInDoubtWaitUntilTheEndpointIsKnownToRun() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    ExpectWithheld();
    Advance(100ms);
    ExpectWithheld();
    Chunk(start.attempt, "id: 5\ndata: y\n\n");
    ExpectWithheld();
    Announce(400ms, start.endpoint.id, "v1");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 4\ndata: x\n\nid: 5\ndata: y\n\n"),
                         Only<RelayChunk>().bytes);
    Chunk(start.attempt, "id: 6\ndata: z\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 6\ndata: z\n\n"),
                         Only<RelayChunk>().bytes);
  }

  void EventsInDoubtAreDroppedIfTheEndpointHasAnotherVersion() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    ExpectWithheld();
    AnnounceEndpoint(start.endpoint.id, "v2", 2);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  void EventsInDoubtArePassedOnIfTheEndpointHasItsVersionAgain() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    ExpectWithheld();
    Announce(20ms, start.endpoint.id, "v1", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
  }

  // All of a short response is here before its endpoint announces itself.
  void WholeResponseInDoubtIsPassedOnLater() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    End(start.attempt, TransferEnd::kWhole);
    ExpectWithheld();
    Announce(400ms, start.endpoint.id, "v1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<FinishStream>());
    CPPUNIT_ASSERT_EQUAL(uint32_t{0},
                         m_load->Running(KeyOf(start.endpoint.id)));
  }

  // Another version may have fewer events.
  void EndInDoubtIsNotTakenForTheEndOfTheStream() {
    const StartAttempt start = BeginInDoubt();
    End(start.attempt, TransferEnd::kWhole);
    ExpectWithheld();
    AnnounceEndpoint(start.endpoint.id, "v2", 2);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<FinishStream>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  // Its caller goes on after the events that it has.
  void EventsInDoubtAreDroppedIfTheStreamBreaks() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    End(start.attempt, TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<AbortStream>());
  }

  void StreamInDoubtGoesOnElsewhereAsSoonAsItMay() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    ExpectWithheld();
    *m_retries = MakeLeasedShare(RetryShareOptions(), 1, m_now);
    Advance(20ms);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != start.endpoint.id);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), second.last_event_id);
  }

  // Nobody can be asked, and control may be away.
  void EventsInDoubtWaitNoLongerThanTheSuspicionLasts() {
    const StartAttempt start = BeginInDoubt();
    Chunk(start.attempt, "id: 4\ndata: x\n\n");
    for (Duration waited = 0s; waited <= 2900ms; waited += 100ms) {
      ExpectWithheld();
      Advance(100ms);
    }
    Advance(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayChunk>());
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

  // The endpoint has its first version again, but had another one meanwhile.
  void StreamThatBeganBetweenTwoRestartsHasNoKnownOrigin() {
    Request("/resume/");
    const StartAttempt start = Only<StartAttempt>();
    const std::string& version = start.endpoint.software_version;
    AnnounceEndpoint(start.endpoint.id, version == "v1" ? "v2" : "v1", 2);
    AnnounceEndpoint(start.endpoint.id, version, 3);
    Collect();
    Head(start.attempt, 200, true);
    Chunk(start.attempt, "id: 1\n\n");
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

  // A resumed stream whose endpoint lost another connection just before its
  // response, and that can't go on elsewhere.
  StartAttempt BeginInDoubt() {
    StartAttempt start = ResumeOnNewConnection();
    Head(start.attempt, 200, true);
    Break(start.endpoint.id);
    *m_retries = RetryShare(RetryShareOptions{.ratio = 0, .slack = 0});
    return start;
  }

  void ExpectWithheld() const {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayChunk>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<FinishStream>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<AbortStream>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
  }

  // The endpoint announces itself so much later.
  void Announce(Duration later, const std::string& id,
                const std::string& version, uint64_t incarnation = 1) {
    m_now += later;
    AnnounceEndpoint(id, version, incarnation);
    Advance(0s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreDoubtTest);

}  // namespace
}  // namespace dotterelshift::gateway
