#ifndef DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_
#define DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/ids.h"   // for ReplicaId
#include "dotterelshift/base/time.h"  // for Duration

namespace dotterelshift::replication {

struct SnapshotPolicyOptions {
  // A snapshot is due after `min_log_bytes` of log, or after
  // `log_to_snapshot_ratio` times the size of the last snapshot, whichever is
  // more. The log is kept in memory, while making a snapshot pauses the replica
  // for a time that grows with the size of the state.
  uint64_t min_log_bytes = 4 << 20;
  uint64_t log_to_snapshot_ratio = 4;
  // A snapshot is also due once applying entries has taken `min_applying_time`,
  // or `applying_to_snapshot_ratio` times as long as making the last snapshot,
  // whichever is more. A restart must apply the same entries again before it
  // can serve a read.
  Duration min_applying_time = 1s;
  int applying_to_snapshot_ratio = 8;
};

// Decides when a replica makes a snapshot of its state. This bounds the time
// and the memory that a start takes, also when all replicas start at once,
// however long the group has been running. The thresholds differ between the
// replicas of a group, so that a majority keeps running while one of them
// pauses; the leader's threshold is twice the base value.
class SnapshotPolicy {
 public:
  SnapshotPolicy(const SnapshotPolicyOptions& options, ReplicaId self)
      : m_options(options), m_self(self) {}

  void OnApplied(uint64_t bytes, Duration took);
  // Reports that a snapshot was made or loaded.
  void OnSnapshot(uint64_t bytes, Duration took);

  bool IsDue(bool has_followers) const;

  uint64_t AppliedBytes() const { return m_applied_bytes; }
  uint64_t SnapshotBytes() const { return m_snapshot_bytes; }

 private:
  const SnapshotPolicyOptions m_options;
  const ReplicaId m_self;
  // Since the last snapshot.
  uint64_t m_applied_bytes = 0;
  Duration m_applying{};
  // For the last snapshot.
  uint64_t m_snapshot_bytes = 0;
  Duration m_snapshot_took{};
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_
