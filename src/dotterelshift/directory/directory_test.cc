#include "dotterelshift/directory/directory.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string
#include <vector>  // for vector

namespace dotterelshift::directory {
namespace {

constexpr Instant kStart = Instant{} + 1000s;

// An update of endpoint "e".
struct RecordUpdate {
  uint64_t incarnation = 1;
  uint64_t sequence = 1;
  bool draining = false;
  bool gone = false;
  uint32_t age_ms = 0;
  Duration wait = 0s;  // time before it arrives
};

// The expected state of the directory after all updates.
struct Case {
  std::string name;
  std::vector<RecordUpdate> update;
  bool last_is_new;
  uint64_t incarnation;
  uint64_t sequence;
  bool usable;
};

const std::vector<Case> kCases = {
    {"first update", {{1, 5}}, true, 1, 5, true},
    {"duplicate update", {{1, 5}, {1, 5}}, false, 1, 5, true},
    {"reordered update", {{1, 6}, {1, 5}}, false, 1, 6, true},
    {"older incarnation after newer", {{2, 1}, {1, 99}}, false, 2, 1, true},
    {"newer incarnation with a lower sequence",
     {{1, 99}, {2, 1}},
     true,
     2,
     1,
     true},
    {"draining", {{1, 1}, {1, 2, true}}, true, 1, 2, false},
    {"late update does not end draining",
     {{1, 2, true}, {1, 1}},
     false,
     1,
     2,
     false},
    {"newer update does not end draining",
     {{1, 2, true}, {1, 3}},
     true,
     1,
     3,
     false},
    {"late draining flag is applied",
     {{1, 3}, {1, 2, true}},
     true,
     1,
     3,
     false},
    {"a new incarnation ends draining",
     {{1, 2, true}, {2, 1}},
     true,
     2,
     1,
     true},
    {"draining of an older incarnation is ignored",
     {{2, 1}, {1, 9, true}},
     false,
     2,
     1,
     true},
    {"gone is sticky", {{1, 1, false, true}, {1, 2}}, true, 1, 2, false},
    {"too old on arrival", {{1, 1, false, false, 3000}}, true, 1, 1, false},
    {"silent, then announced again",
     {{1, 1}, {1, 2, false, false, 0, 10s}},
     true,
     1,
     2,
     true},
    {"draining survives the drop of the record",
     {{1, 2, true}, {1, 3, false, false, 0, 61s}},
     true,
     1,
     3,
     false},
    {"a dropped record is not revived by a duplicate",
     {{1, 2}, {1, 2, false, false, 0, 61s}},
     false,
     0,
     0,
     false},
    {"a dropped endpoint returns with a newer announcement",
     {{1, 2}, {1, 3, false, false, 0, 61s}},
     true,
     1,
     3,
     true},
};

wire::EndpointRecordT Record(const RecordUpdate& update) {
  wire::EndpointRecordT record;
  record.id = "e";
  record.address = "127.0.0.1:1";
  record.incarnation = update.incarnation;
  record.sequence = update.sequence;
  record.draining = update.draining;
  record.gone = update.gone;
  record.age_ms = update.age_ms;
  return record;
}

wire::EndpointRecordT Versioned(uint64_t sequence, const std::string& version) {
  wire::EndpointRecordT record = Record({1, sequence});
  record.services = {"s"};
  record.software_version = version;
  return record;
}

wire::EndpointRecordT Another(const EndpointId& id,
                              const std::string& address) {
  wire::EndpointRecordT record = Record({1, 1});
  record.id = id;
  record.address = address;
  return record;
}

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(RecordUpdateTable);
  CPPUNIT_TEST(SilentEndpointIsNotUsable);
  CPPUNIT_TEST(LocalEvidenceKeepsEndpointUsable);
  CPPUNIT_TEST(FailureOfAnOlderIncarnationIsIgnored);
  CPPUNIT_TEST(RefusedConnectionOutweighsNewRecordsForAWhile);
  CPPUNIT_TEST(DeltaContainsOnlyChanges);
  CPPUNIT_TEST(GenerationIgnoresLoad);
  CPPUNIT_TEST(IncarnationThatContradictsItselfIsGone);
  CPPUNIT_TEST(RecordsWithoutAVersionContradictNothing);
  CPPUNIT_TEST(EndpointMayStartAgainUnderItsIdAtAnotherVersion);
  CPPUNIT_TEST(ReplacedEndpointIsNotUsedUntilItAnnouncesItselfAgain);
  CPPUNIT_TEST(LaterEndpointOfAnAddressReplacesTheEarlier);
  CPPUNIT_TEST(LateReportOfAnEarlierEndpointReplacesNothing);
  CPPUNIT_TEST(ReportThatWasHeldUpCostsOneHeartbeat);
  CPPUNIT_TEST(EndpointThatIsGoneReplacesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RecordUpdateTable() {
    for (const Case& test : kCases) {
      Directory directory;
      Instant now = kStart;
      bool is_new = false;
      for (const RecordUpdate& update : test.update) {
        now += update.wait;
        directory.OnTimer(now);
        is_new = directory.OnRecord(Record(update), now);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.last_is_new, is_new);
      const Endpoint* endpoint = directory.Find("e");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.incarnation != 0,
                                   endpoint != nullptr);
      if (endpoint == nullptr) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.incarnation,
                                   endpoint->record.incarnation);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.sequence,
                                   endpoint->record.sequence);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.usable, endpoint->usable);
    }
  }

  // Two daemons that heard different versions end with the same record,
  // whichever update comes last.
  void IncarnationThatContradictsItselfIsGone() {
    const std::vector<wire::EndpointRecordT> records = {Versioned(1, "v1"),
                                                        Versioned(2, "v2")};
    for (const bool reversed : {false, true}) {
      Directory directory;
      directory.OnRecord(records[reversed ? 1 : 0], kStart);
      CPPUNIT_ASSERT(directory.Find("e")->usable);
      directory.OnRecord(records[reversed ? 0 : 1], kStart);
      CPPUNIT_ASSERT(!directory.Find("e")->usable);
      CPPUNIT_ASSERT(directory.Find("e")->record.gone);
      CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                           directory.Find("e")->record.software_version);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.TakeContradictions().size());
      directory.OnRecord(Versioned(3, "v2"), kStart);
      CPPUNIT_ASSERT(!directory.Find("e")->usable);
      CPPUNIT_ASSERT(directory.TakeContradictions().empty());
    }
  }

  void RecordsWithoutAVersionContradictNothing() {
    Directory directory;
    directory.OnRecord(Versioned(1, "v1"), kStart);
    directory.OnRecord(Versioned(2, ""), kStart);
    CPPUNIT_ASSERT(directory.Find("e")->usable);
    // It is not forgotten over such a record.
    directory.OnRecord(Versioned(3, "v2"), kStart);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
  }

  // Its sequence numbers start anew, and late reports of the one before change
  // nothing.
  void EndpointMayStartAgainUnderItsIdAtAnotherVersion() {
    Directory directory;
    wire::EndpointRecordT earlier = Versioned(9, "v1");
    earlier.draining = true;
    directory.OnRecord(earlier, kStart);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    wire::EndpointRecordT later = Versioned(1, "v2");
    ++later.incarnation;
    directory.OnRecord(later, kStart);
    earlier.sequence = 10;
    CPPUNIT_ASSERT(!directory.OnRecord(earlier, kStart));
    CPPUNIT_ASSERT(directory.Find("e")->usable);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         directory.Find("e")->record.software_version);
    CPPUNIT_ASSERT(directory.TakeContradictions().empty());
  }

  void ReplacedEndpointIsNotUsedUntilItAnnouncesItselfAgain() {
    Directory directory;
    directory.OnRecord(Record({1, 1}), kStart);
    CPPUNIT_ASSERT(directory.OnReplaced("e", kStart + 1s));
    CPPUNIT_ASSERT(!directory.OnReplaced("e", kStart + 1s));
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    directory.OnAlive("e", kStart + 1s);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    // Made before.
    directory.ApplyLoad("e", 1, {.sequence = 2, .age_ms = 500},
                        kStart + 1100ms);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    directory.ApplyLoad("e", 1, {.sequence = 3}, kStart + 2s);
    CPPUNIT_ASSERT(directory.Find("e")->usable);
  }

  void LaterEndpointOfAnAddressReplacesTheEarlier() {
    Directory directory;
    directory.OnRecord(Record({1, 1}), kStart);
    directory.OnRecord(Another("f", "127.0.0.1:1"), kStart + 1s);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    CPPUNIT_ASSERT(directory.Find("f")->usable);
    directory.OnRecord(Another("g", "127.0.0.1:2"), kStart + 1s);
    CPPUNIT_ASSERT(directory.Find("f")->usable);
    CPPUNIT_ASSERT(directory.Find("g")->usable);
  }

  // An earlier endpoint's record comes from another daemon, after the later
  // one's.
  void LateReportOfAnEarlierEndpointReplacesNothing() {
    Directory directory;
    directory.OnRecord(Another("f", "127.0.0.1:1"), kStart + 1s);
    directory.OnRecord(Record({1, 1, false, false, 500}), kStart + 1100ms);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    CPPUNIT_ASSERT(directory.Find("f")->usable);
  }

  // The report of an endpoint that is not known here was held up, and seems to
  // be the later one until the living one announces itself again.
  void ReportThatWasHeldUpCostsOneHeartbeat() {
    Directory directory;
    directory.OnRecord(Another("f", "127.0.0.1:1"), kStart);
    directory.OnRecord(Another("old", "127.0.0.1:1"), kStart + 1s);
    CPPUNIT_ASSERT(!directory.Find("f")->usable);
    CPPUNIT_ASSERT(
        !directory.IsOverdue(directory.Find("f")->last_news, kStart + 1s));
    directory.ApplyLoad("f", 1, {.sequence = 2}, kStart + 1200ms);
    CPPUNIT_ASSERT(directory.Find("f")->usable);
    CPPUNIT_ASSERT(directory.OnReplaced("old", kStart + 1300ms));
    CPPUNIT_ASSERT(!directory.Find("old")->usable);
  }

  void EndpointThatIsGoneReplacesNothing() {
    Directory directory;
    directory.OnRecord(Another("f", "127.0.0.1:1"), kStart);
    wire::EndpointRecordT gone = Another("old", "127.0.0.1:1");
    gone.gone = true;
    directory.OnRecord(gone, kStart + 1s);
    CPPUNIT_ASSERT(directory.Find("f")->usable);
  }

  void SilentEndpointIsNotUsable() {
    Directory directory;
    directory.OnRecord(Record({}), kStart);
    CPPUNIT_ASSERT(!directory.OnTimer(kStart + 2900ms));
    CPPUNIT_ASSERT(directory.OnTimer(kStart + 3s));
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
  }

  void LocalEvidenceKeepsEndpointUsable() {
    Directory directory;
    directory.OnRecord(Record({}), kStart);
    directory.OnAlive("e", kStart + 2s);
    directory.OnTimer(kStart + 4s);
    CPPUNIT_ASSERT(directory.Find("e")->usable);
  }

  void FailureOfAnOlderIncarnationIsIgnored() {
    Directory directory;
    directory.OnRecord(Record({.incarnation = 2}), kStart);
    directory.OnDead("e", 1, kStart);
    CPPUNIT_ASSERT(directory.Find("e")->usable);
  }

  void RefusedConnectionOutweighsNewRecordsForAWhile() {
    Directory directory;
    directory.OnRecord(Record({}), kStart);
    directory.OnDead("e", 1, kStart);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    directory.OnRecord(Record({.sequence = 2}), kStart + 500ms);
    CPPUNIT_ASSERT(!directory.Find("e")->usable);
    directory.OnRecord(Record({.sequence = 3}), kStart + 1500ms);
    CPPUNIT_ASSERT(directory.Find("e")->usable);
  }

  void DeltaContainsOnlyChanges() {
    Directory directory;
    directory.OnRecord(Record({}), kStart);
    const wire::DirectoryDeltaT delta = directory.TakeDelta(kStart + 200ms);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, delta.records.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{200}, delta.records[0]->age_ms);
    directory.OnRecord(Record({}), kStart + 300ms);
    CPPUNIT_ASSERT(directory.TakeDelta(kStart + 300ms).records.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.All().size());
  }

  void GenerationIgnoresLoad() {
    Directory directory;
    directory.OnRecord(Record({}), kStart);
    const uint64_t before = directory.Generation();
    wire::EndpointRecordT record = Record({.sequence = 2});
    record.running = 7;
    directory.OnRecord(record, kStart);
    CPPUNIT_ASSERT_EQUAL(before, directory.Generation());
    record.sequence = 3;
    record.slots = 64;
    directory.OnRecord(record, kStart);
    CPPUNIT_ASSERT(directory.Generation() > before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

}  // namespace
}  // namespace dotterelshift::directory
