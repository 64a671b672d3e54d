#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max
#include <map>        // for map
#include <set>        // for set

#include "dotterelshift/gateway/core.h"
#include "dotterelshift/gateway/core_testing.h"          // for CoreFixture
#include "dotterelshift/gateway/system_queue_testing.h"  // for SystemQueue

namespace dotterelshift::gateway {
namespace {

constexpr double kSlowLink = 1'250'000;      // 10 Mbit/s
constexpr double kFastLink = 1'250'000'000;  // 10 Gbit/s
// Fraction of the link's rate that is available to payload bytes.
constexpr double kPayloadFraction = 0.92;
constexpr double kPayloadRate = kSlowLink * kPayloadFraction;
constexpr size_t kPrompt = 6'000;
// Maximum backlog in the system's send queue. Bounded, as bytes in that queue
// are still sent after a request has been cancelled.
constexpr Duration kMaxHandedOver = 80ms;

// A core whose host has a link of 10 Mbit/s. Routes /urgent/ and /calm/ lead to
// the plain service. What the core sends goes into a SystemQueue.
class CoreLinkTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreLinkTest);
  CPPUNIT_TEST(NothingIsSentAfterTheCallerLeaves);
  CPPUNIT_TEST(ThreefoldOverloadUsesTheLinkWithoutABacklog);
  CPPUNIT_TEST(TenfoldOverloadUsesTheLinkWithoutABacklog);
  CPPUNIT_TEST(RequestsAreSentByPriorityThenTarget);
  CPPUNIT_TEST(UrgentSmallRequestOvertakesLongPrompts);
  CPPUNIT_TEST(RetryWaitsForTheLinkAndItsIdleTimeoutStartsWhenSent);
  CPPUNIT_TEST(RequestThatWouldWaitTooLongIsRefusedAtOnce);
  CPPUNIT_TEST(OvertakenRequestIsRefusedOnceItWouldBeLate);
  CPPUNIT_TEST(RequestThatRanIsNotReportedAsNotRun);
  CPPUNIT_TEST(UnsentAttemptReleasesItsLinkCapacity);
  CPPUNIT_TEST(WithdrawnAttemptReleasesItsLinkCapacity);
  CPPUNIT_TEST(RequestThatCannotBeSentBeforeItsDeadlineIsRefusedAtOnce);
  CPPUNIT_TEST(ShutdownRefusesQueuedRequestsAsNotRun);
  CPPUNIT_TEST(QueuedRequestReservesNoSlot);
  CPPUNIT_TEST(ReservedRequestWaitsForTheLinkAndMayChangeEndpoint);
  CPPUNIT_TEST(NewRoutesKeepQueuedRequests);
  CPPUNIT_TEST(UnknownOrFastLinkSendsAllAtOnce);
  CPPUNIT_TEST(LateTimerDoesNotSendExpiredRequests);
  CPPUNIT_TEST(RetryRefusedByTheLinkUsesNoRetryBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    m_started.clear();
    m_bytes.clear();
    m_queue = SystemQueue(kPayloadRate);
    MakePacedCore(kSlowLink);
  }

  // Guards against prompts that are still sent from the system's queue for a
  // second after their callers have left.
  void NothingIsSentAfterTheCallerLeaves() {
    PublishPlain(4s);
    constexpr RequestId kCallers = 200;  // 1 s of the link
    for (RequestId id = 1; id <= kCallers; ++id)
      SubmitRequest("/calm/", kPrompt, id);
    Run(20ms);
    CPPUNIT_ASSERT(m_queue.MaxDelay() <= kMaxHandedOver);
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
    CPPUNIT_ASSERT(m_queue.MaxDelay() <= kMaxHandedOver);
  }

  // Guards against a system queue that grows with the demand, and against a
  // link left idle to avoid one.
  void ThreefoldOverloadUsesTheLinkWithoutABacklog() { OverloadLink(3); }
  void TenfoldOverloadUsesTheLinkWithoutABacklog() { OverloadLink(10); }

  // Guards against sending in the order of arrival, which delays urgent
  // requests.
  void RequestsAreSentByPriorityThenTarget() {
    PublishPlain(600ms);
    FillLink(100ms);
    SubmitRequest("/calm/", kPrompt, 1);
    SubmitRequest("/calm/", kPrompt, 2, 50ms);
    SubmitRequest("/urgent/", kPrompt, 3);
    SubmitRequest("/urgent/", kPrompt, 4, 50ms);
    CPPUNIT_ASSERT(m_started.empty());
    Run(200ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{4, 3, 2, 1}));
  }

  // Guards against small requests that miss their target behind long prompts
  // with a later target.
  void UrgentSmallRequestOvertakesLongPrompts() {
    PublishPlain(4s, 600ms);
    FillLink(60ms);
    for (RequestId id = 1; id <= 20; ++id)
      SubmitRequest("/calm/", 5 * kPrompt, id);
    SubmitRequest("/soon/", 300, 21);
    Run(10ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{21}));
  }

  // Guards against retries that bypass the link queue, and against an idle
  // timeout that includes the time for which the request was queued here.
  void RetryWaitsForTheLinkAndItsIdleTimeoutStartsWhenSent() {
    Publish();
    SubmitRequest("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(150ms);
    m_core->OnEnd(first.attempt, http::TransferEnd::kFailedBeforeHead, m_now);
    Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    Run(140ms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
    // The second attempt has no retry left, so that the idle timeout does not
    // apply to it, only the deadline.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
    // The first attempt of another request is queued and then gets its full
    // idle timeout.
    FillLink(150ms);
    SubmitRequest("/safe/", kPrompt, 2);
    Run(140ms);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_started.size());
    Run(CoreOptions().response_idle_timeout - 100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_started.size());
    Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, m_started.size());
  }

  // Guards against requests that are queued until no entry can serve them in
  // time, and against simultaneous retries of the refused callers.
  void RequestThatWouldWaitTooLongIsRefusedAtOnce() {
    PublishPlain(600ms);
    FillLink(400ms);
    std::set<Duration> returns;
    for (RequestId id = 1; id <= 5; ++id) {
      SubmitRequest("/urgent/", kPrompt, id);
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

  // Guards against less urgent requests that stay queued while urgent ones
  // overtake them, until they are late.
  void OvertakenRequestIsRefusedOnceItWouldBeLate() {
    PublishPlain(600ms);
    FillLink(200ms);
    SubmitRequest("/calm/", kPrompt, 1, 50ms);
    constexpr RequestId kUrgent = 25;  // 133 ms
    for (RequestId id = 2; id <= kUrgent + 1; ++id) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<Refuse>());
      SubmitRequest("/urgent/", kPrompt, id);
    }
    CPPUNIT_ASSERT(m_core->NextTimer() <= m_now);
    Advance(0s);
    CPPUNIT_ASSERT_EQUAL(RequestId{1}, Only<Refuse>().request);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kOverloaded);
    Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{kUrgent}, m_started.size());
  }

  // Guards against reporting a request as not run after an endpoint may have
  // started it.
  void RequestThatRanIsNotReportedAsNotRun() {
    Publish();
    SubmitRequest("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(1s);
    End(first.attempt, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kEndpointFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  // Guards against link capacity that stays reserved for prompts that were not
  // handed to any connection.
  void UnsentAttemptReleasesItsLinkCapacity() {
    PublishPlain(600ms);
    const StartAttempt first = FillWithOnePrompt();
    m_core->OnEnd(first.attempt, http::TransferEnd::kNotSent, m_now);
    Take();
    // The next attempt of the same request is sent before the second request.
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{1, 1}));
  }

  void WithdrawnAttemptReleasesItsLinkCapacity() {
    PublishPlain(600ms);
    const StartAttempt first = FillWithOnePrompt();
    // The caller leaves; after that the attempt is reported as not handed to a
    // connection.
    m_core->OnCallerGone(1, m_now);
    Take();
    Run(0ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    m_core->OnWithdrawn(first.attempt, m_now);
    Run(0ms);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_started.size());
  }

  // Guards against queueing a request that can't be sent before its caller's
  // timeout.
  void RequestThatCannotBeSentBeforeItsDeadlineIsRefusedAtOnce() {
    PublishPlain(4s);
    FillLink(500ms);
    RequestInfo info = MakeRequestInfo("/calm/");
    info.timeout = 100ms;
    info.onward_bytes = kPrompt;
    m_core->OnRequest(1, info, m_now);
    Collect();
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran == Ran::kNo);
    Run(1s);
    CPPUNIT_ASSERT(m_started.empty());
  }

  // Guards against requests that are sent after the shutdown has refused them.
  void ShutdownRefusesQueuedRequestsAsNotRun() {
    PublishPlain(600ms);
    FillLink(100ms);
    SubmitRequest("/calm/", kPrompt, 1);
    m_core->AbortOpenRequests(m_now);
    Collect();
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
    Run(1s);
    CPPUNIT_ASSERT(m_started.empty());
    CPPUNIT_ASSERT(m_core->NextTimer() == Instant::max());
  }

  // Guards against sending a queued request to an endpoint that left meanwhile,
  // and against a reservation that diverts other requests while it is queued.
  void QueuedRequestReservesNoSlot() {
    PublishPlain(600ms);
    FillLink(100ms);
    SubmitRequest("/calm/", kPrompt, 1);
    CPPUNIT_ASSERT(!m_load->HasLoadUpdates());
    for (const char* id : {"p1", "p3"}) Announce(id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), m_last_start.endpoint.id);
  }

  // Guards against a prompt that is sent at its prefill start although the link
  // has a backlog, or to an endpoint that has left since.
  void ReservedRequestWaitsForTheLinkAndMayChangeEndpoint() {
    Publish();
    for (RequestId id = 1; id <= 4; ++id) SubmitModelRequest(10'000, id);
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

  // Guards against losing a queued request when its route is removed.
  void NewRoutesKeepQueuedRequests() {
    PublishPlain(600ms);
    FillLink(100ms);
    SubmitRequest("/calm/", kPrompt, 1);
    Routes routes;
    routes.version = 2;
    routes.routes = {RouteOf("/other/", RouteKind::kOnce, "plain", 1)};
    routes.services = {{"plain", 10, std::nullopt}};
    m_core->OnRoutes(std::make_shared<const RouteTable>(std::move(routes)), 1,
                     m_now);
    Run(100ms);
    CPPUNIT_ASSERT(m_started == (std::vector<RequestId>{1}));
  }

  // Guards against queueing where the link is not the bottleneck.
  void UnknownOrFastLinkSendsAllAtOnce() {
    for (const double rate : {0.0, kFastLink}) {
      MakePacedCore(rate);
      PublishPlain(600ms);
      m_started.clear();
      m_pacer->OnBytes(4 * kPrompt, m_now);
      for (RequestId id = 1; id <= 200; ++id)
        SubmitRequest("/calm/", kPrompt, id);
      CPPUNIT_ASSERT_EQUAL(size_t{200}, m_started.size());
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, m_core->WaitingForLink().refused);
    }
  }

  // Guards against a late turn of the event loop (a throttled processor stalls
  // it for 88 ms) that sends an expired request, which is then reported as one
  // that may have run.
  void LateTimerDoesNotSendExpiredRequests() {
    PublishPlain(4s);
    FillLink(100ms);
    RequestInfo info = MakeRequestInfo("/calm/");
    info.timeout = 150ms;
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

  // Guards against a retry that the outbound link refuses at once, but that
  // costs retry budget and replaces the endpoint's own error response.
  void RetryRefusedByTheLinkUsesNoRetryBudget() {
    Publish();
    SubmitRequest("/safe/", kPrompt, 1);
    const StartAttempt first = Only<StartAttempt>();
    FillLink(1s);
    ResponseInfo response_info;
    response_info.has_proof = true;
    response_info.echoed_id = MakeRequestInfo("/safe/").caller_id;
    m_core->OnHead(first.attempt, 500, response_info, m_now);
    m_core->OnEnd(first.attempt, http::TransferEnd::kWhole, m_now);
    Take();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<Refuse>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<RelayResponse>());
  }

 private:
  void MakePacedCore(double bytes_per_second) {
    SendPacerOptions options;
    options.bytes_per_second = bytes_per_second;
    m_pacer = std::make_unique<SendPacer>(options);
    m_core = MakeCore(CoreOptions(), Parts(m_pacer.get()));
  }

  // Two routes with the given target, and /soon/ with its own target.
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

  // The head of the request was received `ago` before now.
  void SubmitRequest(const std::string& path, size_t bytes, RequestId id,
                     Duration ago = 0s) {
    RequestInfo info = MakeRequestInfo(path);
    info.onward_bytes = bytes;
    info.begun = m_now - ago;
    m_bytes[id] = bytes;
    m_core->OnRequest(id, info, m_now);
    Take();
  }
  void SubmitModelRequest(Tokens tokens, RequestId id) {
    RequestInfo info = MakeRequestInfo("/stream/", tokens);
    info.onward_bytes = kPrompt;
    m_bytes[id] = kPrompt;
    m_core->OnRequest(id, info, m_now);
    Take();
  }

  // Adds the requests that the core starts to the system's queue.
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

  // Advances the clock and runs the core's timers on time.
  void Run(Duration time) {
    const Instant end = m_now + time;
    for (;;) {
      for (int turns = 0; m_core->NextTimer() <= m_now; ++turns) {
        CPPUNIT_ASSERT(turns < 1000);
        m_core->OnTimer(m_now);
        Take();
      }
      m_queue.Transmit(m_now);
      if (m_now >= end) return;
      m_now = std::min(end, m_core->NextTimer());
    }
  }

  // Responses and frames occupy the link for this time.
  void FillLink(Duration time) {
    const double seconds = std::chrono::duration<double>(time).count();
    const double fraction = SendPacerOptions().used_fraction;
    m_pacer->OnBytes(static_cast<uint64_t>(seconds * kSlowLink * fraction),
                     m_now);
  }

  // Sends a first prompt that takes all of the permitted backlog, and queues a
  // second one.
  StartAttempt FillWithOnePrompt() {
    SubmitRequest("/calm/", 67'500, 1);  // 60 ms
    StartAttempt first = Only<StartAttempt>();
    SubmitRequest("/calm/", 67'500, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_started.size());
    return first;
  }

  // For ten seconds callers send `times` what the link can transmit, while
  // responses take a tenth of it. Each request ends as soon as it is sent.
  void OverloadLink(int times) {
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
        SubmitRequest(id % 3 == 0 ? "/urgent/" : "/calm/", bytes, id);
        refused += Count<Refuse>();
        asked += static_cast<double>(bytes);
      }
      m_pacer->OnBytes(125, m_now);
      m_queue.Add(125, m_now);
      for (; m_answered < m_started.size(); ++m_answered) {
        // The bytes of the responses are counted above.
        m_core->OnCallerGone(m_started[m_answered], m_now);
        Collect();
      }
    }
    const double maximum =
        kSlowLink * std::chrono::duration<double>(kTime).count();
    CPPUNIT_ASSERT(m_queue.MaxDelay() <= kMaxHandedOver);
    CPPUNIT_ASSERT(m_queue.Transmitted() > 0.8 * maximum);
    CPPUNIT_ASSERT(refused > 0);
  }

  std::unique_ptr<SendPacer> m_pacer;
  SystemQueue m_queue{kPayloadRate};
  std::map<RequestId, size_t> m_bytes;
  std::vector<RequestId> m_started;
  size_t m_answered = 0;
  StartAttempt m_last_start;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CoreLinkTest);

}  // namespace
}  // namespace dotterelshift::gateway
