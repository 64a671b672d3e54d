// Guards against responses that are truncated by the entry's own exit. During a
// shutdown callers can still send requests on connections that they have kept
// open, even 4 s after the load balancer has stopped using the entry. In a
// shutdown of 8 s, a stream that needs 2 s and is accepted 5.67 s after the
// signal is not complete when the process exits at 7.56 s. So the entry must
// compare the deadline of each request with its own remaining time.

#include "dotterelshift/gateway/drain.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class DrainTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(RequestThatOutlivesTheDrainIsRefusedAsNotRun);
  CPPUNIT_TEST(RequestThatEndsBeforeTheDrainDeadlineIsAccepted);
  CPPUNIT_TEST(RequestsAreAcceptedDuringTheNoticePeriod);
  CPPUNIT_TEST(RequestIsJudgedWhenItsBodyIsComplete);
  CPPUNIT_TEST(OpenRequestsAreAnsweredAtShutdown);
  CPPUNIT_TEST(WaitingRequestIsReportedAsNotRunAtShutdown);
  CPPUNIT_TEST(FailedRequestThatWaitsIsReportedAsMayHaveRun);
  CPPUNIT_TEST(RepeatedRequestKeepsItsDeadline);
  CPPUNIT_TEST(LongDeadlineOfTheNoticePeriodEndsWithTheDrain);
  CPPUNIT_TEST(AbortedRequestsAreSettled);
  CPPUNIT_TEST(ProcessExitsBeforeItsLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestThatOutlivesTheDrainIsRefusedAsNotRun() {
    Drain();
    Advance(5670ms);
    Request("/stream/", 100);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    const Refuse refusal = Only<Refuse>();
    CPPUNIT_ASSERT(refusal.kind == ErrorKind::kDraining);
    CPPUNIT_ASSERT(RowOf(refusal.kind).ran == Ran::kNo);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  // The request's own deadline ends it in time in any case.
  void RequestThatEndsBeforeTheDrainDeadlineIsAccepted() {
    Drain();
    Advance(5670ms);
    SubmitWithTimeout(1, m_times.response_deadline - m_now);
    CPPUNIT_ASSERT(Only<StartAttempt>().time_left ==
                   m_times.response_deadline - m_now);
    SubmitWithTimeout(2, m_times.response_deadline - m_now + 1ms);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
    // The route's timeout of 4 s applies, though the caller would wait longer.
    Drain();
    Advance(m_times.response_deadline - m_now - 4s);
    SubmitWithTimeout(3, 60s);
    CPPUNIT_ASSERT(Only<StartAttempt>().time_left == 4s);
  }

  void RequestsAreAcceptedDuringTheNoticePeriod() {
    Publish();
    m_core->StartDraining(MakeDrainSchedule(m_now, kNotice, 4s));
    Advance(kNotice);
    Request("/stream/", 100);
    Only<StartAttempt>();
    Advance(1ms);
    Request("/stream/", 100, 2);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
  }

  // A long body may take until after the notice period to arrive. What counts
  // is when the entry can send it on.
  void RequestIsJudgedWhenItsBodyIsComplete() {
    Drain();
    Advance(5670ms);
    RequestInfo info = MakeRequestInfo("/stream/", 100);
    info.begun = m_times.notice_end - 1ms;
    info.timeout = 60s;
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
    // Its deadline, counted from its head, is before m_times.response_deadline.
    CPPUNIT_ASSERT(Only<StartAttempt>().time_left == info.begun + 4s - m_now);
    info.begun = m_now - 1s;
    m_core->OnRequest(2, info, m_now);
    Collect();
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
  }

  // A caller that gets an error response can react at once. One whose
  // connection is closed without a response can't tell whether its request ran.
  void OpenRequestsAreAnsweredAtShutdown() {
    Drain();
    Request("/stream/", 100, 1);
    const AttemptId streaming = Only<StartAttempt>().attempt;
    Head(streaming, 200, true);
    Request("/once/", 0, 2);
    const AttemptId running = Only<StartAttempt>().attempt;
    Advance(3s);
    m_core->AbortOpenRequests(m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Count<CancelAttempt>());
    for (const Action& action : m_last) {
      const auto* cancel = std::get_if<CancelAttempt>(&action);
      const bool known = cancel == nullptr || cancel->attempt == streaming ||
                         cancel->attempt == running;
      CPPUNIT_ASSERT(known);
    }
    CPPUNIT_ASSERT_EQUAL(RequestId{1}, Only<AbortStream>().request);
    const Refuse refusal = Only<Refuse>();
    CPPUNIT_ASSERT_EQUAL(RequestId{2}, refusal.request);
    CPPUNIT_ASSERT(refusal.kind == ErrorKind::kDrainedWhileRunning);
    CPPUNIT_ASSERT(RowOf(refusal.kind).ran == Ran::kUnknown);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    Request("/once/", 0, 3);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
  }

  // A request that waits for tokens has not run. One that failed at an endpoint
  // and waits for another may have.
  void WaitingRequestIsReportedAsNotRunAtShutdown() {
    Publish(1'000'000);
    m_core->StartDraining(MakeDrainSchedule(m_now, kNotice, 8s));
    Request("/stream/", 100, 1);
    CPPUNIT_ASSERT(m_last.empty());
    m_core->AbortOpenRequests(m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDraining);
  }

  // Its endpoint cut it, and all others are full.
  void FailedRequestThatWaitsIsReportedAsMayHaveRun() {
    Drain();
    Request("/resume/", 100, 1);
    const StartAttempt first = Only<StartAttempt>();
    Head(first.attempt, 200, true);
    Chunk(first.attempt, "id: 1\ndata: a\n\n");
    for (RequestId id = 2; id <= 12; ++id) Request("/stream/", 100, id);
    End(first.attempt, http::TransferEnd::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<AbortStream>());
    m_core->AbortOpenRequests(m_now);
    Collect();
    bool ended = false;
    const std::string outcome(RowOf(ErrorKind::kDrainedWhileRunning).name);
    for (const Decision& line : m_log_lines) {
      if (line.event != "ended") continue;
      for (const auto& [name, value] : line.inputs)
        ended |= name == "outcome" && value == outcome;
    }
    CPPUNIT_ASSERT(ended);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  // An attempt that begins late in the shutdown gets no more time than was
  // compared with the time that is left.
  void RepeatedRequestKeepsItsDeadline() {
    Drain();
    Advance(m_times.notice_end - m_now + 1ms);
    RequestInfo info = MakeRequestInfo("/safe/");
    info.timeout = m_times.response_deadline - m_now;
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
    const AttemptId first = Only<StartAttempt>().attempt;
    Advance(1s);
    End(first, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT(Only<StartAttempt>().time_left <=
                   m_times.response_deadline - m_now);
    Advance(m_times.response_deadline - m_now);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDeadlineWhileRunning);
  }

  // Requests of the notice period are taken whatever their deadline: what is
  // still open at the response deadline is ended with a response.
  void LongDeadlineOfTheNoticePeriodEndsWithTheDrain() {
    Publish();
    m_times = MakeDrainSchedule(m_now, kNotice, 5s);
    m_core->StartDraining(m_times);
    Advance(kNotice);
    Request("/once/");
    const StartAttempt start = Only<StartAttempt>();
    CPPUNIT_ASSERT(m_now + start.time_left > m_times.response_deadline);
    Advance(m_times.response_deadline - m_now);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
    m_core->AbortOpenRequests(m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDrainedWhileRunning);
  }

  // The spend of aborted requests is reported before the holdings are returned.
  void AbortedRequestsAreSettled() {
    Publish(1'000'000);
    AnswerGrantRequest(500'000, 500'000);
    m_core->StartDraining(MakeDrainSchedule(m_now, kNotice, 8s));
    Request("/stream/", 100, 1);
    Head(Only<StartAttempt>().attempt, 200, true);
    CPPUNIT_ASSERT(m_budgets->PositionOf("team", m_now).reserved > 0);
    m_core->AbortOpenRequests(m_now);
    CPPUNIT_ASSERT_EQUAL(Tokens{0},
                         m_budgets->PositionOf("team", m_now).reserved);
    Tokens spent = 0;
    for (const wire::CommandT& command : m_budgets->TakeLastCommands(m_now))
      if (const auto* report = command.body.AsReportHoldings())
        for (const auto& line : report->spends) spent += line->spent;
    CPPUNIT_ASSERT_EQUAL(Tokens{100}, spent);
  }

  // The limit is enforced from outside: a process that is still running then is
  // killed.
  void ProcessExitsBeforeItsLimit() {
    constexpr Duration kLimit = 8s;
    const DrainSchedule times = MakeDrainSchedule(m_now, kNotice, kLimit);
    CPPUNIT_ASSERT(times.notice_end < times.response_deadline);
    CPPUNIT_ASSERT(times.response_deadline < times.exit);
    CPPUNIT_ASSERT(times.exit <= m_now + kLimit - 200ms);
    const DrainSchedule short_schedule =
        MakeDrainSchedule(m_now, kNotice, 100ms);
    CPPUNIT_ASSERT(short_schedule.notice_end <=
                   short_schedule.response_deadline);
    CPPUNIT_ASSERT(short_schedule.response_deadline > m_now);
    CPPUNIT_ASSERT(short_schedule.exit > short_schedule.response_deadline);
    CPPUNIT_ASSERT(short_schedule.exit < m_now + 100ms);
  }

 private:
  static constexpr Duration kNotice = 2500ms;

  // Publishes routes with a timeout of 4 s and begins a shutdown of 8 s.
  void Drain() {
    Publish();
    m_times = MakeDrainSchedule(m_now, kNotice, 8s);
    m_core->StartDraining(m_times);
  }

  // Requests a stream with the given caller timeout.
  void SubmitWithTimeout(RequestId id, Duration timeout) {
    RequestInfo info = MakeRequestInfo("/stream/", 100);
    info.timeout = timeout;
    m_core->OnRequest(id, info, m_now);
    Collect();
  }

  DrainSchedule m_times;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace dotterelshift::gateway
