#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <cerrno>      // for ENOSPC
#include <filesystem>  // for directory_iterator
#include <fstream>     // for ofstream
#include <functional>  // for function

#include "dotterelshift/base/error.h"                    // for Error
#include "dotterelshift/base/temporary_folder.h"         // for TemporaryFolder
#include "dotterelshift/storage/faulty_files_testing.h"  // for FaultyFiles
#include "dotterelshift/storage/store.h"                 // for Store

namespace dotterelshift::storage {
namespace {

using replication::Ready;

Ready EntryAt(uint64_t index) {
  Ready ready;
  wire::LogEntryT& entry = ready.append.emplace_back();
  entry.index = index;
  entry.term = 1;
  entry.payload.assign(100, static_cast<uint8_t>(index));
  return ready;
}

constexpr size_t kSegmentBytes = 512;  // two or three entries

void Fill(const std::string& folder, uint64_t entries, uint64_t snapshot) {
  auto [store, opened] = OpenLogStore({folder, kSegmentBytes});
  for (uint64_t index = 1; index <= entries; ++index) {
    store->Write(EntryAt(index));
    if (index == snapshot) store->SaveSnapshot({index, 1, {}}, "state");
  }
}

// Returns the first or last file in the folder whose name starts with a prefix.
std::string FileOf(const std::string& folder, const std::string& prefix,
                   bool last) {
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().filename().string().starts_with(prefix))
      paths.push_back(entry.path().string());
  std::sort(paths.begin(), paths.end());
  return last ? paths.back() : paths.front();
}

void Edit(const std::string& path,
          const std::function<void(std::string&)>& change) {
  std::string content;
  PosixFileSystem().Read(path, &content);
  change(content);
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

// Damage to a file of the folder, and the expected result of opening it.
struct DamageCase {
  const char* name;
  const char* file;  // prefix of the file name
  bool last;         // false: the first of several files
  void (*change)(std::string&);
  uint64_t entries;        // expected without an error
  const char* error_text;  // substring of the expected error; null: no error
};

constexpr uint64_t kEntries = 10;

const DamageCase kDamageCases[] = {
    {"torn tail", "log-", true, [](std::string& c) { c.resize(c.size() - 9); },
     kEntries - 1, nullptr},
    {"torn header", "log-", true, [](std::string& c) { c += "DTSB"; }, kEntries,
     nullptr},
    {"zeros after the end", "log-", true,
     [](std::string& c) { c.append(4096, '\0'); }, kEntries, nullptr},
    {"garbage after the end", "log-", true,
     [](std::string& c) { c.append(300, '\x5a'); }, kEntries, nullptr},
    {"a block before the last", "log-", true,
     [](std::string& c) { c[60] ^= 1; }, 0, "offset 24"},
    {"a length before the last", "log-", true,
     [](std::string& c) { c[28] ^= 1; }, 0, "offset 24"},
    {"an older segment", "log-", false,
     [](std::string& c) { c[c.size() - 20] ^= 1; }, 0, "log-"},
    {"an older segment's end", "log-", false,
     [](std::string& c) { c.resize(c.size() - 8); }, 0, "log-"},
    {"a newer format", "log-", true,
     [](std::string& c) {
       c.replace(0, kFileHeaderBytes,
                 EncodeFileHeader(FileKind::kLog, kFormatVersion + 1));
     },
     0, "format version 2"},
    {"another kind of file", "log-", true,
     [](std::string& c) {
       c.replace(0, kFileHeaderBytes, EncodeFileHeader(FileKind::kSpool));
     },
     0, "header"},
    {"the identity", "identity", true, [](std::string& c) { c[60] ^= 1; }, 0,
     "identity"},
    {"the identity's end", "identity", true,
     [](std::string& c) { c.resize(kFileHeaderBytes); }, 0, "identity"},
    {"the spool's header", "spool", true, [](std::string& c) { c[1] ^= 1; }, 0,
     "spool"},
};

class StoreFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFaultsTest);
  CPPUNIT_TEST(DamagedFiles);
  CPPUNIT_TEST(MissingFiles);
  CPPUNIT_TEST(DamagedSnapshotIsRefused);
  CPPUNIT_TEST(FailingOperations);
  CPPUNIT_TEST(NothingIsAcceptedAfterAFailedSync);
  CPPUNIT_TEST(WritesResumeOnceSpaceIsAvailable);
  CPPUNIT_TEST(SecondProcessIsRefused);
  CPPUNIT_TEST(WipedFolderIsANewReplica);
  CPPUNIT_TEST(CrashAtAnyOperationLosesNoSyncedData);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedFiles() {
    for (const DamageCase& row : kDamageCases) {
      const TemporaryFolder folder;
      Fill(folder.Path(), kEntries, 0);
      const std::string path = FileOf(folder.Path(), row.file, row.last);
      Edit(path, row.change);
      std::string error_text;
      size_t entries = 0;
      try {
        entries = OpenLogStore({folder.Path()}).second.log.entries.size();
      } catch (const Error& error) {
        CPPUNIT_ASSERT_MESSAGE(row.name,
                               error.Kind() == ErrorKind::kStorageDamaged);
        error_text = error.what();
      }
      if (row.error_text == nullptr) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(), error_text);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, size_t{row.entries}, entries);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(
          row.name + (": " + error_text),
          error_text.find(row.error_text) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          row.name, error_text.find(path) != std::string::npos &&
                        error_text.find("offset") != std::string::npos);
    }
  }

  void MissingFiles() {
    struct Case {
      const char* name;
      std::vector<std::string> removed;  // file name prefixes
      bool only_first;
    };
    const Case cases[] = {
        {"the identity", {"identity"}, false},
        {"all segments", {"log-"}, false},
        {"the oldest segment", {"log-"}, true},
        {"the log, under a snapshot", {"log-0"}, false},
    };
    for (const Case& row : cases) {
      const TemporaryFolder folder;
      Fill(folder.Path(), kEntries, 0);
      for (const std::string& prefix : row.removed) {
        std::string path = FileOf(folder.Path(), prefix, false);
        std::filesystem::remove(path);
        if (row.only_first) continue;
        for (const auto& entry :
             std::filesystem::directory_iterator(folder.Path()))
          if (entry.path().filename().string().starts_with(prefix))
            std::filesystem::remove(entry.path());
      }
      CPPUNIT_ASSERT_MESSAGE(row.name, KindOf([&] {
                                         OpenLogStore({folder.Path()});
                                       }) == ErrorKind::kStorageDamaged);
    }
  }

  void DamagedSnapshotIsRefused() {
    const TemporaryFolder folder;
    Fill(folder.Path(), kEntries, 5);
    CPPUNIT_ASSERT_EQUAL(
        size_t{kEntries - 5},
        OpenLogStore({folder.Path()}).second.log.entries.size());
    Edit(FileOf(folder.Path(), "snapshot-", true),
         [](std::string& content) { content[content.size() - 10] ^= 1; });
    CPPUNIT_ASSERT(KindOf([&] { OpenLogStore({folder.Path()}); }) ==
                   ErrorKind::kStorageDamaged);
  }

  void FailingOperations() {
    struct Case {
      const char* name;
      Fault fault;
      ErrorKind opening;  // expected when opening a new folder with the fault
      ErrorKind writing;  // expected when the fault starts after opening
      ErrorKind snapshot;
    };
    using enum ErrorKind;
    const Case cases[] = {
        {"full",
         {Operation::kAppend, ENOSPC},
         kStorageFull,
         kStorageFull,
         kStorageFull},
        {"quota",
         {Operation::kAppend, EDQUOT},
         kStorageFull,
         kStorageFull,
         kStorageFull},
        {"write error",
         {Operation::kAppend, EIO},
         kStorageFailed,
         kStorageFailed,
         kStorageFailed},
        {"sync error",
         {Operation::kSync, EIO},
         kStorageFailed,
         kStorageFailed,
         kStorageFailed},
        {"full at sync",
         {Operation::kSync, ENOSPC},
         kStorageFailed,
         kStorageFailed,
         kStorageFailed},
        {"read-only",
         {Operation::kMakeFolder, EROFS},
         kStorageFailed,
         kNone,
         kNone},
        {"read-only files",
         {Operation::kOpen, EROFS},
         kStorageFailed,
         kNone,
         kStorageFailed},
        {"rename error",
         {Operation::kRename, EIO},
         kStorageFailed,
         kNone,
         kStorageFailed},
    };
    for (const Case& row : cases) {
      const TemporaryFolder fresh;
      Fault fault = row.fault;
      Store<FaultyFiles> incomplete(FaultyFiles(&fault), {fresh.Path()});
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             KindOf([&] { incomplete.Open(); }) == row.opening);
      const TemporaryFolder folder;
      Fault later;
      Store<FaultyFiles> store(FaultyFiles(&later), {folder.Path()});
      store.Open();
      store.Write(EntryAt(1));
      later = row.fault;
      CPPUNIT_ASSERT_MESSAGE(
          row.name, KindOf([&] { store.Write(EntryAt(2)); }) == row.writing);
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             KindOf([&] {
                               store.SaveSnapshot({1, 1, {}}, "state");
                             }) == row.snapshot);
    }
  }

  void NothingIsAcceptedAfterAFailedSync() {
    const TemporaryFolder folder;
    Fault fault;
    Store<FaultyFiles> store(FaultyFiles(&fault), {folder.Path()});
    store.Open();
    fault = {Operation::kSync, EIO, 0, false};
    const std::function<void()> actions[] = {
        [&] { store.Write(EntryAt(1)); }, [&] { store.Write(EntryAt(1)); },
        [&] { store.AppendSpool("record"); }, [&] { store.ClearSpool(); },
        [&] {
          store.SaveSnapshot({0, 0, {}}, "state");
        }};
    for (const auto& action : actions)
      CPPUNIT_ASSERT(KindOf(action) == ErrorKind::kStorageFailed);
  }

  void WritesResumeOnceSpaceIsAvailable() {
    const TemporaryFolder folder;
    {
      Fault fault;
      Store<FaultyFiles> store(FaultyFiles(&fault),
                               {folder.Path(), kSegmentBytes});
      store.Open();
      for (uint64_t index = 1; index <= kEntries; ++index) {
        fault = {Operation::kAppend, ENOSPC, 0, false};
        CPPUNIT_ASSERT(KindOf([&] { store.Write(EntryAt(index)); }) ==
                       ErrorKind::kStorageFull);
        store.Write(EntryAt(index));
      }
    }
    CPPUNIT_ASSERT_EQUAL(
        size_t{kEntries},
        OpenLogStore({folder.Path()}).second.log.entries.size());
  }

  void SecondProcessIsRefused() {
    const TemporaryFolder folder;
    const auto first = OpenLogStore({folder.Path()});
    CPPUNIT_ASSERT(KindOf([&] { OpenLogStore({folder.Path()}); }) ==
                   ErrorKind::kStorageFailed);
  }

  void WipedFolderIsANewReplica() {
    const TemporaryFolder folder;
    const ReplicaId before = OpenLogStore({folder.Path()}).second.log.self;
    std::filesystem::remove_all(folder.Path());
    const OpenedStore opened = OpenLogStore({folder.Path()}).second;
    CPPUNIT_ASSERT(opened.fresh);
    CPPUNIT_ASSERT(opened.log.self != before);
  }

  // All operations of one kind fail from the n-th call on, for each n until no
  // call fails. The folder must then open with all synced entries.
  void CrashAtAnyOperationLosesNoSyncedData() {
    int crashes = 0;
    for (const Operation operation :
         {Operation::kOpen, Operation::kAppend, Operation::kSync,
          Operation::kTruncate, Operation::kRename}) {
      bool crashed = true;
      for (int after = 0; crashed; ++after) {
        const TemporaryFolder folder;
        Fault fault{operation, EIO, after, true};
        uint64_t synced = 0;
        crashed = KindOf([&] { WriteSome(folder.Path(), &fault, &synced); }) !=
                  ErrorKind::kNone;
        crashes += crashed ? 1 : 0;
        const auto opened = OpenLogStore({folder.Path()}).second;
        const uint64_t last =
            opened.log.snapshot.last_index + opened.log.entries.size();
        CPPUNIT_ASSERT(last == synced || last == synced + 1);
      }
    }
    CPPUNIT_ASSERT(crashes > 50);
  }

 private:
  static void WriteSome(const std::string& folder, Fault* fault,
                        uint64_t* synced) {
    Store<FaultyFiles> store(FaultyFiles(fault), {folder, kSegmentBytes});
    store.Open();
    for (uint64_t index = 1; index <= kEntries; ++index) {
      store.Write(EntryAt(index));
      *synced = index;
      if (index % 4 == 0) store.SaveSnapshot({index, 1, {}}, "state");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFaultsTest);

}  // namespace
}  // namespace dotterelshift::storage
