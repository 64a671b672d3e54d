#include "dotterelshift/gateway/core.h"

#include <algorithm>  // for max, min, sort
#include <numeric>    // for accumulate
#include <utility>    // for move

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often signs of the endpoints of broken attempts are looked for.
constexpr Duration kBrokenCheckInterval = 10ms;

// A number from 0 to below 1.
double FractionOf(uint64_t random) {
  constexpr int kFractionBits = 53;
  return static_cast<double>(random >> (64 - kFractionBits)) /
         static_cast<double>(uint64_t{1} << kFractionBits);
}

}  // namespace

void CoreImpl::OnRoutes(std::shared_ptr<const RouteTable> routes,
                        size_t entries, Instant now) {
  m_routes = std::move(routes);
  m_route_targets.Update(*m_routes, now);
  m_dependencies.load->OnRoutes(*m_routes);
  m_dependencies.budgets->OnRoutes(*m_routes, entries, now);
}

void CoreImpl::OnEndpointsChanged(const directory::Directory& directory,
                                  Instant now) {
  m_dependencies.load->OnDirectory(directory);
  LogArrivals(directory, now);
  m_dependencies.versions->Update(directory, now);
  if (m_dependencies.paths != nullptr)
    m_dependencies.paths->OnDirectory(directory, now);
  std::vector<RequestId> on_leaving_endpoints;
  for (const auto& [id, active] : m_active) {
    const bool not_answered =
        active.stage == Stage::kSlotReserved ||
        (active.stage == Stage::kRunning && !active.attempt.head_received);
    const bool waits = active.stage == Stage::kWaitsForPermit;
    const Placement& placement =
        waits ? active.permit.placement : active.attempt.placement;
    if ((not_answered || waits) &&
        m_dependencies.load->IsLeaving(placement.endpoint))
      on_leaving_endpoints.push_back(id);
  }
  std::sort(on_leaving_endpoints.begin(), on_leaving_endpoints.end());
  for (const RequestId id : on_leaving_endpoints)
    LeaveEndpoint(m_active.at(id), now);
  m_dependencies.restarts->Update(now);
  m_dependencies.origins->Update(directory, *m_dependencies.restarts, now);
  LeaveRestartedEndpoints(directory, now);
  if (!m_view_complete_since) AdmitWaiting(false, now);
}

void CoreImpl::LogArrivals(const directory::Directory& directory, Instant now) {
  for (const EndpointKey key : m_dependencies.load->TakeArrivals()) {
    const origins::EndpointContact& contact = *m_dependencies.load->Find(key);
    if (m_dependencies.limits != nullptr)
      m_dependencies.limits->OnArrival(key, contact.id, now);
    const directory::Endpoint* endpoint = directory.Find(contact.id);
    const Duration age = endpoint == nullptr ? 0s : now - endpoint->last_news;
    m_actions.emplace_back(
        Decision{"endpoint_arrived",
                 "",
                 {{"endpoint", contact.id},
                  {"incarnation", std::to_string(contact.incarnation)},
                  {"address", contact.address},
                  {"version", contact.software_version},
                  {"announced_ms_ago", std::to_string(ToMs(age))}}});
  }
}

void CoreImpl::OnRequest(RequestId request, RequestInfo info, Instant now) {
  ActiveRequest& active = m_active[request];
  active.id = request;
  active.info = std::move(info);
  // The caller's timeout counts from the head: a long body can take seconds to
  // arrive over a saturated link.
  const bool known = active.info.begun != Instant{} && active.info.begun <= now;
  active.arrived = known ? active.info.begun : now;
  active.routes = m_routes;
  ErrorKind error = FindRoute(active);
  if (error == ErrorKind::kNone) error = FindTeam(active);
  if (error == ErrorKind::kNone && m_dependencies.blocklist != nullptr &&
      m_dependencies.blocklist->RemainingBlock(active.info.content_hash, now))
    error = ErrorKind::kQuarantined;
  if (error != ErrorKind::kNone) return Fail(active, error, 0s, now);
  Admit(active, now);
}

// Until the first routes are received, requests are refused as kNotReady and
// not as unknown paths.
ErrorKind CoreImpl::FindRoute(ActiveRequest& active) const {
  if (m_stopped) return ErrorKind::kDraining;
  if (active.routes == nullptr) return ErrorKind::kNotReady;
  active.route = active.routes->FindRoute(active.info.host, active.info.path);
  return active.route == nullptr ? ErrorKind::kUnknownPath : ErrorKind::kNone;
}

ErrorKind CoreImpl::FindTeam(ActiveRequest& active) const {
  active.priority = active.route->priority;
  if (!active.routes->HasTeams() || active.route->open_to_all)
    return ErrorKind::kNone;
  const TeamAccess* team = active.routes->FindTeam(active.info.key);
  if (team == nullptr) return ErrorKind::kUnauthorized;
  active.team = team->team;
  active.priority = team->priority.value_or(active.route->priority);
  return ErrorKind::kNone;
}

void CoreImpl::Admit(ActiveRequest& active, Instant now) {
  SetTimes(active);
  if (now >= active.deadline)
    return Fail(active, ErrorKind::kOverloaded, 0s, now);
  if (OutlivesDrain(active, now))
    return Fail(active, ErrorKind::kDraining, 0s, now);
  active.service = PickService(*active.route);
  TakeOver(active, now);
  if (active.Resumes()) return AdmitResumed(active, now);
  AdmitToService(active, now);
}

void CoreImpl::AdmitToService(ActiveRequest& active, Instant now) {
  m_dependencies.retries->OnRequest(active.service, now);
  ReserveBudget(active, now);
}

// Whether to refuse the request because the shutdown may end before its own
// deadline. This applies after the notice period: the process's exit could
// truncate the response, while another entry can deliver it completely.
bool CoreImpl::OutlivesDrain(const ActiveRequest& active, Instant now) const {
  return m_drain && now > m_drain->notice_end &&
         active.deadline > m_drain->response_deadline;
}

void CoreImpl::SetTimes(ActiveRequest& active) const {
  const Duration timeout =
      active.info.timeout.value_or(m_options.default_caller_timeout);
  active.deadline = active.arrived + std::min(timeout, active.route->timeout);
  active.target = active.arrived + active.route->target;
}

ServiceName CoreImpl::PickService(const Route& route) {
  const auto& shares = route.services;
  if (shares.size() == 1) return shares.front().service;
  // Relative to the largest one, so that their sum is finite.
  const double largest =
      std::ranges::max(shares, {}, &WeightedService::weight).weight;
  const double sum =
      std::accumulate(shares.begin(), shares.end(), 0.0,
                      [largest](double total, const WeightedService& s) {
                        return total + s.weight / largest;
                      });
  double remainder = FractionOf(m_random()) * sum;
  const WeightedService* last = &shares.front();
  for (const WeightedService& share : shares) {
    if (share.weight <= 0) continue;
    last = &share;
    if (remainder < share.weight / largest) break;
    remainder -= share.weight / largest;
  }
  return last->service;
}

void CoreImpl::ReserveBudget(ActiveRequest& active, Instant now) {
  const Tokens worst_case =
      active.info.prompt.prompt_tokens + active.info.prompt.output_limit;
  if (worst_case == 0 || active.team.empty()) return Place(active, now);
  switch (m_dependencies.budgets->Reserve(active.team, worst_case, now)) {
    case BudgetDecision::kReserved:
      active.reserved = worst_case;
      active.has_reservation = true;
      return Place(active, now);
    case BudgetDecision::kUnlimited:
      return Place(active, now);
    case BudgetDecision::kWait:
      break;
    case BudgetDecision::kKept:
      return FailForBudget(active, ErrorKind::kBudgetUnavailable, now);
    case BudgetDecision::kExhausted:
      return FailForBudget(active, ErrorKind::kBudgetExhausted, now);
  }
  if (active.stage != Stage::kWaitsForBudget || active.wait_until == Instant{})
    active.wait_until =
        std::min(now + BudgetWait(active, now), active.deadline);
  active.stage = Stage::kWaitsForBudget;
  SetTimer(active,
           std::min(active.wait_until, now + m_options.budget_retry_interval));
}

Duration CoreImpl::BudgetWait(const ActiveRequest& active, Instant now) const {
  const Tokens worst_case =
      active.info.prompt.prompt_tokens + active.info.prompt.output_limit;
  if (!m_dependencies.budgets->GrantIsLikely(active.team, worst_case, now))
    return m_options.budget_wait;
  const Duration timeout = active.deadline - active.arrived;
  const Duration maximum = timeout / m_options.grant_wait_divisor;
  return std::max(m_options.budget_wait,
                  std::min(m_options.grant_wait, maximum));
}

void CoreImpl::FailForBudget(ActiveRequest& active, ErrorKind kind,
                             Instant now) {
  const HeldGrants::Position position =
      m_dependencies.budgets->PositionOf(active.team, now);
  const Tokens needed =
      active.info.prompt.prompt_tokens + active.info.prompt.output_limit;
  Log("budget_short", active,
      {{"team", active.team},
       {"needed", std::to_string(needed)},
       {"held", std::to_string(position.held)},
       {"reserved", std::to_string(position.reserved)},
       {"demand_per_second", std::to_string(position.demand_per_second)},
       {"left_elsewhere", std::to_string(position.left_elsewhere)},
       {"left_age_ms", std::to_string(ToMs(position.left_age))}});
  const bool retryable = kind == ErrorKind::kBudgetUnavailable;
  Fail(active, kind, retryable ? RetryAfter(active, 0s, now) : 0s, now);
}

void CoreImpl::OnBudgetChanged(Instant now) {
  std::vector<RequestId> waiting;
  for (const auto& [id, active] : m_active)
    if (active.stage == Stage::kWaitsForBudget) waiting.push_back(id);
  std::sort(waiting.begin(), waiting.end());
  for (const RequestId id : waiting) {
    const auto found = m_active.find(id);
    if (found != m_active.end()) ReserveBudget(found->second, now);
  }
}

void CoreImpl::OnCallerGone(RequestId request, Instant now) {
  const auto found = m_active.find(request);
  if (found == m_active.end()) return;
  CancelAttemptIfSent(found->second);
  Finish(found->second, ErrorKind::kCallerGone, false, now);
}

// Open requests get an error response: a caller whose connection is closed
// without one can't tell whether its request ran.
void CoreImpl::AbortOpenRequests(Instant now) {
  m_stopped = true;
  std::vector<RequestId> open;
  for (const auto& [id, active] : m_active) open.push_back(id);
  std::sort(open.begin(), open.end());
  for (const RequestId id : open) AbortForShutdown(m_active.at(id), now);
}

void CoreImpl::AbortForShutdown(ActiveRequest& active, Instant now) {
  CancelAttemptIfSent(active);
  Log("cut_by_own_stop", active,
      {{"taken_ms_ago", std::to_string(ToMs(now - active.arrived))},
       {"sends", std::to_string(active.sends)},
       {"head_relayed", active.head_relayed ? "yes" : "no"}});
  Fail(active,
       active.may_have_run ? ErrorKind::kDrainedWhileRunning
                           : ErrorKind::kDraining,
       0s, now);
}

void CoreImpl::OnTimer(Instant now) {
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    const RequestId request = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto found = m_active.find(request);
    if (found == m_active.end()) continue;
    found->second.due = {};
    OnTimerExpired(found->second, now);
  }
  if (now >= NextSuspectTimer()) {
    JudgeBrokenAttempts(now);
    m_next_suspect_check = now + kBrokenCheckInterval;
  }
  // Done after the expired requests were handled, so that none of them is sent.
  SendWaiting(now);
}

Instant CoreImpl::NextTimer() const {
  const Instant due =
      m_timers.empty() ? Instant::max() : m_timers.begin()->first;
  return std::min({due, NextLinkTimer(), NextSuspectTimer()});
}

void CoreImpl::OnTimerExpired(ActiveRequest& active, Instant now) {
  if (now >= active.deadline) return OnDeadline(active, now);
  switch (active.stage) {
    case Stage::kWaitsForOrigin:
      return;
    case Stage::kWaitsForDirectory:
      return AdmitResumed(active, now);
    case Stage::kWaitsForBudget:
      if (now < active.wait_until) return ReserveBudget(active, now);
      return FailForBudget(active, ErrorKind::kBudgetUnavailable, now);
    case Stage::kWaitsForTrial:
    case Stage::kWaitsForEndpoint:
      return Place(active, now);
    case Stage::kWaitsForPermit:
      return Book(active, active.permit.placement, now);
    case Stage::kWaitsForLink:
      return RefuseForLink(active, now);
    case Stage::kSlotReserved:
      if (active.link_queued_at != Instant{}) return RefuseForLink(active, now);
      return Send(active, now);
    case Stage::kRunning:
    case Stage::kAnswering:
      break;
  }
  if (active.attempt.withheld) return SettleDoubt(active, now);
  if (RunningDeadline(active) > now)
    return SetTimer(active, RunningDeadline(active));
  // The response's idle timeout has expired, and the request may be retried.
  if (!LeaveSilent(active, now)) SetTimer(active, RunningDeadline(active));
}

void CoreImpl::SetTimer(ActiveRequest& active, Instant when) {
  if (active.due != Instant{}) m_timers.erase({active.due, active.id});
  active.due = std::min(when, active.deadline);
  m_timers.emplace(active.due, active.id);
}

void CoreImpl::Log(std::string_view event, const ActiveRequest& active,
                   std::vector<std::pair<std::string_view, std::string>> inputs,
                   AttemptId attempt) {
  m_actions.emplace_back(
      Decision{event, active.info.caller_id, std::move(inputs), attempt});
}

std::unique_ptr<Core> MakeCore(const CoreOptions& options,
                               const CoreDependencies& parts) {
  return std::make_unique<CoreImpl>(options, parts);
}

}  // namespace dotterelshift::gateway
