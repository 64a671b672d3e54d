#ifndef DOTTERELSHIFT_SRC_APP_LINK_GUARD_H_
#define DOTTERELSHIFT_SRC_APP_LINK_GUARD_H_

#include <map>  // for map

#include "dotterelshift/gateway/link_admission.h"     // for LinkAdmission
#include "dotterelshift/gateway/link_load_shedder.h"  // for LinkLoadShedder
#include "dotterelshift/gateway/link_wait.h"          // for LinkWait
#include "dotterelshift/http/client.h"                // for HandOver
#include "dotterelshift/http/server.h"                // for Server
#include "dotterelshift/peers/hub.h"                  // for HubCounters
#include "dotterelshift/settings/settings.h"          // for Settings
#include "dotterelshift/telemetry/metrics.h"          // for Metrics

namespace dotterelshift::app {

// What a request that is handed to a connection has been through.
enum class SendKind {
  kFirst,    // its first attempt
  kDelayed,  // of its attempts before, none had a connection
  kRetry,    // it was handed over before
};

// Keeps what callers bring to an entry within what its host's link carries:
// takes connections while there is room, bounds how many callers may keep
// theirs, and ends those that are idle while a queue may stand. Logs a line a
// second while the link is half full.
class LinkGuard {
 public:
  explicit LinkGuard(const settings::Settings& settings);

  // Has `options` report connections here, and bounds what the system holds of
  // them. The guard outlives the server.
  void SetOptions(http::ServerOptions& options);

  // A request of a caller is whole.
  void OnRequest(const http::Request& request);

  // A request goes to an endpoint.
  void OnHandedOver(const http::HandOver& what, SendKind kind, Instant now);
  // How long what is handed to the link now waits before it, about.
  Duration OutboundWait(Instant now) const { return m_outbound_wait.Wait(now); }
  // A beat was answered by control, so long after it had been sent.
  void OnControlRoundTrip(Duration trip);

  // What has gone over the link since the start, but for callers' requests.
  struct Traffic {
    gateway::LinkBytes endpoints;  // attempts, and answers that went on
    gateway::LinkBytes peers;
    uint64_t queued_bytes = 0;  // of requests that wait here for the way out
  };
  // Takes connections, or ceases to, as the link asks for.
  void Adjust(http::Server& server, const Traffic& traffic, Instant now);
  // Looks at what has lasted: ends idle connections, and logs.
  void Watch(http::Server& server, const peers::HubCounters& peers,
             Instant now);

  // Callers should not send their next request on the same connection.
  bool IsFull(Instant now) const;
  // Whether the caller of an answer that goes out now may keep its connection,
  // while so many callers send nothing on theirs.
  bool MayKeep(const http::Server& server, size_t silent, Instant now) const;
  // The balancer should send new connections to other entries.
  bool IsShedding() const { return m_shedding; }

  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  // What happened since the last line.
  struct Summary {
    Instant since{};
    size_t accepted = 0;
    size_t unused_ends = 0;
    size_t requests = 0;
    size_t kept_requests = 0;  // of these, on connections used before
    gateway::LinkBytes bytes;
    gateway::LinkBytes peer_bytes;  // of these, to and from other daemons
    size_t turned_away = 0;
    size_t shuts = 0;
    Duration shut{};
    Instant shut_counted_to{};  // while it goes on
    Duration max_busy_time{};   // without a gap on the way in
    // Requests handed over to endpoints, and before what waits.
    size_t handed_over = 0;
    size_t over_100ms = 0;
    size_t over_300ms = 0;
    size_t over_500ms = 0;
    std::map<SendKind, uint64_t> handed_bytes;
    size_t connects = 0;  // that were made for them
    Duration max_connect_time{};
    Duration max_control_round_trip{};
  };

  void ApplyDecision(gateway::AdmissionDecision decision, http::Server& server,
                     Instant now);
  void StopListening(http::Server& server, Instant now);
  bool Listen(http::Server& server, Instant now);
  void WatchShedding(Instant now);
  void LogSummary(const http::Server& server, const peers::HubCounters& peers,
                  Instant now);

  const double m_bytes_per_second;
  gateway::LinkAdmission m_admission;
  gateway::LinkLoadShedder m_shedder;
  gateway::LinkWait m_outbound_wait;
  uint64_t m_handed_over = 0;     // since the last Adjust(), in m_outbound_wait
  Traffic m_counted;              // at the last Adjust()
  uint64_t m_received_bytes = 0;  // of callers' requests, until then
  Summary m_summary;
  std::map<wire::FrameBody, uint64_t> m_frame_bytes;  // at the last summary
  gateway::AdmissionDecision m_admission_state =
      gateway::AdmissionDecision::kAccept;
  Instant m_last_paused{};  // a moment at which connections were not taken
  Instant m_idle_closed_at{};
  bool m_listen_failed = false;
  bool m_shedding = false;
  uint64_t m_turned_away = 0;  // since the start
  uint64_t m_times_stopped = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_LINK_GUARD_H_
