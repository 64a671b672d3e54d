#ifndef DOTTERELSHIFT_REPLICATION_RAFT_SNAPSHOT_H_
#define DOTTERELSHIFT_REPLICATION_RAFT_SNAPSHOT_H_

// Snapshots: compacting the log, sending a snapshot in chunks, installing it.

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for max, min

#include "dotterelshift/replication/raft.h"  // for Raft

namespace dotterelshift::replication {

template <typename Rules>
void Raft<Rules>::OnSnapshotMade(uint64_t last_index) {
  const uint64_t delivered = std::min(last_index, m_delivered);
  uint64_t keep_from = delivered;
  for (const auto& [id, progress] : m_progress) {
    const uint64_t needed =
        progress.snapshot ? progress.snapshot->meta.last_index : progress.match;
    if (needed + kEntriesKeptForFollowers >= delivered)
      keep_from = std::min(keep_from, needed);
  }
  m_log.CompactTo(keep_from);
}

template <typename Rules>
void Raft<Rules>::SetSnapshotSource(const SnapshotMeta& meta,
                                    std::shared_ptr<const std::string> bytes) {
  auto source = std::make_shared<SnapshotSource>();
  source->meta = meta;
  source->checksum = XXH3_64bits(bytes->data(), bytes->size());
  source->bytes = std::move(bytes);
  m_snapshot = std::move(source);
}

template <typename Rules>
void Raft<Rules>::SendSnapshotChunk(ReplicaId to, Progress& progress) {
  if (progress.chunk_sent) return;
  const SnapshotSource& source = *progress.snapshot;
  const size_t size =
      std::min<size_t>(m_options.snapshot_chunk_bytes,
                       source.bytes->size() - progress.snapshot_offset);
  const auto begin = source.bytes->begin() +
                     static_cast<std::ptrdiff_t>(progress.snapshot_offset);
  wire::SnapshotPieceT piece;
  piece.term = m_hard_state.term;
  piece.from = m_self;
  piece.last_index = source.meta.last_index;
  piece.last_term = source.meta.last_term;
  piece.membership =
      std::make_unique<wire::MembershipT>(source.meta.membership);
  piece.offset = progress.snapshot_offset;
  piece.total = source.bytes->size();
  piece.data.assign(begin, begin + static_cast<std::ptrdiff_t>(size));
  piece.checksum = source.checksum;
  progress.chunk_sent = true;
  Send(to, std::move(piece));
}

template <typename Rules>
void Raft<Rules>::OnSnapshotPiece(const wire::SnapshotPieceT& piece,
                                  Instant now) {
  if (piece.term < m_hard_state.term || piece.membership == nullptr) return;
  const bool follows = m_role == NodeRole::kFollower &&
                       m_leader == piece.from &&
                       piece.term == m_hard_state.term;
  if (!follows) BecomeFollower(piece.term, piece.from, now);
  m_last_leader_contact = now;
  ResetElectionDeadline(now);
  // Entries after the snapshot may have been acknowledged, so a log that
  // contains the snapshot's last entry is kept.
  const bool holds_last = m_log.TermAt(piece.last_index) == piece.last_term &&
                          piece.last_index <= m_synced;
  if (holds_last) m_commit = std::max(m_commit, piece.last_index);
  if (piece.last_index <= m_commit)
    return ReplyToSnapshotChunk(piece.from, piece.last_index, piece.total,
                                true);
  const bool continues = m_incoming &&
                         m_incoming->meta.last_index == piece.last_index &&
                         m_incoming->meta.last_term == piece.last_term &&
                         m_incoming->total == piece.total &&
                         m_incoming->checksum == piece.checksum;
  // A snapshot of the same state is byte-identical on every replica, so chunks
  // from a new leader can continue a transfer that the previous one started.
  if (!continues) {
    m_incoming.emplace();
    m_incoming->meta = {piece.last_index, piece.last_term, *piece.membership};
    m_incoming->total = piece.total;
    m_incoming->checksum = piece.checksum;
  }
  if (piece.offset == m_incoming->bytes.size())
    m_incoming->bytes.append(piece.data.begin(), piece.data.end());
  const uint64_t received = m_incoming->bytes.size();
  if (received < piece.total)
    return ReplyToSnapshotChunk(piece.from, piece.last_index, received, false);
  const std::string& bytes = m_incoming->bytes;
  const bool whole = received == piece.total &&
                     XXH3_64bits(bytes.data(), received) == piece.checksum;
  if (!whole) {
    m_incoming.reset();  // restart the transfer
    return ReplyToSnapshotChunk(piece.from, piece.last_index, 0, false);
  }
  Install();
  ReplyToSnapshotChunk(piece.from, piece.last_index, piece.total, true);
}

template <typename Rules>
void Raft<Rules>::Install() {
  const SnapshotMeta& meta = m_incoming->meta;
  // The snapshot replaces the whole log. The leader sends the entries that
  // follow its last entry again.
  m_log.Reset(meta);
  m_commit = meta.last_index;
  m_delivered = m_commit;
  m_written = m_commit;
  m_synced = std::min(m_synced, m_commit);
  m_truncate_from.reset();
  m_install.emplace(meta, std::move(m_incoming->bytes));
  m_incoming.reset();
}

template <typename Rules>
void Raft<Rules>::ReplyToSnapshotChunk(ReplicaId to, uint64_t last_index,
                                       uint64_t next_offset, bool installed) {
  wire::SnapshotReplyT reply;
  reply.term = m_hard_state.term;
  reply.from = m_self;
  reply.last_index = last_index;
  reply.next_offset = next_offset;
  reply.installed = installed;
  SendAfterSync(to, reply);
}

template <typename Rules>
void Raft<Rules>::OnSnapshotReply(const wire::SnapshotReplyT& reply,
                                  Instant now) {
  if (reply.term > m_hard_state.term) return BecomeFollower(reply.term, 0, now);
  const auto peer = m_progress.find(reply.from);
  if (m_role != NodeRole::kLeader || peer == m_progress.end()) return;
  Progress& progress = peer->second;
  const bool expected = progress.mode == Progress::Mode::kSnapshot &&
                        progress.snapshot->meta.last_index == reply.last_index;
  if (!expected) return;
  if (reply.installed) {
    progress.snapshot.reset();
    progress.mode = Progress::Mode::kProbe;
    progress.probe_sent = false;
    progress.match = std::max(progress.match, reply.last_index);
    progress.next = progress.match + 1;
    return AdvanceCommit(now);
  }
  progress.snapshot_offset =
      std::min<uint64_t>(reply.next_offset, progress.snapshot->bytes->size());
  progress.chunk_sent = false;
}

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_RAFT_SNAPSHOT_H_
