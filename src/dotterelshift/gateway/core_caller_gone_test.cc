// A caller leaves at each stage of its request. No new attempt may be started,
// a running one is cancelled exactly once, and nothing stays reserved.
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <memory>  // for make_unique

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/core.h"          // for Core
#include "dotterelshift/gateway/core_testing.h"  // for CoreFixture
#include "dotterelshift/gateway/send_pacer.h"    // for SendPacer

namespace dotterelshift::gateway {
namespace {

constexpr RequestId kOther = 2;
constexpr uint64_t kLinkBytesPerSecond = 1'250'000;
// More than may be queued in the system before a request is sent.
constexpr Duration kMinHeld = 80ms;

class CoreLeaveTest : public CoreFixture {
  CPPUNIT_TEST_SUITE(CoreLeaveTest);
  CPPUNIT_TEST(WhileItWaitsForTokens);
  CPPUNIT_TEST(WhileItWaitsForAnEndpoint);
  CPPUNIT_TEST(WhileItsSlotIsReserved);
  CPPUNIT_TEST(WhileItsAttemptHasNoAnswer);
  CPPUNIT_TEST(WhileItsStreamRuns);
  CPPUNIT_TEST(WhileASecondAttemptHasASlotReserved);
  CPPUNIT_TEST(WhileASecondAttemptRuns);
  CPPUNIT_TEST(WhileItsAttemptIsBeingWithdrawn);
  CPPUNIT_TEST(WhileItsReservedSlotWaitsForTheLink);
  CPPUNIT_TEST(WhileASecondAttemptWaitsForTheLink);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhileItWaitsForTokens() {
    Publish(1'000'000);
    Request("/stream/", 100);
    CPPUNIT_ASSERT(m_last.empty());
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    wire::TokenLoanT loan;
    loan.budget = "team";
    loan.tokens = 200;
    m_budgets->OnLoan(loan, m_now);
    m_core->OnBudgetChanged(m_now);
    ExpectNothingMore();
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, m_budgets->HeldSums().reserved);
  }

  void WhileItWaitsForAnEndpoint() {
    Publish();
    for (const char* id : {"p1", "p2", "p3"}) Announce(id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Request("/safe/");
    CPPUNIT_ASSERT(m_last.empty());
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    Announce("p4", "plain");
    m_core->OnEndpointsChanged(m_directory, m_now);
    ExpectNothingMore();
  }

  // Both engines prefill a long prompt, so that the next request waits for its
  // prefill start.
  void WhileItsSlotIsReserved() {
    Publish();
    Request("/stream/", 10'000, 3);
    Request("/stream/", 10'000, 4);
    Request("/stream/", 100);
    CPPUNIT_ASSERT(m_last.empty());
    const uint32_t occupied = Running();
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(occupied - 1, Running());
    for (Duration passed = 0s; passed < 1s; passed += 1ms) {
      Advance(1ms);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    }
  }

  void WhileItsAttemptHasNoAnswer() {
    Publish(1'000'000);
    Grant();
    Request("/resume/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Leave();
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    // Bytes of the response that were in flight have no effect.
    Head(attempt, 200, true);
    CPPUNIT_ASSERT(m_last.empty());
    End(attempt, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT(m_last.empty());
    ExpectNothingMore();
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, m_budgets->HeldSums().reserved);
  }

  void WhileItsStreamRuns() {
    Publish();
    Request("/resume/", 100);
    const AttemptId attempt = Only<StartAttempt>().attempt;
    Head(attempt, 200, true);
    Chunk(attempt, "id: 1\ndata: a\n\nid: 2\nda");
    Leave();
    CPPUNIT_ASSERT_EQUAL(attempt, Only<CancelAttempt>().attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_last.size());
    End(attempt, http::TransferEnd::kCut);
    CPPUNIT_ASSERT(m_last.empty());
    ExpectNothingMore();
  }

  // The first attempt failed. The other engine is still busy with a prefill, so
  // that the second attempt has not been sent.
  void WhileASecondAttemptHasASlotReserved() {
    Publish();
    Request("/resume/", 100);
    const StartAttempt first = Only<StartAttempt>();
    Request("/stream/", 20'000, kOther);
    CPPUNIT_ASSERT(Only<StartAttempt>().endpoint.id != first.endpoint.id);
    End(first.attempt, http::TransferEnd::kNotSent);
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_core->OpenRequests());
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->OpenRequests());
    for (Duration passed = 0s; passed < 1s; passed += 1ms) {
      Advance(1ms);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    }
  }

  void WhileASecondAttemptRuns() {
    Publish();
    Request("/safe/");
    End(Only<StartAttempt>().attempt, http::TransferEnd::kFailedBeforeHead);
    const AttemptId second = Only<StartAttempt>().attempt;
    Leave();
    CPPUNIT_ASSERT_EQUAL(second, Only<CancelAttempt>().attempt);
    ExpectNothingMore();
  }

  // The endpoint leaves, and then the caller, before it is known whether the
  // attempt could be withdrawn.
  void WhileItsAttemptIsBeingWithdrawn() {
    Publish();
    Request("/safe/");
    const StartAttempt start = Only<StartAttempt>();
    Announce(start.endpoint.id, "plain", true);
    m_core->OnEndpointsChanged(m_directory, m_now);
    Collect();
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<WithdrawAttempt>().attempt);
    Leave();
    CPPUNIT_ASSERT_EQUAL(start.attempt, Only<CancelAttempt>().attempt);
    m_core->OnWithdrawn(start.attempt, m_now);
    ExpectNothingMore();
  }

  // Its prefill start is reached while other traffic fills the link.
  void WhileItsReservedSlotWaitsForTheLink() {
    MakePacedCore();
    Publish();
    Request("/stream/", 10'000, 3);
    Request("/stream/", 10'000, 4);
    Request("/stream/", 100);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->WaitingForLink().requests);
    for (Duration passed = 0s;
         passed < 1s && m_core->WaitingForLink().requests == 0; passed += 1ms) {
      if (m_pacer->Held(m_now) < kMinHeld) FillLink();
      Advance(1ms);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->WaitingForLink().requests);
    const uint32_t occupied = Running();
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(occupied - 1, Running());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->WaitingForLink().requests);
    for (Duration passed = 0s; passed < 1s; passed += 1ms) {
      Advance(1ms);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Count<StartAttempt>());
    }
  }

  void WhileASecondAttemptWaitsForTheLink() {
    MakePacedCore();
    Publish();
    Request("/safe/");
    const AttemptId first = Only<StartAttempt>().attempt;
    FillLink();
    End(first, http::TransferEnd::kFailedBeforeHead);
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_core->WaitingForLink().requests);
    Leave();
    CPPUNIT_ASSERT(m_last.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->WaitingForLink().requests);
    ExpectNothingMore();
  }

 private:
  void MakePacedCore() {
    SendPacerOptions options;
    options.bytes_per_second = kLinkBytesPerSecond;
    m_pacer = std::make_unique<SendPacer>(options);
    m_core = MakeCore(CoreOptions(), Parts(m_pacer.get()));
  }

  // Responses occupy the link for longer than a request may be queued in the
  // system, and for less than it may wait here.
  void FillLink() {
    constexpr uint64_t kBytes = kLinkBytesPerSecond / 8;
    m_pacer->OnBytes(kBytes, m_now);
  }

  void Leave() {
    m_core->OnCallerGone(kRequest, m_now);
    Collect();
  }

  void Grant() {
    m_budgets->SetConnected(true, m_now);
    AnswerGrantRequest(1'000, 999'000);
  }

  uint32_t Running() const {
    uint32_t running = 0;
    for (const auto& [id, endpoint] : m_directory.All()) {
      running +=
          m_load->Running(directory::PulseKey(id, endpoint.record.incarnation));
    }
    return running;
  }

  // No request is open, no timer is set, and no action follows later.
  void ExpectNothingMore() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_core->OpenRequests());
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, Running());
    CPPUNIT_ASSERT(m_core->NextTimer() == Instant::max());
    Advance(10s);
    CPPUNIT_ASSERT(m_last.empty());
  }

  std::unique_ptr<SendPacer> m_pacer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreLeaveTest);

}  // namespace
}  // namespace dotterelshift::gateway
