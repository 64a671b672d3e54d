#include "dotterelshift/state/compact_table.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <map>     // for map
#include <random>  // for mt19937_64
#include <string>  // for string

namespace dotterelshift::state {
namespace {

struct Row {
  std::string id;
  int value = 0;
};

class CompactTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompactTableTest);
  CPPUNIT_TEST(MatchesStdMapUnderRandomChanges);
  CPPUNIT_TEST(RowAddressesAreStable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MatchesStdMapUnderRandomChanges() {
    CompactTable<Row> table;
    std::map<std::string, int> model;
    std::mt19937_64 random(5);
    CPPUNIT_ASSERT(table.Find("x") == nullptr);
    for (int step = 0; step < 50'000; ++step) {
      const std::string id = std::to_string(random() % 700);
      if (random() % 2 == 0) {
        table.Erase(id);
        model.erase(id);
      } else {
        const auto [slot, fresh] = table.FindOrAdd(id);
        CPPUNIT_ASSERT_EQUAL(!model.contains(id), fresh);
        table.At(slot).value = step;
        model[id] = step;
      }
      const std::string other = std::to_string(random() % 700);
      const Row* found = table.Find(other);
      CPPUNIT_ASSERT_EQUAL(model.contains(other), found != nullptr);
      if (found != nullptr) CPPUNIT_ASSERT_EQUAL(model[other], found->value);
    }
    std::map<std::string, int> listed;
    for (const auto& [id, row] : table) listed[id] = row.value;
    CPPUNIT_ASSERT(listed == model);
    CPPUNIT_ASSERT_EQUAL(model.size(), table.size());
  }

  void RowAddressesAreStable() {
    CompactTable<Row> table;
    const Row* first = &table.At(table.FindOrAdd("first").first);
    for (int i = 0; i < 5000; ++i) table.FindOrAdd(std::to_string(i));
    for (int i = 0; i < 5000; ++i) table.Erase(std::to_string(i));
    CPPUNIT_ASSERT(table.Find("first") == first);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompactTableTest);

}  // namespace
}  // namespace dotterelshift::state
