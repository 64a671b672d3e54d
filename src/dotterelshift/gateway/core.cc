#include "dotterelshift/gateway/core.h"

#include <algorithm>  // for max, min
#include <numeric>    // for accumulate
#include <utility>    // for move

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {

void CoreImpl::OnRoutes(std::shared_ptr<const RouteTable> routes,
                        size_t entries, Instant now) {
  m_routes = std::move(routes);
  m_parts.load->OnRoutes(*m_routes);
  m_parts.budgets->OnRoutes(*m_routes, entries, now);
  m_parts.retries->SetEntries(entries);
}

void CoreImpl::OnEndpointsChanged(const directory::Directory& directory,
                                  Instant) {
  m_parts.load->OnDirectory(directory);
}

void CoreImpl::OnRequest(RequestId request, Ask ask, Instant now) {
  Flight& flight = m_flights[request];
  flight.id = request;
  flight.ask = std::move(ask);
  // A long body takes its time on a full link, and the caller's patience runs.
  const bool known = flight.ask.begun != Instant{} && flight.ask.begun <= now;
  flight.arrived = known ? flight.ask.begun : now;
  flight.routes = m_routes;
  ErrorKind error = FindRoute(flight);
  if (error == ErrorKind::kNone) error = FindTeam(flight);
  if (error == ErrorKind::kNone && m_parts.blocklist != nullptr &&
      m_parts.blocklist->BlockedFor(flight.ask.content_hash, now))
    error = ErrorKind::kQuarantined;
  if (error != ErrorKind::kNone) return Fail(flight, error, 0s, now);
  Admit(flight, now);
}

// A daemon that does not know the routes yet refuses for a while, never with
// "there is nothing here".
ErrorKind CoreImpl::FindRoute(Flight& flight) const {
  if (m_stopped) return ErrorKind::kDraining;
  if (flight.routes == nullptr) return ErrorKind::kNotReady;
  flight.route = flight.routes->FindRoute(flight.ask.host, flight.ask.path);
  return flight.route == nullptr ? ErrorKind::kUnknownPath : ErrorKind::kNone;
}

ErrorKind CoreImpl::FindTeam(Flight& flight) const {
  flight.priority = flight.route->priority;
  if (!flight.routes->HasTeams() || flight.route->open_to_all)
    return ErrorKind::kNone;
  const TeamAccess* team = flight.routes->FindTeam(flight.ask.key);
  if (team == nullptr) return ErrorKind::kUnauthorized;
  flight.team = team->team;
  flight.priority = team->priority.value_or(flight.route->priority);
  return ErrorKind::kNone;
}

void CoreImpl::Admit(Flight& flight, Instant now) {
  SetTimes(flight);
  if (now >= flight.deadline)
    return Fail(flight, ErrorKind::kOverloaded, 0s, now);
  flight.service = PickService(*flight.route);
  m_parts.retries->OnRequest(flight.service, now);
  ReserveBudget(flight, now);
}

void CoreImpl::SetTimes(Flight& flight) const {
  const Duration patience =
      flight.ask.patience.value_or(m_options.default_patience);
  flight.deadline = flight.arrived + std::min(patience, flight.route->timeout);
  flight.target = flight.arrived + flight.route->target;
}

ServiceName CoreImpl::PickService(const Route& route) {
  const auto& shares = route.services;
  if (shares.size() == 1) return shares.front().service;
  const uint64_t sum = std::accumulate(
      shares.begin(), shares.end(), uint64_t{0},
      [](uint64_t total, const ServiceShare& s) { return total + s.weight; });
  uint64_t drawn = sum == 0 ? 0 : m_random() % sum;
  for (const ServiceShare& share : shares) {
    if (drawn < share.weight) return share.service;
    drawn -= share.weight;
  }
  return shares.empty() ? ServiceName() : shares.back().service;
}

void CoreImpl::ReserveBudget(Flight& flight, Instant now) {
  const Tokens worst_case =
      flight.ask.prompt.prompt_tokens + flight.ask.prompt.output_limit;
  if (worst_case == 0 || flight.team.empty()) return Place(flight, now);
  switch (m_parts.budgets->Reserve(flight.team, worst_case, now)) {
    case BudgetAnswer::kReserved:
      flight.reserved = worst_case;
      flight.has_reservation = true;
      return Place(flight, now);
    case BudgetAnswer::kNoTotal:
      return Place(flight, now);
    case BudgetAnswer::kWait:
      break;
    case BudgetAnswer::kKept:
      return FailForBudget(flight, ErrorKind::kBudgetUnavailable, now);
    case BudgetAnswer::kExhausted:
      return FailForBudget(flight, ErrorKind::kBudgetExhausted, now);
  }
  if (flight.stage != Stage::kWaitsForBudget || flight.wait_until == Instant{})
    flight.wait_until =
        std::min(now + BudgetWait(flight, now), flight.deadline);
  flight.stage = Stage::kWaitsForBudget;
  SetDue(flight, std::min(flight.wait_until, now + m_options.budget_again));
}

Duration CoreImpl::BudgetWait(const Flight& flight, Instant now) const {
  const Tokens worst_case =
      flight.ask.prompt.prompt_tokens + flight.ask.prompt.output_limit;
  if (!m_parts.budgets->GrantIsLikely(flight.team, worst_case, now))
    return m_options.budget_wait;
  const Duration patience = flight.deadline - flight.arrived;
  const Duration most = patience / m_options.grant_wait_part;
  return std::max(m_options.budget_wait, std::min(m_options.grant_wait, most));
}

void CoreImpl::FailForBudget(Flight& flight, ErrorKind kind, Instant now) {
  const BudgetDesk::Position position =
      m_parts.budgets->PositionOf(flight.team, now);
  const Tokens needed =
      flight.ask.prompt.prompt_tokens + flight.ask.prompt.output_limit;
  Log("budget_short", flight,
      {{"team", flight.team},
       {"needed", std::to_string(needed)},
       {"held", std::to_string(position.held)},
       {"reserved", std::to_string(position.reserved)},
       {"demand_per_second", std::to_string(position.demand_per_second)},
       {"left_elsewhere", std::to_string(position.left_elsewhere)},
       {"left_age_ms", std::to_string(ToMs(position.left_age))}});
  const bool later = kind == ErrorKind::kBudgetUnavailable;
  Fail(flight, kind, later ? RetryAfter(flight, 0s, now) : 0s, now);
}

void CoreImpl::OnBudgetChanged(Instant now) {
  std::vector<RequestId> waiting;
  for (const auto& [id, flight] : m_flights)
    if (flight.stage == Stage::kWaitsForBudget) waiting.push_back(id);
  std::sort(waiting.begin(), waiting.end());
  for (const RequestId id : waiting) {
    const auto found = m_flights.find(id);
    if (found != m_flights.end()) ReserveBudget(found->second, now);
  }
}

void CoreImpl::OnCallerGone(RequestId request, Instant now) {
  const auto found = m_flights.find(request);
  if (found == m_flights.end()) return;
  CancelAttemptOf(found->second);
  Finish(found->second, ErrorKind::kCallerGone, false, now);
}

void CoreImpl::OnTimer(Instant now) {
  while (!m_due.empty() && m_due.begin()->first <= now) {
    const RequestId request = m_due.begin()->second;
    m_due.erase(m_due.begin());
    const auto found = m_flights.find(request);
    if (found == m_flights.end()) continue;
    found->second.due = {};
    OnDue(found->second, now);
  }
}

Instant CoreImpl::NextTimer() const {
  return m_due.empty() ? Instant::max() : m_due.begin()->first;
}

void CoreImpl::OnDue(Flight& flight, Instant now) {
  if (now >= flight.deadline) return OnDeadline(flight, now);
  switch (flight.stage) {
    case Stage::kWaitsForBudget:
      if (now < flight.wait_until) return ReserveBudget(flight, now);
      return FailForBudget(flight, ErrorKind::kBudgetUnavailable, now);
    case Stage::kWaitsForPlace:
      return Place(flight, now);
    case Stage::kBooked:
      return Send(flight, now);
    case Stage::kRunning:
    case Stage::kAnswering:
      break;
  }
  if (DueWhileRunning(flight) > now)
    return SetDue(flight, DueWhileRunning(flight));
  // Silent for longer than it should, and it may run elsewhere.
  CancelAttemptOf(flight);
  OnBrokenAttempt(flight, http::TransferEnd::kTimedOut, now);
}

void CoreImpl::SetDue(Flight& flight, Instant when) {
  if (flight.due != Instant{}) m_due.erase({flight.due, flight.id});
  flight.due = std::min(when, flight.deadline);
  m_due.emplace(flight.due, flight.id);
}

void CoreImpl::Log(
    std::string_view event, const Flight& flight,
    std::vector<std::pair<std::string_view, std::string>> inputs) {
  m_actions.emplace_back(
      Decision{event, flight.ask.caller_id, std::move(inputs)});
}

std::unique_ptr<Core> MakeCore(const CoreOptions& options,
                               const CoreParts& parts) {
  return std::make_unique<CoreImpl>(options, parts);
}

}  // namespace dotterelshift::gateway
