#include <algorithm>  // for max, min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often a silent attempt that was kept is looked at again.
constexpr Duration kSilenceCheckInterval = 250ms;

constexpr std::string_view kNoEndpoint = "no_endpoint";

}  // namespace

// The deadline; for a request that may be retried, the time at which its
// endpoint's silence is looked at, if that is earlier.
Instant CoreImpl::RunningDeadline(const ActiveRequest& active) const {
  if (!MayRunAgain(active) || active.caller_slow) return active.deadline;
  const Attempt& attempt = active.attempt;
  const Instant idle = attempt.last_received + m_options.response_idle_timeout;
  return std::min(active.deadline, std::max(idle, attempt.kept_until));
}

// An endpoint that is not read from has to be silent.
void CoreImpl::OnCallerSlow(RequestId request, bool slow, Instant now) {
  const auto found = m_active.find(request);
  if (found == m_active.end()) return;
  ActiveRequest& active = found->second;
  active.caller_slow = slow;
  if (slow || active.stage != Stage::kAnswering) return;
  active.attempt.last_received = now;
  SetTimer(active, RunningDeadline(active));
}

// A sound endpoint may fall silent and go on, so that silence alone does not
// end a request. The attempt is cancelled before the next one is sent: the two
// must not run at the same time.
bool CoreImpl::LeaveSilent(ActiveRequest& active, Instant now) {
  if (const auto why = WhyKept(active, now)) {
    active.attempt.kept_until = now + kSilenceCheckInterval;
    LogKept(active, *why, now);
    if (*why != kNoEndpoint) BookSilence(active, now);
    return false;
  }
  CancelAttemptIfSent(active);
  OnAttemptFailed(active, http::TransferEnd::kTimedOut, now);
  return true;
}

// Checks all that OnAttemptFailed() and Place() require, and takes nothing. A
// request that would have to wait for the link or for a trial is not sure to go
// on.
std::optional<std::string_view> CoreImpl::WhyKept(ActiveRequest& active,
                                                  Instant now) {
  if (!MayRunAgain(active) || now >= active.deadline) return "no_attempt_left";
  if (IsSuspected(active, now)) return "suspected";
  if (!CanSendNow(active, now)) return "link_full";
  const std::optional<Placement> placement = ChooseElsewhere(active, now);
  // A permit may be denied.
  if (!placement || NeedsPermit(placement->endpoint)) return kNoEndpoint;
  if (WouldRespondTooLate(active, *placement, now)) return "too_late";
  if (!m_dependencies.retries->MayTake(active.service, now))
    return "no_retry_left";
  return std::nullopt;
}

// The endpoint that would be chosen if the attempt failed: by another path it
// may be the same.
std::optional<Placement> CoreImpl::ChooseElsewhere(ActiveRequest& active,
                                                   Instant now) {
  const bool stays = IsPathFailure(active, http::TransferEnd::kTimedOut, now);
  if (!stays) active.tried.push_back(active.attempt.placement.endpoint);
  ++active.lost_connections;
  const std::optional<Placement> placement = ChooseEndpoint(active, now);
  --active.lost_connections;
  if (!stays) active.tried.pop_back();
  return placement;
}

// New requests go to other endpoints for a while, as they do after an attempt
// that was given up. Each request counts a silence once.
void CoreImpl::BookSilence(ActiveRequest& active, Instant now) {
  Attempt& attempt = active.attempt;
  const bool idle =
      now >= attempt.last_received + m_options.response_idle_timeout;
  if (!idle || attempt.silence_booked == attempt.last_received) return;
  attempt.silence_booked = attempt.last_received;
  m_dependencies.load->OnSilent(attempt.placement.endpoint,
                                attempt.last_received, now);
  LogAvoided(active, "silent", now);
}

// Logs one line for each silence, however often it is looked at.
void CoreImpl::LogKept(ActiveRequest& active, std::string_view why,
                       Instant now) {
  Attempt& attempt = active.attempt;
  if (attempt.kept_logged == attempt.last_received) return;
  attempt.kept_logged = attempt.last_received;
  Log("silent_attempt_kept", active,
      {{"endpoint", attempt.endpoint.id},
       {"why", std::string(why)},
       {"silent_ms", std::to_string(ToMs(now - attempt.last_received))},
       {"path", attempt.relay.empty() ? "direct" : attempt.relay},
       {"events", std::to_string(attempt.events)}},
      attempt.id);
}

}  // namespace dotterelshift::gateway
