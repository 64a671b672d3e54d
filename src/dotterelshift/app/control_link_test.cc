#include "dotterelshift/app/control_link.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/peers/hub.h"              // for MakeFrame
#include "dotterelshift/state/packed_document.h"  // for PackDocument

namespace dotterelshift::app {
namespace {

using peers::MakeFrame;
using serving::ControlReach;

// A link with a manual clock and two control hosts, c1 and c2.
class ControlLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlLinkTest);
  CPPUNIT_TEST(ConnectedOnlyWithTheCurrentConfiguration);
  CPPUNIT_TEST(CommandsAreResentToANewLeaderWithTheSameId);
  CPPUNIT_TEST(ResendsToASlowLeaderBackOff);
  CPPUNIT_TEST(WithoutALeaderCommandsAreNotMarkedTwice);
  CPPUNIT_TEST(EachAnswerIsReturnedOnce);
  CPPUNIT_TEST(CommandsReportWhichAnswersArrived);
  CPPUNIT_TEST(CutOffCountsFromWhenTheHeartbeatWasSent);
  CPPUNIT_TEST(MaxHeartbeatTimeIsReportedOnce);
  CPPUNIT_TEST(OnlyTheLeaderIsAskedOutOfTurn);
  CPPUNIT_TEST(ConfigurationVersionsNeverDecrease);
  CPPUNIT_TEST(LeaderOfAnOlderTermIsIgnored);
  CPPUNIT_TEST(SpoolsAreSentToReachableReplicas);
  CPPUNIT_TEST(FollowersSendTheGroupAddressesToAStartedEntry);
  CPPUNIT_TEST(RoutesVersionsNeverDecreaseAndAreRequiredToConnect);
  CPPUNIT_TEST(DeltasApplyToTheHeldVersion);
  CPPUNIT_TEST(DeltaFromAnotherVersionRequestsTheFullDocument);
  CPPUNIT_TEST(WantOfRelaysIsReportedAtOnce);
  CPPUNIT_TEST(AskableEntriesAreKeptUntilOthersAreNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_link = std::make_unique<ControlLink>(ControlLinkOptions());
    m_link->OnPeerUp("c1", m_now);
    m_link->OnPeerUp("c2", m_now);
  }

  void ConnectedOnlyWithTheCurrentConfiguration() {
    AnswerHeartbeat("c1", 1, 2);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kNever);
    Push(0, 1);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kNever);
    Push(1, 2);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kConnected);
  }

  // An entry that has just started may know no replica that leads.
  void FollowersSendTheGroupAddressesToAStartedEntry() {
    wire::LeaderHintT hint;
    hint.control = {"10.0.0.1:7", "10.0.0.9:7"};
    m_link->OnFrame("c1", MakeFrame(std::move(hint)), m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_link->ControlAddresses().size());
  }

  void RoutesVersionsNeverDecreaseAndAreRequiredToConnect() {
    wire::LeaderBeatT beat;
    beat.sequence = NextHeartbeat("c1");
    beat.term = 1;
    beat.routes_version = 5;
    m_link->OnFrame("c1", MakeFrame(std::move(beat)), m_now);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kNever);
    for (const uint64_t version : {5, 3}) {
      wire::RoutesPushT push;
      push.version = version;
      push.steps.push_back(StepOf(0, version, ""));
      m_link->OnFrame("c1", MakeFrame(std::move(push)), m_now);
      CPPUNIT_ASSERT_EQUAL(uint64_t{5}, m_link->RoutesVersion());
      CPPUNIT_ASSERT_EQUAL(std::string("5"), m_link->RoutesDocument());
    }
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kConnected);
  }

  // Leaders may assume different held versions; deltas already applied are
  // skipped.
  void DeltasApplyToTheHeldVersion() {
    TakeRoutes({{0, 5}});
    CPPUNIT_ASSERT_EQUAL(std::string("5"), m_link->RoutesDocument());
    TakeRoutes({{5, 6}, {6, 8}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, m_link->RoutesVersion());
    TakeRoutes({{5, 6}, {6, 8}, {8, 9}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, m_link->RoutesVersion());
    CPPUNIT_ASSERT_EQUAL(std::string("9"), m_link->RoutesDocument());
  }

  void DeltaFromAnotherVersionRequestsTheFullDocument() {
    TakeRoutes({{0, 5}});
    NextHeartbeat("c1");
    CPPUNIT_ASSERT(m_link->NextTimer() > m_now);
    TakeRoutes({{6, 8}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, m_link->RoutesVersion());
    CPPUNIT_ASSERT(m_link->NextTimer() == m_now);
    CPPUNIT_ASSERT(RequestsFullRoutes("c1"));
    // A delta against another document of the same version is rejected too.
    wire::RoutesPushT push;
    push.steps.push_back(StepOf(5, 8, "not 5"));
    m_link->OnFrame("c1", MakeFrame(std::move(push)), m_now);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), m_link->RoutesDocument());
    CPPUNIT_ASSERT(RequestsFullRoutes("c1"));
    TakeRoutes({{0, 8}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, m_link->RoutesVersion());
    CPPUNIT_ASSERT(!RequestsFullRoutes("c1"));
  }

  void CommandsAreResentToANewLeaderWithTheSameId() {
    m_link->Propose(CommandOf(7));
    CPPUNIT_ASSERT(TakeProposed("c1").empty());
    AnswerHeartbeat("c1", 1, 0);
    CPPUNIT_ASSERT(TakeProposed("c1") == std::vector<uint64_t>{7});
    m_link->OnPeerDown("c1", m_now);
    m_link->Propose(CommandOf(8));
    AnswerHeartbeat("c2", 2, 0);
    CPPUNIT_ASSERT(TakeProposed("c2") == (std::vector<uint64_t>{7, 8}));
    // Unanswered commands are sent again, not before the resend timeout.
    m_now += 900ms;
    m_link->OnTimer(m_now);
    CPPUNIT_ASSERT(TakeProposed("c2").empty());
    m_now += 1100ms;
    m_link->OnTimer(m_now);
    CPPUNIT_ASSERT(TakeProposed("c2") == (std::vector<uint64_t>{7, 8}));
  }

  // A leader that has just started may need 10 s to answer the backlog of a
  // whole fleet; resends must not add to it at a constant rate.
  void ResendsToASlowLeaderBackOff() {
    AnswerHeartbeat("c1", 1, 0);
    m_link->Propose(CommandOf(7));
    size_t sent = TakeProposed("c1").size();
    for (int second = 0; second < 10; ++second) {
      m_now += 1s;
      m_link->OnTimer(m_now);
      sent += TakeProposed("c1").size();
    }
    CPPUNIT_ASSERT(sent >= 2);
    CPPUNIT_ASSERT(sent <= 4);
    // The next leader has not received it, and is sent it at once.
    m_link->OnPeerDown("c1", m_now);
    AnswerHeartbeat("c2", 2, 0);
    CPPUNIT_ASSERT(TakeProposed("c2") == std::vector<uint64_t>{7});
    m_now += 1s;
    m_link->OnTimer(m_now);
    CPPUNIT_ASSERT(TakeProposed("c2") == std::vector<uint64_t>{7});
  }

  void WithoutALeaderCommandsAreNotMarkedTwice() {
    AnswerHeartbeat("c1", 1, 0);
    m_link->Propose(CommandOf(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeProposed("c1").size());
    wire::LeaderHintT hint;
    m_link->OnFrame("c1", MakeFrame(std::move(hint)), m_now);
    for (int beat = 0; beat < 50; ++beat) {
      m_now += 100ms;
      m_link->OnTimer(m_now);
      CPPUNIT_ASSERT(TakeProposed("c1").empty());
    }
    AnswerHeartbeat("c1", 1, 0);
    CPPUNIT_ASSERT(TakeProposed("c1") == std::vector<uint64_t>{7});
  }

  void EachAnswerIsReturnedOnce() {
    AnswerHeartbeat("c1", 1, 0);
    m_link->Propose(CommandOf(7));
    wire::ProposeAnswersT answers;
    answers.answers.push_back(std::make_unique<wire::CommandAnswerT>());
    answers.answers[0]->id = IdOf(7);
    const wire::FrameT frame = MakeFrame(std::move(answers));
    m_link->OnFrame("c1", frame, m_now);
    m_link->OnFrame("c1", frame, m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_link->TakeAnswers().size());
    CPPUNIT_ASSERT(m_link->Idle());
  }

  void CommandsReportWhichAnswersArrived() {
    ControlLinkOptions options;
    options.reports_answered_below = true;
    m_link = std::make_unique<ControlLink>(options);
    m_link->OnPeerUp("c1", m_now);
    AnswerHeartbeat("c1", 1, 0);
    for (const uint64_t sequence : {7, 8, 9})
      m_link->Propose(CommandOf(sequence));
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, AnsweredBelowIn("c1"));
    wire::ProposeAnswersT answers;
    for (const uint64_t sequence : {9, 7}) {
      answers.answers.push_back(std::make_unique<wire::CommandAnswerT>());
      answers.answers.back()->id = IdOf(sequence);
    }
    m_link->OnFrame("c1", MakeFrame(std::move(answers)), m_now);
    m_link->Propose(CommandOf(10));
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, AnsweredBelowIn("c1"));
    // A replica proposes spooled commands under their original ids.
    m_link->Spool(CommandOf(11));
    m_link->Propose(CommandOf(12));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, AnsweredBelowIn("c1"));
  }

  void CutOffCountsFromWhenTheHeartbeatWasSent() {
    const uint64_t sequence = NextHeartbeat("c1");
    m_now += 2900ms;
    Answer("c1", sequence, 1, 0);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kConnected);
    m_now += 200ms;
    m_link->OnTimer(m_now);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kCutOff);
    AnswerHeartbeat("c2", 2, 0);
    CPPUNIT_ASSERT(m_link->Reach() == ControlReach::kConnected);
  }

  void MaxHeartbeatTimeIsReportedOnce() {
    for (const Duration taken : {20ms, 400ms, 30ms}) {
      const uint64_t sequence = NextHeartbeat("c1");
      m_now += taken;
      Answer("c1", sequence, 1, 0);
    }
    CPPUNIT_ASSERT(m_link->TakeMaxHeartbeatTime() == 400ms);
    CPPUNIT_ASSERT(m_link->TakeMaxHeartbeatTime() == 0s);
  }

  void OnlyTheLeaderIsAskedOutOfTurn() {
    // Heartbeats are sent less often once there is a leader.
    for (int i = 0; i < 2; ++i) AnswerHeartbeat("c1", 1, 0);
    m_now += 10ms;
    const Instant asked_after = m_now;
    m_link->AskLeaderAfter(asked_after);
    CPPUNIT_ASSERT(BeatsTo().empty());
    m_now += 40ms;
    CPPUNIT_ASSERT(BeatsTo() == std::vector<HostId>{"c1"});
    // One question is enough for all that wait.
    m_now += 100ms;
    CPPUNIT_ASSERT(BeatsTo().empty());
    CPPUNIT_ASSERT(*m_link->ConfirmedAt() < asked_after);
    m_now = m_link->NextTimer();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, BeatsTo().size());
  }

  void ConfigurationVersionsNeverDecrease() {
    Push(0, 5);
    Push(0, 4);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, m_link->GetConfiguration().Version());
    Push(6, 7);  // a gap
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, m_link->GetConfiguration().Version());
    Push(5, 6);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, m_link->GetConfiguration().Version());
  }

  void LeaderOfAnOlderTermIsIgnored() {
    AnswerHeartbeat("c2", 5, 0);
    AnswerHeartbeat("c1", 4, 0);
    CPPUNIT_ASSERT_EQUAL(HostId("c2"), m_link->Leader());
  }

  void SpoolsAreSentToReachableReplicas() {
    m_link->OnPeerDown("c1", m_now);
    m_link->Spool(CommandOf(3));
    const auto frames = m_link->TakeFrames(m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, frames.size());
    CPPUNIT_ASSERT_EQUAL(HostId("c2"), frames[0].first);
    wire::SpoolStoredT stored;
    stored.ids.push_back(IdOf(3));
    m_link->OnFrame("c2", MakeFrame(std::move(stored)), m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_link->TakeSpooled().size());
    CPPUNIT_ASSERT(m_link->Idle());
  }

 private:
  static std::unique_ptr<wire::CommandIdT> IdOf(uint64_t sequence) {
    auto id = std::make_unique<wire::CommandIdT>();
    id->host = "e1";
    id->incarnation = 1;
    id->sequence = sequence;
    return id;
  }

  static wire::CommandT CommandOf(uint64_t sequence) {
    wire::CommandT command;
    command.id = IdOf(sequence);
    command.body.Set(wire::AgeOutT());
    return command;
  }

  void WantOfRelaysIsReportedAtOnce() {
    AnswerHeartbeat("c1", 1, 0);
    m_now += 1ms;
    CPPUNIT_ASSERT(m_link->NextTimer() > m_now);
    m_link->SetWantsRelays(true, m_now);
    m_link->OnTimer(m_now);
    bool reported = false;
    for (const auto& [to, frame] : m_link->TakeFrames(m_now)) {
      const auto* beat = frame.body.AsEntryBeat();
      reported |= beat != nullptr && beat->wants_relays;
    }
    CPPUNIT_ASSERT(reported);
    m_link->SetWantsRelays(true, m_now);
    CPPUNIT_ASSERT(m_link->NextTimer() > m_now);
  }

  void AskableEntriesAreKeptUntilOthersAreNamed() {
    const auto answer = [this](std::unique_ptr<wire::DistantEntriesT> named) {
      wire::LeaderBeatT beat;
      beat.sequence = NextHeartbeat("c1");
      beat.term = 1;
      beat.distant = std::move(named);
      m_link->OnFrame("c1", MakeFrame(std::move(beat)), m_now);
    };
    auto named = std::make_unique<wire::DistantEntriesT>();
    named->entries.push_back(std::make_unique<wire::DistantEntryT>());
    named->entries.back()->address = "10.0.0.1:7";
    named->entries.back()->data_centre = "b";
    answer(std::move(named));
    answer(nullptr);
    CPPUNIT_ASSERT(m_link->DistantEntries() ==
                   (std::vector<origins::DistantEntry>{{"10.0.0.1:7", "b"}}));
    answer(std::make_unique<wire::DistantEntriesT>());
    CPPUNIT_ASSERT(m_link->DistantEntries().empty());
  }

  // Sends the next heartbeat and returns the sequence that the host received.
  // The hosts that get a heartbeat now.
  std::vector<HostId> BeatsTo() {
    m_link->OnTimer(m_now);
    std::vector<HostId> hosts;
    for (const auto& [to, frame] : m_link->TakeFrames(m_now))
      if (frame.body.AsEntryBeat() != nullptr) hosts.push_back(to);
    return hosts;
  }

  uint64_t NextHeartbeat(const HostId& host) {
    m_now = std::max(m_now, m_link->NextTimer());
    m_link->OnTimer(m_now);
    uint64_t sequence = 0;
    for (const auto& [to, frame] : m_link->TakeFrames(m_now)) {
      const auto* beat = frame.body.AsEntryBeat();
      if (to == host && beat != nullptr) sequence = beat->sequence;
    }
    CPPUNIT_ASSERT(sequence > 0);
    return sequence;
  }

  void Answer(const HostId& host, uint64_t sequence, uint64_t term,
              uint64_t version) {
    wire::LeaderBeatT answer;
    answer.sequence = sequence;
    answer.term = term;
    answer.configuration_version = version;
    m_link->OnFrame(host, MakeFrame(answer), m_now);
  }

  void AnswerHeartbeat(const HostId& host, uint64_t term, uint64_t version) {
    Answer(host, NextHeartbeat(host), term, version);
  }

  void Push(uint64_t from, uint64_t to) {
    wire::ConfigurationPushT push;
    push.from_version = from;
    push.to_version = to;
    m_link->OnFrame("c1", MakeFrame(std::move(push)), m_now);
  }

  // The document of each version is its number.
  static std::unique_ptr<wire::RoutesStepT> StepOf(
      uint64_t base, uint64_t version, const std::string& base_document) {
    auto step = std::make_unique<wire::RoutesStepT>();
    step->base = base;
    step->version = version;
    step->packed = state::PackDocument(std::to_string(version), base_document);
    return step;
  }

  // Sends deltas to the link, each from one version to another.
  void TakeRoutes(const std::vector<std::pair<uint64_t, uint64_t>>& steps) {
    wire::RoutesPushT push;
    for (const auto& [base, version] : steps)
      push.steps.push_back(
          StepOf(base, version, base == 0 ? "" : std::to_string(base)));
    m_link->OnFrame("c1", MakeFrame(std::move(push)), m_now);
  }

  bool RequestsFullRoutes(const HostId& host) {
    m_now = std::max(m_now, m_link->NextTimer());
    m_link->OnTimer(m_now);
    bool requests_routes = false;
    for (const auto& [to, frame] : m_link->TakeFrames(m_now)) {
      const auto* beat = frame.body.AsEntryBeat();
      if (to == host && beat != nullptr) requests_routes = beat->wants_routes;
    }
    return requests_routes;
  }

  uint64_t AnsweredBelowIn(const HostId& host) {
    for (const auto& [to, frame] : m_link->TakeFrames(m_now)) {
      const auto* propose = frame.body.AsPropose();
      if (to == host && propose != nullptr)
        return propose->commands.front()->id->answered_below;
    }
    CPPUNIT_FAIL("nothing was proposed");
    return 0;
  }

  std::vector<uint64_t> TakeProposed(const HostId& host) {
    std::vector<uint64_t> sequences;
    for (const auto& [to, frame] : m_link->TakeFrames(m_now)) {
      const auto* propose = frame.body.AsPropose();
      if (to != host || propose == nullptr) continue;
      for (const auto& command : propose->commands)
        sequences.push_back(command->id->sequence);
    }
    return sequences;
  }

  Instant m_now = Instant{} + 1000s;
  std::unique_ptr<ControlLink> m_link;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlLinkTest);

}  // namespace
}  // namespace dotterelshift::app
