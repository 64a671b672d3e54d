#include "dotterelshift/replication/snapshot_policy.h"

#include <algorithm>  // for max

namespace dotterelshift::replication {
namespace {

// The leader's threshold relative to that of the first follower.
constexpr uint64_t kLeaderFactor = 2;

// The followers' thresholds are spread from one to just under two times the
// base value, in this many steps by replica id.
constexpr uint64_t kSteps = 4;

}  // namespace

void SnapshotPolicy::OnApplied(uint64_t bytes, Duration took) {
  m_applied_bytes += bytes;
  m_applying += took;
}

void SnapshotPolicy::OnSnapshot(uint64_t bytes, Duration took) {
  m_applied_bytes = 0;
  m_applying = Duration{};
  m_snapshot_bytes = bytes;
  m_snapshot_took = took;
}

bool SnapshotPolicy::IsDue(bool has_followers) const {
  const uint64_t quarters =
      has_followers ? kLeaderFactor * kSteps : kSteps + m_self % kSteps;
  const uint64_t bytes =
      std::max(m_options.min_log_bytes,
               m_snapshot_bytes * m_options.log_to_snapshot_ratio);
  const Duration applying =
      std::max(m_options.min_applying_time,
               m_snapshot_took * m_options.applying_to_snapshot_ratio);
  return m_applied_bytes >= bytes / kSteps * quarters ||
         m_applying >= applying / kSteps * quarters;
}

}  // namespace dotterelshift::replication
