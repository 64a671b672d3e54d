#ifndef DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_
#define DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_

// When a replica makes a snapshot, and how it takes one over.

#include <algorithm>  // for max

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {

// How many times more log the leader lets grow than a follower.
inline constexpr uint64_t kLeaderSnapshotFactor = 2;

template <typename Runtime>
void Replica<Runtime>::InstallSnapshot(const replication::SnapshotMeta& meta,
                                       const std::string& bytes) {
  const Instant start = m_loop.Now();
  m_unapplied.clear();  // the snapshot covers it
  m_state->Restore(m_member_changes.TakeFrom(bytes));
  m_member_changes.OnMembers(meta.membership);
  m_applied = meta;
  m_snapshot_bytes = bytes.size();
  m_node->SetSnapshotSource(meta, std::make_shared<const std::string>(bytes));
  LogSnapshot("snapshot_read", start);
}

// Replicas come to it at different times, so that a majority goes on
// committing while one pauses to write its state.
template <typename Runtime>
uint64_t Replica<Runtime>::SnapshotAfterBytes() const {
  const uint64_t every =
      std::max(m_options.snapshot_every_bytes,
               m_snapshot_bytes * m_options.log_per_snapshot);
  const bool alone = m_node->Members().replicas.size() == 1;
  if (m_node->Role() == NodeRole::kLeader && !alone)
    return every * kLeaderSnapshotFactor;
  constexpr uint64_t kSteps = 4;
  return every + every / kSteps * (m_self % kSteps);
}

template <typename Runtime>
void Replica<Runtime>::MaybeSnapshot() {
  const bool due =
      m_log_bytes >= SnapshotAfterBytes() && m_trouble == ErrorKind::kNone;
  if (!due) return;
  const Instant start = m_loop.Now();
  m_log_bytes = 0;
  std::string bytes = m_state->Snapshot();
  m_member_changes.AppendTo(bytes);
  m_snapshot_bytes = bytes.size();
  m_store->SaveSnapshot(m_applied, bytes);
  m_node->SetSnapshotSource(
      m_applied, std::make_shared<const std::string>(std::move(bytes)));
  m_node->OnSnapshotMade(m_applied.last_index);
  LogSnapshot("snapshot_made", start);
}

template <typename Runtime>
void Replica<Runtime>::LogSnapshot(std::string_view event,
                                   Instant start) const {
  telemetry::Log(telemetry::LogLevel::kInfo, event,
                 {{"index", std::to_string(m_applied.last_index)},
                  {"bytes", std::to_string(m_snapshot_bytes)},
                  {"leads", m_leads ? "yes" : "no"},
                  {"took_ms", std::to_string(MsSince(start))}});
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_
