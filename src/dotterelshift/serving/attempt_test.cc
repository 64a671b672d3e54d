#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry

namespace dotterelshift::serving {
namespace {

// The failure of an attempt, and whether the request may then be retried on
// another endpoint.
struct RetryCase {
  const char* name;
  bool idempotent;
  bool chunk_before;  // a chunk was forwarded before the failure
  AttemptEnd end;
  bool retried;
  ErrorKind kind;  // reported when it is not retried
};

constexpr RetryCase kRetryCases[] = {
    {"died before a chunk", true, false, AttemptEnd::kDied, true, {}},
    {"died after a chunk", true, true, AttemptEnd::kDied, false,
     ErrorKind::kStreamCut},
    {"never sent", true, false, AttemptEnd::kNotSent, true, {}},
    {"refused before running",
     true,
     false,
     AttemptEnd::kRefusedBeforeRun,
     true,
     {}},
    {"timed out", true, true, AttemptEnd::kTimedOut, false,
     ErrorKind::kDeadlineWhileRunning},
    {"not idempotent, died", false, false, AttemptEnd::kDied, false,
     ErrorKind::kEndpointFailed},
    {"not idempotent, timed out", false, false, AttemptEnd::kTimedOut, false,
     ErrorKind::kDeadlineWhileRunning},
    {"not idempotent, never sent",
     false,
     false,
     AttemptEnd::kNotSent,
     true,
     {}},
    {"not idempotent, refused before running",
     false,
     false,
     AttemptEnd::kRefusedBeforeRun,
     true,
     {}},
};

class ServingAttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingAttemptTest);
  CPPUNIT_TEST(RetryTable);
  CPPUNIT_TEST(RetryGoesToAnotherEndpoint);
  CPPUNIT_TEST(RetryBudgetBoundsRetries);
  CPPUNIT_TEST(NoRetryPastTheDeadline);
  CPPUNIT_TEST(WastedAttemptIsSpentButNotBilled);
  CPPUNIT_TEST(LateAndMisdirectedChunksAreDropped);
  CPPUNIT_TEST(DeathAfterTheCompleteResponseChangesNothing);
  CPPUNIT_TEST(FailureWithoutRetryIsReportedAtOnce);
  CPPUNIT_TEST(DrainingEndpointGetsNoNewRequestsAndKeepsItsStreams);
  CPPUNIT_TEST(EndpointThatLeavesDuringTheOpeningIsReplaced);
  CPPUNIT_TEST(NotRunIsNotReportedAfterAnAttempt);
  CPPUNIT_TEST(ResendOfABilledKeyIsBilledOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetryTable() {
    for (const RetryCase& test : kRetryCases) {
      TestControl control(100'000);
      TestEntry entry(&control, "entry");
      entry.Announce("a");
      entry.Announce("b");
      const RequestId request = entry.Send(
          test.idempotent ? TestEntry::Chat() : TestEntry::Loan("book"));
      if (test.chunk_before) entry.Chunk(1);
      entry.End(test.end);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, size_t(test.retried ? 2 : 1),
                                   entry.starts.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, !test.retried,
                                   entry.HasEnded(request));
      if (test.retried) continue;
      CPPUNIT_ASSERT_MESSAGE(test.name, entry.EndOf(request) == test.kind);
    }
  }

  void RetryGoesToAnotherEndpoint() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Announce("b");
    entry.Send(TestEntry::Chat());
    const EndpointId first = entry.LastStart().endpoint;
    entry.End(AttemptEnd::kDied);
    CPPUNIT_ASSERT(entry.LastStart().endpoint != first);
  }

  void RetryBudgetBoundsRetries() {
    TestControl control(1'000'000);
    RequestCoreOptions options;
    options.retry_burst = 3;
    TestEntry entry(&control, "entry", options);
    for (const char* id : {"a", "b", "c", "d"}) entry.Announce(id);
    for (uint64_t content = 1; content <= 10; ++content) {
      entry.Send(TestEntry::Chat(content));
      entry.End(AttemptEnd::kRefusedBeforeRun);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, entry.core->Counters().retries);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, entry.core->Counters().retries_denied);
  }

  void NoRetryPastTheDeadline() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Announce("b");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.AdvanceClock(60s);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kDeadlineWhileRunning);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.cancelled.size());
  }

  void WastedAttemptIsSpentButNotBilled() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Announce("b");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.End(AttemptEnd::kDied);
    entry.SendUsage(60, 20);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(Tokens{150 + 80}, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, control.Account().billed);
  }

  void LateAndMisdirectedChunksAreDropped() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Announce("b");
    const RequestId first = entry.Send(TestEntry::Chat(1));
    const AttemptId lost = entry.LastStart().attempt;
    entry.End(AttemptEnd::kDied);
    const AttemptId second = entry.LastStart().attempt;
    CPPUNIT_ASSERT(entry.Chunk(1, lost) == ChunkVerdict::kDrop);
    CPPUNIT_ASSERT(entry.Chunk(1, second) == ChunkVerdict::kForward);
    entry.End(AttemptEnd::kWhole, lost);
    CPPUNIT_ASSERT(!entry.HasEnded(first));
    entry.End(AttemptEnd::kWhole, second);
    CPPUNIT_ASSERT(entry.EndOf(first) == ErrorKind::kNone);
    CPPUNIT_ASSERT(entry.Chunk(1, second) == ChunkVerdict::kDrop);
    CPPUNIT_ASSERT(entry.core->RequestOf(lost) == nullptr);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                         entry.core->Counters().late_chunks_dropped);
  }

  void DeathAfterTheCompleteResponseChangesNothing() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.held = true;
    entry.Chunk(5);
    entry.End(AttemptEnd::kWhole);
    entry.End(AttemptEnd::kDied);
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(1, entry.end_counts[request]);
    CPPUNIT_ASSERT_EQUAL(Tokens{105}, control.Account().settled);
  }

  void FailureWithoutRetryIsReportedAtOnce() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.End(AttemptEnd::kDied);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kEndpointFailed);
    CPPUNIT_ASSERT(entry.ends[request].retry_after_seconds > 0);
  }

  void DrainingEndpointGetsNoNewRequestsAndKeepsItsStreams() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    const RequestId open = entry.Send(TestEntry::Chat(1));
    const AttemptId attempt = entry.LastStart().attempt;
    entry.Announce("a", true);
    const RequestId late = entry.Send(TestEntry::Chat(2));
    CPPUNIT_ASSERT(entry.EndOf(late) == ErrorKind::kNoEndpoint);
    CPPUNIT_ASSERT(entry.Chunk(3, attempt) == ChunkVerdict::kForward);
    entry.End(AttemptEnd::kWhole, attempt);
    CPPUNIT_ASSERT(entry.EndOf(open) == ErrorKind::kNone);
    CPPUNIT_ASSERT(entry.cancelled.empty());
  }

  void EndpointThatLeavesDuringTheOpeningIsReplaced() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Send(TestEntry::Chat(1));
    entry.End(AttemptEnd::kWhole);
    entry.held = true;
    const RequestId request = entry.Send(TestEntry::Chat(2));
    entry.Announce("a", true);
    entry.Announce("b");
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT_EQUAL(EndpointId("b"), entry.LastStart().endpoint);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
  }

  void NotRunIsNotReportedAfterAnAttempt() {
    TestControl control(240);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Announce("b");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.End(AttemptEnd::kDied);
    // The remaining tokens do not cover another attempt.
    entry.AdvanceClock(3s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    CPPUNIT_ASSERT(RowOf(entry.EndOf(request)).ran != Ran::kNo);
  }

  void ResendOfABilledKeyIsBilledOnce() {
    TestControl control(100'000);
    TestEntry first(&control, "first");
    TestEntry second(&control, "second");
    for (TestEntry* entry : {&first, &second}) {
      entry->Announce("a");
      callers::CallerRequest request = TestEntry::Chat();
      request.idempotency_key = "same";
      const RequestId id = entry->Send(request);
      entry->SendUsage(60, 20);
      entry->End(AttemptEnd::kWhole);
      CPPUNIT_ASSERT(entry->EndOf(id) == ErrorKind::kNone);
    }
    CPPUNIT_ASSERT_EQUAL(Tokens{80}, control.Account().billed);
    CPPUNIT_ASSERT_EQUAL(Tokens{160}, control.Account().settled);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingAttemptTest);

}  // namespace
}  // namespace dotterelshift::serving
