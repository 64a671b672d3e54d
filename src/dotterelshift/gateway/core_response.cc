#include <utility>  // for as_const

#include "dotterelshift/base/http_status.h"   // for PromisesNotRun
#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// It ran the request, and says by its status that it failed, or that it did not
// run the request.
bool IsEndpointFault(int status) {
  return status >= 500 || PromisesNotRun(status);
}

// Whether the endpoint broke the connection off, and did not only take too long
// or send too much.
bool IsBroken(http::TransferEnd end) {
  return end != http::TransferEnd::kTimedOut &&
         end != http::TransferEnd::kTooLarge;
}

bool WasSent(http::TransferEnd end) {
  return end != http::TransferEnd::kNotSent &&
         end != http::TransferEnd::kRelayFailed;
}

std::string PathOf(const Attempt& attempt) {
  return attempt.relay.empty() ? "direct" : attempt.relay;
}

std::string ConnectionOf(const Attempt& attempt) {
  return attempt.new_connection ? "new" : "kept";
}

std::string_view NameOf(http::TransferEnd end) {
  switch (end) {
    case http::TransferEnd::kWhole:
      return "whole";
    case http::TransferEnd::kNotSent:
      return "not_sent";
    case http::TransferEnd::kRelayFailed:
      return "relay_failed";
    case http::TransferEnd::kFailedBeforeHead:
      return "cut_before_head";
    case http::TransferEnd::kCut:
      return "cut";
    case http::TransferEnd::kTimedOut:
      return "timed_out";
    case http::TransferEnd::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

}  // namespace

ActiveRequest* CoreImpl::FindByAttempt(AttemptId attempt) {
  return const_cast<ActiveRequest*>(
      std::as_const(*this).FindByAttempt(attempt));
}

const ActiveRequest* CoreImpl::FindByAttempt(AttemptId attempt) const {
  const auto request = m_attempts.find(attempt);
  if (request == m_attempts.end()) return nullptr;
  const auto found = m_active.find(request->second);
  return found == m_active.end() ? nullptr : &found->second;
}

bool CoreImpl::IsDue(AttemptId id, int status,
                     const ResponseInfo& response_info) const {
  const ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return true;
  return Judge({active->info.caller_id, false}, status, response_info) !=
         ResponseVerdict::kOfAnother;
}

void CoreImpl::OnSkipped(AttemptId id, int status,
                         const ResponseInfo& response_info) {
  const ActiveRequest* active = FindByAttempt(id);
  if (active != nullptr)
    LogResponseToAnother(*active, status, response_info, true);
}

bool CoreImpl::MayRunAgain(const ActiveRequest& active) const {
  return active.MayRepeat() &&
         active.runs + 1 < static_cast<uint32_t>(active.route->attempts) &&
         active.sends < kMaxSends;
}

void CoreImpl::OnHead(AttemptId id, int status,
                      const ResponseInfo& response_info, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  Attempt& attempt = active->attempt;
  attempt.last_received = now;
  attempt.status = status;
  attempt.response_info = response_info;
  if (!std::exchange(attempt.head_received, true)) attempt.head_at = now;
  if (m_dependencies.paths != nullptr && attempt.relay.empty())
    m_dependencies.paths->OnBytes(attempt.placement.endpoint, now);
  attempt.verdict = Judge({active->info.caller_id, attempt.new_connection},
                          status, response_info);
  if (attempt.verdict == ResponseVerdict::kOfAnother) {
    LogResponseToAnother(*active, status, response_info, false);
    CancelAttemptIfSent(*active);
    return OnAttemptFailed(*active, http::TransferEnd::kCut, now);
  }
  if (attempt.verdict != ResponseVerdict::kMisdirected)
    BookLimits(*active, now);
  const bool streams = active->route->kind == RouteKind::kStream &&
                       attempt.verdict == ResponseVerdict::kRan &&
                       IsSuccess(status) && response_info.has_proof &&
                       response_info.event_stream;
  if (!streams) return;
  active->stage = Stage::kAnswering;
  RelayHeadOnce(*active);
}

void CoreImpl::LogResponseToAnother(const ActiveRequest& active, int status,
                                    const ResponseInfo& response,
                                    bool skipped) {
  ++m_responses_to_others[active.service];
  const Attempt& attempt = active.attempt;
  Log("response_to_another", active,
      {{"endpoint", attempt.endpoint.id},
       {"status", std::to_string(status)},
       {"answers", response.echoed_id},
       {"states_not_run", response.not_run ? "yes" : "no"},
       {"connection", ConnectionOf(attempt)},
       {"path", PathOf(attempt)},
       {"skipped", skipped ? "yes" : "no"}},
      attempt.id);
}

void CoreImpl::BookLimits(const ActiveRequest& active, Instant now) {
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  const ResponseInfo& response = active.attempt.response_info;
  m_dependencies.load->SetRefusalLimit(endpoint,
                                       response.limits.refusals_per_second);
  if (m_dependencies.limits == nullptr) return;
  m_dependencies.limits->OnResponse(endpoint, response.limits, now);
  m_dependencies.limits->OnOutcome(
      active.id, active.attempt.verdict == ResponseVerdict::kNotRun, now);
}

void CoreImpl::RelayHeadOnce(ActiveRequest& active) {
  if (std::exchange(active.head_relayed, true)) return;
  m_actions.emplace_back(RelayHead{active.id, active.attempt.id});
}

void CoreImpl::OnChunk(AttemptId id, std::string_view bytes, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  active->attempt.last_received = now;
  if (m_dependencies.paths != nullptr && active->attempt.relay.empty())
    m_dependencies.paths->OnBytes(active->attempt.placement.endpoint, now);
  if (active->attempt.relay.empty())
    m_dependencies.restarts->OnBytes(active->attempt.placement.endpoint,
                                     active->attempt.head_at, now);
  if (active->stage != Stage::kAnswering) return;
  if (MustWithhold(active->attempt))
    return Withhold(*active, bytes, false, now);
  PassOn(*active, bytes, now);
}

void CoreImpl::OnTooLarge(AttemptId id, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  CancelAttemptIfSent(*active);
  OnAttemptFailed(*active, http::TransferEnd::kTooLarge, now);
}

size_t CoreImpl::HeldBytes(AttemptId id) const {
  const auto request = m_attempts.find(id);
  if (request == m_attempts.end()) return 0;
  const ActiveRequest& active = m_active.at(request->second);
  const size_t withheld =
      active.attempt.withheld ? active.attempt.withheld->bytes.size() : 0;
  return withheld + active.scanner.PartialEvent().size();
}

void CoreImpl::PassOn(ActiveRequest& active, std::string_view bytes,
                      Instant now) {
  const uint64_t before = active.scanner.Events();
  std::string complete_events = active.scanner.Take(bytes);
  if (active.scanner.HasGap()) {
    CancelAttemptIfSent(active);
    return OnAttemptFailed(active, http::TransferEnd::kCut, now);
  }
  if (active.scanner.Events() == before) return;
  if (active.attempt.events == 0) OnFirstEvent(active, now);
  active.attempt.events += active.scanner.Events() - before;
  if (!active.binding) BindToAttempt(active, now);
  m_actions.emplace_back(RelayChunk{active.id, std::move(complete_events)});
}

void CoreImpl::OnFirstEvent(ActiveRequest& active, Instant now) {
  m_dependencies.load->OnPrefilled(active.attempt.placement.endpoint, now);
  if (active.first_event == Instant{}) active.first_event = now;
  active.prefilled = true;
}

void CoreImpl::OnEnd(AttemptId id, http::TransferEnd end, Instant now) {
  ActiveRequest* active = FindByAttempt(id);
  if (active == nullptr) return;
  SuspectRestart(active->attempt, end, now);
  if (end != http::TransferEnd::kWhole)
    return OnAttemptFailed(*active, end, now);
  const ResponseVerdict verdict = active->attempt.verdict;
  if (verdict == ResponseVerdict::kNotRun ||
      verdict == ResponseVerdict::kMisdirected)
    return OnEndpointRefusal(*active, now);
  if (active->stage == Stage::kAnswering && MustWithhold(active->attempt)) {
    return Withhold(*active, "", true, now);
  }
  OnWholeResponse(*active, now);
}

void CoreImpl::OnWholeResponse(ActiveRequest& active, Instant now) {
  const Attempt& attempt = active.attempt;
  const bool unproven =
      IsSuccess(attempt.status) && !attempt.response_info.has_proof;
  const bool streamed = active.stage == Stage::kAnswering;
  const bool partial_event = streamed && !active.scanner.PartialEvent().empty();
  // The endpoint crashed inside the first event, of which nothing arrived.
  const bool no_event =
      streamed && !attempt.response_info.framed && attempt.events == 0;
  if (unproven || partial_event || no_event)
    return OnAttemptFailed(active, http::TransferEnd::kCut, now);
  OnCompleteResponse(active, now);
}

void CoreImpl::OnCompleteResponse(ActiveRequest& active, Instant now) {
  const int status = active.attempt.status;
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  active.may_have_run = true;
  active.prefilled = true;
  if (IsEndpointFault(status)) {
    m_dependencies.load->OnFailed(endpoint, now);
    LogAvoided(active, "error_response", now);
    if (MayRunAgain(active)) {
      EndAttempt(active, now);
      ++active.runs;
      if (TryAgain(active, false, now)) return;
      --active.runs;
    }
  } else {
    m_dependencies.load->OnSucceeded(endpoint, now);
    ReportClearedContent(active);
    if (IsSuccess(status)) AcquitSegments(active, now);
  }
  if (active.stage == Stage::kAnswering) {
    m_actions.emplace_back(FinishStream{active.id});
    return Finish(active, ErrorKind::kNone, true, now);
  }
  if (active.head_relayed) {
    m_actions.emplace_back(AbortStream{active.id});
    return Finish(active, ErrorKind::kStreamCut, false, now);
  }
  // The caller would take the status for a promise that the request never runs.
  if (PromisesNotRun(status))
    return Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  m_actions.emplace_back(RelayResponse{active.id, active.attempt.id});
  Finish(
      active,
      IsEndpointFault(status) ? ErrorKind::kEndpointFailed : ErrorKind::kNone,
      IsSuccess(status), now);
}

void CoreImpl::OnEndpointRefusal(ActiveRequest& active, Instant now) {
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  if (active.attempt.verdict == ResponseVerdict::kMisdirected) {
    m_replaced.push_back(endpoint);
    m_dependencies.load->OnUnreachable(endpoint, now);
    LogAvoided(active, "address_reassigned", now);
  } else {
    m_dependencies.load->OnOverloaded(endpoint, now);
  }
  Log("endpoint_refused", active,
      {{"endpoint", active.attempt.endpoint.id},
       {"status", std::to_string(active.attempt.status)},
       {"answers", active.attempt.response_info.echoed_id},
       {"states_not_run", active.attempt.response_info.not_run ? "yes" : "no"},
       {"connection", ConnectionOf(active.attempt)},
       {"path", PathOf(active.attempt)}},
      active.attempt.id);
  EndAttempt(active, now);
  if (TryAgain(active, false, now)) return;
  if (active.may_have_run)
    return Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  Fail(active, ErrorKind::kEndpointRefused, RetryAfter(active, 0s, now), now);
}

// Handles an attempt that ended without a complete response. If it was sent,
// the request may have run.
void CoreImpl::OnAttemptFailed(ActiveRequest& active, http::TransferEnd end,
                               Instant now) {
  const bool sent = WasSent(end);
  const bool can_retry = !sent || MayRunAgain(active);
  ++active.lost_connections;
  ReportConnectFailure(active, end, now);
  const bool path_failed = IsPathFailure(active, end, now);
  const bool stays = path_failed && MayRetryPath(active, end);
  Log("attempt_broken", active,
      {{"endpoint", active.attempt.endpoint.id},
       {"how", std::string(NameOf(end))},
       {"path", PathOf(active.attempt)},
       {"sent_ms_ago", std::to_string(ToMs(now - active.attempt.sent))},
       {"head", active.attempt.head_received ? "yes" : "no"},
       {"events", std::to_string(active.attempt.events)},
       {"segments", SharedSegmentsOf(active)}},
      active.attempt.id);
  if (!path_failed) BookFailure(active, end, now);
  if (sent) {
    active.may_have_run = true;
    if (IsBroken(end) && !path_failed && active.attempt.relay.empty())
      OnBrokenAttempt(active, false, now);
  } else {
    OnNotSent(active.attempt.id, now);
  }
  EndAttempt(active, now);
  if (sent) ++active.runs;
  if (can_retry && TryAgain(active, stays, now)) return;
  const bool late = now >= active.deadline;
  if (active.may_have_run) {
    return Fail(
        active,
        late ? ErrorKind::kDeadlineWhileRunning : ErrorKind::kEndpointFailed,
        0s, now);
  }
  Fail(active, ErrorKind::kNoEndpoint, RetryAfter(active, 0s, now), now);
}

void CoreImpl::BookFailure(const ActiveRequest& active, http::TransferEnd end,
                           Instant now) {
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  if (end == http::TransferEnd::kTimedOut)
    m_dependencies.load->OnSilent(endpoint, active.attempt.last_received, now);
  else if (end == http::TransferEnd::kTooLarge)
    m_dependencies.load->OnEndlessResponse(endpoint, now);
  else if (WasSent(end))
    m_dependencies.load->OnFailed(endpoint, now);
  else
    m_dependencies.load->OnUnreachable(endpoint, now);
  LogAvoided(active, NameOf(end), now);
}

// The counts of its service tell a fault of this endpoint from one of this
// entry's own paths, which affects all endpoints at once.
void CoreImpl::LogAvoided(const ActiveRequest& active, std::string_view why,
                          Instant now) {
  const EndpointKey endpoint = active.attempt.placement.endpoint;
  const Duration avoided_for = m_dependencies.load->AvoidedFor(endpoint, now);
  if (avoided_for == 0s) return;
  const EndpointCounts counts =
      m_dependencies.load->CountOf(active.service, now);
  Log("endpoint_avoided", active,
      {{"endpoint", active.attempt.endpoint.id},
       {"why", std::string(why)},
       {"for_ms", std::to_string(ToMs(avoided_for))},
       {"service", active.service},
       {"usable", std::to_string(counts.usable)},
       {"avoided", std::to_string(counts.avoided)}});
}

// Retries at another endpoint if the fleet's retry budget allows it. A request
// that has not reached any endpoint yet uses none of that budget, and neither
// does the next attempt of a retry that reached none.
// After a failure of the path, the same endpoint may be chosen again, by
// another path (`stays`).
bool CoreImpl::TryAgain(ActiveRequest& active, bool stays, Instant now) {
  if (!stays) active.tried.push_back(active.attempt.placement.endpoint);
  const bool granted =
      active.retry_granted_at == active.runs && !active.attempt.head_received;
  const bool arrived =
      !granted && (active.attempt.head_received || active.runs > 0);
  // A retry that the outbound link would refuse must not use the retry budget.
  const bool in_time = active.sends < kMaxSends && now < active.deadline &&
                       (!arrived || CanSendInTime(active, now));
  if (!in_time || (arrived && !TakeRetry(active, now))) return false;
  if (arrived) active.retry_granted_at = active.runs;
  // Endpoints of a stream's version that are full or avoided now are waited
  // for, as no others may take it.
  const bool bound = active.binding &&
                     m_dependencies.versions->Serves(active.binding->software);
  const bool waits =
      bound || IsSuspected(active, now) || IsBeingChecked(active, now);
  if (!waits && !ChooseEndpoint(active, now)) return false;
  Place(active, now);
  return true;
}

bool CoreImpl::TakeRetry(const ActiveRequest& active, Instant now) {
  const RetryDecision decision =
      m_dependencies.retries->Take(active.service, now);
  Log(decision.granted ? "retry_granted" : "retry_denied", active,
      {{"service", active.service},
       {"used", std::to_string(decision.used)},
       {"allowed", std::to_string(static_cast<int64_t>(decision.allowed))},
       {"requests", std::to_string(static_cast<int64_t>(decision.requests))},
       {"sharers", std::to_string(decision.sharers)},
       {"count_age_ms", std::to_string(ToMs(decision.count_age))},
       {"run_age_ms", std::to_string(ToMs(decision.run_age))}});
  return decision.granted;
}

}  // namespace dotterelshift::gateway
