#include "dotterelshift/app/version_tracker.h"

#include <string>  // for to_string

#include "dotterelshift/app/gauges.h"     // for SetVersionMetrics
#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {
namespace {

// Interval at which the last announcements of all endpoints are taken over.
// Those that change what an endpoint offers are taken over at once.
constexpr Duration kUpdateInterval = 1s;

}  // namespace

void VersionTracker::OnTick(const ControlLink& link, gateway::Core& core,
                            Instant now) {
  m_view.Update({.synced = m_directory.IsSynced(),
                 .confirmed = link.ConfirmedAt(),
                 .leader_since = link.LeaderDirectorySince()},
                now);
  core.OnViewComplete(m_view.CompleteSince());
  if (now < m_next_update) return;
  m_next_update = now + kUpdateInterval;
  m_versions.Update(m_directory.GetDirectory(), now);
  LogChanges();
}

void VersionTracker::LogChanges() {
  for (const gateway::VersionChange& change : m_versions.TakeChanges()) {
    telemetry::Log(telemetry::LogLevel::kInfo,
                   change.serves ? "version_serves" : "version_left",
                   {{"service", change.service},
                    {"version", change.version},
                    {"versions", std::to_string(change.versions)}});
  }
}

void VersionTracker::SetMetrics(telemetry::Metrics& metrics,
                                const gateway::Core& core) const {
  SetVersionMetrics(metrics, m_versions.Counts());
  SetResumptionMetrics(metrics, core.Resumptions(), m_origins.Size());
}

}  // namespace dotterelshift::app
