#ifndef DOTTERELSHIFT_STORAGE_STORE_H_
#define DOTTERELSHIFT_STORAGE_STORE_H_

#include <cstdint>      // for uint64_t
#include <deque>        // for deque
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair

#include "dotterelshift/storage/file_system.h"  // for FileSystem
#include "dotterelshift/storage/format.h"       // for FileKind
#include "dotterelshift/storage/log_store.h"    // for LogStore
#include "dotterelshift/storage/restore.h"      // for LogRestorer

namespace dotterelshift::storage {

// The log store behind OpenLogStore(), for any file system. store_open.h
// defines the functions that open the store, store_write.h those that write to
// it.
//
// Files of the folder: `lock` (locked while a process uses the folder),
// `identity`, `log-N` (segments; N is the number of the first block),
// `snapshot-N` (N is the last index), `spool`, and `new-*` (incomplete files
// that were not renamed yet; removed when the store is opened).
template <FileSystem Files>
class Store final : public LogStore {
 public:
  Store(Files files, const LogStoreOptions& options)
      : m_files(std::move(files)), m_options(options) {}
  ~Store() override;
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  OpenedStore Open();

  void Write(const replication::Ready& ready) override;
  void SaveSnapshot(const replication::SnapshotMeta& meta,
                    const std::string& bytes) override;
  void AppendSpool(const std::string& record) override;
  void ClearSpool() override;
  uint64_t LogBytes() const override;

 private:
  static constexpr int kNotOpen = -1;

  struct Segment {
    std::string path;
    uint64_t bytes = 0;
    uint64_t largest_index = 0;  // of its entries
  };
  // An append-only file. The first `bytes` bytes are known to be valid.
  struct OpenFile {
    std::string path;
    int descriptor = kNotOpen;
    uint64_t bytes = 0;
  };
  struct Listing {
    std::vector<std::string> segments;   // in order
    std::vector<std::string> snapshots;  // in order
    bool has_identity = false;
  };

  // Opening.
  void LockFolder();
  Listing ListFolder();
  void RemoveUnfinished(const Listing& listing);
  std::string ReadFile(const std::string& path);
  void MakeIdentity();
  void ReadIdentity();
  void ReadSnapshot(const Listing& listing, replication::SnapshotMeta* meta,
                    std::string* bytes);
  void ReadSegments(const Listing& listing, LogRestorer* restorer);
  void ReadSpool(std::vector<std::string>* records);

  // Writing.
  std::string Path(const std::string& name) const;
  void OpenFileAt(const std::string& path, OpenFile* file);
  void CloseFile(OpenFile* file);
  // Appends to an open file and syncs it. A failed write is undone by
  // truncating the file; a failed sync disables the store.
  void AppendAndSync(OpenFile* file, std::string_view bytes);
  void WriteWholeFile(const std::string& name, std::string_view content);
  void StartSegment();
  void WriteSnapshotFile(const replication::SnapshotMeta& meta,
                         const std::string& bytes);
  void RemoveBefore(uint64_t snapshot_index);
  // Throws if `error` is not 0: Error(kStorageFull) if the disk or quota is
  // full, otherwise Error(kStorageFailed).
  void Check(int error, const std::string& path);
  [[noreturn]] void Fail(int error, const std::string& path);
  void CheckUsable() const;

  Files m_files;
  const LogStoreOptions m_options;
  OpenFile m_lock;
  OpenFile m_segment;  // the last one
  OpenFile m_spool;
  std::deque<Segment> m_segments;  // all, including the last one
  ReplicaId m_self = 0;
  replication::HardState m_hard_state;
  uint64_t m_next_block = 1;
  uint64_t m_next_spool_block = 1;
  uint64_t m_snapshot_index = 0;
  bool m_has_snapshot = false;
  // Set if the next write must restart the log after this snapshot.
  std::unique_ptr<replication::SnapshotMeta> m_reset;
  std::string m_failed;  // why the store is disabled; empty if it is usable
};

}  // namespace dotterelshift::storage

#include "dotterelshift/storage/store_open.h"   // IWYU pragma: export
#include "dotterelshift/storage/store_write.h"  // IWYU pragma: export

#endif  // DOTTERELSHIFT_STORAGE_STORE_H_
