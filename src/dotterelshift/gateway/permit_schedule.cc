#include "dotterelshift/gateway/permit_schedule.h"

#include <algorithm>  // for max, min
#include <utility>    // for exchange

namespace dotterelshift::gateway {
namespace {

// How long a request waits at least before it asks again for a token.
constexpr Duration kTokenRetryAfter = 100ms;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void PermitSchedule::Begin(Instant now) {
  m_begin = now;
  m_endpoints.clear();
  m_decisions.clear();
}

void PermitSchedule::End() {
  for (auto& [key, endpoint] : m_endpoints) {
    for (const auto& [rank, request] : endpoint.waiting) {
      m_decisions.push_back(
          {request.asker.first, request.asker.second, false, kTokenRetryAfter});
    }
  }
  m_endpoints.clear();
}

Duration PermitSchedule::SpacingOf(const Endpoint& endpoint) const {
  if (!endpoint.limits.requests_per_second) return 0s;
  const double rate = std::max(*endpoint.limits.requests_per_second,
                               m_options.min_requests_per_second);
  const std::chrono::duration<double> window = m_options.window;
  const std::chrono::duration<double> travel = m_options.max_travel;
  return Seconds((1 + travel / window) / rate);
}

// An earlier holder may have granted a permit until this lease began.
Instant PermitSchedule::NextOf(const Endpoint& endpoint, Instant now) const {
  const Duration spacing = SpacingOf(endpoint);
  if (spacing == 0s) return now;
  const Instant last =
      endpoint.granted ? endpoint.last : m_begin + m_options.max_travel;
  return std::max(now, last + spacing);
}

bool PermitSchedule::HasToken(const Endpoint& endpoint) const {
  if (!endpoint.limits.refusals_per_second) return true;
  const auto most = static_cast<size_t>(*endpoint.limits.refusals_per_second *
                                        m_options.refusal_fraction);
  return endpoint.at_risk.size() + endpoint.refused_until.size() <
         std::max<size_t>(1, most);
}

void PermitSchedule::ExpireTokens(Endpoint& endpoint, Instant now) {
  std::erase_if(endpoint.at_risk,
                [now](const auto& held) { return held.second <= now; });
  std::erase_if(endpoint.refused_until,
                [now](Instant until) { return until <= now; });
}

Instant PermitSchedule::NextToken(const Endpoint& endpoint) {
  Instant next = Instant::max();
  for (const auto& [asker, until] : endpoint.at_risk)
    next = std::min(next, until);
  for (const Instant until : endpoint.refused_until)
    next = std::min(next, until);
  return next;
}

void PermitSchedule::OnRequest(const PermitRequest& request,
                               const EndpointLimits& limits, Instant now) {
  Endpoint& endpoint = m_endpoints[request.endpoint];
  endpoint.limits = limits;
  const Instant deadline = now + request.time_left;
  const Rank rank = {request.priority, deadline, ++m_number};
  endpoint.waiting[rank] = {
      {request.from, request.id}, now, now + request.max_wait, deadline};
  Decide(endpoint, now);
}

void PermitSchedule::OnLimits(EndpointIdKey key, const EndpointLimits& limits,
                              Instant now) {
  const auto found = m_endpoints.find(key);
  if (found == m_endpoints.end()) return;
  found->second.limits = limits;
  Decide(found->second, now);
}

void PermitSchedule::OnOutcome(const HostId& from, uint64_t id,
                               EndpointIdKey key, bool refused, Instant now) {
  const auto found = m_endpoints.find(key);
  if (found == m_endpoints.end()) return;
  Endpoint& endpoint = found->second;
  const Asker asker = {from, id};
  std::erase_if(endpoint.waiting, [&](const auto& waiting) {
    return waiting.second.asker == asker;
  });
  endpoint.at_risk.erase(asker);
  if (refused) endpoint.refused_until.push_back(now + m_options.refusal_window);
  Decide(endpoint, now);
}

void PermitSchedule::Decide(Endpoint& endpoint, Instant now) {
  ExpireTokens(endpoint, now);
  while (!endpoint.waiting.empty() && NextOf(endpoint, now) <= now &&
         HasToken(endpoint)) {
    const auto first = endpoint.waiting.begin();
    Grant(endpoint, first->second, now);
    endpoint.waiting.erase(first);
  }
  DenyOverdue(endpoint, now);
}

void PermitSchedule::Grant(Endpoint& endpoint, const WaitingRequest& request,
                           Instant now) {
  endpoint.last = now;
  endpoint.granted = true;
  endpoint.denied.clear();
  if (endpoint.limits.refusals_per_second)
    endpoint.at_risk[request.asker] = request.deadline;
  m_decisions.push_back(
      {request.asker.first, request.asker.second, true, now - request.asked});
}

// Denies requests that will not get a permit in time, as others are ahead.
void PermitSchedule::DenyOverdue(Endpoint& endpoint, Instant now) {
  Instant free = NextOf(endpoint, now);
  if (!HasToken(endpoint)) free = std::max(free, now + kTokenRetryAfter);
  const Duration spacing = SpacingOf(endpoint);
  for (auto waiting = endpoint.waiting.begin();
       waiting != endpoint.waiting.end();) {
    if (free <= waiting->second.latest) {
      free += spacing;
      ++waiting;
      continue;
    }
    Deny(endpoint, waiting->second, free, now);
    waiting = endpoint.waiting.erase(waiting);
  }
}

void PermitSchedule::Deny(Endpoint& endpoint, const WaitingRequest& request,
                          Instant free, Instant now) {
  const size_t place = endpoint.denied.size();
  const size_t order =
      endpoint.denied.try_emplace(request.asker.first, place).first->second;
  const auto group = static_cast<int64_t>(order / m_options.asks_per_permit);
  const Duration spread =
      std::min(SpacingOf(endpoint) * group, m_options.max_spread);
  m_decisions.push_back(
      {request.asker.first, request.asker.second, false, free + spread - now});
}

std::vector<PermitDecision> PermitSchedule::Take(Instant now) {
  for (auto& [key, endpoint] : m_endpoints) Decide(endpoint, now);
  return std::exchange(m_decisions, {});
}

Instant PermitSchedule::NextTimer() const {
  Instant next = Instant::max();
  for (const auto& [key, endpoint] : m_endpoints) {
    if (endpoint.waiting.empty()) continue;
    Instant due = NextOf(endpoint, Instant{});
    if (!HasToken(endpoint)) due = std::max(due, NextToken(endpoint));
    for (const auto& [rank, request] : endpoint.waiting)
      due = std::min(due, request.latest);
    next = std::min(next, due);
  }
  return next;
}

size_t PermitSchedule::Waiting() const {
  size_t waiting = 0;
  for (const auto& [key, endpoint] : m_endpoints)
    waiting += endpoint.waiting.size();
  return waiting;
}

}  // namespace dotterelshift::gateway
