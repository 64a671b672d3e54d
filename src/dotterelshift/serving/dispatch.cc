#include <algorithm>  // for min
#include <utility>    // for move

#include "dotterelshift/serving/core.h"  // for Core

namespace dotterelshift::serving {
namespace {

// Maximum number of openings of one request that control may refuse because it
// counts fewer tokens for this entry than the entry itself.
constexpr int kMaxRefusedOpenings = 3;

// The error reported to a caller whose claim was not granted.
ErrorKind KindOf(wire::ClaimState state) {
  switch (state) {
    case wire::ClaimState::Granted:
      return ErrorKind::kNone;
    case wire::ClaimState::Running:
      return ErrorKind::kAlreadyRunning;
    case wire::ClaimState::AlreadyRan:
      return ErrorKind::kAlreadyRan;
    case wire::ClaimState::OutcomeUnknown:
      return ErrorKind::kOutcomeUnknown;
    case wire::ClaimState::Expired:
      return ErrorKind::kKeyExpired;
    case wire::ClaimState::BodyDiffers:
      return ErrorKind::kKeyReused;
  }
  return ErrorKind::kInternal;
}

}  // namespace

void Core::BeginAttempt(Request* request, const routing::RouteChoice& choice,
                        Instant now) {
  Attempt attempt;
  attempt.id = ++m_last_attempt;
  attempt.endpoint = choice.endpoint;
  attempt.incarnation = choice.incarnation;
  attempt.address = choice.address;
  attempt.reserved = request->reserved;
  attempt.standing = request->standing;
  request->reserved = 0;
  attempt.alone =
      m_suspects.OnStarted(request->caller.content_hash, attempt.endpoint);
  m_dependencies.router->OnStarted(attempt.endpoint, request->WorstCase(), now);
  m_attempts[attempt.id] = request->id;
  request->attempt = std::move(attempt);
  if (++request->attempts == 1) request->queue_wait = now - request->arrived;

  if (!request->caller.idempotent && !request->claim_open) {
    ProposeClaim(request, now);
  } else {
    OpenOrDispatch(request, now);
  }
}

void Core::ProposeClaim(Request* request, Instant now) {
  if (m_reach != ControlReach::kConnected) {
    Fail(request, ErrorKind::kNoQuorum, now);
    return;
  }
  wire::ClaimT claim;
  claim.team = request->team;
  claim.request_key = request->key;
  claim.body_hash = request->caller.content_hash;
  claim.attempt = request->attempt->id;

  PendingCommand pending;
  pending.kind = PendingCommand::Kind::kClaim;
  pending.request = request->id;
  pending.attempt = request->attempt->id;
  pending.undo = std::make_unique<wire::SettleT>(
      SettleBody(*request, request->attempt->id));
  pending.undo->outcome = wire::Outcome::Refused;
  pending.undo->witnessed = false;
  pending.undo->claim = request->attempt->id;
  request->awaited = Propose(std::move(claim), std::move(pending));
  request->stage = Stage::kClaiming;
  SetDue(request, std::min(request->deadline, now + m_options.commit_timeout));
}

void Core::OnClaim(Request* request, const wire::CommandAnswerT& answer,
                   Instant now) {
  const wire::ClaimAnswerT* claim = answer.body.AsClaimAnswer();
  ErrorKind kind = ErrorKind::kNoQuorum;
  if (answer.error == 0 && claim != nullptr) kind = KindOf(claim->state);
  if (kind != ErrorKind::kNone) {
    Fail(request, kind, now);
    return;
  }
  request->claim_open = true;
  request->claimed_by = request->attempt->id;
  OpenOrDispatch(request, now);
}

void Core::OpenOrDispatch(Request* request, Instant now) {
  if (m_reach == ControlReach::kCutOff) {
    if (MayDispatchWithoutOpening(request, now)) {
      ++m_counters.attempts_without_opening;
      Dispatch(request, now);
    } else {
      Fail(request, ErrorKind::kNoQuorum, now);
    }
    return;
  }
  if (request->attempt->standing) {
    Dispatch(request, now);
    return;
  }
  Attempt& attempt = *request->attempt;
  attempt.opening = true;
  wire::OpenAttemptT open;
  open.budget = request->budget_id;
  open.team = request->team;
  open.request_key = request->key;
  open.attempt = attempt.id;
  open.reserved = attempt.reserved;
  open.content_hash = request->caller.content_hash;

  PendingCommand pending;
  pending.kind = PendingCommand::Kind::kOpen;
  pending.request = request->id;
  pending.attempt = attempt.id;
  request->awaited = Propose(std::move(open), std::move(pending));
  request->stage = Stage::kOpening;
  SetDue(request, std::min(request->deadline, now + m_options.commit_timeout));
}

bool Core::MayDispatchWithoutOpening(Request* request, Instant now) {
  if (!m_options.serve_when_cut_off || !request->caller.idempotent)
    return false;
  Attempt& attempt = *request->attempt;
  if (!attempt.standing)
    attempt.standing = m_dependencies.ledger->MoveToPreauthorized(
        request->budget, attempt.reserved, now);
  return attempt.standing;
}

void Core::OnOpened(Request* request, const wire::CommandAnswerT& answer,
                    Instant now) {
  if (answer.error != 0) {
    OnOpeningRefused(request, static_cast<ErrorKind>(answer.error), now);
    return;
  }
  Dispatch(request, now);
}

void Core::OnOpeningRefused(Request* request, ErrorKind error, Instant now) {
  request->attempt->opening = false;
  if (error != ErrorKind::kBudgetUnavailable) {
    const bool reported =
        error == ErrorKind::kKeyExpired || error == ErrorKind::kQuarantined;
    Fail(request, reported ? error : ErrorKind::kNoQuorum, now);
    return;
  }
  // Control counts fewer tokens for this entry than the entry itself. The
  // unreserved tokens are returned, and the request reserves again.
  const Attempt attempt = Detach(request, false, now);
  m_dependencies.ledger->OnOpeningRefused(request->budget, attempt.reserved,
                                          now);
  m_adjustments_due = true;
  --request->attempts;
  if (++request->refused_openings > kMaxRefusedOpenings) {
    Fail(request, error, now);
    return;
  }
  SetDue(request, std::nullopt);
  EnqueueDeferred(request);
}

void Core::OnCommitTimeout(Request* request, Instant now) {
  const bool may_fall_back =
      request->stage == Stage::kOpening && m_reach == ControlReach::kCutOff &&
      now < request->deadline && MayDispatchWithoutOpening(request, now);
  if (may_fall_back) {
    ++m_counters.attempts_without_opening;
    Dispatch(request, now);
    return;
  }
  Fail(request, ErrorKind::kNoQuorum, now);
}

void Core::Dispatch(Request* request, Instant now) {
  const directory::Endpoint* endpoint =
      m_dependencies.directory->Find(request->attempt->endpoint);
  const bool usable =
      endpoint != nullptr && endpoint->usable &&
      endpoint->record.incarnation == request->attempt->incarnation;
  // The endpoint may have left while the opening was being committed.
  if (!usable && !ChooseReplacement(request, now)) {
    EndAttempt(request, AttemptEnd::kNotSent, now);
    return;
  }
  Attempt& attempt = *request->attempt;
  attempt.dispatched = true;
  attempt.started = now;
  request->stage = Stage::kRunning;
  SetDue(request, request->deadline);
  StartAttempt start;
  start.attempt = attempt.id;
  start.request = request->id;
  start.endpoint = attempt.endpoint;
  start.address = attempt.address;
  start.time_left = request->deadline - now;
  AddAction(std::move(start));
}

bool Core::ChooseReplacement(Request* request, Instant now) {
  Attempt& attempt = *request->attempt;
  request->excluded.push_back(attempt.endpoint);
  const routing::RouteChoice choice = Choose(*request, now);
  if (choice.outcome != routing::RouteOutcome::kChosen) return false;
  const uint64_t content = request->caller.content_hash;
  m_dependencies.router->OnEnded(attempt.endpoint, request->WorstCase(), false,
                                 now);
  m_suspects.OnEnded(content, attempt.endpoint, attempt.alone);
  attempt.endpoint = choice.endpoint;
  attempt.incarnation = choice.incarnation;
  attempt.address = choice.address;
  attempt.alone = m_suspects.OnStarted(content, attempt.endpoint);
  m_dependencies.router->OnStarted(attempt.endpoint, request->WorstCase(), now);
  return true;
}

}  // namespace dotterelshift::serving
