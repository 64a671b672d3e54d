#include <algorithm>  // for max, min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// Most permits that one request asks for. After that it is refused: others are
// ahead of it at each endpoint.
constexpr uint32_t kMaxPermitRequests = 4;

// How often a request that waits for its permit is looked at.
constexpr Duration kPermitCheckInterval = 100ms;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

}  // namespace

bool CoreImpl::NeedsPermit(EndpointKey endpoint) const {
  return m_dependencies.limits != nullptr &&
         m_dependencies.limits->IsLimited(endpoint);
}

// How long a request may wait for a permit and still respond in time.
Duration CoreImpl::MaxPermitWait(const ActiveRequest& active,
                                 Instant now) const {
  return std::max<Duration>(
      0s, active.target - now - m_options.first_event_overhead);
}

// A request that can go to an endpoint without a limit does not wait.
PermitDemand CoreImpl::PermitDemandOf(const ActiveRequest& active,
                                      const Placement& placement,
                                      Instant now) const {
  PermitDemand demand;
  demand.request = active.id;
  demand.endpoint = placement.endpoint;
  demand.time_left = active.deadline - now;
  demand.priority = active.priority;
  ChoiceLimits unlimited = {.excluded = active.tried,
                            .software = SoftwareFor(active),
                            .barred_software = active.barred_software};
  for (const EndpointKey endpoint : m_dependencies.limits->Limited())
    unlimited.excluded.push_back(endpoint);
  if (!ChooseOpen(active, std::move(unlimited), now, now, nullptr))
    demand.max_wait =
        std::max<Duration>(0s, MaxPermitWait(active, now) - placement.read);
  return demand;
}

// Returns whether the request may be sent to the endpoint now. Otherwise it
// waits for the answer, or has gone on without this endpoint.
bool CoreImpl::TakePermit(ActiveRequest& active, const Placement& placement,
                          Instant now) {
  if (!NeedsPermit(placement.endpoint)) return true;
  PermitWait& permit = active.permit;
  const bool asked =
      permit.asked != Instant{} && permit.demand.endpoint == placement.endpoint;
  if (!asked) {
    permit = {placement, PermitDemandOf(active, placement, now), now};
    ++active.permit_requests;
  }
  switch (m_dependencies.limits->Ask(permit.demand, now)) {
    case PermitState::kNotNeeded:
    case PermitState::kGranted:
      return true;
    case PermitState::kAsked:
      SetTimer(active, now + kPermitCheckInterval);
      return false;
    case PermitState::kDenied:
      OnPermitDenied(active, now);
      return false;
  }
  return false;
}

void CoreImpl::OnPermitDenied(ActiveRequest& active, Instant now) {
  const PermitWait permit = active.permit;
  const EndpointKey endpoint = permit.demand.endpoint;
  const origins::EndpointContact* contact = m_dependencies.load->Find(endpoint);
  const Instant open =
      m_dependencies.limits->OpenFrom(endpoint, active.priority, now);
  Log("permit_denied", active,
      {{"endpoint", contact == nullptr ? "gone" : contact->id},
       {"asked_ms_ago", Ms(now - permit.asked)},
       {"max_wait_ms", Ms(permit.demand.max_wait)},
       {"open_in_ms", Ms(open - now)},
       {"asked_times", std::to_string(active.permit_requests)}});
  if (active.stage == Stage::kSlotReserved)
    m_dependencies.load->OnNotSent(active.attempt.placement, now);
  EndAttempt(active, now);
  if (active.permit_requests < kMaxPermitRequests) return Place(active, now);
  RefuseForLimits(active, WaitForLimits(active, now).value_or(0s), now);
}

// If all usable endpoints of the request's service name limits: how long until
// one of them may have a permit. nullopt: another one may become free.
std::optional<Duration> CoreImpl::WaitForLimits(const ActiveRequest& active,
                                                Instant now) const {
  if (m_dependencies.limits == nullptr) return std::nullopt;
  Instant first = Instant::max();
  for (const EndpointKey endpoint :
       m_dependencies.load->UsableEndpoints(active.service)) {
    if (!m_dependencies.limits->IsLimited(endpoint)) return std::nullopt;
    first = std::min(
        first, m_dependencies.limits->OpenFrom(endpoint, active.priority, now));
  }
  if (first == Instant::max()) return std::nullopt;
  return std::max<Duration>(0s, first - now);
}

void CoreImpl::RefuseForLimits(ActiveRequest& active, Duration wait,
                               Instant now) {
  ++m_limit_refusals;
  Log("limits_reached", active,
      {{"service", active.service},
       {"next_permit_ms", Ms(wait)},
       {"limited", std::to_string(m_dependencies.limits->Limited().size())}});
  Fail(active, ErrorKind::kOverloaded, RetryAfter(active, wait, now), now);
}

void CoreImpl::OnPermits(Instant now) {
  if (m_dependencies.limits == nullptr) return;
  for (const RequestId id : m_dependencies.limits->TakeAnswers()) {
    const auto found = m_active.find(id);
    if (found == m_active.end()) continue;
    ActiveRequest& active = found->second;
    if (active.stage == Stage::kWaitsForPermit)
      Book(active, active.permit.placement, now);
    else if (active.stage == Stage::kSlotReserved &&
             active.link_queued_at == Instant{} && now >= active.send_at)
      Send(active, now);
  }
  for (LimitEvent& event : m_dependencies.limits->TakeEvents())
    m_actions.emplace_back(Decision{event.what, "", std::move(event.inputs)});
}

}  // namespace dotterelshift::gateway
