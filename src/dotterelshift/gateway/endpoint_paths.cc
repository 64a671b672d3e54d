#include "dotterelshift/gateway/endpoint_paths.h"

#include <algorithm>  // for all_of, any_of, clamp, count_if, find, max, min

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

// Whether a direct connection is possible depends on the address, so that an
// endpoint that starts at a known address takes its path over.
void EndpointPaths::OnDirectory(const directory::Directory& directory,
                                Instant now) {
  std::map<EndpointKey, Path> known = std::move(m_paths);
  std::map<std::string, PathEvidence> relayed_addresses;
  for (const auto& [key, path] : known)
    if (path.state == PathState::kRelayed)
      relayed_addresses[path.address] = path.relayed_for;
  m_paths.clear();
  m_by_service.clear();
  for (const auto& [id, endpoint] : directory.All()) {
    const EndpointKey key =
        directory::PulseKey(id, endpoint.record.incarnation);
    Path& path = m_paths[key];
    const auto before = known.find(key);
    const bool is_new = before == known.end();
    if (is_new) {
      path.last_reached = now;
    } else {
      path = std::move(before->second);
      known.erase(before);
    }
    path.id = id;
    path.address = endpoint.record.address;
    path.services = endpoint.record.services;
    path.usable = endpoint.usable;
    for (const ServiceName& service : path.services)
      m_by_service[service].push_back(key);
    const auto relayed = relayed_addresses.find(path.address);
    if (is_new && relayed != relayed_addresses.end())
      Change(key, path, PathState::kRelayed, relayed->second, now);
  }
  m_next_probe = now;
  // Their probes end later and are not counted then.
  for (const auto& [key, path] : known)
    if (path.probing) --m_open_probes;
}

void EndpointPaths::OnConnectFailed(EndpointKey endpoint, Instant began,
                                    Instant now) {
  OnFailure(endpoint, PathEvidence::kConnectFailed, began, now);
}

void EndpointPaths::OnUnacknowledged(EndpointKey endpoint, Instant sent,
                                     Instant now) {
  OnFailure(endpoint, PathEvidence::kUnacknowledged, sent, now);
}

void EndpointPaths::OnFailure(EndpointKey endpoint, PathEvidence evidence,
                              Instant began, Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  Path& path = found->second;
  path.failed_at = now;
  path.failure_began = std::min(began, now);
  path.failure = evidence;
  for (const ServiceName& service : path.services) JudgeService(service, now);
}

EndpointPaths::Failures EndpointPaths::FailuresOf(const ServiceName& service,
                                                  Instant now) const {
  const auto reached = m_service_reached.find(service);
  const Instant since = std::max(
      now - m_options.max_evidence_age,
      reached == m_service_reached.end() ? Instant{} : reached->second);
  Failures failures;
  failures.began = now;
  for (const EndpointKey key : m_by_service.at(service)) {
    const Path& path = m_paths.at(key);
    if (!path.failed_at || *path.failed_at < since) continue;
    ++failures.endpoints;
    failures.began = std::min(failures.began, path.failure_began);
  }
  return failures;
}

void EndpointPaths::JudgeService(const ServiceName& service, Instant now) {
  const size_t endpoints = m_by_service.at(service).size();
  const Failures failures = FailuresOf(service, now);
  if (failures.endpoints < std::min(m_options.min_failed, endpoints)) return;
  if (IsBeingChecked(service, now)) return;
  const auto checked = m_checked.find(service);
  if (checked != m_checked.end() &&
      now < checked->second + m_options.check_validity)
    return;
  const bool silent = now - failures.began >= m_options.min_silence;
  const size_t probes = silent ? 0 : StartCheck(service, failures.began, now);
  RecordDoubt(service, failures.endpoints, probes, now);
  if (probes == 0) RelayAll(service, failures.began, now);
}

bool EndpointPaths::WasHeard(const Path& path, Instant began,
                             Instant now) const {
  const Duration observed = now - began;
  return observed >= m_options.min_silence &&
         path.last_bytes > began + observed / 2;
}

size_t EndpointPaths::StartCheck(const ServiceName& service, Instant began,
                                 Instant now) {
  std::set<EndpointKey> probes;
  for (const EndpointKey key : m_by_service.at(service)) {
    Path& path = m_paths.at(key);
    const bool unproven =
        path.usable && !path.failed_at && path.state == PathState::kDirect;
    if (!unproven || path.probing) continue;
    path.probe_wanted = true;
    probes.insert(key);
    if (probes.size() == m_options.max_checked) break;
  }
  if (probes.empty()) return 0;
  m_checks[service] = {now + m_options.check_time, probes, began};
  m_next_probe = now;
  return probes.size();
}

void EndpointPaths::OnCheckProbe(EndpointKey endpoint, const Path& path,
                                 Instant now) {
  for (const ServiceName& service : path.services) {
    const auto check = m_checks.find(service);
    if (check == m_checks.end()) continue;
    std::set<EndpointKey>& open = check->second.open;
    if (open.erase(endpoint) == 0 || !open.empty()) continue;
    const Instant began = check->second.began;
    m_checks.erase(check);
    RelayAll(service, began, now);
  }
}

void EndpointPaths::EndOverdueChecks(Instant now) {
  std::vector<std::pair<ServiceName, Instant>> overdue;
  for (const auto& [service, check] : m_checks)
    if (now >= check.until) overdue.emplace_back(service, check.began);
  for (const auto& [service, began] : overdue) {
    m_checks.erase(service);
    RelayAll(service, began, now);
  }
}

void EndpointPaths::RelayAll(const ServiceName& service, Instant began,
                             Instant now) {
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return;
  for (const EndpointKey key : keys->second) {
    Path& path = m_paths.at(key);
    const bool failed = path.failed_at.has_value();
    if (!failed && WasHeard(path, began, now)) continue;
    Change(key, path, PathState::kRelayed,
           failed ? path.failure : PathEvidence::kOthersFailed, now);
  }
}

void EndpointPaths::RecordDoubt(const ServiceName& service, size_t failed,
                                size_t checked, Instant now) {
  ++m_doubt_count;
  PathDoubt& doubt = m_doubts.emplace_back();
  doubt.service = service;
  doubt.failed = failed;
  doubt.endpoints = m_by_service.at(service).size();
  doubt.checked = checked;
  const auto reached = m_service_reached.find(service);
  if (reached != m_service_reached.end())
    doubt.reached_ago = now - reached->second;
}

std::vector<EndpointKey> EndpointPaths::NotHeardSince(
    const ServiceName& service, Instant since) const {
  std::vector<EndpointKey> silent;
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return silent;
  for (const EndpointKey key : keys->second) {
    const Path& path = m_paths.at(key);
    if (path.usable && path.last_bytes < since) silent.push_back(key);
  }
  return silent;
}

bool EndpointPaths::IsBeingChecked(const ServiceName& service,
                                   Instant now) const {
  const auto check = m_checks.find(service);
  return check != m_checks.end() && now < check->second.until;
}

bool EndpointPaths::IsBeingChecked(EndpointKey endpoint, Instant now) const {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return false;
  return std::any_of(
      found->second.services.begin(), found->second.services.end(),
      [&](const ServiceName& service) { return IsBeingChecked(service, now); });
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
  path.last_bytes = now;
  for (const ServiceName& service : path.services) {
    m_service_reached[service] = now;
    if (m_checks.erase(service) > 0) m_checked[service] = now;
  }
  Change(endpoint, path, PathState::kDirect, PathEvidence::kConnected, now);
}

// Shows that an open connection works, but not that a new one would.
void EndpointPaths::OnBytes(EndpointKey endpoint, Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  Path& path = found->second;
  path.last_bytes = now;
  if (path.failure == PathEvidence::kUnacknowledged) path.failed_at.reset();
}

void EndpointPaths::OnTimer(const directory::Directory& directory,
                            Instant now) {
  EndOverdueChecks(now);
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

bool EndpointPaths::MayOnlyBeSilent(EndpointKey endpoint, Instant now) const {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return false;
  const Path& path = found->second;
  if (path.failure != PathEvidence::kUnacknowledged ||
      path.relayed_for != PathEvidence::kUnacknowledged)
    return false;
  return std::all_of(path.services.begin(), path.services.end(),
                     [&](const ServiceName& service) {
                       return FailuresOf(service, now).endpoints <= 1;
                     });
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
  for (const auto& [service, keys] : m_by_service)
    if (IsUnreachable(keys)) services.push_back(service);
  return services;
}

bool EndpointPaths::IsUnreachable(const std::vector<EndpointKey>& keys) const {
  size_t usable = 0;
  size_t relayed = 0;
  for (const EndpointKey key : keys) {
    const Path& path = m_paths.at(key);
    if (!path.usable) continue;
    ++usable;
    relayed += path.state == PathState::kRelayed ? 1 : 0;
  }
  return usable > 0 && relayed == usable;
}

bool EndpointPaths::IsAnyUnreachable(
    const std::vector<ServiceName>& services) const {
  return std::any_of(
      services.begin(), services.end(), [&](const ServiceName& service) {
        const auto keys = m_by_service.find(service);
        return keys != m_by_service.end() && IsUnreachable(keys->second);
      });
}

std::vector<EndpointKey> EndpointPaths::RelayedEndpoints() const {
  std::vector<EndpointKey> keys;
  for (const auto& [key, path] : m_paths)
    if (path.state == PathState::kRelayed) keys.push_back(key);
  return keys;
}

void EndpointPaths::ProbeNow(EndpointKey endpoint, const ServiceName& service,
                             Instant now) {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return;
  found->second.probe_wanted = true;
  m_next_probe = now;
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return;
  if (HeardFromOthers(service, endpoint, now - m_options.min_silence)) return;
  for (const EndpointKey key : keys->second) {
    Path& path = m_paths.at(key);
    if (key == endpoint || !path.usable || path.failed_at) continue;
    path.probe_wanted = true;
    return;
  }
}

EndpointSign EndpointPaths::SignSince(EndpointKey endpoint,
                                      Instant since) const {
  const auto found = m_paths.find(endpoint);
  if (found == m_paths.end()) return EndpointSign::kUnreachable;
  const Path& path = found->second;
  if (path.last_reached > since + m_options.accept_delay ||
      path.last_bytes > since + m_options.read_delay)
    return EndpointSign::kAlive;
  const bool failed = path.failed_at && *path.failed_at >= since;
  return failed ? EndpointSign::kUnreachable : EndpointSign::kNone;
}

bool EndpointPaths::HeardFromOthers(const ServiceName& service,
                                    EndpointKey endpoint, Instant since) const {
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return false;
  bool alone = true;
  for (const EndpointKey key : keys->second) {
    const Path& path = m_paths.at(key);
    if (key == endpoint || !path.usable) continue;
    alone = false;
    if (path.last_bytes >= since) return true;
  }
  return alone;
}

std::vector<EndpointPaths::Probe> EndpointPaths::TakeProbes(Instant now) {
  EndOverdueChecks(now);
  std::vector<Probe> probes;
  if (now < m_next_probe) return probes;
  m_next_probe = Instant::max();
  for (auto& [key, path] : m_paths) {
    if (path.probing) continue;
    const bool relayed = path.state == PathState::kRelayed && path.usable;
    const bool has_room = m_open_probes < m_options.max_open_probes;
    if (path.probe_wanted || (relayed && has_room && now >= path.probe_at)) {
      path.probing = true;
      ++m_open_probes;
      probes.push_back({key, path.address});
    } else if (relayed) {
      m_next_probe = std::min(m_next_probe, std::max(now, path.probe_at));
    }
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
  const bool wanted = std::exchange(path.probe_wanted, false);
  if (connected) return OnConnected(endpoint, now);
  path.probe_interval =
      std::clamp(path.probe_interval * 2, m_options.min_probe_interval,
                 m_options.max_probe_interval);
  path.probe_at = now + path.probe_interval;
  m_next_probe = std::min(m_next_probe, path.probe_at);
  if (!wanted) return;
  path.failed_at = now;
  path.failure_began = now;
  path.failure = PathEvidence::kConnectFailed;
  OnCheckProbe(endpoint, path, now);
}

void EndpointPaths::Change(EndpointKey endpoint, Path& path, PathState to,
                           PathEvidence evidence, Instant now) {
  if (path.state == to) return;
  path.state = to;
  path.relayed_for = evidence;
  path.probe_at = now;
  path.probe_interval = 0s;
  m_next_probe = now;
  m_changes.push_back(
      {endpoint, path.id, to, evidence, now - path.last_reached});
}

}  // namespace dotterelshift::gateway
