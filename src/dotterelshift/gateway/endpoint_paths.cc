#include "dotterelshift/gateway/endpoint_paths.h"

#include <algorithm>  // for any_of, clamp, count_if, find, max, min

#include "dotterelshift/directory/spread.h"  // for PulseKey

namespace dotterelshift::gateway {
namespace {

bool Contains(const std::vector<ServiceName>& services,
              const ServiceName& service) {
  return std::find(services.begin(), services.end(), service) != services.end();
}

bool ContainsAny(const std::vector<ServiceName>& services,
                 const std::vector<ServiceName>& wanted) {
  return std::any_of(
      wanted.begin(), wanted.end(),
      [&](const ServiceName& service) { return Contains(services, service); });
}

}  // namespace

std::string_view NameOf(PathState state) {
  switch (state) {
    case PathState::kDirect:
      return "direct";
    case PathState::kRelayed:
      return "relayed";
  }
  return "unknown";
}

std::string_view NameOf(PathEvidence evidence) {
  switch (evidence) {
    case PathEvidence::kConnectFailed:
      return "connect_failed";
    case PathEvidence::kUnacknowledged:
      return "unacknowledged";
    case PathEvidence::kOthersFailed:
      return "others_failed";
    case PathEvidence::kAnnounced:
      return "announced";
    case PathEvidence::kConnected:
      return "connected";
  }
  return "unknown";
}

void EndpointPaths::OnDirectory(const directory::Directory& directory,
                                Instant now) {
  std::map<EndpointKey, Path> known = std::move(m_paths);
  m_paths.clear();
  m_by_service.clear();
  for (const auto& [id, endpoint] : directory.All()) {
    const EndpointKey key =
        directory::PulseKey(id, endpoint.record.incarnation);
    Path& path = m_paths[key];
    const auto before = known.find(key);
    if (before != known.end()) {
      path = std::move(before->second);
      known.erase(before);
    } else {
      path.last_reached = now;
    }
    path.id = id;
    path.address = endpoint.record.address;
    path.services = endpoint.record.services;
    path.usable = endpoint.usable;
    for (const ServiceName& service : path.services)
      m_by_service[service].push_back(key);
  }
  // Their probes end later and are not counted then.
  for (const auto& [key, path] : known)
    if (path.probing) --m_open_probes;
}

void EndpointPaths::OnConnectFailed(EndpointKey endpoint, Instant now) {
  OnFailure(endpoint, PathEvidence::kConnectFailed, now);
}

void EndpointPaths::OnUnacknowledged(EndpointKey endpoint, Instant now) {
  OnFailure(endpoint, PathEvidence::kUnacknowledged, now);
}

void EndpointPaths::OnFailure(EndpointKey endpoint, PathEvidence evidence,
                              Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  Path& path = found->second;
  path.failed_at = now;
  path.failure = evidence;
  for (const ServiceName& service : path.services) CheckService(service, now);
}

size_t EndpointPaths::FailedOf(const ServiceName& service, Instant now) const {
  const auto reached = m_service_reached.find(service);
  const Instant since = std::max(
      now - m_options.max_evidence_age,
      reached == m_service_reached.end() ? Instant{} : reached->second);
  const std::vector<EndpointKey>& keys = m_by_service.at(service);
  return std::count_if(keys.begin(), keys.end(), [&](EndpointKey key) {
    const Path& path = m_paths.at(key);
    return path.failed_at && *path.failed_at >= since;
  });
}

void EndpointPaths::CheckService(const ServiceName& service, Instant now) {
  const std::vector<EndpointKey>& keys = m_by_service.at(service);
  const size_t failed_count = FailedOf(service, now);
  if (failed_count < std::min(m_options.min_failed, keys.size())) return;
  const size_t changes = m_changes.size();
  for (const EndpointKey key : keys) {
    Path& path = m_paths.at(key);
    const bool failed = path.failed_at.has_value();
    Change(key, path, PathState::kRelayed,
           failed ? path.failure : PathEvidence::kOthersFailed, now);
  }
  if (m_changes.size() == changes) return;
  ++m_doubt_count;
  PathDoubt& doubt = m_doubts.emplace_back();
  doubt.service = service;
  doubt.failed = failed_count;
  doubt.endpoints = keys.size();
  const auto reached = m_service_reached.find(service);
  if (reached != m_service_reached.end())
    doubt.reached_ago = now - reached->second;
}

PathCounts EndpointPaths::CountOf(const ServiceName& service) const {
  PathCounts counts;
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return counts;
  for (const EndpointKey key : keys->second) {
    const Path& path = m_paths.at(key);
    if (!path.usable || path.state != PathState::kRelayed) continue;
    ++counts.relayed;
    const bool for_others = path.relayed_for == PathEvidence::kOthersFailed;
    counts.others_failed += for_others ? 1 : 0;
  }
  return counts;
}

void EndpointPaths::OnConnected(EndpointKey endpoint, Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  Path& path = found->second;
  path.failed_at.reset();
  path.last_reached = now;
  for (const ServiceName& service : path.services)
    m_service_reached[service] = now;
  Change(endpoint, path, PathState::kDirect, PathEvidence::kConnected, now);
}

// Shows that an open connection works, but not that a new one would.
void EndpointPaths::OnResponse(EndpointKey endpoint) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  Path& path = found->second;
  if (path.failure == PathEvidence::kUnacknowledged) path.failed_at.reset();
}

void EndpointPaths::OnTimer(const directory::Directory& directory,
                            Instant now) {
  for (auto& [key, path] : m_paths) {
    if (!path.failed_at || path.state == PathState::kRelayed) continue;
    const directory::Endpoint* endpoint = directory.Find(path.id);
    if (endpoint == nullptr || !endpoint->usable) continue;
    if (endpoint->last_news < *path.failed_at + m_options.announcement_margin)
      continue;
    Change(key, path, PathState::kRelayed, PathEvidence::kAnnounced, now);
  }
}

void EndpointPaths::OnRelay(RelayContact relay) {
  const HostId host = relay.host;
  m_relays[host] = std::move(relay);
}

void EndpointPaths::OnRelayGone(const HostId& host) { m_relays.erase(host); }

void EndpointPaths::OnRelayFailed(const HostId& host, EndpointKey endpoint,
                                  Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  for (const ServiceName& service : found->second.services)
    m_relay_avoided_until[{host, service}] = now + m_options.relay_avoid_time;
}

bool EndpointPaths::IsRelayed(EndpointKey endpoint) const {
  const auto found = m_paths.find(endpoint);
  return found != m_paths.end() && found->second.state == PathState::kRelayed;
}

bool EndpointPaths::MayCarry(const RelayContact& relay, const Path& path,
                             Instant now) const {
  for (const ServiceName& service : path.services) {
    const auto avoided = m_relay_avoided_until.find({relay.host, service});
    if (avoided != m_relay_avoided_until.end() && now < avoided->second)
      return false;
  }
  return true;
}

// Relays in the same data centre are preferred, and those that failed lately
// are used if there are no others. Endpoints are spread over the relays by
// their key, so that connections are reused and no relay carries all.
std::optional<RelayContact> EndpointPaths::RelayTo(EndpointKey endpoint,
                                                   Instant now) const {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end() || found->second.state == PathState::kDirect)
    return std::nullopt;
  std::vector<const RelayContact*> near;
  std::vector<const RelayContact*> far;
  std::vector<const RelayContact*> failed;
  for (const auto& [host, relay] : m_relays) {
    if (ContainsAny(relay.unreachable, found->second.services)) continue;
    const bool is_near = relay.data_centre == m_options.data_centre;
    if (!MayCarry(relay, found->second, now))
      failed.push_back(&relay);
    else
      (is_near ? near : far).push_back(&relay);
  }
  const auto& relays = !near.empty() ? near : !far.empty() ? far : failed;
  if (relays.empty()) return std::nullopt;
  return *relays[endpoint % relays.size()];
}

bool EndpointPaths::LacksRelay(Instant now) const {
  return std::any_of(m_paths.begin(), m_paths.end(), [&](const auto& entry) {
    const Path& path = entry.second;
    return path.usable && path.state == PathState::kRelayed &&
           !RelayTo(entry.first, now);
  });
}

std::vector<ServiceName> EndpointPaths::UnreachableServices() const {
  std::vector<ServiceName> services;
  for (const auto& [service, keys] : m_by_service) {
    size_t usable = 0;
    size_t relayed = 0;
    for (const EndpointKey key : keys) {
      const Path& path = m_paths.at(key);
      if (!path.usable) continue;
      ++usable;
      relayed += path.state == PathState::kRelayed ? 1 : 0;
    }
    if (usable > 0 && relayed == usable) services.push_back(service);
  }
  return services;
}

std::vector<EndpointKey> EndpointPaths::RelayedEndpoints() const {
  std::vector<EndpointKey> keys;
  for (const auto& [key, path] : m_paths)
    if (path.state == PathState::kRelayed) keys.push_back(key);
  return keys;
}

std::vector<EndpointPaths::Probe> EndpointPaths::TakeProbes(Instant now) {
  std::vector<Probe> probes;
  for (auto& [key, path] : m_paths) {
    if (m_open_probes >= m_options.max_open_probes) break;
    const bool due = path.state == PathState::kRelayed && path.usable &&
                     !path.probing && now >= path.probe_at;
    if (!due) continue;
    path.probing = true;
    ++m_open_probes;
    probes.push_back({key, path.address});
  }
  return probes;
}

void EndpointPaths::OnProbeEnded(EndpointKey endpoint, bool connected,
                                 Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end() || !found->second.probing) return;
  Path& path = found->second;
  path.probing = false;
  --m_open_probes;
  if (connected) return OnConnected(endpoint, now);
  path.probe_interval =
      std::clamp(path.probe_interval * 2, m_options.min_probe_interval,
                 m_options.max_probe_interval);
  path.probe_at = now + path.probe_interval;
}

void EndpointPaths::Change(EndpointKey endpoint, Path& path, PathState to,
                           PathEvidence evidence, Instant now) {
  if (path.state == to) return;
  path.state = to;
  path.relayed_for = evidence;
  path.probe_at = now;
  path.probe_interval = 0s;
  m_changes.push_back(
      {endpoint, path.id, to, evidence, now - path.last_reached});
}

}  // namespace dotterelshift::gateway
