#include <algorithm>  // for max
#include <utility>    // for move

#include "dotterelshift/serving/core.h"  // for Core

namespace dotterelshift::serving {
namespace {

// Whether an attempt with this end was not run by any endpoint.
bool WasNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kRefusedBeforeRun;
}

ErrorKind FailureOf(AttemptEnd end, bool forwarded) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return ErrorKind::kNoEndpoint;
    case AttemptEnd::kRefusedBeforeRun:
      return ErrorKind::kEndpointRefused;
    case AttemptEnd::kTimedOut:
      return ErrorKind::kDeadlineWhileRunning;
    case AttemptEnd::kDied:
      return forwarded ? ErrorKind::kStreamCut : ErrorKind::kEndpointFailed;
    case AttemptEnd::kWhole:
    case AttemptEnd::kCallerError:
      break;
  }
  return ErrorKind::kInternal;
}

}  // namespace

void Core::OnAttemptHead(AttemptId /*attempt*/, int /*status*/,
                         Instant /*now*/) {}

ChunkVerdict Core::OnChunk(AttemptId id, const Chunk& chunk, Instant now) {
  Request* request = FindByAttempt(id);
  if (request == nullptr || request->stage != Stage::kRunning) {
    ++m_counters.late_chunks_dropped;
    return ChunkVerdict::kDrop;
  }
  Attempt& attempt = *request->attempt;
  attempt.counted_output += chunk.tokens;
  if (chunk.has_usage) {
    attempt.has_usage = true;
    attempt.usage_prompt = std::max(attempt.usage_prompt, chunk.usage_prompt);
    attempt.usage_output = std::max(attempt.usage_output, chunk.usage_output);
  }
  const Tokens output = std::max(attempt.counted_output, attempt.usage_output);
  if (!request->IsService() && output > request->caller.output_limit) {
    CancelAndFail(request, ErrorKind::kOutputLimitReached, now);
    FinishEvent(now);
    return ChunkVerdict::kCut;
  }
  if (!attempt.has_chunk) {
    attempt.has_chunk = true;
    request->first_token = now - request->arrived;
    m_dependencies.router->OnFirstToken(attempt.endpoint, now - attempt.started,
                                        now);
  }
  m_dependencies.router->OnTokens(attempt.endpoint, chunk.tokens, now);
  if (request->caller_gone) return ChunkVerdict::kDrop;
  request->forwarded = true;
  return ChunkVerdict::kForward;
}

void Core::OnAttemptEnd(AttemptId id, AttemptEnd end, Instant now) {
  Request* request = FindByAttempt(id);
  if (request == nullptr || request->stage != Stage::kRunning) return;
  EndAttempt(request, end, now);
  FinishEvent(now);
}

Attempt Core::Detach(Request* request, bool failed, Instant now) {
  Attempt attempt = std::move(*request->attempt);
  request->attempt.reset();
  m_attempts.erase(attempt.id);
  m_dependencies.router->OnEnded(attempt.endpoint, request->WorstCase(), failed,
                                 now);
  m_suspects.OnEnded(request->caller.content_hash, attempt.endpoint,
                     attempt.alone);
  RetryIsolated();
  return attempt;
}

void Core::DropUnsentAttempt(Request* request, Instant now) {
  PendingCommand* pending = m_commands.Find(request->awaited);
  if (pending != nullptr) pending->request = 0;
  const Attempt attempt = Detach(request, false, now);
  Settlement settlement;
  settlement.outcome = wire::Outcome::Refused;
  settlement.last = false;
  Settle(request, attempt, settlement, now);
}

void Core::EndAttempt(Request* request, AttemptEnd end, Instant now) {
  const bool whole =
      end == AttemptEnd::kWhole || end == AttemptEnd::kCallerError;
  const bool failed = !whole && end != AttemptEnd::kRefusedBeforeRun;
  const Attempt attempt = Detach(request, failed, now);
  if (end == AttemptEnd::kRefusedBeforeRun)
    m_dependencies.router->OnRefused(attempt.endpoint, now);
  if (attempt.dispatched && !WasNotRun(end)) request->may_have_run = true;
  if (!whole) {
    HandleFailure(request, attempt, end, now);
    return;
  }
  m_retries.OnAnswered();
  if (end == AttemptEnd::kWhole &&
      m_suspects.OnAnswered(request->caller.content_hash)) {
    wire::ClearSuspectT clear;
    clear.content_hash = request->caller.content_hash;
    Propose(clear, PendingCommand{});
  }
  Settlement settlement;
  settlement.spend = SpendOf(*request, attempt, end);
  settlement.outcome = wire::Outcome::Answered;
  if (end == AttemptEnd::kWhole) settlement.billed = settlement.spend.spent;
  request->stage = Stage::kSettling;
  SetDue(request, now + m_options.settle_timeout);
  Settle(request, attempt, settlement, now);
}

void Core::HandleFailure(Request* request, const Attempt& attempt,
                         AttemptEnd end, Instant now) {
  const ErrorKind failure = FailureOf(end, request->forwarded);
  request->last_failure = failure;
  request->excluded.push_back(attempt.endpoint);
  // An attempt that was not sent does not count, so that a few dead endpoints
  // do not use up the attempts; its endpoint is excluded from now on.
  if (end == AttemptEnd::kNotSent) --request->attempts;
  const bool died = end == AttemptEnd::kDied;
  const uint64_t report = died ? ReportDeath(*request, attempt, now) : 0;

  const bool retry = MayRetry(*request, end, now);
  Settlement settlement;
  settlement.spend = SpendOf(*request, attempt, end);
  settlement.outcome =
      WasNotRun(end) ? wire::Outcome::Refused : wire::Outcome::Failed;
  settlement.last = !retry;
  settlement.unknown = !WasNotRun(end);
  Settle(request, attempt, settlement, now);
  request->retry_wanted = retry;
  if (died && m_reach == ControlReach::kConnected) {
    // The request is neither retried nor failed until the report is committed
    // or the wait for it times out, so that every entry can receive the report
    // before the content runs again.
    request->stage = Stage::kReporting;
    request->awaited = report;
    SetDue(request,
           std::min(request->deadline, now + m_options.commit_timeout));
    return;
  }
  RetryOrFail(request, now);
}

void Core::OnReported(Request* request, Instant now) {
  if (request->stage != Stage::kReporting) return;
  const uint64_t content = request->caller.content_hash;
  if (m_blocklist.RemainingBlock(content, now)) request->retry_wanted = false;
  RetryOrFail(request, now);
}

void Core::RetryOrFail(Request* request, Instant now) {
  if (!request->retry_wanted || request->caller_gone) {
    Fail(request, request->last_failure, now);
    return;
  }
  ++m_counters.retries;
  SetDue(request, std::nullopt);
  EnqueueDeferred(request);
}

bool Core::MayRetry(const Request& request, AttemptEnd end, Instant now) {
  if (request.caller_gone || request.forwarded) return false;
  if (now >= request.deadline) return false;
  if (request.attempts >= m_options.max_attempts) return false;
  if (!WasNotRun(end) && !request.caller.idempotent) return false;
  if (m_blocklist.RemainingBlock(request.caller.content_hash, now))
    return false;
  // An attempt that was not sent caused no load, so that its retry is not
  // counted against the retry budget.
  if (end == AttemptEnd::kNotSent || m_retries.TryTake()) return true;
  ++m_counters.retries_denied;
  return false;
}

uint64_t Core::ReportDeath(const Request& request, const Attempt& attempt,
                           Instant now) {
  m_suspects.OnDeath(request.caller.content_hash, now);
  wire::ReportSuspectT report;
  report.content_hash = request.caller.content_hash;
  report.endpoint = attempt.endpoint;
  report.endpoint_incarnation = attempt.incarnation;
  report.alone = attempt.alone;
  PendingCommand pending;
  pending.request = request.id;
  return Propose(std::move(report), std::move(pending));
}

void Core::CancelAndFail(Request* request, ErrorKind kind, Instant now) {
  AddAction(CancelAttempt{request->attempt->id});
  const bool late = kind == ErrorKind::kDeadlineWhileRunning;
  const Attempt attempt = Detach(request, late, now);
  request->may_have_run = true;
  Settlement settlement;
  settlement.spend = SpendOfCancelled(*request, attempt);
  settlement.outcome = kind == ErrorKind::kCallerGone ? wire::Outcome::Cancelled
                                                      : wire::Outcome::Failed;
  settlement.unknown = kind != ErrorKind::kOutputLimitReached;
  Settle(request, attempt, settlement, now);
  Fail(request, kind, now);
}

}  // namespace dotterelshift::serving
