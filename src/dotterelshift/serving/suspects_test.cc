#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>     // for set
#include <string>  // for string

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry

namespace dotterelshift::serving {
namespace {

constexpr uint64_t kGuilty = 666;

class ServingSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingSuspectsTest);
  CPPUNIT_TEST(ContentThatKillsIsBlockedEverywhere);
  CPPUNIT_TEST(ResendUnderAnotherKeyIsBlockedToo);
  CPPUNIT_TEST(SuspectRunsOnOneEndpointAtATime);
  CPPUNIT_TEST(InnocentAreRetriedApartAndCleared);
  CPPUNIT_TEST(WaitingRequestIsRefusedWhenItsContentIsBlocked);
  CPPUNIT_TEST(BlockedAfterAnAttemptIsNotCalledNotRun);
  CPPUNIT_TEST(SuspectsOfTwoEntriesRunApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ContentThatKillsIsBlockedEverywhere() {
    TestControl control(100'000);
    TestEntry first(&control, "first");
    TestEntry second(&control, "second");
    Announce(&first, 6);
    Announce(&second, 6);
    const std::set<EndpointId> killed = KillUntilGivenUp(&first);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, killed.size());
    Push(control, &second);
    const RequestId resend = second.Send(TestEntry::Chat(kGuilty));
    CPPUNIT_ASSERT(second.EndOf(resend) == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(second.ends[resend].retry_after_seconds > 0);
    CPPUNIT_ASSERT(second.starts.empty());
  }

  void ResendUnderAnotherKeyIsBlockedToo() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    KillUntilGivenUp(&entry);
    callers::CallerRequest request = TestEntry::Chat(kGuilty);
    request.idempotency_key = "another";
    const RequestId resend = entry.Send(request);
    CPPUNIT_ASSERT(entry.EndOf(resend) == ErrorKind::kQuarantined);
  }

  void SuspectRunsOnOneEndpointAtATime() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    entry.Send(TestEntry::Chat(kGuilty));
    entry.End(AttemptEnd::kDied);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    const RequestId copy = entry.Send(TestEntry::Chat(kGuilty));
    entry.Pass(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    CPPUNIT_ASSERT(!entry.HasEnded(copy));
    entry.Piece(1);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, entry.starts.size());
  }

  void InnocentAreRetriedApartAndCleared() {
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
    entry.Send(TestEntry::Chat(kGuilty));
    entry.End(AttemptEnd::kDied);
    const RequestId waiting = entry.Send(TestEntry::Chat(kGuilty));
    wire::QuarantinePushT push;
    push.entries.push_back(std::make_unique<wire::SuspectAnswerT>());
    push.entries.back()->content_hash = kGuilty;
    push.entries.back()->quarantined_until_ms = kStamp;
    entry.core->OnQuarantine(push, entry.now);
    entry.Pump();
    CPPUNIT_ASSERT(entry.EndOf(waiting) == ErrorKind::kQuarantined);
  }

  void BlockedAfterAnAttemptIsNotCalledNotRun() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    Announce(&entry, 6);
    KillUntilGivenUp(&entry);
    CPPUNIT_ASSERT(entry.EndOf(1) == ErrorKind::kEndpointFailed);
  }

  // One entry runs the content that crashes endpoints, the other an innocent
  // one that becomes suspect because both ran on the first endpoint.
  void SuspectsOfTwoEntriesRunApart() {
    constexpr uint64_t kInnocent = 1;
    TestControl control(100'000);
    TestEntry first(&control, "first");
    TestEntry second(&control, "second");
    first.core->OnEntries(0, 2);
    second.core->OnEntries(1, 2);
    Announce(&first, 1);
    Announce(&second, 1);
    const RequestId guilty = first.Send(TestEntry::Chat(kGuilty));
    second.Send(TestEntry::Chat(kInnocent));
    Announce(&first, 4);
    Announce(&second, 4);
    std::set<EndpointId> killed;
    while (!first.HasEnded(guilty)) {
      const EndpointId endpoint = first.LastStart().endpoint;
      CPPUNIT_ASSERT(killed.insert(endpoint).second);
      const bool beside = second.LastStart().endpoint == endpoint;
      first.End(AttemptEnd::kDied);
      if (beside) second.End(AttemptEnd::kDied);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, killed.size());
    Push(control, &second);
    const RequestId again = second.Send(TestEntry::Chat(kInnocent));
    const bool held_back = second.HasEnded(again) &&
                           second.EndOf(again) == ErrorKind::kQuarantined;
    CPPUNIT_ASSERT(!held_back);
    const RequestId resend = second.Send(TestEntry::Chat(kGuilty));
    CPPUNIT_ASSERT(second.EndOf(resend) == ErrorKind::kQuarantined);
  }

 private:
  static void Announce(TestEntry* entry, int count) {
    for (int i = 0; i < count; ++i)
      entry->Announce("engine-" + std::to_string(i));
  }

  // Sends the content that crashes endpoints until the entry abandons it.
  // Returns the endpoints that died.
  static std::set<EndpointId> KillUntilGivenUp(TestEntry* entry) {
    const RequestId request = entry->Send(TestEntry::Chat(kGuilty));
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
