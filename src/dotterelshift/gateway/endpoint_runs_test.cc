#include "dotterelshift/gateway/endpoint_runs.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class EndpointRunsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointRunsTest);
  CPPUNIT_TEST(AnnouncementDuringTheConnectionProvesIt);
  CPPUNIT_TEST(RecordOlderThanTheConnectionProvesNothing);
  CPPUNIT_TEST(NextAnnouncementProvesAConnectionThatHasEnded);
  CPPUNIT_TEST(RestartBeforeTheConnectionIsSeenWhileItIsOpen);
  CPPUNIT_TEST(RestartAfterTheConnectionLeavesItUnknown);
  CPPUNIT_TEST(DelayedAnnouncementIsNoProof);
  CPPUNIT_TEST(ConnectionToARunThatHasJustBegunIsNotOfThePreviousOne);
  CPPUNIT_TEST(BytesReadLateDoNotBelongToTheNextRun);
  CPPUNIT_TEST(EndedRunsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnnouncementDuringTheConnectionProvesIt() {
    Announce(1, "v1", 10s);
    Announce(1, "v1", 12s);
    ExpectProven("v1", {At(11s), At(11100ms)});
    ExpectProven("v1", {At(9s), At(20s)});
  }

  void RecordOlderThanTheConnectionProvesNothing() {
    Announce(1, "v1", 10s);
    Expect(RunProof::kPending, {At(11s), At(11100ms), true});
    Expect(RunProof::kPending, {At(11s), At(11100ms), false});
  }

  void NextAnnouncementProvesAConnectionThatHasEnded() {
    Announce(1, "v1", 10s);
    Announce(1, "v1", 13s);
    ExpectProven("v1", {At(11s), At(11100ms)});
  }

  void RestartBeforeTheConnectionIsSeenWhileItIsOpen() {
    Announce(1, "v1", 10s);
    Announce(2, "v2", 12s);
    Expect(RunProof::kPending, {At(11s), At(12100ms), true});
    ExpectProven("v2", {At(11s), At(12300ms), true});
  }

  void RestartAfterTheConnectionLeavesItUnknown() {
    Announce(1, "v1", 10s);
    Announce(2, "v2", 12s);
    Expect(RunProof::kUnknown, {At(11s), At(11500ms)});
  }

  void DelayedAnnouncementIsNoProof() {
    Announce(1, "v1", 10s);
    Announce(1, "v1", 11200ms);
    Expect(RunProof::kPending, {At(11s), At(11500ms)});
  }

  void ConnectionToARunThatHasJustBegunIsNotOfThePreviousOne() {
    Announce(1, "v1", 9s);
    Announce(2, "v2", 10s);
    Expect(RunProof::kPending, {At(10010ms), At(10100ms)});
    Announce(2, "v2", 11s);
    ExpectProven("v2", {At(10010ms), At(10100ms)});
  }

  // A process that stood still reads the announcement of the next run and the
  // last bytes of the previous one together.
  void BytesReadLateDoNotBelongToTheNextRun() {
    Announce(1, "v1", 10s);
    Announce(2, "v2", 15s);
    Expect(RunProof::kUnknown, {At(11s), At(15010ms)});
  }

  void EndedRunsAreForgotten() {
    Announce(1, "v1", 10s);
    Announce(2, "v2", 80s);
    Expect(RunProof::kUnknown, {At(9s), At(11s)});
    ExpectProven("v2", {At(79s), At(81s)});
  }

 private:
  static Instant At(Duration time) { return Instant(1000s) + time; }

  void Announce(uint64_t incarnation, const std::string& version,
                Duration time) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.services = {"s"};
    record.incarnation = incarnation;
    record.software_version = version;
    record.sequence = ++m_sequence;
    m_directory.OnRecord(record, At(time));
    m_runs.Update(At(time));
  }

  void Expect(RunProof proof, const ConnectionLife& life) {
    const ProvenRun run = m_runs.During(EndpointIdKeyOf("e"), life);
    CPPUNIT_ASSERT(run.proof == proof);
  }

  void ExpectProven(const std::string& version, const ConnectionLife& life) {
    Expect(RunProof::kProven, life);
    const ProvenRun run = m_runs.During(EndpointIdKeyOf("e"), life);
    CPPUNIT_ASSERT_EQUAL(SoftwareKeyOf("s", version), run.software);
  }

  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  EndpointRuns m_runs{m_directory};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRunsTest);

}  // namespace
}  // namespace dotterelshift::gateway
