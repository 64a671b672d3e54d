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

// The log entries that a replica keeps in memory: those after the base index,
// up to which a snapshot covers the log. Also keeps the membership as of each
// membership entry, so that truncating the log restores the previous one.
class RaftLog {
 public:
  RaftLog(const SnapshotMeta& snapshot, std::vector<wire::LogEntryT> entries);

  uint64_t BaseIndex() const { return m_base_index; }
  uint64_t LastIndex() const { return m_base_index + m_entries.size(); }
  uint64_t LastTerm() const { return *TermAt(LastIndex()); }

  // Empty if the index is before the base or after the last entry.
  std::optional<uint64_t> TermAt(uint64_t index) const;

  // The entry at `index`, which must be after the base.
  const wire::LogEntryT& At(uint64_t index) const {
    return m_entries[index - m_base_index - 1];
  }

  // The first index of the sequence of entries of the same term that ends at
  // `index`; never before the base.
  uint64_t FirstOfTerm(uint64_t index) const;

  void Append(wire::LogEntryT entry);
  void TruncateFrom(uint64_t index);

  // Moves the base forward to `index`.
  void CompactTo(uint64_t index);

  // Drops all entries and moves the base to the snapshot's last index.
  void Reset(const SnapshotMeta& snapshot);

  // The membership as of the newest membership entry, and the index of that
  // entry.
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
