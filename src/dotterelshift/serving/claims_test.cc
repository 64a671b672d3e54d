#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <functional>  // for function
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/serving/serving_testing.h"  // for TestEntry

namespace dotterelshift::serving {
namespace {

// The outcome of the first request with a key, and the error that a resend of
// it to another entry gets. kNone: the resend runs.
struct ResendCase {
  std::string name;
  std::function<void(TestEntry*, RequestId)> first;
  uint64_t content;
  ErrorKind reported;
};

constexpr uint64_t kSame = 7;

const std::vector<ResendCase> kResendCases = {
    {"still running", [](TestEntry*, RequestId) {}, kSame,
     ErrorKind::kAlreadyRunning},
    {"ran", [](TestEntry* entry, RequestId) { entry->End(AttemptEnd::kWhole); },
     kSame, ErrorKind::kAlreadyRan},
    {"ran, caller gone",
     [](TestEntry* entry, RequestId request) {
       entry->CallerGone(request);
       entry->End(AttemptEnd::kWhole);
     },
     kSame, ErrorKind::kAlreadyRan},
    {"endpoint died",
     [](TestEntry* entry, RequestId) { entry->End(AttemptEnd::kDied); }, kSame,
     ErrorKind::kOutcomeUnknown},
    {"deadline while running",
     [](TestEntry* entry, RequestId) { entry->AdvanceClock(60s); }, kSame,
     ErrorKind::kOutcomeUnknown},
    {"refused before running by all endpoints",
     [](TestEntry* entry, RequestId) {
       for (int i = 0; i < 3; ++i) entry->End(AttemptEnd::kRefusedBeforeRun);
     },
     kSame, ErrorKind::kNone},
    {"another body", [](TestEntry*, RequestId) {}, 8, ErrorKind::kKeyReused},
};

class ServingClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingClaimsTest);
  CPPUNIT_TEST(ResendTable);
  CPPUNIT_TEST(ClaimComesBeforeDispatch);
  CPPUNIT_TEST(LateClaimIsReleased);
  CPPUNIT_TEST(RefusedAfterTheClaimReleasesIt);
  CPPUNIT_TEST(KeyIsRequired);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResendTable() {
    for (const ResendCase& test : kResendCases) {
      TestControl control(100'000);
      TestEntry first(&control, "first");
      TestEntry second(&control, "second");
      for (TestEntry* entry : {&first, &second}) {
        entry->Announce("a");
        entry->Announce("b");
        entry->Announce("c");
      }
      test.first(&first, first.Send(TestEntry::Loan("book")));
      const RequestId resend =
          second.Send(TestEntry::Loan("book", test.content));
      if (test.reported == ErrorKind::kNone) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, size_t{1},
                                     second.starts.size());
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(test.name, second.HasEnded(resend));
      CPPUNIT_ASSERT_MESSAGE(test.name, second.EndOf(resend) == test.reported);
      CPPUNIT_ASSERT_MESSAGE(test.name, second.starts.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, Tokens{0},
                                   second.ledger->Reserved(0));
    }
  }

  void ClaimComesBeforeDispatch() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Send(TestEntry::Chat());
    entry.End(AttemptEnd::kWhole);
    entry.held = true;
    entry.Send(TestEntry::Loan("book"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.CountProposed<wire::ClaimT>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    entry.AnswerOldest();
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
  }

  void LateClaimIsReleased() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    entry.Send(TestEntry::Chat());
    entry.End(AttemptEnd::kWhole);
    entry.held = true;
    const RequestId request = entry.Send(TestEntry::Loan("book"));
    entry.AdvanceClock(1100ms);
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kNoQuorum);
    entry.held = false;
    entry.Pump();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.starts.size());
    entry.Send(TestEntry::Loan("book"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, entry.starts.size());
  }

  void RefusedAfterTheClaimReleasesIt() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    const RequestId refused = entry.Send(TestEntry::Loan("book"));
    // The request was not sent and may be retried, but there is no other
    // endpoint.
    entry.End(AttemptEnd::kNotSent);
    CPPUNIT_ASSERT(entry.EndOf(refused) == ErrorKind::kNoEndpoint);
    TestEntry other(&control, "other");
    other.Announce("b");
    other.Send(TestEntry::Loan("book"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, other.starts.size());
  }

  void KeyIsRequired() {
    TestControl control(100'000);
    TestEntry entry(&control, "entry");
    entry.Announce("a");
    const RequestId request = entry.Send(TestEntry::Loan(""));
    CPPUNIT_ASSERT(entry.EndOf(request) == ErrorKind::kKeyRequired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingClaimsTest);

}  // namespace
}  // namespace dotterelshift::serving
