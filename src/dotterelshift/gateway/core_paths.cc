#include <algorithm>  // for find, min, sort

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// An endpoint in use sends something within this time.
constexpr Duration kRecentlyHeard = 1s;

}  // namespace

std::optional<RelayContact> CoreImpl::RelayTo(EndpointKey endpoint,
                                              Instant now) const {
  if (m_dependencies.paths == nullptr) return std::nullopt;
  return m_dependencies.paths->RelayTo(endpoint, now);
}

// A stream goes on only at endpoints that are not suspected to have started
// again since they announced its version, and begins there if it can.
std::optional<Placement> CoreImpl::ChooseEndpoint(const ActiveRequest& active,
                                                  Instant now) {
  ChoiceLimits limits = {.excluded = active.tried,
                         .software = SoftwareFor(active),
                         .barred_software = active.barred_software};
  ChoiceLimits unsuspected = limits;
  for (const EndpointKey endpoint : SuspectedEndpoints(active, now))
    unsuspected.excluded.push_back(endpoint);
  const bool none_suspected =
      unsuspected.excluded.size() == limits.excluded.size();
  const auto placement = ChooseAmong(active, unsuspected, now);
  if (none_suspected || active.binding) return placement;
  if (placement && !WouldRespondTooLate(active, *placement, now))
    return placement;
  return ChooseAmong(active, limits, now);
}

// A request that lost an endpoint prefers those that were heard lately: crashed
// ones have no load, and would otherwise be chosen one after the other.
// A stream that may have to be resumed is begun at a version that stays unless
// its first event would be late there.
std::optional<Placement> CoreImpl::ChooseAmong(const ActiveRequest& active,
                                               const ChoiceLimits& limits,
                                               Instant now) const {
  if (active.trial) {
    ChoiceLimits idle = limits;
    idle.idle = true;
    if (auto placement = ChooseWithin(active, std::move(idle), now))
      return placement;
  }
  if (active.lost_connections > 0 && m_dependencies.paths != nullptr) {
    ChoiceLimits heard = limits;
    for (const EndpointKey endpoint : m_dependencies.paths->NotHeardSince(
             active.service, now - kRecentlyHeard))
      heard.excluded.push_back(endpoint);
    if (auto placement = ChooseWithin(active, std::move(heard), now))
      return placement;
  }
  const bool begins_resumable = active.route->kind == RouteKind::kStream &&
                                active.route->resumable && !active.binding &&
                                !m_dependencies.versions->Only(active.service);
  if (begins_resumable) {
    ChoiceLimits staying = limits;
    staying.prefers_staying = true;
    const auto placement = ChooseWithin(active, std::move(staying), now);
    if (placement && !WouldRespondTooLate(active, *placement, now))
      return placement;
  }
  return ChooseWithin(active, limits, now);
}

std::optional<Placement> CoreImpl::ChooseWithin(const ActiveRequest& active,
                                                ChoiceLimits limits,
                                                Instant now) const {
  Instant next_open = Instant::max();
  const auto placement = ChooseOpen(active, limits, now, now, &next_open);
  if (placement || next_open > now + MaxPermitWait(active, now))
    return placement;
  return ChooseOpen(active, std::move(limits), next_open, now, nullptr);
}

std::optional<Placement> CoreImpl::ChooseOpen(const ActiveRequest& active,
                                              ChoiceLimits limits,
                                              Instant open_by, Instant now,
                                              Instant* next_open) const {
  while (true) {
    const std::optional<Placement> placement = m_dependencies.load->Choose(
        active.service, active.info.prompt, limits, now);
    if (!placement) return placement;
    const EndpointKey endpoint = placement->endpoint;
    limits.excluded.push_back(endpoint);
    if (LacksPath(endpoint, now)) continue;
    if (!NeedsPermit(endpoint)) return placement;
    const Instant open =
        m_dependencies.limits->OpenFrom(endpoint, active.priority, now);
    if (open <= open_by) return placement;
    if (next_open != nullptr) *next_open = std::min(*next_open, open);
  }
}

// Probes tell in a moment whether this entry reaches the endpoint. Or other
// entries offer to relay, but each one says that it cannot reach the endpoint
// either: a request for it would only wait for a connection that is not
// established.
bool CoreImpl::LacksPath(EndpointKey endpoint, Instant now) const {
  const EndpointPaths* paths = m_dependencies.paths;
  if (paths == nullptr) return false;
  if (paths->IsBeingChecked(endpoint, now)) return true;
  return paths->Relays() > 0 && paths->IsRelayed(endpoint) &&
         !paths->RelayTo(endpoint, now);
}

void CoreImpl::OnConnected(AttemptId id, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  active->attempt.new_connection = true;
  if (m_dependencies.paths == nullptr) return;
  if (!active->attempt.relay.empty()) return;
  m_dependencies.paths->OnConnected(active->attempt.placement.endpoint, now);
  OnPathsChanged(now);
}

void CoreImpl::OnUnacknowledged(AttemptId id, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr || m_dependencies.paths == nullptr) return;
  if (!active->attempt.relay.empty()) return;
  const EndpointKey endpoint = active->attempt.placement.endpoint;
  active->attempt.unacknowledged = true;
  m_dependencies.paths->OnUnacknowledged(endpoint, active->attempt.sent, now);
  OnPathsChanged(now);
  // The path may have been in doubt before this attempt was known to be stuck.
  active = FindByAttempt(id);
  if (active != nullptr && RelayTo(endpoint, now)) LeavePath(*active, now);
}

void CoreImpl::OnRelayOffered(Instant now) {
  if (m_dependencies.paths == nullptr) return;
  for (const EndpointKey endpoint : m_dependencies.paths->RelayedEndpoints())
    if (RelayTo(endpoint, now)) m_dependencies.load->OnPathChanged(endpoint);
}

void CoreImpl::LogPathDoubts() {
  for (const PathDoubt& doubt : m_dependencies.paths->TakeDoubts()) {
    const std::string reached_ago =
        doubt.reached_ago ? std::to_string(ToMs(*doubt.reached_ago)) : "never";
    m_actions.emplace_back(
        Decision{"paths_in_doubt",
                 "",
                 {{"service", doubt.service},
                  {"failed", std::to_string(doubt.failed)},
                  {"endpoints", std::to_string(doubt.endpoints)},
                  {"checked", std::to_string(doubt.checked)},
                  {"reached_ms_ago", reached_ago},
                  {"relays", std::to_string(m_dependencies.paths->Relays())}}});
  }
}

void CoreImpl::OnPathsChanged(Instant now) {
  if (m_dependencies.paths == nullptr) return;
  LogPathDoubts();
  JudgeBrokenAttempts(now);
  std::vector<RequestId> on_failed_paths;
  for (const PathChange& change : m_dependencies.paths->TakeChanges()) {
    const bool direct = change.to == PathState::kDirect;
    const bool reachable = direct || RelayTo(change.endpoint, now);
    if (reachable) m_dependencies.load->OnPathChanged(change.endpoint);
    m_actions.emplace_back(Decision{
        "path_changed",
        "",
        {{"endpoint", change.id},
         {"to", std::string(NameOf(change.to))},
         {"evidence", std::string(NameOf(change.evidence))},
         {"reached_ms_ago", std::to_string(ToMs(change.last_reached_ago))}}});
    if (direct || !reachable) continue;
    for (const auto& [id, active] : m_active)
      if (active.attempt.placement.endpoint == change.endpoint)
        on_failed_paths.push_back(id);
  }
  std::sort(on_failed_paths.begin(), on_failed_paths.end());
  for (const RequestId id : on_failed_paths) {
    const auto found = m_active.find(id);
    if (found != m_active.end()) LeavePath(found->second, now);
  }
}

// An attempt that was sent directly and has no response leaves the failed path:
// it is withdrawn if no byte of it was handed over. While its endpoint may only
// be silent, it is left to the idle timeout. One whose bytes were not
// acknowledged in time is given up if the request runs again at once; any other
// may still get its response.
void CoreImpl::LeavePath(ActiveRequest& active, Instant now) {
  const Attempt& attempt = active.attempt;
  if (active.stage != Stage::kRunning || attempt.head_received ||
      !attempt.relay.empty())
    return;
  if (!attempt.unacknowledged) {
    m_actions.emplace_back(WithdrawAttempt{attempt.id});
    return;
  }
  const EndpointKey endpoint = attempt.placement.endpoint;
  if (m_dependencies.paths->MayOnlyBeSilent(endpoint, now)) return;
  if (MayRunAgain(active)) LeaveSilent(active, now);
}

void CoreImpl::ReportConnectFailure(const ActiveRequest& active,
                                    http::TransferEnd end, Instant now) {
  if (m_dependencies.paths == nullptr) return;
  const Attempt& attempt = active.attempt;
  if (end == http::TransferEnd::kRelayFailed) {
    m_dependencies.paths->OnRelayFailed(attempt.relay,
                                        attempt.placement.endpoint, now);
  } else if (end == http::TransferEnd::kNotSent && attempt.relay.empty()) {
    m_dependencies.paths->OnConnectFailed(attempt.placement.endpoint,
                                          attempt.sent, now);
    OnPathsChanged(now);
  }
}

bool CoreImpl::IsBeingChecked(const ActiveRequest& active, Instant now) const {
  return m_dependencies.paths != nullptr &&
         m_dependencies.paths->IsBeingChecked(active.service, now);
}

// Relays that refuse one after the other may see a crashed endpoint: after the
// second one the request goes elsewhere.
bool CoreImpl::MayRetryPath(ActiveRequest& active, http::TransferEnd end) {
  if (end != http::TransferEnd::kRelayFailed) return true;
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  const bool again =
      std::find(active.relay_failed.begin(), active.relay_failed.end(),
                endpoint) != active.relay_failed.end();
  active.relay_failed.push_back(endpoint);
  return !again;
}

bool CoreImpl::IsPathFailure(const ActiveRequest& active, http::TransferEnd end,
                             Instant now) const {
  if (end == http::TransferEnd::kRelayFailed) return true;
  return active.attempt.relay.empty() &&
         RelayTo(active.attempt.placement.endpoint, now);
}

}  // namespace dotterelshift::gateway
