#include "dotterelshift/storage/log_store.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <string>  // for string

#include "dotterelshift/base/temporary_folder.h"  // for TemporaryFolder

namespace dotterelshift::storage {
namespace {

using replication::Ready;

wire::LogEntryT EntryOf(uint64_t index, uint64_t term) {
  wire::LogEntryT entry;
  entry.index = index;
  entry.term = term;
  entry.payload.assign(index % 64, static_cast<uint8_t>(index));
  return entry;
}

Ready Appends(uint64_t first, uint64_t last, uint64_t term) {
  Ready ready;
  for (uint64_t index = first; index <= last; ++index)
    ready.append.push_back(EntryOf(index, term));
  return ready;
}

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(WrittenLogIsRestored);
  CPPUNIT_TEST(SnapshotRemovesOldSegments);
  CPPUNIT_TEST(InstalledSnapshotReplacesTheLog);
  CPPUNIT_TEST(SpoolIsKeptUntilCleared);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WrittenLogIsRestored() {
    const TemporaryFolder folder;
    ReplicaId self = 0;
    {
      auto [store, opened] = OpenLogStore({folder.Path()});
      CPPUNIT_ASSERT(opened.fresh);
      self = opened.log.self;
      CPPUNIT_ASSERT(self != 0);
      Ready ready = Appends(1, 10, 1);
      ready.hard_state = {1, self};
      store->Write(ready);
      ready = Appends(6, 7, 2);
      ready.truncate_from = 6;
      ready.hard_state = {2, 99};
      store->Write(ready);
    }
    auto [store, opened] = OpenLogStore({folder.Path()});
    CPPUNIT_ASSERT(!opened.fresh);
    CPPUNIT_ASSERT_EQUAL(self, opened.log.self);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, opened.log.hard_state.term);
    CPPUNIT_ASSERT_EQUAL(uint64_t{99}, opened.log.hard_state.voted_for);
    CPPUNIT_ASSERT_EQUAL(size_t{7}, opened.log.entries.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, opened.log.entries[5].term);
    CPPUNIT_ASSERT(EntryOf(7, 2).payload == opened.log.entries[6].payload);
  }

  void SnapshotRemovesOldSegments() {
    const TemporaryFolder folder;
    {
      auto [store, opened] = OpenLogStore({folder.Path(), 1024});
      for (uint64_t index = 1; index <= 200; ++index)
        store->Write(Appends(index, index, 1));
      const uint64_t before = store->LogBytes();
      store->SaveSnapshot({150, 1, {}}, "state at 150");
      CPPUNIT_ASSERT(store->LogBytes() < before / 2);
      store->Write(Appends(201, 201, 1));
    }
    auto [store, opened] = OpenLogStore({folder.Path(), 1024});
    CPPUNIT_ASSERT_EQUAL(uint64_t{150}, opened.log.snapshot.last_index);
    CPPUNIT_ASSERT_EQUAL(std::string("state at 150"), opened.snapshot);
    CPPUNIT_ASSERT_EQUAL(size_t{51}, opened.log.entries.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{151}, opened.log.entries[0].index);
  }

  void InstalledSnapshotReplacesTheLog() {
    const TemporaryFolder folder;
    {
      auto [store, opened] = OpenLogStore({folder.Path()});
      store->Write(Appends(1, 20, 1));
      Ready install;
      install.install.emplace(replication::SnapshotMeta{100, 3, {}}, "state");
      store->Write(install);
      store->Write(Appends(101, 103, 3));
    }
    auto [store, opened] = OpenLogStore({folder.Path()});
    CPPUNIT_ASSERT_EQUAL(uint64_t{100}, opened.log.snapshot.last_index);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, opened.log.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("state"), opened.snapshot);
  }

  void SpoolIsKeptUntilCleared() {
    const TemporaryFolder folder;
    {
      auto [store, opened] = OpenLogStore({folder.Path()});
      store->AppendSpool("one");
      store->AppendSpool("two");
    }
    {
      auto [store, opened] = OpenLogStore({folder.Path()});
      CPPUNIT_ASSERT((opened.spool == std::vector<std::string>{"one", "two"}));
      store->ClearSpool();
      store->AppendSpool("three");
    }
    auto [store, opened] = OpenLogStore({folder.Path()});
    CPPUNIT_ASSERT(opened.spool == std::vector<std::string>{"three"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace dotterelshift::storage
