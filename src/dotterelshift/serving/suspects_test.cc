#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>     // for set
#include <string>  // for string

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry

namespace dotterelshift::serving {
namespace {

constexpr uint64_t kCrashingContent = 666;

class ServingSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingSuspectsTest);
  CPPUNIT_TEST(ContentThatCrashesEndpointsIsBlockedEverywhere);
  CPPUNIT_TEST(ResendUnderAnotherKeyIsBlockedToo);
  CPPUNIT_TEST(SuspectRunsOnOneEndpointAtATime);
  CPPUNIT_TEST(InnocentRequestsAreRetriedInIsolationAndCleared);
  CPPUNIT_TEST(WaitingRequestIsRefusedWhenItsContentIsBlocked);
  CPPUNIT_TEST(BlockedAfterAnAttemptIsNotReportedAsNotRun);
  CPPUNIT_TEST(SuspectsOfTwoEntriesRunOnSeparateEndpoints);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ContentThatCrashesEndpointsIsBlockedEverywhere() {
    TestControl control(100'000);
    TestEntry first(&control, "first");
    TestEntry second(&control, "second");
    Announce(&first, 6);
    Announce(&second, 6);
    const std::set<EndpointId> killed = CrashUntilAbandoned(&first);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, killed.size());
    Push(control, &second);
    const RequestId resend = second.Send(TestEntry::Chat(kCrashingContent));
    CPPUNIT_ASSERT(second.EndOf(resend) == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(second.ends[resend].retry_after_seconds > 0);
    CPPUNIT_ASSERT(second.starts.empty());
  }

  void ResendUnderAnotherKeyIsBlockedToo() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    CrashUntilAbandoned(&entry);
    callers::CallerRequest request = TestEntry::Chat(kCrashingContent);
    request.idempotency_key = "another";
    const RequestId resend = entry.Send(request);
    CPPUNIT_ASSERT(entry.EndOf(resend) == ErrorKind::kQuarantined);
  }

  void SuspectRunsOnOneEndpointAtATime() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    entry.Send(TestEntry::Chat(kCrashingContent));
    entry.End(AttemptEnd::kDied);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    const RequestId copy = entry.Send(TestEntry::Chat(kCrashingContent));
    entry.AdvanceClock(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    CPPUNIT_ASSERT(!entry.HasEnded(copy));
    entry.Chunk(1);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, entry.starts.size());
  }

  void InnocentRequestsAreRetriedInIsolationAndCleared() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    for (uint64_t content = 1; content <= 3; ++content)
      entry.Send(TestEntry::Chat(content));
    Announce(&entry, 5);
    // The endpoint dies while running all three; each is retried on a different
    // endpoint.
    for (size_t i = 0; i < 3; ++i)
      entry.End(AttemptEnd::kDied, entry.starts[i].attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, entry.starts.size());
    std::set<EndpointId> apart;
    for (size_t i = 3; i < 6; ++i) apart.insert(entry.starts[i].endpoint);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, apart.size());
    entry.held = true;
    for (size_t i = 3; i < 6; ++i)
      entry.End(AttemptEnd::kWhole, entry.starts[i].attempt);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, entry.CountProposed<wire::ClearSuspectT>());
  }

  void WaitingRequestIsRefusedWhenItsContentIsBlocked() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 2);
    entry.Send(TestEntry::Chat(kCrashingContent));
    entry.End(AttemptEnd::kDied);
    const RequestId waiting = entry.Send(TestEntry::Chat(kCrashingContent));
    wire::QuarantinePushT push;
    push.entries.push_back(std::make_unique<wire::SuspectAnswerT>());
    push.entries.back()->content_hash = kCrashingContent;
    push.entries.back()->quarantined_until_ms = kStamp;
    entry.core->OnQuarantine(push, entry.now);
    entry.Pump();
    CPPUNIT_ASSERT(entry.EndOf(waiting) == ErrorKind::kQuarantined);
  }

  void BlockedAfterAnAttemptIsNotReportedAsNotRun() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    CrashUntilAbandoned(&entry);
    CPPUNIT_ASSERT(entry.EndOf(1) == ErrorKind::kEndpointFailed);
  }

  // One entry runs the content that crashes endpoints, the other a harmless
  // one that becomes suspect because both ran on the first endpoint.
  void SuspectsOfTwoEntriesRunOnSeparateEndpoints() {
    constexpr uint64_t kInnocent = 1;
    TestControl control(100'000);
    TestEntry first(&control, "first");
    TestEntry second(&control, "second");
    first.core->OnEntriesChanged(0, 2);
    second.core->OnEntriesChanged(1, 2);
    Announce(&first, 1);
    Announce(&second, 1);
    const RequestId guilty = first.Send(TestEntry::Chat(kCrashingContent));
    second.Send(TestEntry::Chat(kInnocent));
    Announce(&first, 4);
    Announce(&second, 4);
    std::set<EndpointId> killed;
    while (!first.HasEnded(guilty)) {
      const EndpointId endpoint = first.LastStart().endpoint;
      CPPUNIT_ASSERT(killed.insert(endpoint).second);
      const bool same_endpoint = second.LastStart().endpoint == endpoint;
      first.End(AttemptEnd::kDied);
      if (same_endpoint) second.End(AttemptEnd::kDied);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, killed.size());
    Push(control, &second);
    const RequestId again = second.Send(TestEntry::Chat(kInnocent));
    const bool quarantined = second.HasEnded(again) &&
                             second.EndOf(again) == ErrorKind::kQuarantined;
    CPPUNIT_ASSERT(!quarantined);
    const RequestId resend = second.Send(TestEntry::Chat(kCrashingContent));
    CPPUNIT_ASSERT(second.EndOf(resend) == ErrorKind::kQuarantined);
  }

 private:
  static void Announce(TestEntry* entry, int count) {
    for (int i = 0; i < count; ++i)
      entry->Announce("engine-" + std::to_string(i));
  }

  // Sends the content that crashes endpoints until the entry abandons it.
  // Returns the endpoints that died.
  static std::set<EndpointId> CrashUntilAbandoned(TestEntry* entry) {
    const RequestId request = entry->Send(TestEntry::Chat(kCrashingContent));
    std::set<EndpointId> killed;
    while (!entry->HasEnded(request)) {
      killed.insert(entry->LastStart().endpoint);
      entry->End(AttemptEnd::kDied);
    }
    return killed;
  }

  // Delivers the quarantine list that the leader pushes to all entries.
  static void Push(const TestControl& control, TestEntry* entry) {
    wire::QuarantinePushT push;
    for (const wire::SuspectAnswerT& suspect :
         control.state->Quarantined(control.stamp))
      push.entries.push_back(std::make_unique<wire::SuspectAnswerT>(suspect));
    CPPUNIT_ASSERT(!push.entries.empty());
    entry->core->OnQuarantine(push, entry->now);
    entry->Pump();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingSuspectsTest);

}  // namespace
}  // namespace dotterelshift::serving
