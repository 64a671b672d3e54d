#include "dotterelshift/replication/raft_log.h"

#include "dotterelshift/replication/membership.h"  // for DecodeMembership

namespace dotterelshift::replication {

RaftLog::RaftLog(const SnapshotMeta& snapshot,
                 std::vector<wire::LogEntryT> entries) {
  Reset(snapshot);
  for (wire::LogEntryT& entry : entries) Append(std::move(entry));
}

std::optional<uint64_t> RaftLog::TermAt(uint64_t index) const {
  if (index == m_base_index) return m_base_term;
  if (index < m_base_index || index > LastIndex()) return std::nullopt;
  return At(index).term;
}

uint64_t RaftLog::FirstOfTerm(uint64_t index) const {
  const std::optional<uint64_t> term = TermAt(index);
  while (index > m_base_index + 1 && TermAt(index - 1) == term) --index;
  return index;
}

void RaftLog::Append(wire::LogEntryT entry) {
  if (entry.kind == wire::LogEntryKind::Membership)
    m_members.emplace_back(entry.index, DecodeMembership(entry.payload));
  m_entries.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(uint64_t index) {
  if (index > LastIndex()) return;
  m_entries.resize(index - m_base_index - 1);
  while (m_members.size() > 1 && m_members.back().first >= index)
    m_members.pop_back();
}

void RaftLog::CompactTo(uint64_t index) {
  if (index <= m_base_index || index > LastIndex()) return;
  m_base_term = *TermAt(index);
  m_entries.erase(
      m_entries.begin(),
      m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_base_index));
  m_base_index = index;
  while (m_members.size() > 1 && m_members[1].first <= index)
    m_members.erase(m_members.begin());
}

void RaftLog::Reset(const SnapshotMeta& snapshot) {
  m_entries.clear();
  m_members.clear();
  m_base_index = snapshot.last_index;
  m_base_term = snapshot.last_term;
  m_members.emplace_back(snapshot.last_index, snapshot.membership);
}

}  // namespace dotterelshift::replication
