#include "dotterelshift/routing/prefix_index.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string

namespace dotterelshift::routing {
namespace {

constexpr uint32_t kEndpointNumber = 1;
constexpr uint64_t kHash = 77;

struct Event {
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t hash;
  bool stored;
};

// Events in the order of arrival, and whether the prefix is then believed to be
// cached.
struct Case {
  std::string name;
  std::vector<Event> events;
  bool cached;
};

const std::vector<Case> kCases = {
    {"stored", {{1, 1, kHash, true}}, true},
    {"stored, then dropped",
     {{1, 1, kHash, true}, {1, 2, kHash, false}},
     false},
    {"a gap invalidates earlier events",
     {{1, 1, kHash, true}, {1, 3, 5, true}},
     false},
    {"stored again after a gap",
     {{1, 1, kHash, true}, {1, 3, kHash, true}},
     true},
    {"a late event is ignored",
     {{1, 1, 5, true}, {1, 3, 5, true}, {1, 2, kHash, true}},
     false},
    {"a duplicate event is ignored",
     {{1, 1, kHash, true}, {1, 1, kHash, false}},
     true},
    {"a new incarnation has an empty cache",
     {{1, 1, kHash, true}, {2, 1, 5, true}},
     false},
    {"an event of an older incarnation is ignored",
     {{2, 1, 5, true}, {1, 9, kHash, true}},
     false},
};

class PrefixIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixIndexTest);
  CPPUNIT_TEST(EventTable);
  CPPUNIT_TEST(LongestKnownPrefixIsFound);
  CPPUNIT_TEST(InvalidateForgetsSentPrompts);
  CPPUNIT_TEST(StaysBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EventTable() {
    for (const Case& test : kCases) {
      PrefixIndex index;
      for (const Event& event : test.events)
        index.OnEvent(kEndpointNumber, event.incarnation, event.sequence,
                      event.hash, event.stored);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.cached,
                                   index.Find({kHash}).count > 0);
    }
  }

  void LongestKnownPrefixIsFound() {
    PrefixIndex index;
    index.OnSent(1, {10, 11});
    index.OnSent(2, {10, 11, 12, 13, 14});
    const PrefixMatch match = index.Find({10, 11, 12, 13, 99});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, match.blocks);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, match.count);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, match.holders[0].endpoint_number);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, index.Find({10, 11, 98, 99}).count);
  }

  void InvalidateForgetsSentPrompts() {
    PrefixIndex index;
    index.OnSent(kEndpointNumber, {kHash});
    index.Invalidate(kEndpointNumber);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, index.Find({kHash}).count);
  }

  void StaysBounded() {
    PrefixIndex index(1000);
    for (uint64_t hash = 1; hash <= 10'000; ++hash)
      index.OnSent(kEndpointNumber, {hash});
    CPPUNIT_ASSERT(index.size() <= 1000);
    CPPUNIT_ASSERT(index.Find({10'000}).count > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixIndexTest);

}  // namespace
}  // namespace dotterelshift::routing
