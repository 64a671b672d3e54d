#ifndef DOTTERELSHIFT_STORAGE_RESTORE_H_
#define DOTTERELSHIFT_STORAGE_RESTORE_H_

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/replication/node.h"        // for RestoredLog
#include "dotterelshift/storage/format.h"          // for Blocks
#include "dotterelshift/wire/storage_generated.h"  // for StoredWrite

namespace dotterelshift::storage {

// Builds the log from the blocks of the segments, in order.
class LogRestorer {
 public:
  // Takes one segment's blocks; throws Error(kStorageDamaged) when they do not
  // continue what came before.
  void Add(const std::string& file, const Blocks& blocks);

  // The largest index of an entry seen up to now, also of dropped ones.
  uint64_t LargestIndex() const { return m_largest_index; }
  uint64_t NextSequence() const { return m_next_sequence; }

  // The log on top of a snapshot. `discarded_entries` becomes true when the
  // entries do not reach the snapshot and are dropped: its installation was cut
  // short, and the next write must say that the log begins anew.
  replication::RestoredLog Finish(const std::string& folder,
                                  replication::SnapshotMeta snapshot,
                                  bool* discarded_entries);

 private:
  void Apply(const std::string& file, const Block& block);

  replication::HardState m_hard_state;
  bool m_has_base = false;  // false: the first entry says where the log begins
  uint64_t m_base_index = 0;
  uint64_t m_base_term = 0;
  std::vector<wire::LogEntryT> m_entries;
  uint64_t m_largest_index = 0;
  uint64_t m_next_sequence = 0;
};

// The payload of one write of the log.
std::string EncodeWrite(const replication::HardState& hard_state,
                        const replication::Ready& ready,
                        const replication::SnapshotMeta* reset);

// A snapshot's record, and the identity's.
std::string EncodeSnapshotMeta(const replication::SnapshotMeta& meta);
replication::SnapshotMeta DecodeSnapshotMeta(const std::string& file,
                                             const Block& block);
std::string EncodeIdentity(ReplicaId replica);
ReplicaId DecodeIdentity(const std::string& file, const Block& block);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_RESTORE_H_
