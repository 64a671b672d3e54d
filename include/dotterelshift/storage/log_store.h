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

// What was found, besides the node's part.
struct OpenedStore {
  replication::RestoredLog log;
  std::string snapshot;  // bytes of the state at log.snapshot.last_index
  std::vector<std::string> spool;  // records of Spool that were not cleared
  bool fresh = false;              // the folder was empty: a new replica
};

// The data folder of a control replica: identity, hard state, checksummed
// segments, snapshots, the spool of settlements. One process at a time. Errors
// are Error(kStorageFull), (kStorageFailed) and (kStorageDamaged); after a
// failed sync the store refuses everything, because what is on disk is no
// longer known.
class LogStore {
 public:
  virtual ~LogStore() = default;
  // Writes what a Ready asks for and syncs once. Returns when it is durable.
  virtual void Write(const replication::Ready& ready) = 0;
  // Keeps a snapshot of the state, then drops the segments before it.
  virtual void SaveSnapshot(const replication::SnapshotMeta& meta,
                            const std::string& bytes) = 0;
  virtual void AppendSpool(const std::string& record) = 0;  // durable on return
  virtual void ClearSpool() = 0;
  virtual uint64_t LogBytes() const = 0;
};

// Opens or makes the folder. A torn tail is cut; a damaged middle throws
// Error(kStorageDamaged) naming file and offset.
std::pair<std::unique_ptr<LogStore>, OpenedStore> OpenLogStore(
    const LogStoreOptions& options);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_LOG_STORE_H_
