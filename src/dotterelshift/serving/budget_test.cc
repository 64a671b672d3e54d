#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry
#include "dotterelshift/serving/spend.h"            // for kCancelAllowance

namespace dotterelshift::serving {
namespace {

// The course of an attempt and its expected cost, with a prompt bound of 100
// and an output limit of 50 tokens.
struct SpendCase {
  const char* name;
  Tokens counted;       // output tokens counted by the entry
  Tokens usage_prompt;  // of the engine's report; -1: none
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
  CPPUNIT_TEST(OverTheOutputLimitIsCut);
  CPPUNIT_TEST(CallerGoneSpendsWhatWasConsumed);
  CPPUNIT_TEST(CallerGoneBeforeDispatchSpendsNothing);
  CPPUNIT_TEST(AnswerIsNotFinishedBeforeItsBill);
  CPPUNIT_TEST(WaitsForAnOwnReservation);
  CPPUNIT_TEST(ExhaustedIsSaidAtOnce);
  CPPUNIT_TEST(TokensHeldElsewhereAreWaitedForThenUnavailable);
  CPPUNIT_TEST(RefusalsAreRecordedInBatches);
  CPPUNIT_TEST(OneAskIsUnderWayAtATime);
  CPPUNIT_TEST(CutOffServesFromTheStandingPartAndSpools);
  CPPUNIT_TEST(CutOffWithoutTheSettingRefuses);
  CPPUNIT_TEST(CutOffRefusesWhatMayNotBeRepeated);
  CPPUNIT_TEST(TopUpDuringACutIsServedAfterIt);
  CPPUNIT_TEST(LateOpeningIsSettledWithNothing);
  CPPUNIT_TEST(BillThatIsNotRecordedIsNotAWholeAnswer);
  CPPUNIT_TEST(DrainsGrantsBackToControl);
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
      if (test.counted > 0) entry.Piece(test.counted);
      if (test.usage_prompt >= 0)
        entry.Usage(test.usage_prompt, test.usage_output);
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

  void OverTheOutputLimitIsCut() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.Piece(50) == PieceVerdict::kForward);
    CPPUNIT_ASSERT(entry.Piece(1) == PieceVerdict::kCut);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.cancelled.size());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kOutputLimitReached);
    CPPUNIT_ASSERT_EQUAL(Tokens{150}, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().billed);
    CPPUNIT_ASSERT(entry.Piece(1) == PieceVerdict::kDrop);
  }

  void CallerGoneSpendsWhatWasConsumed() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    callers::CallerRequest chat = TestEntry::Chat();
    chat.output_limit = 1000;
    const RequestId request = entry.Send(chat);
    entry.Piece(5);
    entry.Gone(request);
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
    entry.Gone(request);
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT(entry.starts.empty());
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, entry.ledger->Reserved(0));
  }

  void AnswerIsNotFinishedBeforeItsBill() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.Piece(5);
    entry.held = true;
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(Tokens{105}, control.Account().billed);
  }

  void WaitsForAnOwnReservation() {
    TestControl control(200);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.Send(TestEntry::Chat(1));
    const AttemptId first = entry.LastStart().attempt;
    const RequestId second = entry.Send(TestEntry::Chat(2));
    entry.Pass(500ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    CPPUNIT_ASSERT(!entry.HasEnded(second));
    entry.Usage(20, 10, first);
    entry.End(AttemptEnd::kWhole, first);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(second) == ErrorKind::kNone);
    CPPUNIT_ASSERT(control.Account().settled <= 200);
  }

  void ExhaustedIsSaidAtOnce() {
    TestControl control(100);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kBudgetExhausted);
    CPPUNIT_ASSERT(entry.starts.empty());
  }

  void TokensHeldElsewhereAreWaitedForThenUnavailable() {
    TestControl control(160);
    TestEntry other(&control, "other");
    other.Announce("engine");
    other.Send(TestEntry::Chat(1));
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat(2));
    entry.Pass(1500ms);
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.Pass(1s);
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
    entry.Pass(1100ms);
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

  void OneAskIsUnderWayAtATime() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.held = true;
    entry.Send(TestEntry::Chat());
    entry.Pass(1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.CountProposed<wire::RequestGrantT>());
  }

  void CutOffServesFromTheStandingPartAndSpools() {
    TestControl control(1'000'000);
    TestEntry entry(&control, "entry");
    GiveStandingPart(&entry);
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.Piece(5);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.spooled.size());
    CPPUNIT_ASSERT(entry.core->Counters().unwitnessed_attempts > 0);
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
    GiveStandingPart(&entry);
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Chat());
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
  }

  void CutOffRefusesWhatMayNotBeRepeated() {
    TestControl control(1'000'000);
    TestEntry entry(&control, "entry");
    GiveStandingPart(&entry);
    const size_t before = entry.starts.size();
    entry.Reach(ControlReach::kCutOff);
    const RequestId request = entry.Send(TestEntry::Loan("book"));
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(before, entry.starts.size());
  }

  void TopUpDuringACutIsServedAfterIt() {
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

  void LateOpeningIsSettledWithNothing() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    entry.Send(TestEntry::Chat(1));
    entry.End(AttemptEnd::kWhole);
    const Tokens before = control.Account().settled;
    entry.held = true;
    const RequestId request = entry.Send(TestEntry::Chat(2));
    entry.Pass(1100ms);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT_EQUAL(before, control.Account().settled);
    CPPUNIT_ASSERT_EQUAL(Tokens{0},
                         control.state->HoldingsOf("budget")[0].opened);
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, entry.ledger->Reserved(0));
  }

  void BillThatIsNotRecordedIsNotAWholeAnswer() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId request = entry.Send(TestEntry::Chat());
    entry.held = true;
    entry.disks = false;
    entry.End(AttemptEnd::kWhole);
    entry.Pass(2100ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.spooled.size());
    CPPUNIT_ASSERT(!entry.HasEnded(request));
    entry.Pass(2100ms);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kBillNotRecorded);
  }

  void DrainsGrantsBackToControl() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("engine");
    const RequestId open = entry.Send(TestEntry::Chat(1));
    entry.core->StartDraining(entry.now);
    entry.Pump();
    CPPUNIT_ASSERT(!entry.core->Drained());
    const RequestId late = entry.Send(TestEntry::Chat(2));
    CPPUNIT_ASSERT(entry.EndOf(late) == ErrorKind::kDraining);
    entry.Piece(5);
    entry.End(AttemptEnd::kWhole);
    CPPUNIT_ASSERT(entry.EndOf(open) == ErrorKind::kNone);
    CPPUNIT_ASSERT(entry.core->Drained());
    CPPUNIT_ASSERT_EQUAL(Tokens{0}, control.Account().granted);
    CPPUNIT_ASSERT_EQUAL(Tokens{100'000 - 105}, control.Account().Free());
  }

 private:
  // Runs requests until control has pre-authorized enough tokens for an
  // attempt.
  static void GiveStandingPart(TestEntry* entry) {
    entry->Announce("engine");
    for (uint64_t content = 100; content < 160; ++content) {
      entry->Send(TestEntry::Chat(content));
      entry->Piece(50);
      entry->End(AttemptEnd::kWhole);
      entry->Pass(100ms);
    }
    CPPUNIT_ASSERT(entry->ledger->Standing(0) >= 150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingBudgetTest);

}  // namespace
}  // namespace dotterelshift::serving
