#include "dotterelshift/gateway/entry_roster.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class EntryRosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRosterTest);
  CPPUNIT_TEST(LostEntryIsCountedForAWhile);
  CPPUNIT_TEST(EntryThatReturnsKeepsItsPlace);
  CPPUNIT_TEST(EntriesAreCountedByDataCentreAndSinceTheirFirstRun);
  CPPUNIT_TEST_SUITE_END();

  void LostEntryIsCountedForAWhile() {
    m_roster.OnDisconnected("a", m_now);
    ExpectPlaceOfC(2, 3, m_now + 10s - 1ms);
    ExpectPlaceOfC(1, 2, m_now + 10s);
  }

  void EntryThatReturnsKeepsItsPlace() {
    m_roster.OnDisconnected("a", m_now);
    m_roster.OnConnected("a");
    ExpectPlaceOfC(2, 3, m_now + 60s);
  }

  void EntriesAreCountedByDataCentreAndSinceTheirFirstRun() {
    for (const char* host : {"d", "e"}) m_roster.OnConnected(host, "z1");
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_roster.PlaceOf("d", m_now).in_data_centre);
    CPPUNIT_ASSERT_EQUAL(size_t{3},
                         m_roster.PlaceOf("c", m_now).in_data_centre);
    m_roster.OnDisconnected("d", m_now + 1s);
    m_roster.OnConnected("d", "z1");
    CPPUNIT_ASSERT(m_roster.PlaceOf("d", m_now + 5s).counted_for == 5s);
    m_roster.OnDisconnected("d", m_now + 5s);
    m_roster.PlaceOf("c", m_now + 20s);
    m_roster.OnConnected("d", "z1");
    CPPUNIT_ASSERT(m_roster.PlaceOf("d", m_now + 21s).counted_for == 0s);
  }

  void ExpectPlaceOfC(size_t index, size_t count, Instant now) {
    const EntryRoster::Place place = m_roster.PlaceOf("c", now);
    CPPUNIT_ASSERT_EQUAL(index, place.index);
    CPPUNIT_ASSERT_EQUAL(count, place.count);
  }

 public:
  void setUp() override {
    for (const char* host : {"a", "b", "c"}) m_roster.OnConnected(host);
  }

 private:
  const Instant m_now = Instant(1000s);
  EntryRoster m_roster{10s};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryRosterTest);

}  // namespace
}  // namespace dotterelshift::gateway
