#include "dotterelshift/gateway/core.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for count, find, sort

#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

class CoreTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreTest);
  CPPUNIT_TEST(UnknownRoutesAndKeysAreRefused);
  CPPUNIT_TEST(WithoutRoutesRequestsAreRefusedAsNotReady);
  CPPUNIT_TEST(CompleteResponseIsRelayed);
  CPPUNIT_TEST(ResponseToAnotherRequestIsNotRelayed);
  CPPUNIT_TEST(AtMostOnceRequestIsRetriedOnlyIfItDidNotRun);
  CPPUNIT_TEST(IdempotentRequestIsRetriedWithinItsAttempts);
  CPPUNIT_TEST(DecisionsOnRetriesAreLogged);
  CPPUNIT_TEST(GrantedRetryThatReachesNoEndpointIsNotPaidAgain);
  CPPUNIT_TEST(AvoidedEndpointsAreLoggedAndCounted);
  CPPUNIT_TEST(RefusalAfterAFailedRunDoesNotClaimNotRun);
  CPPUNIT_TEST(BrokenStreamResumesAfterItsLastCompleteEvent);
  CPPUNIT_TEST(NonResumableStreamIsAborted);
  CPPUNIT_TEST(StreamThatEndsWithItsConnectionBeforeAnEventIsBroken);
  CPPUNIT_TEST(SuspectContentIsReportedAndQuarantined);
  CPPUNIT_TEST(ACallerThatLeavesCancelsItsAttempt);
  CPPUNIT_TEST(CallerGoneLogLineNamesTheStage);
  CPPUNIT_TEST(UnsentRequestWithASlotMovesOffALeavingEndpoint);
  CPPUNIT_TEST(UnsentAttemptIsWithdrawnFromALeavingEndpoint);
  CPPUNIT_TEST(SentAttemptStaysAtALeavingEndpoint);
  CPPUNIT_TEST(WithdrawnAttemptWithoutAnotherEndpointIsRefusedAsNotRun);
  CPPUNIT_TEST(TheTimeoutEndsARequestAtOnce);
  CPPUNIT_TEST(TimeoutCountsFromTheRequestHead);
  CPPUNIT_TEST(WithoutTokensARequestWaitsThenIsRefused);
  CPPUNIT_TEST(WhereAGrantIsLikelyARequestWaitsLonger);
  CPPUNIT_TEST(FullFleetRefusesAtOnceWithJitteredRetryAfter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnknownRoutesAndKeysAreRefused() {
    Publish();
    Request("/none/");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kUnknownPath);
    RequestInfo info = MakeRequestInfo("/safe/");
    info.key = "stolen";
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kUnauthorized);
  }

  void WithoutRoutesRequestsAreRefusedAsNotReady() {
    Request("/none/");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kNotReady);
  }

  void CompleteResponseIsRelayed() {
    Publish();
    Request("/once/");
    const StartAttempt start = Only<StartAttempt>();
    CPPUNIT_ASSERT_EQUAL(std::string("team"), start.team);
    CPPUNIT_ASSERT(start.time_left == 4s);
    Head(start.attempt, 200);
    CPPUNIT_ASSERT(m_last.empty());
    End(start.attempt, http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<RelayResponse>().attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void ResponseToAnotherRequestIsNotRelayed() {
    Publish();
    Request("/once/");
    const StartAttempt start = Only<StartAttempt>();
    Head(start.attempt, 200, false, "somebody else's");
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kEndpointFailed);
  }

  void AtMostOnceRequestIsRetriedOnlyIfItDidNotRun() {
    Publish();
    Request("/once/");
    const StartAttempt first = Only<StartAttempt>();
    Head(first.attempt, 503, false, "caller-1", true);
    End(first.attempt, http::TransferEnd::kWhole);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != first.endpoint.id);
    End(second.attempt, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kEndpointFailed);
  }

  void IdempotentRequestIsRetriedWithinItsAttempts() {
    Publish();
    Request("/safe/");
    const StartAttempt first = Only<StartAttempt>();
    Head(first.attempt, 500);
    End(first.attempt, http::TransferEnd::kWhole);
    const StartAttempt second = Only<StartAttempt>();
    Head(second.attempt, 500);
    End(second.attempt, http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(second.attempt, Only<RelayResponse>().attempt);
  }

  void DecisionsOnRetriesAreLogged() {
    Publish();
    FailFirstAttempt(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountLines("retry_granted"));
    RetryShareOptions none;
    none.ratio = 0;
    none.slack = 0;
    *m_retries = RetryShare(none);
    FailFirstAttempt(2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountLines("retry_denied"));
    for (const Decision& line : m_log_lines) {
      if (line.event != "retry_denied") continue;
      CPPUNIT_ASSERT_EQUAL(std::string("caller-1"), line.caller_id);
      CPPUNIT_ASSERT_EQUAL(std::string_view("service"),
                           line.inputs.front().first);
      CPPUNIT_ASSERT_EQUAL(std::string("plain"), line.inputs.front().second);
    }
  }

  void GrantedRetryThatReachesNoEndpointIsNotPaidAgain() {
    Publish();
    Request("/safe/");
    End(Only<StartAttempt>().attempt, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountLines("retry_granted"));
    *m_retries = RetryShare(RetryShareOptions{.ratio = 0, .slack = 0});
    End(Only<StartAttempt>().attempt, http::TransferEnd::kNotSent);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountLines("retry_denied"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  void AvoidedEndpointsAreLoggedAndCounted() {
    Publish();
    Request("/safe/");
    End(Only<StartAttempt>().attempt, http::TransferEnd::kNotSent);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountLines("endpoint_avoided"));
    End(Only<StartAttempt>().attempt, http::TransferEnd::kNotSent);
    for (const Decision& line : m_log_lines) {
      if (line.event != "endpoint_avoided") continue;
      CPPUNIT_ASSERT_EQUAL(std::string("3"), InputOf(line, "usable"));
      CPPUNIT_ASSERT_EQUAL(std::string("2"), InputOf(line, "avoided"));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_load->CountByService(m_now).at("plain").avoided);
  }

  // The request ran once and was cut, then another endpoint refused it. The
  // caller must not be told that it did not run.
  void RefusalAfterAFailedRunDoesNotClaimNotRun() {
    Publish();
    Request("/safe/");
    End(Only<StartAttempt>().attempt, http::TransferEnd::kFailedBeforeHead);
    while (Count<StartAttempt>() > 0) {
      const StartAttempt next = Only<StartAttempt>();
      Head(next.attempt, 503, false, "caller-1", true);
      End(next.attempt, http::TransferEnd::kWhole);
    }
    CPPUNIT_ASSERT(RowOf(Only<Refuse>().kind).ran != Ran::kNo);
  }

  void BrokenStreamResumesAfterItsLastCompleteEvent() {
    Publish();
    Request("/resume/", 100);
    const StartAttempt first = Only<StartAttempt>();
    Head(first.attempt, 200, true);
    CPPUNIT_ASSERT_EQUAL(first.attempt, Only<RelayHead>().attempt);
    Chunk(first.attempt, "id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                         Only<RelayChunk>().bytes);
    End(first.attempt, http::TransferEnd::kCut);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), second.last_event_id);
    Head(second.attempt, 200, true);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<RelayHead>());
    Chunk(second.attempt, "id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         Only<RelayChunk>().bytes);
    End(second.attempt, http::TransferEnd::kWhole);
    Only<FinishStream>();
  }

  void NonResumableStreamIsAborted() {
    Publish();
    Request("/stream/", 100);
    const StartAttempt start = Only<StartAttempt>();
    Head(start.attempt, 200, true);
    Chunk(start.attempt, "id: 1\ndata: a\n\n");
    End(start.attempt, http::TransferEnd::kCut);
    Only<AbortStream>();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
  }

  // Its end is no evidence that it is complete.
  void StreamThatEndsWithItsConnectionBeforeAnEventIsBroken() {
    Publish();
    for (const char* received : {"", "id: 1\nda"}) {
      Request("/stream/", 100);
      const StartAttempt start = Only<StartAttempt>();
      Head(start.attempt, 200, true);
      if (*received != 0) Chunk(start.attempt, received);
      End(start.attempt, http::TransferEnd::kWhole);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<FinishStream>());
      Only<AbortStream>();
    }
  }

  void SuspectContentIsReportedAndQuarantined() {
    Publish();
    Request("/once/");
    End(Only<StartAttempt>().attempt, http::TransferEnd::kFailedBeforeHead);
    const auto reports = m_core->TakeSuspectReports();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reports.size());
    CPPUNIT_ASSERT(!reports[0].endpoint.empty() && reports[0].alone);
    // A complete response clears it.
    Request("/once/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Head(attempt, 200);
    End(attempt, http::TransferEnd::kWhole);
    const auto cleared = m_core->TakeSuspectReports();
    CPPUNIT_ASSERT(cleared.size() == 1 && cleared[0].endpoint.empty());
    wire::SuspectAnswerT held_back;
    held_back.quarantined_until_ms = 1;
    m_blocklist.OnEntry(held_back, m_now);
    Request("/once/");
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kQuarantined);
  }

  void ACallerThatLeavesCancelsItsAttempt() {
    Publish();
    Request("/stream/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    m_core->OnCallerGone(kRequest, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, m_load->Running(0));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
  }

  void CallerGoneLogLineNamesTheStage() {
    Publish();
    Request("/stream/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Advance(70ms);
    m_core->OnCallerGone(kRequest, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_log_lines.size());
    const Decision& line = m_log_lines.front();
    CPPUNIT_ASSERT_EQUAL(attempt, line.attempt);
    const auto says = [&line](std::string_view name, const std::string& value) {
      return std::ranges::find(line.inputs, std::pair(name, value)) !=
             line.inputs.end();
    };
    CPPUNIT_ASSERT(says("outcome", "caller_gone"));
    CPPUNIT_ASSERT(says("stage", "running"));
    CPPUNIT_ASSERT(says("sent_ms_ago", "70"));
    CPPUNIT_ASSERT(says("left_of_timeout_ms", "3930"));
  }

  void Leave(const EndpointId& id, const ServiceName& service) {
    Announce(id, service, true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Collect();
  }
  void Withdrawn(AttemptId attempt) {
    m_core->OnWithdrawn(attempt, m_now);
    Collect();
  }

  // Two prompts are being prefilled, and behind each of them one more request
  // has a slot reserved.
  void UnsentRequestWithASlotMovesOffALeavingEndpoint() {
    Publish();
    for (RequestId id = 1; id <= 4; ++id) {
      Request("/stream/", 10'000, id);
      CPPUNIT_ASSERT_EQUAL(size_t{id <= 2 ? 1U : 0U}, m_last.size());
    }
    Leave("l1", "llm");
    size_t sent = 0;
    for (Duration passed = 0s; passed < 1s; passed += 1ms) {
      for (const Action& action : m_last) {
        const auto* start = std::get_if<StartAttempt>(&action);
        if (start == nullptr) continue;
        CPPUNIT_ASSERT_EQUAL(std::string("l2"), start->endpoint.id);
        ++sent;
      }
      Advance(1ms);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, sent);
  }

  void UnsentAttemptIsWithdrawnFromALeavingEndpoint() {
    Publish();
    Request("/once/");
    const StartAttempt first = Only<StartAttempt>();
    Leave(first.endpoint.id, "plain");
    CPPUNIT_ASSERT_EQUAL(first.attempt, Only<WithdrawAttempt>().attempt);
    Withdrawn(first.attempt);
    const StartAttempt second = Only<StartAttempt>();
    CPPUNIT_ASSERT(second.endpoint.id != first.endpoint.id);
    // A new incarnation of the second one: the incarnation that the attempt was
    // sent to is gone.
    Announce(second.endpoint.id, "plain", false, 1);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(second.attempt, Only<WithdrawAttempt>().attempt);
  }

  // The connection may have taken some of it, so that it may run there. It must
  // not run a second time elsewhere.
  void SentAttemptStaysAtALeavingEndpoint() {
    Publish();
    Request("/once/");
    const StartAttempt start = Only<StartAttempt>();
    Leave(start.endpoint.id, "plain");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    Head(start.attempt, 200);
    End(start.attempt, http::TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<RelayResponse>().attempt);
    // For a stream that has begun no withdrawal is requested.
    Request("/stream/", 100);
    const StartAttempt stream = Only<StartAttempt>();
    Head(stream.attempt, 200, true);
    Leave(stream.endpoint.id, "llm");
    CPPUNIT_ASSERT(m_last.empty());
  }

  void WithdrawnAttemptWithoutAnotherEndpointIsRefusedAsNotRun() {
    Publish();
    Request("/once/");
    const StartAttempt start = Only<StartAttempt>();
    for (const char* id : {"p1", "p2", "p3"})
      if (start.endpoint.id != id) Leave(id, "plain");
    CPPUNIT_ASSERT(m_last.empty());
    Leave(start.endpoint.id, "plain");
    Withdrawn(Only<WithdrawAttempt>().attempt);
    Advance(Duration(600ms) / 8);
    const Refuse refuse = Only<Refuse>();
    CPPUNIT_ASSERT(refuse.kind == ErrorKind::kNoEndpoint);
    CPPUNIT_ASSERT(RowOf(refuse.kind).ran == Ran::kNo);
  }

  void TheTimeoutEndsARequestAtOnce() {
    Publish();
    Request("/once/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Advance(4s);
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDeadlineWhileRunning);
  }

  // Over a saturated link a long prompt takes seconds to arrive. If it were
  // sent on with the caller's full timeout, it would run on after the caller
  // has left.
  void TimeoutCountsFromTheRequestHead() {
    Publish();
    RequestInfo info = MakeRequestInfo("/stream/", 100);
    info.begun = m_now - 3s;
    m_core->OnRequest(kRequest, info, m_now);
    Collect();
    CPPUNIT_ASSERT(Only<StartAttempt>().time_left == 1s);
    info.begun = m_now - 5s;
    m_core->OnRequest(2, info, m_now);
    Advance(0s);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kOverloaded);
  }

  void WithoutTokensARequestWaitsThenIsRefused() {
    Publish(1'000'000);
    Request("/stream/", 100);
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_budgets->TakeBorrowRequests().size());
    wire::TokenLoanT loan;
    loan.budget = "team";
    loan.tokens = 200;
    m_budgets->OnLoan(loan, m_now);
    m_core->OnBudgetChanged(m_now);
    Collect();
    Only<StartAttempt>();
    Request("/stream/", 100, 2);
    Advance(CoreOptions().budget_wait);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kBudgetUnavailable);
  }

  // On a saturated link control's answer is delayed behind the prompts of a
  // busy caller. A request refused meanwhile would be retried and add to that
  // load.
  void WhereAGrantIsLikelyARequestWaitsLonger() {
    Publish(1'000'000);
    m_budgets->SetConnected(true, m_now);
    AnswerGrantRequest(0, 1'000'000);
    Request("/stream/", 100);
    Advance(CoreOptions().budget_wait);
    CPPUNIT_ASSERT(m_last.empty());
    AnswerGrantRequest(200, 999'800);
    Collect();
    Only<StartAttempt>();
    Request("/stream/", 100, 2);
    Advance(Duration(4s) / CoreOptions().grant_wait_divisor);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kBudgetUnavailable);
    // Without a connection to control only the other entries can lend tokens.
    m_budgets->SetConnected(false, m_now);
    Request("/stream/", 100, 3);
    Advance(CoreOptions().budget_wait);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kBudgetUnavailable);
  }

  // Far more long prompts than two engines can prefill within the callers'
  // timeout: requests that would be late are refused as not run, with different
  // retry delays.
  void FullFleetRefusesAtOnceWithJitteredRetryAfter() {
    Publish();
    std::vector<Duration> returns;
    for (RequestId id = 1; id <= 60; ++id) {
      Request("/stream/", 20'000, id);
      if (Count<Refuse>() == 0) continue;
      const Refuse refuse = Only<Refuse>();
      CPPUNIT_ASSERT(refuse.kind == ErrorKind::kOverloaded);
      CPPUNIT_ASSERT(refuse.retry_after > 0s);
      returns.push_back(refuse.retry_after);
    }
    CPPUNIT_ASSERT(returns.size() > 40);
    std::sort(returns.begin(), returns.end());
    CPPUNIT_ASSERT(returns.front() < returns.back());
  }

 private:
  void FailFirstAttempt(RequestId id) {
    Request("/safe/", 0, id);
    const StartAttempt first = Only<StartAttempt>();
    Head(first.attempt, 500);
    End(first.attempt, http::TransferEnd::kWhole);
  }
  size_t CountLines(std::string_view event) const {
    return std::ranges::count(m_log_lines, event, &Decision::event);
  }
  static std::string InputOf(const Decision& line, std::string_view name) {
    for (const auto& [input, value] : line.inputs)
      if (input == name) return value;
    return {};
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);

}  // namespace
}  // namespace dotterelshift::gateway
