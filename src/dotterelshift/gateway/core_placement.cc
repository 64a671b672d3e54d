#include <algorithm>  // for max, min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often a request that found all endpoints full retries the choice.
constexpr Duration kEndpointRetryInterval = 10ms;

// A request waits for a free endpoint for at most its target divided by this.
// After that it is refused, so that its caller can retry.
constexpr int kEndpointWaitDivisor = 8;

// The same for a stream that has begun, while an endpoint of its version may
// have started again: mostly a single stream broke there, which is known soon.
constexpr int kSuspectWaitDivisor = 2;

// A permit that is needed later than this is asked for then.
constexpr Duration kPermitLead = 20ms;

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

}  // namespace

// Reserves a slot at the endpoint with the earliest expected first event. A
// request whose response would come too late is refused at once, so that the
// caller can react.
void CoreImpl::Place(ActiveRequest& active, Instant now) {
  if (!PassesSuspicion(active, now)) return;
  const std::optional<Placement> placement = ChooseEndpoint(active, now);
  if (!placement) return WaitForEndpoint(active, now);
  if (WouldRespondTooLate(active, *placement, now)) {
    return Fail(active, ErrorKind::kOverloaded,
                RetryAfter(active, placement->wait, now), now);
  }
  Book(active, *placement, now);
}

// A permit that is needed at once is taken before the slot: without it, the
// request goes elsewhere.
void CoreImpl::Book(ActiveRequest& active, const Placement& placement,
                    Instant now) {
  if (!CanSendNow(active, now)) return WaitForLink(active, now);
  if (NeedsPermit(placement.endpoint) && placement.wait <= kPermitLead) {
    active.stage = Stage::kWaitsForPermit;
    if (!TakePermit(active, placement, now)) return;
  }
  m_dependencies.load->OnAssigned(placement, active.info.prompt, now);
  active.attempt = {};
  active.attempt.placement = placement;
  active.stage = Stage::kSlotReserved;
  active.send_at = now + placement.wait - m_options.send_lead;
  if (active.send_at <= now) return Send(active, now);
  SetTimer(active, active.send_at);
}

void CoreImpl::WaitForEndpoint(ActiveRequest& active, Instant now) {
  if (const std::optional<Duration> wait = WaitForLimits(active, now))
    return RefuseForLimits(active, *wait, now);
  const bool suspects = active.binding && HasSuspects(active.binding->software);
  const Duration maximum =
      active.route->target /
      (suspects ? kSuspectWaitDivisor : kEndpointWaitDivisor);
  const bool waits = active.stage == Stage::kWaitsForEndpoint &&
                     active.wait_until != Instant{};
  if (!waits) active.wait_until = now + maximum;
  active.stage = Stage::kWaitsForEndpoint;
  if (now < active.wait_until)
    return SetTimer(active,
                    std::min(now + kEndpointRetryInterval, active.wait_until));
  const bool has_endpoint =
      m_dependencies.load->HasEndpoint(active.service, now);
  Fail(active, has_endpoint ? ErrorKind::kOverloaded : ErrorKind::kNoEndpoint,
       RetryAfter(active, 0s, now), now);
}

bool CoreImpl::WouldRespondTooLate(const ActiveRequest& active,
                                   const Placement& placement,
                                   Instant now) const {
  const Instant first =
      now + placement.wait + placement.read + m_options.first_event_overhead;
  if (first <= active.target || placement.wait == 0s) return false;
  const Duration timeout = active.deadline - active.arrived;
  const auto max_wait = std::chrono::duration_cast<Duration>(
      timeout * m_options.max_wait_fraction);
  return first > active.arrived + max_wait;
}

void CoreImpl::Send(ActiveRequest& active, Instant now) {
  const origins::EndpointContact* contact =
      m_dependencies.load->Find(active.attempt.placement.endpoint);
  const std::optional<SoftwareKey> software = SoftwareFor(active);
  const bool fits = contact != nullptr &&
                    (!software || contact->software == *software) &&
                    !MayNotGoOnAt(active, active.attempt.placement.endpoint);
  if (!fits) {
    if (active.stage == Stage::kSlotReserved)
      m_dependencies.load->OnNotSent(active.attempt.placement, now);
    EndAttempt(active, now);
    return Place(active, now);
  }
  if (IsBlockedNow(active, contact->software, now)) {
    EndAttempt(active, now);
    return Place(active, now);
  }
  if (!CanSendNow(active, now)) return WaitForLink(active, now);
  if (!TakePermit(active, active.attempt.placement, now)) return;
  if (m_dependencies.limits != nullptr) m_dependencies.limits->Use(active.id);
  Attempt& attempt = active.attempt;
  attempt.id = ++m_last_attempt;
  attempt.endpoint = *contact;
  attempt.bound = active.binding.has_value();
  attempt.sent = now;
  attempt.last_received = now;
  m_attempts[attempt.id] = active.id;
  ++active.sends;
  active.stage = Stage::kRunning;
  StartAttempt start;
  start.request = active.id;
  start.attempt = attempt.id;
  start.endpoint = *contact;
  start.relay = RelayTo(attempt.placement.endpoint, now);
  if (start.relay) attempt.relay = start.relay->host;
  start.time_left = active.deadline - now;
  start.team = active.team;
  start.last_event_id = active.head_relayed && active.scanner.LastId()
                            ? std::to_string(*active.scanner.LastId())
                            : active.info.last_event_id;
  m_actions.emplace_back(std::move(start));
  OnHandedToLink(active, now);
  LogSent(active, now);
  SetTimer(active, RunningDeadline(active));
}

std::string CoreImpl::SharedSegmentsOf(const ActiveRequest& active) {
  const std::vector<PromptSegment>& segments = active.info.prompt.parts;
  std::string ids;
  for (size_t i = 0; i + 1 < segments.size(); ++i)
    ids += (i == 0 ? "" : ",") + segments[i].id;
  return ids;
}

void CoreImpl::LogSent(const ActiveRequest& active, Instant now) {
  const origins::EndpointContact& contact = active.attempt.endpoint;
  std::vector<std::pair<std::string_view, std::string>> inputs = {
      {"endpoint", contact.id},
      {"address", contact.address},
      {"version", contact.software_version},
      {"route", active.route->name},
      {"routes_version", std::to_string(active.routes->Get().version)},
      {"team", active.team},
      {"queued_ms", Ms(now - active.arrived)},
      {"tokens_to_read",
       std::to_string(active.attempt.placement.tokens_to_prefill)},
      {"running_there", std::to_string(m_dependencies.load->Running(
                            active.attempt.placement.endpoint))},
      {"send", std::to_string(active.sends)},
      {"connection", active.info.reused_connection ? "kept" : "new"}};
  if (active.permit.asked != Instant{}) {
    inputs.emplace_back("limit", m_dependencies.limits->LimitText(
                                     active.attempt.placement.endpoint));
    inputs.emplace_back("permit_wait_ms", Ms(now - active.permit.asked));
  }
  if (active.trial) inputs.emplace_back("trial", "yes");
  if (active.info.prompt.parts.size() > 1)
    inputs.emplace_back("segments", SharedSegmentsOf(active));
  if (!active.attempt.relay.empty())
    inputs.emplace_back("relay", active.attempt.relay);
  if (!active.info.last_event_id.empty()) {
    inputs.emplace_back("after_event", active.info.last_event_id);
    inputs.emplace_back("resumes", active.info.first_caller_id);
  }
  if (active.binding) {
    const StreamBinding& binding = *active.binding;
    inputs.emplace_back("bound_to",
                        m_dependencies.versions->NameOf(binding.software));
    inputs.emplace_back("origin", std::string(NameOf(binding.source)));
    inputs.emplace_back("origin_age_ms", Ms(binding.age));
    AddLookup(active, inputs);
  }
  if (active.link_wait > 0s)
    inputs.emplace_back("link_wait_ms", Ms(active.link_wait));
  if (m_drain) {
    inputs.emplace_back("stopping_ms", Ms(now - m_drain->begun));
    inputs.emplace_back("left_ms", Ms(m_drain->response_deadline - now));
  }
  Log("sent", active, std::move(inputs));
}

// A request that has not been sent to the leaving endpoint yet chooses another
// one. For a sent attempt a withdrawal is requested, as only the connection
// knows whether any byte of it has been handed over.
void CoreImpl::LeaveEndpoint(ActiveRequest& active, Instant now) {
  if (active.stage == Stage::kRunning) {
    m_actions.emplace_back(WithdrawAttempt{active.attempt.id});
    return;
  }
  EndAttempt(active, now);
  Place(active, now);
}

// The attempt has reached no endpoint, so that the next one uses no retry
// budget, but it counts towards kMaxSends.
void CoreImpl::OnWithdrawn(AttemptId id, Instant now) {
  OnNotSent(id, now);
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  Log("attempt_withdrawn", *active,
      {{"endpoint", active->attempt.endpoint.id},
       {"sent_ms_ago", Ms(now - active->attempt.sent)}});
  EndAttempt(*active, now);
  if (active->sends < kMaxSends && now < active->deadline)
    return Place(*active, now);
  const ErrorKind kind = active->may_have_run ? ErrorKind::kEndpointFailed
                                              : ErrorKind::kNoEndpoint;
  Fail(*active, kind, RetryAfter(*active, 0s, now), now);
}

// Adds jitter, between one and two times the wait, so that callers that were
// refused together do not retry together. The result is at most a third of the
// time until the caller's deadline.
Duration CoreImpl::RetryAfter(const ActiveRequest& active, Duration wait,
                              Instant now) {
  return JitteredRetryAfter(active, std::max(wait, m_options.min_retry_after),
                            now);
}

Duration CoreImpl::JitteredRetryAfter(const ActiveRequest& active,
                                      Duration minimum, Instant now) {
  constexpr int kCallerTimeoutDivisor = 3;
  constexpr int kMaxJitter = 2;
  const Duration left = std::max<Duration>(0s, active.deadline - now);
  const Duration maximum = left / (kCallerTimeoutDivisor * kMaxJitter);
  const double spread =
      std::uniform_real_distribution<double>(1, kMaxJitter)(m_random);
  return std::chrono::duration_cast<Duration>(std::min(minimum, maximum) *
                                              spread);
}

}  // namespace dotterelshift::gateway
