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
  CPPUNIT_TEST(EntryThatReturnsGetsOwnOriginsAndThoseOfDeadEntries);
  CPPUNIT_TEST(OldestOriginsAreEvicted);
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

  const SoftwareKey m_old = SoftwareKeyOf("s", "v1");
  const SoftwareKey m_new = SoftwareKeyOf("s", "v2");
  Instant m_now{1000s};
  StreamOrigins m_origins;
  StreamOrigins m_other;
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);

}  // namespace
}  // namespace dotterelshift::gateway
