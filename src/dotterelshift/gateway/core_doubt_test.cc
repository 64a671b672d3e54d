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
  CPPUNIT_TEST(StreamInDoubtIsKeptIfItWouldNotGoOnElsewhere);
  CPPUNIT_TEST(NewStreamPrefersEndpointsThatCertainlyRun);
  CPPUNIT_TEST(OriginAtASuspectIsUnknownUntilItAnnouncesItself);
  CPPUNIT_TEST(OriginIsUnclearIfItsEndpointHadStartedAgain);
  CPPUNIT_TEST(StreamThatBeginsAfterARestartHasNoKnownOrigin);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreDoubtTest);

}  // namespace
}  // namespace dotterelshift::gateway
