#ifndef DOTTERELSHIFT_REPLICATION_RAFT_LOG_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_LOG_H_

#include <cstdint>   // for uint64_t
#include <deque>     // for deque
#include <optional>  // for optional
#include <utility>   // for pair
#include <vector>    // for vector

#include "dotterelshift/replication/node.h"       // for SnapshotMeta
#include "dotterelshift/wire/frames_generated.h"  // for LogEntryT

namespace dotterelshift::replication {

// The entries a replica holds in memory: those after a base, which a snapshot
// covers. Keeps the membership that each prefix makes, so that dropping a tail
// brings the older membership back.
class RaftLog {
 public:
  RaftLog(const SnapshotMeta& snapshot, std::vector<wire::LogEntryT> entries);

  uint64_t BaseIndex() const { return m_base_index; }
  uint64_t LastIndex() const { return m_base_index + m_entries.size(); }
  uint64_t LastTerm() const { return *TermAt(LastIndex()); }

  // Empty when the entry is before the base or after the end.
  std::optional<uint64_t> TermAt(uint64_t index) const;

  // An entry after the base.
  const wire::LogEntryT& At(uint64_t index) const {
    return m_entries[index - m_base_index - 1];
  }

  // The first index of the run of entries of one term that ends at `index`, but
  // not before the base.
  uint64_t FirstOfTerm(uint64_t index) const;

  void Append(wire::LogEntryT entry);
  void TruncateFrom(uint64_t index);

  // Moves the base up to `index`.
  void CompactTo(uint64_t index);

  // Drops all entries; the base becomes the snapshot.
  void Reset(const SnapshotMeta& snapshot);

  // The membership that the newest entry of that kind makes, and its index.
  const wire::MembershipT& Members() const { return m_members.back().second; }
  uint64_t MembersIndex() const { return m_members.back().first; }

 private:
  uint64_t m_base_index = 0;
  uint64_t m_base_term = 0;
  std::deque<wire::LogEntryT> m_entries;
  std::vector<std::pair<uint64_t, wire::MembershipT>> m_members;
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_LOG_H_
