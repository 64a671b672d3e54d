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

// How an attempt that is handed to a connection relates to earlier attempts.
enum class SendKind {
  kFirst,    // this is its first attempt
  kDelayed,  // earlier attempts never got a connection
  kRetry,    // an earlier attempt was handed to a connection
};

// Keeps the load from callers within the capacity of the host's link: accepts
// connections while there is capacity, limits how many callers may keep theirs,
// and closes idle ones while a queue drains. Logs a line per second while the
// link is at least half full or requests wait long for the outbound link.
class LinkGuard {
 public:
  explicit LinkGuard(const settings::Settings& settings);

  // Makes a server report its connections to this guard and limits its listen
  // backlog. The guard must outlive the server.
  void SetOptions(http::ServerOptions& options);

  // A caller's request has been received completely.
  void OnRequest(const http::Request& request);

  // A request was handed to a connection to an endpoint.
  void OnHandedOver(const http::HandOver& what, SendKind kind, Instant now);
  // Estimated wait for the outbound link, for bytes that are handed over now.
  Duration OutboundWait(Instant now) const { return m_outbound_wait.Wait(now); }
  // Control answered a heartbeat; `trip` is the time since it was sent.
  void OnControlRoundTrip(Duration trip);

  // Traffic over the link since the start, except callers' requests.
  struct Traffic {
    gateway::LinkBytes endpoints;  // attempts and relayed responses
    gateway::LinkBytes peers;
    uint64_t queued_bytes =
        0;  // bytes of requests queued for the outbound link
  };
  // Starts or stops accepting connections, depending on the link's load.
  void Adjust(http::Server& server, const Traffic& traffic, Instant now);
  // Periodic work: closes idle connections while a queue drains, and logs.
  void Watch(http::Server& server, const peers::HubCounters& peers,
             Instant now);

  // Whether callers should send their next request on a new connection.
  bool IsFull(Instant now) const;
  // Whether the caller of a response that is sent now may keep its connection;
  // `silent` is the number of callers that send nothing now.
  bool MayKeep(const http::Server& server, size_t silent, Instant now) const;
  // Whether the load balancer should send new connections to other entries.
  bool IsShedding() const { return m_shedding; }

  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  // Events since the last log line.
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
    Instant shut_counted_to{};  // while not listening
    Duration max_busy_time{};   // without a gap on the inbound link
    // Requests handed over to endpoints, and how many of them met a wait for
    // the outbound link above 100, 300 and 500 ms.
    size_t handed_over = 0;
    size_t over_100ms = 0;
    size_t over_300ms = 0;
    size_t over_500ms = 0;
    std::map<SendKind, uint64_t> handed_bytes;
    size_t connects = 0;  // new connections made for them
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
  uint64_t m_handed_over = 0;     // bytes handed over since the last Adjust()
  Traffic m_counted;              // at the last Adjust()
  uint64_t m_received_bytes = 0;  // from callers, up to the last Adjust()
  Summary m_summary;
  std::map<wire::FrameBody, uint64_t> m_frame_bytes;  // at the last summary
  gateway::AdmissionDecision m_admission_state =
      gateway::AdmissionDecision::kAccept;
  Instant m_last_paused{};  // last time at which connections were not accepted
  Instant m_idle_closed_at{};
  bool m_listen_failed = false;
  bool m_shedding = false;
  uint64_t m_turned_away = 0;  // since the start
  uint64_t m_times_stopped = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_LINK_GUARD_H_
