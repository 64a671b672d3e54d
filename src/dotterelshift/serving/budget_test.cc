#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry
#include "dotterelshift/serving/spend.h"            // for kCancelAllowance

namespace dotterelshift::serving {
namespace {

// The course of an attempt and its expected cost, with a prompt bound of 100
// and an output limit of 50 tokens.
struct SpendCase {
  const char* name;
  Tokens counted_output;  // output tokens counted by the entry
  Tokens usage_prompt;    // of the engine's report; -1: none
  Tokens usage_output;
  AttemptEnd end;
  Tokens spent;
  Tokens billed;
};

constexpr SpendCase kSpendCases[] = {
    {"usage and count agree", 20, 60, 20, AttemptEnd::kWhole, 80, 80},
    {"engine reports more", 20, 60, 30, AttemptEnd::kWhole, 90, 90},
    {"engine reports less", 20, 60, 5, AttemptEnd::kWhole, 80, 80},
    {"no usage", 20, -1, 0, AttemptEnd::kWhole, 120, 120},
    {"usage above the reservation", 20, 500, 20, AttemptEnd::kWhole, 150, 150},
    {"dies after some tokens", 20, -1, 0, AttemptEnd::kDied, 150, 0},
    {"dies before any output", 0, -1, 0, AttemptEnd::kDied, 150, 0},
    {"times out", 20, -1, 0, AttemptEnd::kTimedOut, 150, 0},
    {"never sent", 0, -1, 0, AttemptEnd::kNotSent, 0, 0},
    {"refused before running", 0, -1, 0, AttemptEnd::kRefusedBeforeRun, 0, 0},
    {"caller's error", 0, -1, 0, AttemptEnd::kCallerError, 0, 0},
};

class ServingBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingBudgetTest);
  CPPUNIT_TEST(SpendTable);
  CPPUNIT_TEST(OutputOverTheLimitIsCancelled);
  CPPUNIT_TEST(CallerGoneSpendsWhatWasConsumed);
  CPPUNIT_TEST(CallerGoneBeforeDispatchSpendsNothing);
  CPPUNIT_TEST(ResponseIsNotFinishedBeforeItsBillIsRecorded);
  CPPUNIT_TEST(WaitsForTokensReservedByTheSameEntry);
  CPPUNIT_TEST(ExhaustedBudgetIsRefusedAtOnce);
  CPPUNIT_TEST(TokensHeldElsewhereAreAwaitedThenRefusedAsUnavailable);
  CPPUNIT_TEST(RefusalsAreRecordedInBatches);
  CPPUNIT_TEST(OneGrantRequestIsPendingAtATime);
  CPPUNIT_TEST(CutOffServesFromThePreauthorizedAmountAndSpools);
  CPPUNIT_TEST(CutOffWithoutTheSettingRefuses);
  CPPUNIT_TEST(CutOffRefusesNonIdempotentRequests);
  CPPUNIT_TEST(TopUpWhileCutOffIsUsedAfterReconnecting);
  CPPUNIT_TEST(LateOpeningIsSettledWithZeroSpend);
  CPPUNIT_TEST(ResponseFailsWhenItsBillIsNotRecorded);
  CPPUNIT_TEST(DrainingReturnsGrantsToControl);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpendTable() {
    for (const SpendCase& test : kSpendCases) {
      TestControl control(100'000);
      RequestCoreOptions options;
      options.max_attempts = 1;
      TestEntry entry(&control, "entry", options);
      entry.Announce("engine");
      entry.Send(TestEntry::Chat());
      if (test.counted_output > 0) entry.Chunk(test.counted_output);
      if (test.usage_prompt >= 0)
        entry.SendUsage(test.usage_prompt, test.usage_output);
      entry.End(test.end);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.spent,
                                   control.Account().settled);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.billed,
                                   control.Account().billed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          test.name, Tokens{0}, control.state->HoldingsOf("budget")[0].opened);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, Tokens{0},
                                   entry.ledger->Reserved(0));
    }
  }

  void OutputOverTheLimitIsCancelled() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.Chunk(50) == ChunkVerdict::kForward);
    CPPUNIT_ASSERT(entry.Chunk(1) == ChunkVerdict::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.cancelled.size());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kOutputLimitReached);
    CPPUNIT_ASSERT_EQUAL(Tokens{150}, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().billed);
    CPPUNIT_ASSERT(entry.Chunk(1) == ChunkVerdict::kDrop);
  }

  void CallerGoneSpendsWhatWasConsumed() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    callers::CallerRequest chat = TestEntry::Chat();
    chat.output_limit = 1000;
    const RequestId request = entry.Send(chat);
    entry.Chunk(5);
    entry.CallerGone(request);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.cancelled.size());
    CPPUNIT_ASSERT_EQUAL(105 + kCancelAllowance, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().billed);
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.core->OpenRequests());
  }

  void CallerGoneBeforeDispatchSpendsNothing() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.held = true;
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.CallerGone(request);
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT(entry.starts.empty());
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, entry.ledger->Reserved(0));
  }

  void ResponseIsNotFinishedBeforeItsBillIsRecorded() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.Chunk(5);
    entry.held = true;
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(Tokens{105}, control.Account().billed);
  }

  void WaitsForTokensReservedByTheSameEntry() {
    TestControl control(200);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.Send(TestEntry::Chat(1));
    const AttemptId first = entry.LastStart().attempt;
    const RequestId second = entry.Send(TestEntry::Chat(2));
    entry.AdvanceClock(500ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    CPPUNIT_ASSERT(!entry.HasEnded(second));
    entry.SendUsage(20, 10, first);
    entry.End(AttemptEnd::kWhole, first);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(second) == ErrorKind::kNone);
    CPPUNIT_ASSERT(control.Account().settled <= 200);
  }

  void ExhaustedBudgetIsRefusedAtOnce() {
    TestControl control(100);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kBudgetExhausted);
    CPPUNIT_ASSERT(entry.starts.empty());
  }

  void TokensHeldElsewhereAreAwaitedThenRefusedAsUnavailable() {
    TestControl control(160);
    TestEntry other(&control, "other");
    other.Announce("engine");
    other.Send(TestEntry::Chat(1));
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat(2));
    entry.AdvanceClock(1500ms);
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.AdvanceClock(1s);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kBudgetUnavailable);
    CPPUNIT_ASSERT(entry.ends[request].retry_after_seconds > 0);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, entry.core->Counters().false_refusals);
  }

  void RefusalsAreRecordedInBatches() {
    TestControl control(100);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    for (uint64_t content = 1; content <= 20; ++content)
      entry.Send(TestEntry::Chat(content));
    entry.held = true;
    entry.AdvanceClock(1100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         entry.CountProposed<wire::RecordRefusalsT>());
    entry.held = false;
    entry.Pump();
    const int64_t day = kStamp / 86'400'000;
    const auto days = control.state->Report("team", day, day);
    const auto& refusals = days.at(0).refusals.at(
        static_cast<uint16_t>(ErrorKind::kBudgetExhausted));
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{20}, refusals.with_budget_left + refusals.without_budget_left);
  }

  void OneGrantRequestIsPendingAtATime() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.held = true;
    entry.Send(TestEntry::Chat());
    entry.AdvanceClock(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.CountProposed<wire::RequestGrantT>());
  }

  void CutOffServesFromThePreauthorizedAmountAndSpools() {
    TestControl control(1'000'000);
    TestEntry entry(&control, "entry");
    AcquirePreauthorizedAmount(&entry);
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.Chunk(5);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.spooled.size());
    CPPUNIT_ASSERT(entry.core->Counters().attempts_without_opening > 0);
    const Tokens before = control.Account().settled;
    entry.Reach(ControlReach::kConnected);
    CPPUNIT_ASSERT_EQUAL(before + 105, control.Account().settled);
    control.Commit(entry.spooled[0]);
    CPPUNIT_ASSERT_EQUAL(before + 105, control.Account().settled);
    CPPUNIT_ASSERT(control.state->Disagreements().empty());
  }

  void CutOffWithoutTheSettingRefuses() {
    TestControl control(1'000'000);
    RequestCoreOptions options;
    options.serve_when_cut_off = false;
    TestEntry entry(&control, "entry", options);
    AcquirePreauthorizedAmount(&entry);
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
  }

  void CutOffRefusesNonIdempotentRequests() {
    TestControl control(1'000'000);
    TestEntry entry(&control, "entry");
    AcquirePreauthorizedAmount(&entry);
    const size_t before = entry.starts.size();
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Loan("book"));
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(before, entry.starts.size());
  }

  void TopUpWhileCutOffIsUsedAfterReconnecting() {
    TestControl control(120);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.Reach(ControlReach::kCutOff);
    control.TopUp(1000);
    const RequestId during = entry.Send(TestEntry::Chat(1));
    CPPUNIT_ASSERT(entry.EndOf(during) == ErrorKind::kBudgetUnavailable);
    entry.Reach(ControlReach::kConnected);
    const RequestId after = entry.Send(TestEntry::Chat(2));
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(after) == ErrorKind::kNone);
  }

  void LateOpeningIsSettledWithZeroSpend() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.Send(TestEntry::Chat(1));
    entry.End(AttemptEnd::kWhole);
    const Tokens before = control.Account().settled;
    entry.held = true;
    const RequestId request = entry.Send(TestEntry::Chat(2));
    entry.AdvanceClock(1100ms);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT_EQUAL(before, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0},
                         control.state->HoldingsOf("budget")[0].opened);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, entry.ledger->Reserved(0));
  }

  void ResponseFailsWhenItsBillIsNotRecorded() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.held = true;
    entry.spooling_available = false;
    entry.End(AttemptEnd::kWhole);
    entry.AdvanceClock(2100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.spooled.size());
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.AdvanceClock(2100ms);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kBillNotRecorded);
  }

  void DrainingReturnsGrantsToControl() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId open = entry.Send(TestEntry::Chat(1));
    entry.core->StartDraining(entry.now);
    entry.Pump();
    CPPUNIT_ASSERT(!entry.core->Drained());
    const RequestId late = entry.Send(TestEntry::Chat(2));
    CPPUNIT_ASSERT(entry.EndOf(late) == ErrorKind::kDraining);
    entry.Chunk(5);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(open) == ErrorKind::kNone);
    CPPUNIT_ASSERT(entry.core->Drained());
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().granted);
    CPPUNIT_ASSERT_EQUAL(Tokens{100'000 - 105}, control.Account().Free());
  }

 private:
  // Runs requests until control has pre-authorized enough tokens for an
  // attempt.
  static void AcquirePreauthorizedAmount(TestEntry* entry) {
    entry->Announce("engine");
    for (uint64_t content = 100; content < 160; ++content) {
      entry->Send(TestEntry::Chat(content));
      entry->Chunk(50);
      entry->End(AttemptEnd::kWhole);
      entry->AdvanceClock(100ms);
    }
    CPPUNIT_ASSERT(entry->ledger->Preauthorized(0) >= 150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingBudgetTest);

}  // namespace
}  // namespace dotterelshift::serving
