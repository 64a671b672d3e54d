#include <algorithm>  // for max, min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often a request that found all endpoints full looks again.
constexpr Duration kLookAgain = 10ms;

// A request may wait this part of its target for a place: longer, and its
// caller is better told at once to come back.
constexpr int kPlaceWaitPart = 8;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

}  // namespace

// Books the endpoint where the first event would come soonest. What would come
// too late is refused at once, so that the caller can decide.
void CoreImpl::Place(Flight& flight, Instant now) {
  const std::optional<Placement> placement = m_parts.load->Choose(
      flight.service, flight.ask.prompt, flight.tried, now);
  if (!placement) return WaitForPlace(flight, now);
  if (ComesTooLate(flight, *placement, now)) {
    return Fail(flight, ErrorKind::kOverloaded,
                RetryAfter(flight, placement->wait, now), now);
  }
  m_parts.load->OnGiven(*placement, flight.ask.prompt, now);
  flight.attempt = {};
  flight.attempt.placement = *placement;
  flight.stage = Stage::kBooked;
  flight.send_at = now + placement->wait - m_options.lead;
  if (flight.send_at <= now) return Send(flight, now);
  SetDue(flight, flight.send_at);
}

void CoreImpl::WaitForPlace(Flight& flight, Instant now) {
  const Duration most = flight.route->target / kPlaceWaitPart;
  if (flight.stage != Stage::kWaitsForPlace) flight.wait_until = now + most;
  flight.stage = Stage::kWaitsForPlace;
  if (now < flight.wait_until)
    return SetDue(flight, std::min(now + kLookAgain, flight.wait_until));
  const bool any = m_parts.load->HasEndpoint(flight.service, now);
  Fail(flight, any ? ErrorKind::kOverloaded : ErrorKind::kNoEndpoint,
       RetryAfter(flight, 0s, now), now);
}

bool CoreImpl::ComesTooLate(const Flight& flight, const Placement& placement,
                            Instant now) const {
  const Instant first =
      now + placement.wait + placement.read + m_options.first_event_overhead;
  if (first <= flight.target || placement.wait == 0s) return false;
  const Duration patience = flight.deadline - flight.arrived;
  const auto borne =
      std::chrono::duration_cast<Duration>(patience * m_options.late_part);
  return first > flight.arrived + borne;
}

void CoreImpl::Send(Flight& flight, Instant now) {
  const EndpointContact* contact =
      m_parts.load->Find(flight.attempt.placement.endpoint);
  if (contact == nullptr) return Place(flight, now);
  Attempt& attempt = flight.attempt;
  attempt.id = ++m_last_attempt;
  attempt.endpoint = *contact;
  attempt.sent = now;
  attempt.heard = now;
  m_attempts[attempt.id] = flight.id;
  ++flight.sends;
  flight.stage = Stage::kRunning;
  StartAttempt start;
  start.request = flight.id;
  start.attempt = attempt.id;
  start.endpoint = *contact;
  start.time_left = flight.deadline - now;
  start.team = flight.team;
  start.last_event_id = flight.head_relayed && flight.scanner.LastId()
                            ? std::to_string(*flight.scanner.LastId())
                            : flight.ask.last_event_id;
  m_actions.emplace_back(std::move(start));
  Log("sent", flight,
      {{"endpoint", contact->id},
       {"route", flight.route->name},
       {"routes_version", std::to_string(flight.routes->Get().version)},
       {"team", flight.team},
       {"queued_ms", Ms(now - flight.arrived)},
       {"tokens_to_read", std::to_string(attempt.placement.tokens_to_read)},
       {"running_there",
        std::to_string(m_parts.load->Running(attempt.placement.endpoint))},
       {"send", std::to_string(flight.sends)}});
  SetDue(flight, DueWhileRunning(flight));
}

// Spread over once to twice the wait, so that callers that were refused
// together do not return together, and not later than the caller will bear.
Duration CoreImpl::RetryAfter(const Flight& flight, Duration wait,
                              Instant now) {
  constexpr int kPartOfPatience = 3;
  constexpr int kMostSpread = 2;
  const Duration left = std::max<Duration>(0s, flight.deadline - now);
  const Duration most = left / (kPartOfPatience * kMostSpread);
  const Duration least =
      std::min(std::max(wait, m_options.least_retry_after), most);
  const double spread =
      std::uniform_real_distribution<double>(1, kMostSpread)(m_random);
  return std::chrono::duration_cast<Duration>(least * spread);
}

}  // namespace dotterelshift::gateway
