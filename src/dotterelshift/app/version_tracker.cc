#include "dotterelshift/app/version_tracker.h"

#include <string>  // for to_string

#include "dotterelshift/app/gauges.h"                 // for SetVersionMetrics
#include "dotterelshift/directory/find_by_address.h"  // for FindByAddress
#include "dotterelshift/telemetry/log.h"              // for Log

namespace dotterelshift::app {
namespace {

// Interval at which the last announcements of all endpoints are taken over.
// Those that change what an endpoint offers are taken over at once.
constexpr Duration kUpdateInterval = 1s;

}  // namespace

void VersionTracker::OnTick(ControlLink& link, gateway::Core& core,
                            Instant now) {
  m_view.Update(
      {.synced = m_directory.IsSynced(), .confirmed = link.ConfirmedAt()}, now);
  core.OnViewComplete(m_view.CompleteSince());
  if (link.ConfirmedAt()) core.OnViewConfirmed(*link.ConfirmedAt(), now);
  if (const auto since = core.AwaitsConfirmationSince())
    link.AskLeaderAfter(*since);
  m_restarts.Update(now);
  m_origins.Update(m_directory.GetDirectory(), m_restarts, now);
  LogChanges();
  if (now < m_next_update) return;
  m_next_update = now + kUpdateInterval;
  m_versions.Update(m_directory.GetDirectory(), now);
}

void VersionTracker::OnIdleClosed(const std::string& address, Duration idle,
                                  Instant now) {
  const directory::Endpoint* endpoint =
      directory::FindByAddress(m_directory.GetDirectory(), address);
  if (endpoint == nullptr) return;
  const wire::EndpointRecordT& record = endpoint->record;
  m_restarts.OnIdleClosed({record.id, record.incarnation}, idle, now);
}

void VersionTracker::LogChanges() {
  for (const origins::VersionChange& change : m_versions.TakeChanges()) {
    telemetry::Log(telemetry::LogLevel::kInfo,
                   change.serves ? "version_serves" : "version_left",
                   {{"service", change.service},
                    {"version", change.version},
                    {"versions", std::to_string(change.versions)}});
  }
  for (const origins::RestartBelief& belief : m_restarts.TakeBeliefs()) {
    telemetry::Log(telemetry::LogLevel::kInfo,
                   belief.suspected ? "restart_suspected" : "restart_ruled_out",
                   {{"endpoint", belief.endpoint},
                    {"evidence", std::string(NameOf(belief.evidence))},
                    {"after_ms", std::to_string(ToMs(belief.after))}});
  }
}

void VersionTracker::SetMetrics(telemetry::Metrics& metrics,
                                const gateway::Core& core) const {
  SetVersionMetrics(metrics, m_versions.Counts());
  SetResumptionMetrics(metrics, core.Resumptions(), m_origins.Size());
  SetGauges(metrics,
            {{"dotterelshift_restart_suspects",
              "Endpoints that may have started again since they announced "
              "themselves",
              Number(m_restarts.Size())}});
}

}  // namespace dotterelshift::app
