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

// Restores the log from the blocks of its segments, which are added in order.
class LogRestorer {
 public:
  // Adds the blocks of one segment. Throws Error(kStorageDamaged) if they do
  // not continue the previous segment.
  void Add(const std::string& file, const Blocks& blocks);

  // Largest entry index so far, including entries that were discarded later.
  uint64_t LargestIndex() const { return m_largest_index; }
  uint64_t NextSequence() const { return m_next_sequence; }

  // Returns the log after a snapshot. Sets `discarded_entries` if the entries
  // do not connect to the snapshot and are discarded: a crash interrupted its
  // installation, and the next write must record that the log restarts there.
  replication::RestoredLog Finish(const std::string& folder,
                                  replication::SnapshotMeta snapshot,
                                  bool* discarded_entries);

 private:
  void Apply(const std::string& file, const Block& block);

  replication::HardState m_hard_state;
  bool m_has_base = false;  // false: the first entry sets the base
  uint64_t m_base_index = 0;
  uint64_t m_base_term = 0;
  std::vector<wire::LogEntryT> m_entries;
  uint64_t m_largest_index = 0;
  uint64_t m_next_sequence = 0;
};

// Encodes the block payload of one write to the log. `reset`, if not null, is
// the snapshot after which the log restarts.
std::string EncodeWrite(const replication::HardState& hard_state,
                        const replication::Ready& ready,
                        const replication::SnapshotMeta* reset);

// Records of the snapshot and identity files. Decoding throws
// Error(kStorageDamaged) if the record is invalid.
std::string EncodeSnapshotMeta(const replication::SnapshotMeta& meta);
replication::SnapshotMeta DecodeSnapshotMeta(const std::string& file,
                                             const Block& block);
std::string EncodeIdentity(ReplicaId replica);
ReplicaId DecodeIdentity(const std::string& file, const Block& block);

}  // namespace dotterelshift::storage

#endif  // DOTTERELSHIFT_STORAGE_RESTORE_H_
