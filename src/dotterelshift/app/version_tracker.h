#ifndef DOTTERELSHIFT_SRC_APP_VERSION_TRACKER_H_
#define DOTTERELSHIFT_SRC_APP_VERSION_TRACKER_H_

#include <string>  // for string

#include "dotterelshift/app/control_link.h"          // for ControlLink
#include "dotterelshift/app/directory_exchange.h"    // for DirectoryExchange
#include "dotterelshift/gateway/core.h"              // for Core
#include "dotterelshift/origins/directory_view.h"    // for DirectoryView
#include "dotterelshift/origins/restart_suspects.h"  // for RestartSuspects
#include "dotterelshift/origins/service_versions.h"  // for ServiceVersions
#include "dotterelshift/origins/stream_origins.h"    // for StreamOrigins
#include "dotterelshift/telemetry/metrics.h"         // for Metrics

namespace dotterelshift::app {

// What an entry knows of the software versions of endpoints and streams, and
// how complete its knowledge is.
class VersionTracker {
 public:
  // `directory` must outlive this object.
  explicit VersionTracker(const DirectoryExchange& directory)
      : m_directory(directory), m_restarts(directory.GetDirectory()) {}

  origins::ServiceVersions& Versions() { return m_versions; }
  origins::StreamOrigins& Origins() { return m_origins; }
  origins::RestartSuspects& Restarts() { return m_restarts; }

  // Takes over announcements and the state of the link to control. To be called
  // regularly.
  void OnTick(ControlLink& link, gateway::Core& core, Instant now);
  // An endpoint closed a connection that this entry had kept for reuse.
  void OnIdleClosed(const std::string& address, Duration idle, Instant now);
  // Logs versions that began or ceased to be served since the last call, and
  // endpoints that have become or are no longer suspected of a restart.
  void LogChanges();
  void SetMetrics(telemetry::Metrics& metrics, const gateway::Core& core) const;

 private:
  const DirectoryExchange& m_directory;
  origins::ServiceVersions m_versions;
  origins::StreamOrigins m_origins;
  origins::RestartSuspects m_restarts;
  origins::DirectoryView m_view;
  Instant m_next_update{};
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_VERSION_TRACKER_H_
