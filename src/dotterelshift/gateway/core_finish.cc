#include <algorithm>  // for min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

std::string OutcomeOf(ErrorKind error) {
  if (error == ErrorKind::kNone) return "relayed";
  return std::string(RowOf(error).name);
}

std::string_view NameOf(Stage stage) {
  switch (stage) {
    case Stage::kWaitsForOrigin:
      return "waits_for_origin";
    case Stage::kWaitsForDirectory:
      return "waits_for_directory";
    case Stage::kWaitsForBudget:
      return "waits_for_tokens";
    case Stage::kWaitsForTrial:
      return "waits_for_trial";
    case Stage::kWaitsForEndpoint:
      return "waits_for_place";
    case Stage::kWaitsForPermit:
      return "waits_for_permit";
    case Stage::kWaitsForLink:
      return "waits_for_link";
    case Stage::kSlotReserved:
      return "booked";
    case Stage::kRunning:
      return "running";
    case Stage::kAnswering:
      return "answering";
  }
  return "unknown";
}

}  // namespace

void CoreImpl::OnDeadline(ActiveRequest& active, Instant now) {
  if (active.IsSent()) {
    CancelAttemptIfSent(active);
    return Fail(active, ErrorKind::kDeadlineWhileRunning, 0s, now);
  }
  Fail(active,
       active.may_have_run ? ErrorKind::kDeadlineWhileRunning
                           : ErrorKind::kOverloaded,
       0s, now);
}

void CoreImpl::CancelAttemptIfSent(ActiveRequest& active) {
  if (active.IsSent()) {
    m_actions.emplace_back(CancelAttempt{active.attempt.id});
    active.may_have_run = true;
  }
}

// Releases what the attempt holds: its slot at the endpoint and its place in
// the link queue.
void CoreImpl::EndAttempt(ActiveRequest& active, Instant now) {
  if (active.attempt.id != 0) m_attempts.erase(active.attempt.id);
  if (m_dependencies.limits != nullptr)
    m_dependencies.limits->OnOutcome(active.id, false, now);
  active.permit = {};
  const bool occupied = active.stage == Stage::kSlotReserved || active.IsSent();
  if (occupied) m_dependencies.load->OnEnded(active.attempt.placement.endpoint);
  EndTrial(active);
  active.stage = Stage::kWaitsForEndpoint;
  active.wait_until = {};
  LeaveLinkQueue(active);
  active.link_deadline = {};
  active.link_wait = 0s;
  active.scanner.Reset();
}

void CoreImpl::Fail(ActiveRequest& active, ErrorKind kind, Duration retry_after,
                    Instant now) {
  // "Not run" is not said of a request that an endpoint may have run before.
  const bool untrue = active.may_have_run && RowOf(kind).ran == Ran::kNo;
  const ErrorKind told = untrue ? ErrorKind::kEndpointFailed : kind;
  if (active.head_relayed) {
    m_actions.emplace_back(AbortStream{active.id});
  } else {
    m_actions.emplace_back(Refuse{active.id, told, retry_after});
  }
  Finish(active, told, false, now);
}

// The prompt counts once if an endpoint may have run the request. Output counts
// only as far as it was passed on to the caller.
Tokens CoreImpl::TokensSpent(const ActiveRequest& active) const {
  if (!active.may_have_run) return 0;
  const Service* service = active.routes->FindService(active.service);
  const Tokens tokens_per_event = service != nullptr && service->engine
                                      ? service->engine->tokens_per_event
                                      : 1;
  const auto events = static_cast<Tokens>(active.scanner.Events());
  const Tokens spent =
      active.info.prompt.prompt_tokens +
      std::min(active.info.prompt.output_limit, events * tokens_per_event);
  return std::min(spent, active.reserved);
}

void CoreImpl::Finish(ActiveRequest& active, ErrorKind error, bool answered,
                      Instant now) {
  const Stage stage = active.stage;
  EndAttempt(active, now);
  if (active.has_reservation) {
    m_dependencies.budgets->Settle(active.team, active.reserved,
                                   TokensSpent(active), answered, now);
  }
  serving::RequestSummary& summary = m_finished.emplace_back();
  summary.request = active.id;
  summary.team = active.team;
  summary.request_class = active.service;
  summary.error = error;
  const bool sent = active.sends > 0;
  summary.queue_wait = (sent ? active.attempt.sent : now) - active.arrived;
  const bool streamed = active.first_event != Instant{};
  summary.first_token = (streamed ? active.first_event : now) - active.arrived;
  summary.total = now - active.arrived;
  summary.spent = TokensSpent(active);
  summary.attempts = static_cast<int>(active.sends);
  CountResumption(active, summary);
  LogFinish(active, summary, stage, answered, now);
  if (active.due != Instant{}) m_timers.erase({active.due, active.id});
  m_active.erase(active.id);
}

// A stream that was sent to an endpoint of its version, and did not go on.
void CoreImpl::CountResumption(const ActiveRequest& active,
                               const serving::RequestSummary& summary) {
  const bool failed =
      active.sends > 0 && active.Resumes() && active.first_event == Instant{};
  if (failed) ++m_resumptions.failed_for[OutcomeOf(summary.error)];
}

// What this entry believes of the endpoints of the request's service: none may
// be left, or it may be this entry that reaches none.
void CoreImpl::AddEndpointCounts(const ActiveRequest& active, Instant now,
                                 LogInputs& inputs) const {
  const EndpointCounts counts =
      m_dependencies.load->CountOf(active.service, now);
  inputs.emplace_back("usable", std::to_string(counts.usable));
  inputs.emplace_back("avoided", std::to_string(counts.avoided));
  inputs.emplace_back("full", std::to_string(counts.full));
  if (m_dependencies.paths == nullptr) return;
  const PathCounts paths = m_dependencies.paths->CountOf(active.service);
  inputs.emplace_back("relayed", std::to_string(paths.relayed));
  inputs.emplace_back("relayed_as_others_failed",
                      std::to_string(paths.others_failed));
  inputs.emplace_back("relays", std::to_string(m_dependencies.paths->Relays()));
}

void CoreImpl::LogFinish(const ActiveRequest& active,
                         const serving::RequestSummary& summary, Stage stage,
                         bool answered, Instant now) {
  std::vector<std::pair<std::string_view, std::string>> inputs = {
      {"outcome", OutcomeOf(summary.error)},
      {"route", active.route == nullptr ? "" : active.route->name},
      {"team", active.team},
      {"first_ms", std::to_string(ToMs(summary.first_token))},
      {"total_ms", std::to_string(ToMs(summary.total))},
      {"sends", std::to_string(active.sends)},
      {"status", std::to_string(active.attempt.status)},
      {"spent", std::to_string(summary.spent)}};
  if (active.route != nullptr) {
    const Duration left = active.arrived + active.route->timeout - now;
    inputs.emplace_back("left_of_timeout_ms", std::to_string(ToMs(left)));
  }
  if (active.route != nullptr && active.Resumes()) {
    inputs.emplace_back("resumes", active.info.first_caller_id);
    inputs.emplace_back("got_event",
                        active.first_event != Instant{} ? "yes" : "no");
  }
  if (summary.error == ErrorKind::kNoEndpoint)
    AddEndpointCounts(active, now, inputs);
  // Whether the bytes of the last attempt were acknowledged tells a slow
  // endpoint from a path that is cut.
  const bool unanswered = summary.error == ErrorKind::kCallerGone ||
                          summary.error == ErrorKind::kDeadlineWhileRunning;
  if (!unanswered)
    return Log(answered ? "answered" : "ended", active, std::move(inputs));
  inputs.emplace_back("stage", NameOf(stage));
  if (active.attempt.id != 0) {
    const Duration sent_ago = now - active.attempt.sent;
    inputs.emplace_back("sent_ms_ago", std::to_string(ToMs(sent_ago)));
  }
  Log("ended", active, std::move(inputs), active.attempt.id);
}

}  // namespace dotterelshift::gateway
