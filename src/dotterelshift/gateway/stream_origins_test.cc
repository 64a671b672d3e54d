#include "dotterelshift/gateway/stream_origins.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class StreamOriginsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginsTest);
  CPPUNIT_TEST(OtherEntryKnowsWhatItWasTold);
  CPPUNIT_TEST(StreamOfAnotherTeamIsNotFound);
  CPPUNIT_TEST(TwoOriginsThatDifferAreUnclear);
  CPPUNIT_TEST(OriginIsProvenLaterByAnEntryThatWasTold);
  CPPUNIT_TEST(EntryThatReturnsGetsOwnOriginsAndThoseOfDeadEntries);
  CPPUNIT_TEST(EvidenceThatArrivesLateDoesNotProveTheNextRun);
  CPPUNIT_TEST(OldestOriginsAreEvicted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OtherEntryKnowsWhatItWasTold() {
    m_origins.OnBegun(kStream, Proven(m_old), m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).own);
    m_other.OnUpdates("a", m_origins.TakeUpdates(m_now), m_now);
    const KnownOrigin known = m_other.Find(kStream, m_now + 50ms);
    CPPUNIT_ASSERT(known.state == OriginState::kKnown);
    CPPUNIT_ASSERT(!known.own);
    CPPUNIT_ASSERT(known.origin.proven);
    CPPUNIT_ASSERT_EQUAL(m_old, known.origin.software);
    CPPUNIT_ASSERT(known.age == 50ms);
    CPPUNIT_ASSERT(!m_origins.HasUpdates());
  }

  void StreamOfAnotherTeamIsNotFound() {
    m_origins.OnBegun(StreamKeyOf("t", "r1"), Proven(m_old), m_now);
    CPPUNIT_ASSERT(m_origins.Find(StreamKeyOf("u", "r1"), m_now).state ==
                   OriginState::kMissing);
  }

  void TwoOriginsThatDifferAreUnclear() {
    m_origins.OnBegun(kStream, Proven(m_old), m_now);
    m_other.OnBegun(kStream, Proven(m_new), m_now);
    m_other.OnUpdates("a", m_origins.TakeUpdates(m_now), m_now);
    CPPUNIT_ASSERT(m_other.Find(kStream, m_now).state == OriginState::kUnclear);
  }

  // The entry at which the stream began has died before the endpoint's next
  // announcement.
  void OriginIsProvenLaterByAnEntryThatWasTold() {
    Announce("v1");
    m_now += 1s;
    StreamOrigin origin;
    origin.software = m_old;
    origin.endpoint = EndpointIdKeyOf("e");
    origin.life = {m_now, m_now + 100ms};
    m_origins.OnBegun(kStream, origin, m_now + 100ms);
    m_other.OnUpdates("a", m_origins.TakeUpdates(m_now + 100ms), m_now + 100ms);
    CPPUNIT_ASSERT(!m_other.Find(kStream, m_now + 200ms).origin.proven);
    m_now += 1s;
    Announce("v1");
    CPPUNIT_ASSERT(m_other.Find(kStream, m_now).origin.proven);
  }

  void EntryThatReturnsGetsOwnOriginsAndThoseOfDeadEntries() {
    m_origins.OnBegun(1, Proven(m_old), m_now);
    m_other.OnBegun(2, Proven(m_old), m_now);
    m_origins.OnUpdates("dead", m_other.TakeUpdates(m_now), m_now);
    m_other.OnBegun(3, Proven(m_old), m_now);
    m_origins.OnUpdates("live", m_other.TakeUpdates(m_now), m_now);
    const auto is_connected = [](const HostId& host) { return host == "live"; };
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_origins.ForNewEntry(is_connected, m_now).Count());
  }

  // The connection between two entries was held up, and the endpoint restarted
  // under its id at another version meanwhile.
  void EvidenceThatArrivesLateDoesNotProveTheNextRun() {
    Announce("v1");
    m_now += 1s;
    StreamOrigin origin;
    origin.software = m_old;
    origin.endpoint = EndpointIdKeyOf("e");
    origin.life = {m_now, m_now + 100ms};
    m_now += 100ms;
    m_origins.OnBegun(kStream, origin, m_now);
    const OriginUpdates held_up = m_origins.TakeUpdates(m_now);
    m_now += 1s;
    Announce("v2");
    m_now += 500ms;
    m_other.OnUpdates("a", held_up, m_now);
    m_now += 1s;
    Announce("v2");
    const KnownOrigin known = m_other.Find(kStream, m_now);
    CPPUNIT_ASSERT(known.state != OriginState::kKnown ||
                   known.origin.software == m_old);
  }

  void OldestOriginsAreEvicted() {
    StreamOrigins few(m_runs, {.max_age = 60s, .max_count = 2});
    for (StreamKey stream = 1; stream <= 3; ++stream)
      few.OnBegun(stream, Proven(m_old), m_now);
    CPPUNIT_ASSERT(few.Find(1, m_now).state == OriginState::kMissing);
    CPPUNIT_ASSERT(few.Find(3, m_now).state == OriginState::kKnown);
    CPPUNIT_ASSERT(few.Find(3, m_now + 61s).state == OriginState::kMissing);
    few.OnBegun(4, Proven(m_old), m_now + 61s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, few.Size());
  }

 private:
  static constexpr StreamKey kStream = 7;

  static StreamOrigin Proven(SoftwareKey software) {
    StreamOrigin origin;
    origin.software = software;
    origin.proven = true;
    return origin;
  }

  void Announce(const std::string& version) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.services = {"s"};
    record.software_version = version;
    record.sequence = ++m_sequence;
    m_directory.OnRecord(record, m_now);
    m_runs.Update(m_now);
  }

  const SoftwareKey m_old = SoftwareKeyOf("s", "v1");
  const SoftwareKey m_new = SoftwareKeyOf("s", "v2");
  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  EndpointRuns m_runs{m_directory};
  StreamOrigins m_origins{m_runs};
  StreamOrigins m_other{m_runs};
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);

}  // namespace
}  // namespace dotterelshift::gateway
