// A sound endpoint may fall silent for a second or so and go on. Guards against
// requests that are ended because their endpoint was silent.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture

namespace dotterelshift::gateway {
namespace {

using http::TransferEnd;

class CoreSilenceTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreSilenceTest);
  CPPUNIT_TEST(SilentAttemptIsKeptIfNoRetryIsLeft);
  CPPUNIT_TEST(SilentAttemptIsKeptIfNoOtherEndpointIsUsable);
  CPPUNIT_TEST(SilentAttemptIsKeptIfTheLinkIsFull);
  CPPUNIT_TEST(SilentStreamGoesOnAfterItsPause);
  CPPUNIT_TEST(SilentAttemptIsGivenUpOnceAnotherEndpointIsUsable);
  CPPUNIT_TEST(SilentAttemptIsCancelledBeforeTheNextIsSent);
  CPPUNIT_TEST(KeptAttemptEndsAtItsDeadline);
  CPPUNIT_TEST(KeptAttemptIsLoggedOnceAndTakesNoRetry);
  CPPUNIT_TEST(UnacknowledgedAttemptIsKeptIfNoRetryIsLeft);
  CPPUNIT_TEST(SilenceIsNoCrash);
  CPPUNIT_TEST(OneSilenceIsOneFailureOfItsEndpoint);
  CPPUNIT_TEST(KeptSilenceSendsNewRequestsElsewhere);
  CPPUNIT_TEST(AttemptThatItsCallerHoldsUpIsNotSilent);
  CPPUNIT_TEST(SilenceOfTheOnlyEndpointLeadsToNoRelay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CoreFixture::setUp();
    Publish();
  }

  void SilentAttemptIsKeptIfNoRetryIsLeft() {
    DenyRetries();
    Request("/safe/");
    ExpectItGoesOn(Only<StartAttempt>().attempt);
  }

  void SilentAttemptIsKeptIfNoOtherEndpointIsUsable() {
    Request("/safe/");
    const StartAttempt start = Only<StartAttempt>();
    LeaveAllBut(start.endpoint.id);
    ExpectItGoesOn(start.attempt);
  }

  void SilentAttemptIsKeptIfTheLinkIsFull() {
    SendPacerOptions options;
    options.bytes_per_second = 1'000'000;
    SendPacer pacer(options);
    m_core = MakeCore(CoreOptions(), Parts(&pacer));
    Publish();
    Request("/safe/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    m_now += CoreOptions().response_idle_timeout;
    pacer.OnBytes(10'000'000, m_now);
    Advance(0s);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    Finish(attempt);
  }

  void SilentStreamGoesOnAfterItsPause() {
    DenyRetries();
    Request("/resume/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Head(attempt, 200, true);
    Chunk(attempt, "id: 1\ndata: a\n\n");
    StayQuiet(2s);
    Chunk(attempt, "id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"),
                         Only<RelayChunk>().bytes);
    End(attempt, TransferEnd::kWhole);
    Only<FinishStream>();
  }

  void SilentAttemptIsGivenUpOnceAnotherEndpointIsUsable() {
    Request("/safe/");
    const StartAttempt first = Only<StartAttempt>();
    LeaveAllBut(first.endpoint.id);
    StayQuiet(2s);
    Announce("p4", "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
    Advance(300ms);
    CPPUNIT_ASSERT_EQUAL(first.attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(EndpointId("p4"), Only<StartAttempt>().endpoint.id);
  }

  // Two endpoints must not run a request that is resumed at the same time.
  void SilentAttemptIsCancelledBeforeTheNextIsSent() {
    Request("/resume/", 100);
    const AttemptId first = Only<StartAttempt>().attempt;
    Head(first, 200, true);
    Chunk(first, "id: 1\ndata: a\n\n");
    Advance(CoreOptions().response_idle_timeout);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_last.size());
    CPPUNIT_ASSERT(std::holds_alternative<CancelAttempt>(m_last.front()));
    CPPUNIT_ASSERT_EQUAL(first, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Only<StartAttempt>().last_event_id);
  }

  void KeptAttemptEndsAtItsDeadline() {
    DenyRetries();
    Request("/safe/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    StayQuiet(3900ms);
    Advance(100ms);
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT(Only<Refuse>().kind == ErrorKind::kDeadlineWhileRunning);
  }

  void KeptAttemptIsLoggedOnceAndTakesNoRetry() {
    DenyRetries();
    Request("/safe/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    StayQuiet(3s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_kept_lines);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_denied_lines);
    for (const RetryUse& use : m_retries->UseByService(m_now)) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, use.denied_total);
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, use.granted_total);
    }
    Finish(attempt);
  }

  // The path is in doubt, and a relay is offered.
  void UnacknowledgedAttemptIsKeptIfNoRetryIsLeft() {
    EndpointPaths paths(EndpointPathsOptions{"dc"});
    m_core = MakeCore(CoreOptions(), Parts(nullptr, &paths));
    Publish();
    paths.OnRelay({"other", "dc", "10.0.0.2:80", "token", {}});
    DenyRetries();
    std::vector<AttemptId> attempts;
    for (RequestId id = 1; id <= 3; ++id) {
      Request("/safe/", 0, id);
      attempts.push_back(Only<StartAttempt>().attempt);
    }
    Advance(250ms);
    size_t cancelled = 0;
    for (const AttemptId attempt : attempts) {
      m_core->OnUnacknowledged(attempt, m_now);
      Collect();
      cancelled += Count<CancelAttempt>();
    }
    CPPUNIT_ASSERT(!paths.RelayedEndpoints().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, cancelled);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, m_core->OpenRequests());
    Finish(attempts.front());
  }

  void SilenceIsNoCrash() {
    Request("/safe/");
    const StartAttempt first = Only<StartAttempt>();
    Advance(CoreOptions().response_idle_timeout);
    Finish(Only<StartAttempt>().attempt);
    CPPUNIT_ASSERT(m_core->TakeSuspectReports().empty());
    CPPUNIT_ASSERT(m_core->NextTimer() == Instant::max());
    CPPUNIT_ASSERT(!m_load->IsLeaving(KeyOf(first.endpoint)));
  }

  // Six requests wait there. The endpoint is avoided no longer than after one
  // failure too many.
  void OneSilenceIsOneFailureOfItsEndpoint() {
    Request("/safe/", 0, 1);
    const origins::EndpointContact silent = Only<StartAttempt>().endpoint;
    LeaveAllBut(silent.id);
    for (RequestId id = 2; id <= 6; ++id) Request("/safe/", 0, id);
    for (const char* id : {"p4", "p5"}) Announce(id, "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
    Advance(CoreOptions().response_idle_timeout);
    CPPUNIT_ASSERT(Count<CancelAttempt>() >= 4);
    const Duration avoided = m_load->AvoidedFor(KeyOf(silent), m_now);
    CPPUNIT_ASSERT(avoided > 0s);
    CPPUNIT_ASSERT(avoided <= FleetLoadOptions().min_avoid_time);
  }

  // An endpoint that hangs must not get more and more requests because those
  // there are kept.
  void KeptSilenceSendsNewRequestsElsewhere() {
    DenyRetries();
    Request("/safe/", 0, 1);
    const origins::EndpointContact silent = Only<StartAttempt>().endpoint;
    LeaveAllBut(silent.id);
    Request("/safe/", 0, 2);
    StayQuiet(1400ms);
    CPPUNIT_ASSERT(m_load->AvoidedFor(KeyOf(silent), m_now) == 0s);
    Announce("p4", "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
    StayQuiet(100ms);
    const Duration avoided = m_load->AvoidedFor(KeyOf(silent), m_now);
    CPPUNIT_ASSERT(avoided > 0s);
    StayQuiet(1s);
    CPPUNIT_ASSERT(m_load->AvoidedFor(KeyOf(silent), m_now) == 0s);
  }

  // Its endpoint sends nothing because nothing is read from it.
  void AttemptThatItsCallerHoldsUpIsNotSilent() {
    Request("/resume/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Head(attempt, 200, true);
    Chunk(attempt, "id: 1\ndata: a\n\n");
    m_core->OnCallerSlow(kRequest, true, m_now);
    StayQuiet(2s);
    m_core->OnCallerSlow(kRequest, false, m_now);
    StayQuiet(1400ms);
    Advance(100ms);
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count<StartAttempt>());
  }

  // Nothing tells its silence from a failure of the path to it, and a relay
  // would find it silent as well.
  void SilenceOfTheOnlyEndpointLeadsToNoRelay() {
    EndpointPaths paths(EndpointPathsOptions{"dc"});
    m_core = MakeCore(CoreOptions(), Parts(nullptr, &paths));
    Publish();
    m_directory = directory::Directory();
    Announce("p1", "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
    paths.OnRelay({"other", "dc", "10.0.0.2:80", "token", {}});
    Request("/safe/");
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Advance(250ms);
    m_core->OnUnacknowledged(attempt, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<CancelAttempt>());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    StayQuiet(1s);
    Finish(attempt);
  }

 private:
  static EndpointKey KeyOf(const origins::EndpointContact& contact) {
    return directory::PulseKey(contact.id, contact.incarnation);
  }

  void DenyRetries() {
    *m_retries = RetryShare(RetryShareOptions{.ratio = 0, .slack = 0});
  }

  void LeaveAllBut(const EndpointId& stays) {
    for (const char* id : {"p1", "p2", "p3"})
      if (id != stays) Announce(id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
  }

  // Lets time pass in which the core must not do anything.
  void StayQuiet(Duration time) {
    constexpr Duration kStep = 50ms;
    for (Duration passed = 0s; passed < time; passed += kStep) {
      Advance(kStep);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, m_last.size());
      for (const Decision& line : m_log_lines) {
        m_kept_lines += line.event == "silent_attempt_kept" ? 1 : 0;
        m_denied_lines += line.event == "retry_denied" ? 1 : 0;
      }
    }
  }

  void Finish(AttemptId attempt) {
    Head(attempt, 200);
    End(attempt, TransferEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(attempt, Only<RelayResponse>().attempt);
  }

  void ExpectItGoesOn(AttemptId attempt) {
    StayQuiet(2s);
    Finish(attempt);
  }

  size_t m_kept_lines = 0;
  size_t m_denied_lines = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreSilenceTest);

}  // namespace
}  // namespace dotterelshift::gateway
