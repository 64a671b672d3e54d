#ifndef DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_
#define DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_

// How a replica creates and installs snapshots.

#include <algorithm>  // for min

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {

template <ReplicaRuntime Runtime>
void Replica<Runtime>::InstallSnapshot(const replication::SnapshotMeta& meta,
                                       const std::string& bytes) {
  const Instant start = m_loop.Now();
  m_unapplied.clear();  // covered by the snapshot
  m_state->Restore(m_member_changes.RestoreFrom(bytes));
  m_member_changes.OnMembershipCommitted(meta.membership);
  m_applied = meta;
  m_node->SetSnapshotSource(meta, std::make_shared<const std::string>(bytes));
  m_snapshots->OnSnapshot(bytes.size(), m_loop.Now() - start);
  LogSnapshot("snapshot_read", start);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::MaybeSnapshot() {
  const bool has_followers = m_node->Role() == NodeRole::kLeader &&
                             m_node->Members().replicas.size() > 1;
  if (m_storage_error != ErrorKind::kNone || !m_snapshots->IsDue(has_followers))
    return;
  const Instant start = m_loop.Now();
  std::string bytes = m_state->Snapshot();
  m_member_changes.AppendTo(bytes);
  m_store->SaveSnapshot(m_applied, bytes);
  m_log_bytes -= std::min(m_log_bytes, m_snapshots->AppliedBytes());
  m_snapshots->OnSnapshot(bytes.size(), m_loop.Now() - start);
  m_node->SetSnapshotSource(
      m_applied, std::make_shared<const std::string>(std::move(bytes)));
  m_node->OnSnapshotMade(m_applied.last_index);
  LogSnapshot("snapshot_made", start);
}

template <ReplicaRuntime Runtime>
void Replica<Runtime>::LogSnapshot(std::string_view event,
                                   Instant start) const {
  telemetry::Log(telemetry::LogLevel::kInfo, event,
                 {{"index", std::to_string(m_applied.last_index)},
                  {"bytes", std::to_string(m_snapshots->SnapshotBytes())},
                  {"leads", m_leads ? "yes" : "no"},
                  {"took_ms", std::to_string(MsSince(start))}});
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REPLICA_SNAPSHOT_H_
