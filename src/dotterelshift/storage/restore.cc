#include "dotterelshift/storage/restore.h"

#include <algorithm>  // for max, min

namespace dotterelshift::storage {

namespace {

std::string BytesOf(const flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Returns a block's record after verifying its encoding.
template <typename Record>
const Record& RecordOf(const std::string& file, const Block& block) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(block.payload.data());
  constexpr flatbuffers::uoffset_t kMaxDepth = 64;
  constexpr flatbuffers::uoffset_t kMaxTables = 100'000'000;
  flatbuffers::Verifier verifier(bytes, block.payload.size(), kMaxDepth,
                                 kMaxTables);
  if (block.payload.empty() || !verifier.VerifyBuffer<Record>(nullptr))
    ThrowDamaged(file, block.offset, "the record is not a valid FlatBuffer");
  return *flatbuffers::GetRoot<Record>(bytes);
}

}  // namespace

void LogRestorer::Add(const std::string& file, const Blocks& blocks) {
  for (const Block& block : blocks.blocks) {
    const bool follows =
        m_next_sequence == 0 || block.sequence == m_next_sequence;
    if (!follows)
      ThrowDamaged(file, block.offset,
                   "a segment is missing before this block");
    m_next_sequence = block.sequence + 1;
    Apply(file, block);
  }
}

void LogRestorer::Apply(const std::string& file, const Block& block) {
  const auto& write = RecordOf<wire::StoredWrite>(file, block);
  m_hard_state = {write.term(), write.voted_for()};
  if (write.reset()) {
    m_entries.clear();
    m_has_base = true;
    m_base_index = write.reset_index();
    m_base_term = write.reset_term();
  }
  if (write.truncate_from() != 0 && m_has_base) {
    const uint64_t keep = write.truncate_from() -
                          std::min(write.truncate_from(), m_base_index + 1);
    if (keep < m_entries.size()) m_entries.resize(keep);
  }
  if (write.entries() == nullptr) return;
  for (const wire::LogEntry* stored : *write.entries()) {
    if (!m_has_base) m_base_index = stored->index() - 1;
    m_has_base = true;
    if (stored->index() != m_base_index + m_entries.size() + 1)
      ThrowDamaged(file, block.offset,
                   "a log entry is missing in or before this block");
    wire::LogEntryT& entry = m_entries.emplace_back();
    entry.index = stored->index();
    entry.term = stored->term();
    entry.kind = stored->kind();
    if (stored->payload() != nullptr)
      entry.payload.assign(stored->payload()->begin(),
                           stored->payload()->end());
    m_largest_index = std::max(m_largest_index, entry.index);
  }
}

replication::RestoredLog LogRestorer::Finish(const std::string& folder,
                                             replication::SnapshotMeta snapshot,
                                             bool* discarded_entries) {
  replication::RestoredLog log;
  log.hard_state = m_hard_state;
  const uint64_t last = snapshot.last_index;
  *discarded_entries = false;
  if (m_has_base && m_base_index > last) {
    ThrowDamaged(folder, 0,
                 "the log entries before index " +
                     std::to_string(m_base_index + 1) + " are missing");
  }
  if (m_has_base && m_base_index < last) {
    const uint64_t position = last - m_base_index;  // 1-based
    const bool continues = position <= m_entries.size() &&
                           m_entries[position - 1].term == snapshot.last_term;
    *discarded_entries = !continues;
    const auto end =
        continues ? m_entries.begin() + static_cast<std::ptrdiff_t>(position)
                  : m_entries.end();
    m_entries.erase(m_entries.begin(), end);
  }
  log.snapshot = std::move(snapshot);
  log.entries = std::move(m_entries);
  return log;
}

std::string EncodeWrite(const replication::HardState& hard_state,
                        const replication::Ready& ready,
                        const replication::SnapshotMeta* reset) {
  size_t bytes = 256;
  for (const wire::LogEntryT& entry : ready.append)
    bytes += entry.payload.size() + 64;
  flatbuffers::FlatBufferBuilder builder(bytes);
  std::vector<flatbuffers::Offset<wire::LogEntry>> entries;
  entries.reserve(ready.append.size());
  for (const wire::LogEntryT& entry : ready.append)
    entries.push_back(wire::LogEntry::Pack(builder, &entry));
  builder.Finish(wire::CreateStoredWrite(
      builder, hard_state.term, hard_state.voted_for, reset != nullptr,
      reset == nullptr ? 0 : reset->last_index,
      reset == nullptr ? 0 : reset->last_term, ready.truncate_from.value_or(0),
      builder.CreateVector(entries)));
  return BytesOf(builder);
}

std::string EncodeSnapshotMeta(const replication::SnapshotMeta& meta) {
  flatbuffers::FlatBufferBuilder builder;
  const auto members = wire::Membership::Pack(builder, &meta.membership);
  builder.Finish(wire::CreateStoredSnapshot(builder, meta.last_index,
                                            meta.last_term, members));
  return BytesOf(builder);
}

replication::SnapshotMeta DecodeSnapshotMeta(const std::string& file,
                                             const Block& block) {
  const auto& stored = RecordOf<wire::StoredSnapshot>(file, block);
  replication::SnapshotMeta meta;
  meta.last_index = stored.last_index();
  meta.last_term = stored.last_term();
  if (stored.membership() != nullptr)
    stored.membership()->UnPackTo(&meta.membership);
  return meta;
}

std::string EncodeIdentity(ReplicaId replica) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateStoredIdentity(builder, replica));
  return BytesOf(builder);
}

ReplicaId DecodeIdentity(const std::string& file, const Block& block) {
  return RecordOf<wire::StoredIdentity>(file, block).replica();
}

}  // namespace dotterelshift::storage
