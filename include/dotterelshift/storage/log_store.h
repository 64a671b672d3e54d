#ifndef DOTTERELSHIFT_STORAGE_LOG_STORE_H_
#define DOTTERELSHIFT_STORAGE_LOG_STORE_H_

#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/replication/node.h"  // for Ready, RestoredLog

namespace dotterelshift::storage {

struct LogStoreOptions {
  std::string folder;
  size_t segment_bytes = 64 << 20;
};

// The restored state of the data folder.
struct OpenedStore {
  replication::RestoredLog log;
  std::string snapshot;  // serialized state at log.snapshot.last_index
  std::vector<std::string> spool;  // spool records that were not cleared
  bool fresh = false;              // the folder was empty, the replica is new
};

// The data folder of a control replica: identity, hard state, checksummed log
// segments, snapshots and the spool of settlements. Only one process can use it
// at a time. Throws Error(kStorageFull), Error(kStorageFailed) and
// Error(kStorageDamaged). After a failed sync, every operation fails, because
// the contents of the disk are unknown.
class LogStore {
 public:
  virtual ~LogStore() = default;
  // Writes the contents of a Ready and syncs once. They are durable on return.
  virtual void Write(const replication::Ready& ready) = 0;
  // Stores a snapshot of the state, then removes the segments that it covers.
  virtual void SaveSnapshot(const replication::SnapshotMeta& meta,
                            const std::string& bytes) = 0;
  virtual void AppendSpool(const std::string& record) = 0;  // durable on return
  virtual void ClearSpool() = 0;
  virtual uint64_t LogBytes() const = 0;
};

// Opens or creates the folder. A torn write at the end of the log is truncated;
// damage anywhere else throws Error(kStorageDamaged) with file and offset.
std::pair<std::unique_ptr<LogStore>, OpenedStore> OpenLogStore(
    const LogStoreOptions& options);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_LOG_STORE_H_
