#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max
#include <map>        // for map
#include <set>        // for set

#include "dotterelshift/gateway/core.h"
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

constexpr double kSlowLink = 1'250'000;      // 10 Mbit/s
constexpr double kFastLink = 1'250'000'000;  // 10 Gbit/s
// Of the link, what is left for bytes that are counted.
constexpr double kPayloadPart = 0.92;
constexpr size_t kPrompt = 6'000;
// What the system may hold, so that a close stops its request in time.
constexpr Duration kMostHanded = 80ms;

// The system's queue before a link, and what it has carried.
class SystemQueue {
 public:
  void Add(size_t bytes, Instant now) {
    Carry(now);
    m_waiting += static_cast<double>(bytes);
    m_most = std::max(m_most, m_waiting);
  }
  void Carry(Instant now) {
    const Duration passed = m_since == Instant{} ? 0s : now - m_since;
    m_since = now;
    const double most = kRate * std::chrono::duration<double>(passed).count();
    const double carried = std::min(m_waiting, most);
    m_waiting -= carried;
    m_carried += carried;
  }
  double Carried() const { return m_carried; }
  // The longest that a byte has stood here.
  Duration Longest() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_most / kRate));
  }

 private:
  static constexpr double kRate = kSlowLink * kPayloadPart;
  double m_waiting = 0;
  double m_most = 0;
  double m_carried = 0;
  Instant m_since{};
};

// A core whose host's link carries 10 Mbit/s. Routes /urgent/ and /calm/ lead
// to the plain service, and what the core sends goes into a queue of its own.
class CoreLinkTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreLinkTest);
  CPPUNIT_TEST(AfterTheCloseNothingOfARequestGoesOut);
  CPPUNIT_TEST(AtThreeTimesTheLinkItIsUsedAndNothingStandsBeforeIt);
  CPPUNIT_TEST(AtTenTimesTheLinkItIsUsedAndNothingStandsBeforeIt);
  CPPUNIT_TEST(TheMoreUrgentGoesFirstThenTheEarlierTarget);
  CPPUNIT_TEST(ASmallRequestDoesNotStandBehindLongPromptsThatMayWait);
  CPPUNIT_TEST(ARepeatWaitsAndItsSilenceCountsFromItsStart);
  CPPUNIT_TEST(WhatWouldWaitTooLongIsRefusedAtOnce);
  CPPUNIT_TEST(WhatIsPushedBackTooFarIsRefusedThen);
  CPPUNIT_TEST(WhatHasRunIsNotSaidToBeRefused);
  CPPUNIT_TEST(WhatWasNotSentLeavesItsRoomToTheNext);
  CPPUNIT_TEST(WhatIsWithdrawnLeavesItsRoomToTheNext);
  CPPUNIT_TEST(WhatCannotGoBeforeItsDeadlineIsRefusedAtOnce);
  CPPUNIT_TEST(TheOwnStopEndsTheWaitAsNotRun);
  CPPUNIT_TEST(NoEndpointIsBookedForWhatWaits);
  CPPUNIT_TEST(ABookedPromptWaitsAndMayStillLeaveItsEndpoint);
  CPPUNIT_TEST(NewRoutesDoNotDropWhatWaits);
  CPPUNIT_TEST(WithAnUnknownOrFastLinkAllGoesAtOnce);
  CPPUNIT_TEST(ALateTimerSendsNothingWhoseTimeIsOver);
  CPPUNIT_TEST(ARepeatThatTheLinkRefusesTakesNoneOfTheAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    m_started.clear();
    m_bytes.clear();
    m_queue = SystemQueue();
    MakePacedCore(kSlowLink);
  }

  // Guards against prompts of callers who have left that go on out of the
  // system's queue for a second.
  void AfterTheCloseNothingOfARequestGoesOut() {
    PublishPlain(4s);
    constexpr RequestId kCallers = 200;  // 1 s of the link
    for (RequestId id = 1; id <= kCallers; ++id) Ask("/calm/", kPrompt, id);
    Run(20ms);
    CPPUNIT_ASSERT(m_queue.Longest() <= kMostHanded);
    CPPUNIT_ASSERT(!m_started.empty());
    CPPUNIT_ASSERT(m_core->WaitingForLink().bytes > 100 * kPrompt);
    for (RequestId id = 1; id <= kCallers; ++id) {
      m_core->OnCallerGone(id, m_now);
      Take();
    }
    const size_t started = m_started.size();
    Run(2s);
    CPPUNIT_ASSERT_EQUAL(started, m_started.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->WaitingForLink().requests);
    CPPUNIT_ASSERT(m_queue.Longest() <= kMostHanded);
  }

  // Guards against a queue of the system that grows with the demand, and
  // against a link that stands idle for fear of it.
  void AtThreeTimesTheLinkItIsUsedAndNothingStandsBeforeIt() { Overrun(3); }
  void AtTenTimesTheLinkItIsUsedAndNothingStandsBeforeIt() { Overrun(10); }

  // Guards against an order of arrival, where the urgent come late.
  void TheMoreUrgentGoesFirstThenTheEarlierTarget() {
    PublishPlain(600ms);
    FillLink(100ms);
    Ask("/calm/", kPrompt, 1);
    Ask("/calm/", kPrompt, 2, 50ms);
    Ask("/urgent/", kPrompt, 3);
    Ask("/urgent/", kPrompt, 4, 50ms);
    CPPUNIT_ASSERT(m_started.empty());
    Run(200ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{4, 3, 2, 1}));
  }

  // Guards against small requests that are late for the length of others.
  void ASmallRequestDoesNotStandBehindLongPromptsThatMayWait() {
    PublishPlain(4s, 600ms);
    FillLink(60ms);
    for (RequestId id = 1; id <= 20; ++id) Ask("/calm/", 5 * kPrompt, id);
    Ask("/soon/", 300, 21);
    Run(10ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{21}));
  }

  // Guards against repeats that go round the wait, and against an endpoint that
  // is given up for the time that its request stood here.
  void ARepeatWaitsAndItsSilenceCountsFromItsStart() {
    Publish();
    Ask("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(150ms);
    m_core->OnEnd(first.attempt, http::TransferEnd::kCutBeforeHead, m_now);
    Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    Run(140ms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
    // The second, which may not run again, is silent until its deadline.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
    // The first of another one waits, and is then given its whole silence.
    FillLink(150ms);
    Ask("/safe/", kPrompt, 2);
    Run(140ms);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_started.size());
    Run(CoreOptions().silence_borne - 100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_started.size());
    Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, m_started.size());
  }

  // Guards against callers that are held until nobody can serve them in time,
  // and against all of them coming back together.
  void WhatWouldWaitTooLongIsRefusedAtOnce() {
    PublishPlain(600ms);
    FillLink(400ms);
    std::set<Duration> returns;
    for (RequestId id = 1; id <= 5; ++id) {
      Ask("/urgent/", kPrompt, id);
      const Refuse refuse = Only<Refuse>();
      CPPUNIT_ASSERT(refuse.kind == ErrorKind::kOverloaded);
      CPPUNIT_ASSERT(RowOf(refuse.kind).ran == Ran::kNo);
      CPPUNIT_ASSERT(refuse.retry_after >= 50ms);
      CPPUNIT_ASSERT(refuse.retry_after <= 100ms);
      returns.insert(refuse.retry_after);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{5}, returns.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, m_core->WaitingForLink().refused);
    Run(1s);
    CPPUNIT_ASSERT(m_started.empty());
  }

  // Guards against the less urgent that are held though others go before them
  // until they are late.
  void WhatIsPushedBackTooFarIsRefusedThen() {
    PublishPlain(600ms);
    FillLink(200ms);
    Ask("/calm/", kPrompt, 1, 50ms);
    constexpr RequestId kUrgent = 25;  // 133 ms
    for (RequestId id = 2; id <= kUrgent + 1; ++id) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<Refuse>());
      Ask("/urgent/", kPrompt, id);
    }
    CPPUNIT_ASSERT(m_core->NextTimer() <= m_now);
    Pass(0s);
    CPPUNIT_ASSERT_EQUAL(RequestId{1}, Only<Refuse>().request);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kOverloaded);
    Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{kUrgent}, m_started.size());
  }

  // Guards against "not run" said of what an endpoint has begun.
  void WhatHasRunIsNotSaidToBeRefused() {
    Publish();
    Ask("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(1s);
    End(first.attempt, http::TransferEnd::kCutBeforeHead);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kEndpointFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  // Guard against room that is kept for prompts that no connection took.
  void WhatWasNotSentLeavesItsRoomToTheNext() {
    PublishPlain(600ms);
    const StartAttempt first = FillWithOnePrompt();
    m_core->OnEnd(first.attempt, http::TransferEnd::kNotSent, m_now);
    Take();
    // Its own next attempt comes before the second one.
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{1, 1}));
  }

  void WhatIsWithdrawnLeavesItsRoomToTheNext() {
    PublishPlain(600ms);
    const StartAttempt first = FillWithOnePrompt();
    // Its caller leaves, and then it turns out that no connection had it.
    m_core->OnCallerGone(1, m_now);
    Take();
    Run(0ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    m_core->OnWithdrawn(first.attempt, m_now);
    Run(0ms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
  }

  // Guards against a request that is held though its caller's time is over
  // before it could go.
  void WhatCannotGoBeforeItsDeadlineIsRefusedAtOnce() {
    PublishPlain(4s);
    FillLink(500ms);
    RequestInfo info = AskFor("/calm/");
    info.patience = 100ms;
    info.onward_bytes = kPrompt;
    m_core->OnRequest(1, info, m_now);
    Collect();
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    Run(1s);
    CPPUNIT_ASSERT(m_started.empty());
  }

  // Guards against requests that go out after the stop has answered them.
  void TheOwnStopEndsTheWaitAsNotRun() {
    PublishPlain(600ms);
    FillLink(100ms);
    Ask("/calm/", kPrompt, 1);
    m_core->CutOpen(m_now);
    Collect();
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
    Run(1s);
    CPPUNIT_ASSERT(m_started.empty());
    CPPUNIT_ASSERT(m_core->NextTimer() == Instant::max());
  }

  // Guards against a request that goes to an endpoint which left while it
  // waited, and against others that are sent elsewhere for its sake.
  void NoEndpointIsBookedForWhatWaits() {
    PublishPlain(600ms);
    FillLink(100ms);
    Ask("/calm/", kPrompt, 1);
    CPPUNIT_ASSERT(!m_load->HasNotes());
    for (const char* id : {"p1", "p3"}) Announce(id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), m_last_start.endpoint.id);
  }

  // Guards against a prompt that goes out at its reading time, whatever stands
  // there, and to an endpoint that has left since.
  void ABookedPromptWaitsAndMayStillLeaveItsEndpoint() {
    Publish();
    for (RequestId id = 1; id <= 4; ++id) AskModel(10'000, id);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
    Run(120ms);  // the next two are due after 131 ms
    FillLink(150ms);
    Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_core->WaitingForLink().requests);
    m_core->OnCallerGone(3, m_now);
    Announce("l1", "llm", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_started.size());
    CPPUNIT_ASSERT_EQUAL(RequestId{4}, m_started.back());
    CPPUNIT_ASSERT_EQUAL(std::string("l2"), m_last_start.endpoint.id);
  }

  // Guards against a request that is lost when its route goes while it waits.
  void NewRoutesDoNotDropWhatWaits() {
    PublishPlain(600ms);
    FillLink(100ms);
    Ask("/calm/", kPrompt, 1);
    Routes routes;
    routes.version = 2;
    routes.routes = {RouteOf("/other/", RouteKind::kOnce, "plain", 1)};
    routes.services = {{"plain", 10, std::nullopt}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
    Run(100ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{1}));
  }

  // Guards against any change where the link is not what bounds the entry.
  void WithAnUnknownOrFastLinkAllGoesAtOnce() {
    for (const double rate : {0.0, kFastLink}) {
      MakePacedCore(rate);
      PublishPlain(600ms);
      m_started.clear();
      m_pacer->OnBytes(4 * kPrompt, m_now);
      for (RequestId id = 1; id <= 200; ++id) Ask("/calm/", kPrompt, id);
      CPPUNIT_ASSERT_EQUAL(size_t{200}, m_started.size());
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_core->WaitingForLink().refused);
    }
  }

  // Guards against a turn of the loop that comes late (a processor in turns of
  // 88 ms) and sends what its caller has given up, and then says that it may
  // have run.
  void ALateTimerSendsNothingWhoseTimeIsOver() {
    PublishPlain(4s);
    FillLink(100ms);
    RequestInfo info = AskFor("/calm/");
    info.patience = 150ms;
    info.onward_bytes = kPrompt;
    m_core->OnRequest(1, info, m_now);
    Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->WaitingForLink().requests);
    m_now += 160ms;
    m_core->OnTimer(m_now);
    Take();
    CPPUNIT_ASSERT(m_started.empty());
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
  }

  // Guards against an endpoint's own answer that is dropped, and an allowance
  // that is used, for a repeat that the way out refuses at once.
  void ARepeatThatTheLinkRefusesTakesNoneOfTheAllowance() {
    Publish();
    Ask("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(1s);
    AnswerMarks marks;
    marks.genuine = true;
    marks.echoed_id = AskFor("/safe/").caller_id;
    m_core->OnHead(first.attempt, 500, marks, m_now);
    m_core->OnEnd(first.attempt, http::TransferEnd::kWhole, m_now);
    Take();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<Refuse>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayWhole>());
  }

 private:
  void MakePacedCore(double bytes_per_second) {
    SendPacerOptions options;
    options.bytes_per_second = bytes_per_second;
    m_pacer = std::make_unique<SendPacer>(options);
    m_core =
        MakeCore(CoreOptions(), {m_load.get(), m_budgets.get(), m_retries.get(),
                                 &m_blocklist, m_pacer.get()});
  }

  // A route that may wait besides, and one that may not wait long.
  void PublishPlain(Duration target, Duration soon = 600ms) {
    Routes routes;
    routes.version = 1;
    routes.routes = {RouteOf("/urgent/", RouteKind::kOnce, "plain", 1),
                     RouteOf("/calm/", RouteKind::kOnce, "plain", 1),
                     RouteOf("/soon/", RouteKind::kOnce, "plain", 1)};
    for (Route& route : routes.routes) route.target = target;
    routes.routes[0].priority = 0;
    routes.routes[1].priority = 1;
    routes.routes[2].priority = 1;
    routes.routes[2].target = soon;
    routes.services = {{"plain", 10, std::nullopt}};
    routes.teams = {{"team", {"key"}, std::nullopt, std::nullopt}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
    for (const char* id : {"p1", "p2", "p3"}) Announce(id, "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  // The head of the request came in `ago`.
  void Ask(const std::string& path, size_t bytes, RequestId id,
           Duration ago = 0s) {
    RequestInfo info = AskFor(path);
    info.onward_bytes = bytes;
    info.begun = m_now - ago;
    m_bytes[id] = bytes;
    m_core->OnRequest(id, info, m_now);
    Take();
  }
  void AskModel(Tokens tokens, RequestId id) {
    RequestInfo info = AskFor("/stream/", tokens);
    info.onward_bytes = kPrompt;
    m_bytes[id] = kPrompt;
    m_core->OnRequest(id, info, m_now);
    Take();
  }

  // What the core sends goes into the system's queue.
  void Take() {
    Collect();
    for (const Action& action : m_last) {
      const auto* start = std::get_if<StartAttempt>(&action);
      if (start == nullptr) continue;
      m_last_start = *start;
      m_started.push_back(start->request);
      m_queue.Add(m_bytes[start->request], m_now);
    }
  }

  // Moves the clock, with the core's timers on time.
  void Run(Duration time) {
    const Instant end = m_now + time;
    for (;;) {
      for (int turns = 0; m_core->NextTimer() <= m_now; ++turns) {
        CPPUNIT_ASSERT(turns < 1000);
        m_core->OnTimer(m_now);
        Take();
      }
      m_queue.Carry(m_now);
      if (m_now >= end) return;
      m_now = std::min(end, m_core->NextTimer());
    }
  }

  // Answers and frames take the link for so long.
  void FillLink(Duration time) {
    const double seconds = std::chrono::duration<double>(time).count();
    const double part = SendPacerOptions().used_part;
    m_pacer->OnBytes(static_cast<uint64_t>(seconds * kSlowLink * part), m_now);
  }

  // A first prompt of all that may be held, and a second one that waits.
  StartAttempt FillWithOnePrompt() {
    Ask("/calm/", 67'500, 1);  // 60 ms
    StartAttempt first = Only<StartAttempt>();
    Ask("/calm/", 67'500, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    return first;
  }

  // Callers bring `times` what the link carries for ten seconds, while answers
  // take a tenth of it. Each is answered as soon as it was sent.
  void Overrun(int times) {
    PublishPlain(600ms);
    constexpr Duration kTime = 10s;
    constexpr size_t kSizes[] = {300, 2'000, 6'000, 12'000, 30'000};
    const Instant end = m_now + kTime;
    double asked = 0;
    RequestId id = 0;
    size_t refused = 0;
    for (double due = 0; m_now < end; Run(1ms)) {
      for (due += times * kSlowLink / 1000; asked < due;) {
        const size_t bytes = kSizes[++id % std::size(kSizes)];
        Ask(id % 3 == 0 ? "/urgent/" : "/calm/", bytes, id);
        refused += Count<Refuse>();
        asked += static_cast<double>(bytes);
      }
      m_pacer->OnBytes(125, m_now);
      m_queue.Add(125, m_now);
      for (; m_answered < m_started.size(); ++m_answered) {
        // The answer's own bytes are those above.
        m_core->OnCallerGone(m_started[m_answered], m_now);
        Collect();
      }
    }
    const double most =
        kSlowLink * std::chrono::duration<double>(kTime).count();
    CPPUNIT_ASSERT(m_queue.Longest() <= kMostHanded);
    CPPUNIT_ASSERT(m_queue.Carried() > 0.8 * most);
    CPPUNIT_ASSERT(refused > 0);
  }

  std::unique_ptr<SendPacer> m_pacer;
  SystemQueue m_queue;
  std::map<RequestId, size_t> m_bytes;
  std::vector<RequestId> m_started;
  size_t m_answered = 0;
  StartAttempt m_last_start;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CoreLinkTest);

}  // namespace
}  // namespace dotterelshift::gateway
