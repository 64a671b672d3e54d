#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cerrno>      // for ENOSPC
#include <filesystem>  // for resize_file, file_size
#include <fstream>     // for fstream
#include <functional>  // for function
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/error.h"                    // for Error
#include "dotterelshift/base/temporary_folder.h"         // for TemporaryFolder
#include "dotterelshift/storage/departure_file.h"        // for DepartureFile
#include "dotterelshift/storage/faulty_files_testing.h"  // for FaultyFiles

namespace dotterelshift::storage {
namespace {

constexpr WallMs kNow = 1'000'000'000;

using Strings = std::vector<std::string>;

class DepartureStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureStoreTest);
  CPPUNIT_TEST(RecordsOutliveTheProcess);
  CPPUNIT_TEST(PassedRecordsAreDropped);
  CPPUNIT_TEST(FileIsWrittenAnewAboveItsSize);
  CPPUNIT_TEST(TornEndIsRemoved);
  CPPUNIT_TEST(DamageIsReported);
  CPPUNIT_TEST(FullDiskRefusesAndRecovers);
  CPPUNIT_TEST(NothingIsAcceptedAfterAFailedSync);
  CPPUNIT_TEST(CrashAtAnyOperationLosesNoSyncedRecord);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RecordsOutliveTheProcess() {
    CPPUNIT_ASSERT(Kept(kNow).empty());
    Add({"a", "b"}, kNow);
    Add({"c"}, kNow + 1);
    CPPUNIT_ASSERT((Kept(kNow + 2) == Strings{"a", "b", "c"}));
  }

  void PassedRecordsAreDropped() {
    const WallMs keep = ToMs(m_options.keep);
    Add({"old"}, kNow);
    Add({"new"}, kNow + keep);
    CPPUNIT_ASSERT(Kept(kNow + keep) == Strings{"new"});
  }

  void FileIsWrittenAnewAboveItsSize() {
    m_options.max_bytes = 1000;
    const WallMs keep = ToMs(m_options.keep);
    auto [store, kept] = OpenDepartureStore(m_options, kNow);
    for (int i = 0; i < 200; ++i)
      store->Append({std::string(100, 'x')}, kNow + i * keep);
    CPPUNIT_ASSERT(std::filesystem::file_size(File()) < 2000);
  }

  void TornEndIsRemoved() {
    Add({"whole"}, kNow);
    const auto whole = std::filesystem::file_size(File());
    Add({"torn"}, kNow);
    for (auto size = std::filesystem::file_size(File()) - 1; size > whole;
         --size) {
      std::filesystem::resize_file(File(), size);
      CPPUNIT_ASSERT(Kept(kNow) == Strings{"whole"});
      CPPUNIT_ASSERT_EQUAL(whole, std::filesystem::file_size(File()));
      Add({"torn"}, kNow);
    }
    std::filesystem::resize_file(File(), kFileHeaderBytes - 1);
    CPPUNIT_ASSERT(Kept(kNow).empty());
    Add({"again"}, kNow);
    CPPUNIT_ASSERT(Kept(kNow) == Strings{"again"});
  }

  void DamageIsReported() {
    Add({"first"}, kNow);
    Add({"second"}, kNow);
    std::fstream file(File(), std::ios::in | std::ios::out);
    file.seekp(kFileHeaderBytes + kBlockHeaderBytes);
    file << "damage";
    file.close();
    CPPUNIT_ASSERT(KindOf([this] { Kept(kNow); }) ==
                   ErrorKind::kStorageDamaged);
  }

  void FullDiskRefusesAndRecovers() {
    Fault fault;
    FaultyFiles files(&fault);
    DepartureFile<FaultyFiles> store(files, m_options);
    store.Open(kNow);
    for (const char* record : {"a", "b", "c"}) {
      fault = {Operation::kAppend, ENOSPC, 0, false};
      CPPUNIT_ASSERT(KindOf([&] { store.Append({"refused"}, kNow); }) ==
                     ErrorKind::kStorageFull);
      store.Append({record}, kNow);
    }
    CPPUNIT_ASSERT((Kept(kNow) == Strings{"a", "b", "c"}));
  }

  void NothingIsAcceptedAfterAFailedSync() {
    Fault fault;
    FaultyFiles files(&fault);
    DepartureFile<FaultyFiles> store(files, m_options);
    store.Open(kNow);
    store.Append({"a"}, kNow);
    fault = {Operation::kSync, EIO, 0, false};
    for (int i = 0; i < 2; ++i)
      CPPUNIT_ASSERT(KindOf([&] { store.Append({"b"}, kNow); }) ==
                     ErrorKind::kStorageFailed);
  }

  // All operations of one kind fail from the n-th call on, for each n until no
  // call fails. The file must then open with all records that were accepted.
  void CrashAtAnyOperationLosesNoSyncedRecord() {
    m_options.max_bytes = 200;
    int crashes = 0;
    for (const Operation operation :
         {Operation::kOpen, Operation::kAppend, Operation::kSync,
          Operation::kTruncate, Operation::kRename}) {
      bool crashed = true;
      for (int after = 0; crashed; ++after) {
        const TemporaryFolder folder;
        m_options.folder = folder.Path();
        Fault fault{operation, EIO, after, true};
        size_t accepted = 0;
        crashed =
            KindOf([&] { WriteSome(&fault, &accepted); }) != ErrorKind::kNone;
        crashes += crashed ? 1 : 0;
        const size_t kept = Kept(kNow).size();
        CPPUNIT_ASSERT(kept == accepted || kept == accepted + 1);
      }
    }
    CPPUNIT_ASSERT(crashes > 20);
  }

 private:
  std::string File() const { return m_options.folder + "/departures"; }

  void Add(const Strings& records, WallMs now) const {
    OpenDepartureStore(m_options, now).first->Append(records, now);
  }

  Strings Kept(WallMs now) const {
    Strings records;
    for (const auto& departure : OpenDepartureStore(m_options, now).second)
      records.push_back(departure.record);
    return records;
  }

  void WriteSome(Fault* fault, size_t* accepted) const {
    FaultyFiles files(fault);
    DepartureFile<FaultyFiles> store(files, m_options);
    store.Open(kNow);
    constexpr size_t kRecords = 12;
    while (*accepted < kRecords) {
      store.Append({"record"}, kNow);
      ++*accepted;
    }
  }

  TemporaryFolder m_folder;
  DepartureStoreOptions m_options{.folder = m_folder.Path()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureStoreTest);

}  // namespace
}  // namespace dotterelshift::storage
