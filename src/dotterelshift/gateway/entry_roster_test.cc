#include "dotterelshift/gateway/entry_roster.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

class EntryRosterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRosterTest);
  CPPUNIT_TEST(LostEntryIsCountedForAWhile);
  CPPUNIT_TEST(EntryThatReturnsKeepsItsPlace);
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
