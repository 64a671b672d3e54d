#include "dotterelshift/app/link_guard.h"

#include <algorithm>  // for max, min
#include <cmath>      // for lround
#include <string>     // for to_string
#include <utility>    // for exchange

#include "dotterelshift/app/gateway_options.h"  // for AdmissionOptionsOf
#include "dotterelshift/telemetry/log.h"        // for Log

namespace dotterelshift::app {
namespace {

// Minimum time between two summary lines in the log.
constexpr Duration kSummaryInterval = 1s;

// No summary is logged while link utilization is lower, unless a wait was long.
constexpr double kMinLoggedUtilization = 0.5;

// A wait of at least this for the outbound link causes a summary also at lower
// utilization.
constexpr Duration kMinLoggedQueueWait = 100ms;

// Size of the listen backlog, as the time in which the link transfers the first
// bytes of its connections, which callers in the backlog have already sent.
constexpr Duration kBacklog = 500ms;

// Callers are asked to close their connections until this long after
// connections were last not accepted.
constexpr Duration kFullHoldTime = 1s;

// Minimum time between two closings of idle connections.
constexpr Duration kIdleCloseInterval = 200ms;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

// The kind of frame that used the most bytes since an earlier count, and the
// number of these bytes.
std::string LargestFrameKind(
    const std::map<wire::FrameBody, uint64_t>& bytes,
    const std::map<wire::FrameBody, uint64_t>& earlier) {
  uint64_t most = 0;
  std::string name = "none";
  for (const auto& [body, count] : bytes) {
    const auto before = earlier.find(body);
    const uint64_t fresh =
        count - (before == earlier.end() ? 0 : before->second);
    if (fresh <= most) continue;
    most = fresh;
    name = wire::EnumNameFrameBody(body);
  }
  return name + ":" + std::to_string(most);
}

uint64_t BytesOf(const http::Request& request) {
  return request.path.size() + request.query.size() +
         http::BytesOf(request.headers) + request.body.size();
}

}  // namespace

LinkGuard::LinkGuard(const settings::Settings& settings)
    : m_bytes_per_second(AdmissionOptionsOf(settings).bytes_per_second),
      m_admission(AdmissionOptionsOf(settings)),
      m_shedder(LinkOptionsOf(settings)),
      m_outbound_wait(m_bytes_per_second) {}

void LinkGuard::SetOptions(http::ServerOptions& options) {
  if (m_admission.IsBounded()) {
    const double requests =
        m_bytes_per_second * std::chrono::duration<double>(kBacklog).count() /
        gateway::LinkAdmissionOptions().initial_request_bytes;
    options.listen_backlog = static_cast<int>(
        std::min<double>(options.listen_backlog, std::max(1.0, requests)));
  }
  options.connections.on_accepted = [this] {
    ++m_summary.accepted;
    m_admission.OnConnected();
  };
  options.connections.on_rejected = [this] {
    ++m_summary.turned_away;
    ++m_turned_away;
    m_admission.OnRejected();
  };
  options.connections.on_closed_unused = [this] {
    ++m_summary.unused_ends;
    m_admission.OnClosedUnused();
  };
}

void LinkGuard::OnRequest(const http::Request& request) {
  ++m_summary.requests;
  if (request.kept) {
    ++m_summary.kept_requests;
    m_admission.OnKeepAliveRequest(BytesOf(request));
  } else {
    m_admission.OnFirstRequest(BytesOf(request));
  }
}

void LinkGuard::OnHandedOver(const http::HandOver& what, SendKind kind,
                             Instant now) {
  const Duration wait = m_outbound_wait.Wait(now);
  ++m_summary.handed_over;
  if (wait > 100ms) ++m_summary.over_100ms;
  if (wait > 300ms) ++m_summary.over_300ms;
  if (wait > 500ms) ++m_summary.over_500ms;
  m_summary.handed_bytes[kind] += what.bytes;
  if (what.new_connection) {
    ++m_summary.connects;
    m_summary.max_connect_time =
        std::max(m_summary.max_connect_time, what.connected_in);
  }
  m_outbound_wait.OnBytes(what.bytes, now);
  m_handed_over += what.bytes;
}

void LinkGuard::OnControlRoundTrip(Duration trip) {
  m_summary.max_control_round_trip =
      std::max(m_summary.max_control_round_trip, trip);
}

void LinkGuard::Adjust(http::Server& server, const Traffic& traffic,
                       Instant now) {
  const Traffic last = std::exchange(m_counted, traffic);
  const uint64_t received = server.BytesReceived();
  const gateway::LinkBytes requests = {
      received - std::exchange(m_received_bytes, received), 0};
  const gateway::LinkBytes peers = traffic.peers - last.peers;
  const gateway::LinkBytes fresh =
      traffic.endpoints - last.endpoints + peers + requests;
  m_admission.OnBytes(fresh, now);
  m_admission.SetQueuedOutbound(traffic.queued_bytes);
  m_summary.peer_bytes = m_summary.peer_bytes + peers;
  m_summary.bytes = m_summary.bytes + fresh;
  // `fresh` includes the bytes reported by OnHandedOver(), which are already
  // counted as waiting.
  const uint64_t waits = std::exchange(m_handed_over, 0);
  m_outbound_wait.OnBytes(fresh.out - std::min(fresh.out, waits), now);
  m_summary.max_busy_time =
      std::max(m_summary.max_busy_time, m_admission.BusyFor());
  m_shedder.OnBytes(std::max(fresh.in, fresh.out), now);
  const gateway::AdmissionDecision decision = m_admission.Decide(now);
  if (decision != gateway::AdmissionDecision::kAccept) m_last_paused = now;
  if (decision != m_admission_state) ApplyDecision(decision, server, now);
}

void LinkGuard::ApplyDecision(gateway::AdmissionDecision decision,
                              http::Server& server, Instant now) {
  const bool listens = decision != gateway::AdmissionDecision::kStopAccepting;
  const bool listened =
      m_admission_state != gateway::AdmissionDecision::kStopAccepting;
  if (listens && !listened && !Listen(server, now)) return;
  if (!listens) StopListening(server, now);
  server.SetRejectConnections(decision == gateway::AdmissionDecision::kReject);
  m_admission_state = decision;
}

void LinkGuard::StopListening(http::Server& server, Instant now) {
  server.StopAccepting();
  m_summary.shut_counted_to = now;
  ++m_summary.shuts;
  ++m_times_stopped;
}

// A failure is retried at the next event loop iteration and logged only once.
bool LinkGuard::Listen(http::Server& server, Instant now) {
  const bool listens = server.ResumeAccepting();
  if (!listens && !m_listen_failed)
    telemetry::Log(telemetry::LogLevel::kError, "listen_failed");
  m_listen_failed = !listens;
  if (listens) m_summary.shut += now - m_summary.shut_counted_to;
  return listens;
}

bool LinkGuard::IsFull(Instant now) const {
  return m_last_paused != Instant{} && now - m_last_paused < kFullHoldTime;
}

bool LinkGuard::MayKeep(const http::Server& server, size_t silent,
                        Instant now) const {
  if (IsFull(now)) return false;
  const size_t open = server.OpenConnections();
  return m_admission.MayKeep(open - std::min(open, silent));
}

void LinkGuard::Watch(http::Server& server, const peers::HubCounters& peers,
                      Instant now) {
  WatchShedding(now);
  if (m_admission.IsDrainingQueue() &&
      now - m_idle_closed_at >= kIdleCloseInterval) {
    m_idle_closed_at = now;
    server.CloseIdle();
  }
  if (now - m_summary.since >= kSummaryInterval) LogSummary(server, peers, now);
}

void LinkGuard::SetMetrics(telemetry::Metrics& metrics) const {
  metrics.SetCounter("dotterelshift_connections_turned_away_total",
                     "Closed unread, as the link was full",
                     static_cast<double>(m_turned_away));
  metrics.SetCounter("dotterelshift_listening_stopped_total",
                     "Times that no connection was taken, for the same reason",
                     static_cast<double>(m_times_stopped));
}

void LinkGuard::WatchShedding(Instant now) {
  if (m_admission_state != gateway::AdmissionDecision::kAccept)
    m_shedder.OnRejected(now);
  if (m_shedder.IsShedding(now) == m_shedding) return;
  m_shedding = !m_shedding;
  const double percent = 100 * m_shedder.Utilization(now);
  telemetry::Log(telemetry::LogLevel::kWarning,
                 m_shedding ? "link_full" : "link_clear",
                 {{"filled_percent", std::to_string(std::lround(percent))}});
}

void LinkGuard::LogSummary(const http::Server& server,
                           const peers::HubCounters& peers, Instant now) {
  if (m_admission_state == gateway::AdmissionDecision::kStopAccepting)
    m_summary.shut += now - m_summary.shut_counted_to;
  Summary last = std::exchange(m_summary, {});
  m_summary.since = now;
  m_summary.shut_counted_to = now;
  const std::map<wire::FrameBody, uint64_t> frames_before =
      std::exchange(m_frame_bytes, peers.bytes_out_by_body);
  const double most = m_bytes_per_second *
                      std::chrono::duration<double>(now - last.since).count();
  const auto filled =
      static_cast<double>(std::max(last.bytes.in, last.bytes.out));
  const Duration max_wait = m_outbound_wait.TakeMaxWait();
  const bool waited = max_wait >= kMinLoggedQueueWait;
  if (most <= 0 || (filled < most * kMinLoggedUtilization && !waited)) return;
  telemetry::Log(
      telemetry::LogLevel::kInfo, "link_load",
      {{"filled_percent", std::to_string(std::lround(100 * filled / most))},
       {"bytes_in", std::to_string(last.bytes.in)},
       {"bytes_out", std::to_string(last.bytes.out)},
       {"peer_bytes_in", std::to_string(last.peer_bytes.in)},
       {"peer_bytes_out", std::to_string(last.peer_bytes.out)},
       {"frames_out", LargestFrameKind(peers.bytes_out_by_body, frames_before)},
       {"requests", std::to_string(last.requests)},
       {"on_kept_connections", std::to_string(last.kept_requests)},
       {"accepted", std::to_string(last.accepted)},
       {"unused_ends", std::to_string(last.unused_ends)},
       {"turned_away", std::to_string(last.turned_away)},
       {"busy_in_ms", Ms(last.max_busy_time)},
       {"shuts", std::to_string(last.shuts)},
       {"shut_ms", Ms(last.shut)},
       {"wait_out_ms", Ms(OutboundWait(now))},
       {"longest_wait_out_ms", Ms(max_wait)},
       {"handed_over", std::to_string(last.handed_over)},
       {"behind_100ms", std::to_string(last.over_100ms)},
       {"behind_300ms", std::to_string(last.over_300ms)},
       {"behind_500ms", std::to_string(last.over_500ms)},
       {"first_bytes", std::to_string(last.handed_bytes[SendKind::kFirst])},
       {"held_back_bytes",
        std::to_string(last.handed_bytes[SendKind::kDelayed])},
       {"repeated_bytes", std::to_string(last.handed_bytes[SendKind::kRetry])},
       {"connects", std::to_string(last.connects)},
       {"longest_connect_ms", Ms(last.max_connect_time)},
       {"longest_control_trip_ms", Ms(last.max_control_round_trip)},
       {"connections", std::to_string(server.OpenConnections())},
       {"open", std::to_string(server.OpenExchanges())}});
}

}  // namespace dotterelshift::app
