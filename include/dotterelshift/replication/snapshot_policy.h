#ifndef DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_
#define DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/ids.h"   // for ReplicaId
#include "dotterelshift/base/time.h"  // for Duration

namespace dotterelshift::replication {

struct SnapshotPolicyOptions {
  // A snapshot is due after this many bytes of log, or as many times the last
  // snapshot as `log_per_snapshot` says, whichever is more: the log stays in
  // memory, while a snapshot costs a pause that grows with the state.
  uint64_t every_bytes = 4 << 20;
  uint64_t log_per_snapshot = 4;
  // And after this much time spent on applying, or as many times the last
  // snapshot's as `applying_per_snapshot` says, whichever is more: a start
  // applies the same again before it can answer a read.
  Duration most_applying = 1s;
  int applying_per_snapshot = 8;
};

// When a replica makes a snapshot of its state, so that a start, also of all
// replicas at once, takes a bounded time and a bounded memory however long the
// group has run. Replicas of a group come to it at different times, so that a
// majority goes on while one pauses; the leader waits for twice as much.
class SnapshotPolicy {
 public:
  SnapshotPolicy(const SnapshotPolicyOptions& options, ReplicaId self)
      : m_options(options), m_self(self) {}

  void OnApplied(uint64_t bytes, Duration took);
  // One was made or read.
  void OnSnapshot(uint64_t bytes, Duration took);

  bool IsDue(bool leads_others) const;

  uint64_t AppliedBytes() const { return m_applied_bytes; }
  uint64_t SnapshotBytes() const { return m_snapshot_bytes; }

 private:
  const SnapshotPolicyOptions m_options;
  const ReplicaId m_self;
  // Since the last snapshot.
  uint64_t m_applied_bytes = 0;
  Duration m_applying{};
  // Of the last snapshot.
  uint64_t m_snapshot_bytes = 0;
  Duration m_snapshot_took{};
};

}  // namespace dotterelshift::replication

#endif  // DOTTERELSHIFT_REPLICATION_SNAPSHOT_POLICY_H_
