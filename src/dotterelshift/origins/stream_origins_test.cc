#include "dotterelshift/origins/stream_origins.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::origins {
namespace {

class StreamOriginsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginsTest);
  CPPUNIT_TEST(OtherEntryKnowsWhatItWasTold);
  CPPUNIT_TEST(StreamOfAnotherTeamIsNotFound);
  CPPUNIT_TEST(TwoOriginsThatDifferAreUnclear);
  CPPUNIT_TEST(EntryThatReturnsGetsOwnOriginsAndThoseOfDeadEntries);
  CPPUNIT_TEST(OldestOriginsAreEvicted);
  CPPUNIT_TEST(OriginIsUnclearIfItsEndpointHadStartedAgain);
  CPPUNIT_TEST(OriginStandsOnceItsEndpointHasAnnouncedItself);
  CPPUNIT_TEST(OriginStandsIfItBeganBeforeItsEndpointEnded);
  CPPUNIT_TEST(OriginInDoubtIsKnownOnceItsEndpointHasAnnouncedItself);
  CPPUNIT_TEST(OriginInDoubtIsKnownOnceItsEndpointIsCleared);
  CPPUNIT_TEST(EntryThatReturnsLearnsOfUnclearOrigins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OtherEntryKnowsWhatItWasTold() {
    m_origins.OnBegun(kStream, m_old, m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).own);
    m_other.OnUpdates("a", m_origins.TakeUpdates(), m_now);
    const KnownOrigin known = m_other.Find(kStream, m_now + 50ms);
    CPPUNIT_ASSERT(known.state == OriginState::kKnown);
    CPPUNIT_ASSERT(!known.own);
    CPPUNIT_ASSERT_EQUAL(m_old, known.software);
    CPPUNIT_ASSERT(known.age == 50ms);
    CPPUNIT_ASSERT(!m_origins.HasUpdates());
  }

  void StreamOfAnotherTeamIsNotFound() {
    m_origins.OnBegun(StreamKeyOf("t", "r1"), m_old, m_now);
    CPPUNIT_ASSERT(m_origins.Find(StreamKeyOf("u", "r1"), m_now).state ==
                   OriginState::kMissing);
  }

  void TwoOriginsThatDifferAreUnclear() {
    m_origins.OnBegun(kStream, m_old, m_now);
    m_other.OnBegun(kStream, m_new, m_now);
    m_other.OnUpdates("a", m_origins.TakeUpdates(), m_now);
    CPPUNIT_ASSERT(m_other.Find(kStream, m_now).state == OriginState::kUnclear);
  }

  void EntryThatReturnsGetsOwnOriginsAndThoseOfDeadEntries() {
    m_origins.OnBegun(1, m_old, m_now);
    m_other.OnBegun(2, m_old, m_now);
    m_origins.OnUpdates("dead", m_other.TakeUpdates(), m_now);
    m_other.OnBegun(3, m_old, m_now);
    m_origins.OnUpdates("live", m_other.TakeUpdates(), m_now);
    const auto is_connected = [](const HostId& host) { return host == "live"; };
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_origins.ForNewEntry(is_connected, m_now).size());
  }

  // The others are told, as it may be resumed there.
  void OriginIsUnclearIfItsEndpointHadStartedAgain() {
    m_origins.OnBegun(kStream, Announce(1, "old"), m_now, m_restarts, m_now);
    m_other.OnUpdates("a", m_origins.TakeUpdates(), m_now);
    Announce(2, "new");
    m_origins.Update(m_directory, m_restarts, m_now);
    m_other.OnUpdates("a", m_origins.TakeUpdates(), m_now);
    for (const StreamOrigins* origins : {&m_origins, &m_other})
      CPPUNIT_ASSERT(origins->Find(kStream, m_now).state ==
                     OriginState::kUnclear);
  }

  void OriginStandsOnceItsEndpointHasAnnouncedItself() {
    m_origins.OnBegun(kStream, Announce(1, "old"), m_now, m_restarts, m_now);
    m_now += 300ms;
    Announce(1, "old");
    m_origins.Update(m_directory, m_restarts, m_now);
    Announce(2, "new");
    m_origins.Update(m_directory, m_restarts, m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).state == OriginState::kKnown);
  }

  // A connection that is older than the endpoint's end tells which incarnation
  // began a stream.
  void OriginStandsIfItBeganBeforeItsEndpointEnded() {
    const EndpointContact endpoint = Announce(1, "old");
    m_origins.OnBegun(kStream, endpoint, m_now, m_restarts, m_now);
    m_now += 100ms;
    m_restarts.OnBroken(endpoint, m_now);
    m_origins.OnBegun(kStream + 1, endpoint, m_now, m_restarts, m_now);
    Announce(2, "new");
    m_restarts.Update(m_now);
    m_origins.Update(m_directory, m_restarts, m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).state == OriginState::kKnown);
    CPPUNIT_ASSERT(m_origins.Find(kStream + 1, m_now).state ==
                   OriginState::kMissing);
  }

  void OriginInDoubtIsKnownOnceItsEndpointHasAnnouncedItself() {
    const EndpointContact endpoint = Announce(1, "old");
    m_restarts.OnBroken(endpoint, m_now);
    m_origins.OnBegun(kStream, endpoint, m_now, m_restarts, m_now);
    m_origins.Update(m_directory, m_restarts, m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).state ==
                   OriginState::kMissing);
    m_now += 300ms;
    Announce(1, "old");
    m_origins.Update(m_directory, m_restarts, m_now);
    CPPUNIT_ASSERT_EQUAL(endpoint.software,
                         m_origins.Find(kStream, m_now).software);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_origins.TakeUpdates().size());
  }

  // An older connection still works.
  void OriginInDoubtIsKnownOnceItsEndpointIsCleared() {
    const EndpointContact endpoint = Announce(1, "old");
    m_restarts.OnBroken(endpoint, m_now);
    m_origins.OnBegun(kStream, endpoint, m_now, m_restarts, m_now);
    m_now += 80ms;
    m_restarts.OnBytes(directory::PulseKey("e", 1), m_now - 1s, m_now);
    m_origins.Update(m_directory, m_restarts, m_now);
    CPPUNIT_ASSERT(m_origins.Find(kStream, m_now).state == OriginState::kKnown);
  }

  void EntryThatReturnsLearnsOfUnclearOrigins() {
    m_origins.OnBegun(kStream, m_old, m_now);
    m_origins.OnBegun(kStream, m_new, m_now);
    m_other.OnUpdates(
        "a", m_origins.ForNewEntry([](const HostId&) { return true; }, m_now),
        m_now);
    CPPUNIT_ASSERT(m_other.Find(kStream, m_now).state == OriginState::kUnclear);
  }

  void OldestOriginsAreEvicted() {
    StreamOrigins few({.max_age = 60s, .max_count = 2});
    for (StreamKey stream = 1; stream <= 3; ++stream)
      few.OnBegun(stream, m_old, m_now);
    CPPUNIT_ASSERT(few.Find(1, m_now).state == OriginState::kMissing);
    CPPUNIT_ASSERT(few.Find(3, m_now).state == OriginState::kKnown);
    CPPUNIT_ASSERT(few.Find(3, m_now + 61s).state == OriginState::kMissing);
    few.OnBegun(4, m_old, m_now + 61s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, few.Size());
  }

 private:
  static constexpr StreamKey kStream = 7;

  EndpointContact Announce(uint64_t incarnation, const std::string& version) {
    wire::EndpointRecordT record;
    record.id = "e";
    record.incarnation = incarnation;
    record.sequence = ++m_sequence;
    record.services = {"s"};
    record.software_version = version;
    m_directory.OnRecord(record, m_now);
    EndpointContact contact;
    contact.id = record.id;
    contact.incarnation = incarnation;
    contact.software_version = version;
    contact.software = SoftwareKeyOf(record);
    return contact;
  }

  const SoftwareKey m_old = SoftwareKeyOf("s", "v1");
  const SoftwareKey m_new = SoftwareKeyOf("s", "v2");
  Instant m_now{1000s};
  uint64_t m_sequence = 0;
  directory::Directory m_directory;
  RestartSuspects m_restarts{m_directory};
  StreamOrigins m_origins;
  StreamOrigins m_other;
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);

}  // namespace
}  // namespace dotterelshift::origins
