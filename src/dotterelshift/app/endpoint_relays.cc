#include "dotterelshift/app/endpoint_relays.h"

#include <utility>  // for move

#include "dotterelshift/app/gauges.h"                 // for SetGauges
#include "dotterelshift/directory/find_by_address.h"  // for FindByAddress
#include "dotterelshift/directory/spread.h"           // for PulseKey
#include "dotterelshift/telemetry/log.h"              // for Log

namespace dotterelshift::app {
namespace {

relay::RelayServerOptions ServerOptionsOf(const settings::Settings& settings) {
  relay::RelayServerOptions options;
  options.listen_address = settings.address;
  options.listen_port = settings.relay_port;
  options.source_address = settings.source_address;
  return options;
}

void LogTunnel(const relay::TunnelReport& report) {
  telemetry::LogDecision("relay_tunnel", "",
                         {{"outcome", std::string(NameOf(report.event))},
                          {"client", report.client},
                          {"target", report.target},
                          {"bytes_up", std::to_string(report.bytes_up)},
                          {"bytes_down", std::to_string(report.bytes_down)}});
}

std::string Join(const std::vector<ServiceName>& services) {
  std::string text;
  for (const ServiceName& service : services)
    text += (text.empty() ? "" : ",") + service;
  return text;
}

}  // namespace

EndpointRelays::EndpointRelays(loop::Loop& loop,
                               const settings::Settings& settings, Parts parts)
    : m_loop(loop),
      m_parts(std::move(parts)),
      m_address(settings.address),
      m_server(
          relay::MakeRelayServer(loop, ServerOptionsOf(settings), Callbacks())),
      m_probes(loop, settings.source_address,
               [this](EndpointKey endpoint, bool connected) {
                 const Instant now = m_loop.Now();
                 m_parts.paths->OnProbeEnded(endpoint, connected, now);
                 m_parts.core->OnPathsChanged(now);
                 m_parts.pump();
               }) {}

relay::RelayCallbacks EndpointRelays::Callbacks() {
  relay::RelayCallbacks callbacks;
  callbacks.admit = [this](const std::string& target) { return Admit(target); };
  callbacks.on_connect_failed = [this](const std::string& target,
                                       Duration took) {
    return OnConnectFailed(target, took);
  };
  callbacks.on_event = LogTunnel;
  return callbacks;
}

relay::Admission EndpointRelays::Admit(const std::string& target) const {
  const directory::Endpoint* endpoint =
      directory::FindByAddress(*m_parts.directory, target);
  if (endpoint == nullptr) return relay::Admission::kUnknownTarget;
  // A connection passes at most one relay. A path that is in doubt is tried:
  // entries that mistrust their paths for the same crashes would otherwise all
  // refuse.
  const bool reaches =
      !m_parts.paths->IsAnyUnreachable(endpoint->record.services);
  const bool carries = reaches && !m_withdrawn && m_parts.has_room();
  return carries ? relay::Admission::kAllowed : relay::Admission::kNotNow;
}

bool EndpointRelays::OnConnectFailed(const std::string& target, Duration took) {
  const directory::Endpoint* endpoint =
      directory::FindByAddress(*m_parts.directory, target);
  if (endpoint == nullptr) return false;
  const EndpointKey key =
      directory::PulseKey(endpoint->record.id, endpoint->record.incarnation);
  const Instant now = m_loop.Now();
  m_parts.paths->OnConnectFailed(key, now - took, now);
  m_parts.core->OnPathsChanged(now);
  m_parts.pump();
  return m_parts.paths->IsAnyUnreachable(endpoint->record.services);
}

void EndpointRelays::OnEntryUp(const peers::PeerInfo& entry) {
  const std::string token = m_server->Authorise(entry.run.host);
  m_tokens[entry.run.host] = token;
  if (!m_withdrawn) SendOffer(entry.run.host, token);
}

void EndpointRelays::OnEntryDown(const HostId& host) {
  m_tokens.erase(host);
  m_server->Dismiss(host);
  m_parts.paths->OnRelayGone(host);
}

void EndpointRelays::SendOffer(const HostId& host,
                               const std::string& token) const {
  wire::RelayOfferT offer;
  if (!m_withdrawn) {
    offer.address = m_address + ":" + std::to_string(m_server->Port());
    offer.token = token;
    offer.unreachable = m_unreachable;
  }
  m_parts.hub->Send(host, peers::MakeFrame(std::move(offer)));
}

void EndpointRelays::OnOffer(const peers::PeerInfo& entry,
                             const wire::RelayOfferT& offer) {
  if (offer.address.empty()) return m_parts.paths->OnRelayGone(entry.run.host);
  m_parts.paths->OnRelay({entry.run.host, entry.data_centre, offer.address,
                          offer.token, offer.unreachable});
  m_parts.core->OnRelayOffered(m_loop.Now());
}

void EndpointRelays::OnTick() {
  const Instant now = m_loop.Now();
  m_probes.CheckTimeouts();
  m_parts.paths->OnTimer(*m_parts.directory, now);
  m_parts.core->OnPathsChanged(now);
  StartProbes();
  std::vector<ServiceName> unreachable = m_parts.paths->UnreachableServices();
  if (unreachable == m_unreachable) return;
  m_unreachable = std::move(unreachable);
  telemetry::Log(telemetry::LogLevel::kWarning, "endpoints_reach",
                 {{"unreachable", Join(m_unreachable)},
                  {"relays", std::to_string(m_parts.paths->Relays())}});
  for (const auto& [host, token] : m_tokens) SendOffer(host, token);
}

void EndpointRelays::StartProbes() {
  for (const gateway::EndpointPaths::Probe& probe :
       m_parts.paths->TakeProbes(m_loop.Now()))
    m_probes.Start(probe);
}

void EndpointRelays::Withdraw() {
  m_withdrawn = true;
  for (const auto& [host, token] : m_tokens) SendOffer(host, token);
}

bool EndpointRelays::IsBusy() const {
  return m_server->BusyTunnels(m_loop.Now()) > 0;
}

bool EndpointRelays::IsInUse() const {
  return m_server->OpenTunnels() > 0 ||
         !m_parts.paths->RelayedEndpoints().empty();
}

void EndpointRelays::SetMetrics(telemetry::Metrics& metrics) const {
  const relay::RelayCounters& counters = m_server->Counters();
  metrics.SetCounter("dotterelshift_tunnels_opened_total",
                     "Connections relayed for other entries",
                     Number(counters.opened));
  metrics.SetCounter("dotterelshift_tunnels_refused_total",
                     "Requests of other entries that were not relayed",
                     Number(counters.refused));
  metrics.SetCounter("dotterelshift_tunnel_bytes_total",
                     "Carried for other entries, in both directions",
                     Number(counters.bytes));
  metrics.SetCounter("dotterelshift_path_doubts_total",
                     "Times that all paths to a service were in doubt",
                     Number(m_parts.paths->Doubts()));
  SetGauges(metrics, {{"dotterelshift_tunnels_open", "Relayed now",
                       Number(m_server->OpenTunnels())},
                      {"dotterelshift_endpoints_relayed",
                       "Reached through another entry",
                       Number(m_parts.paths->RelayedEndpoints().size())},
                      {"dotterelshift_relays", "Entries that offer to relay",
                       Number(m_parts.paths->Relays())}});
}

}  // namespace dotterelshift::app
