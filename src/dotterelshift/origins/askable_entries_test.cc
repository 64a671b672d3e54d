#include "dotterelshift/origins/askable_entries.h"

#include <cppunit/TestFixture.h>              // for TestFixture
#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for find

namespace dotterelshift::origins {
namespace {

// 53 entries in each of seven data centres.
class AskableEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AskableEntriesTest);
  CPPUNIT_TEST(FourOfEachOtherDataCentreAreAsked);
  CPPUNIT_TEST(EachIsAskedByAboutAsManyAsAnyOther);
  CPPUNIT_TEST(EntryThatFailsChangesTheChoiceOfThoseThatAskIt);
  CPPUNIT_TEST(SmallDataCentreIsAskedInFull);
  CPPUNIT_TEST(EntriesAreAskedForAWhileAfterTheFleetHasBecomeSmall);
  CPPUNIT_TEST(NobodyIsAskedInAFleetThatWasAlwaysSmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_entries.clear();
    for (int i = 0; i < 7; ++i)
      for (int j = 0; j < kOfEach; ++j)
        m_entries[NameOf(i)].push_back(NameOf(i) + std::to_string(j));
  }

  void FourOfEachOtherDataCentreAreAsked() {
    std::map<DataCentreId, int> asked;
    for (const DistantEntry& entry : AskableFor("a0", "a", m_entries)) {
      CPPUNIT_ASSERT(entry.address.starts_with(entry.data_centre));
      ++asked[entry.data_centre];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{6}, asked.size());
    CPPUNIT_ASSERT(!asked.contains("a"));
    for (const auto& [data_centre, count] : asked)
      CPPUNIT_ASSERT_EQUAL(4, count);
  }

  void EachIsAskedByAboutAsManyAsAnyOther() {
    std::map<std::string, int> asked;
    for (const auto& [data_centre, hosts] : m_entries) {
      for (const std::string& host : hosts) {
        const auto askable = AskableFor(host, data_centre, m_entries);
        for (const DistantEntry& entry : askable) ++asked[entry.address];
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{7} * kOfEach, asked.size());
    constexpr int kMean = 6 * 4;
    for (const auto& [address, count] : asked)
      CPPUNIT_ASSERT(count > 0 && count < 2 * kMean);
  }

  void EntryThatFailsChangesTheChoiceOfThoseThatAskIt() {
    EntryAddresses left = m_entries;
    left["b"].erase(left["b"].begin());
    int changed = 0;
    for (const std::string& host : m_entries["a"]) {
      const auto before = AskableFor(host, "a", m_entries);
      const auto after = AskableFor(host, "a", left);
      CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
      const bool asked =
          std::ranges::find(before, DistantEntry{"b0", "b"}) != before.end();
      CPPUNIT_ASSERT_EQUAL(asked, before != after);
      changed += asked ? 1 : 0;
    }
    CPPUNIT_ASSERT(changed > 0 && changed < kOfEach / 2);
  }

  void SmallDataCentreIsAskedInFull() {
    const EntryAddresses small = {
        {"a", {"a0"}}, {"b", {"b0", "b1"}}, {"c", {}}};
    CPPUNIT_ASSERT_EQUAL(size_t{2}, AskableFor("a0", "a", small).size());
  }

  void EntriesAreAskedForAWhileAfterTheFleetHasBecomeSmall() {
    const std::vector<DistantEntry> some = {{"b0", "b"}};
    const std::vector<DistantEntry> others = {{"b1", "b"}};
    AskedEntries asked;
    CPPUNIT_ASSERT(asked.OnNamed(some, m_now));
    CPPUNIT_ASSERT(asked.IsLargeFleet());
    CPPUNIT_ASSERT(!asked.OnNamed({}, m_now));
    CPPUNIT_ASSERT(!asked.OnNamed({}, m_now + 59s));
    CPPUNIT_ASSERT(asked.Entries() == some && !asked.IsLargeFleet());
    // It grows, and becomes small again.
    CPPUNIT_ASSERT(asked.OnNamed(others, m_now + 59s));
    CPPUNIT_ASSERT(asked.IsLargeFleet());
    CPPUNIT_ASSERT(!asked.OnNamed({}, m_now + 70s));
    CPPUNIT_ASSERT(!asked.OnNamed({}, m_now + 129s));
    CPPUNIT_ASSERT(asked.Entries() == others);
    CPPUNIT_ASSERT(asked.OnNamed({}, m_now + 130s));
    CPPUNIT_ASSERT(asked.Entries().empty());
  }

  void NobodyIsAskedInAFleetThatWasAlwaysSmall() {
    AskedEntries asked;
    CPPUNIT_ASSERT(!asked.OnNamed({}, m_now));
    CPPUNIT_ASSERT(asked.Entries().empty() && !asked.IsLargeFleet());
  }

 private:
  static constexpr int kOfEach = 53;

  static DataCentreId NameOf(int data_centre) {
    return DataCentreId(1, static_cast<char>('a' + data_centre));
  }

  const Instant m_now{1000s};
  EntryAddresses m_entries;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AskableEntriesTest);

}  // namespace
}  // namespace dotterelshift::origins
