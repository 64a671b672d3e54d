#include <utility>  // for move

#include "dotterelshift/serving/core.h"  // for Core

namespace dotterelshift::serving {
namespace {

// Whether a valid request was refused for lack of tokens or of capacity.
bool IsCapacityRefusal(ErrorKind kind) {
  return kind >= ErrorKind::kBudgetExhausted &&
         kind <= ErrorKind::kTooManyConnections;
}

}  // namespace

wire::SettleT Core::SettleBody(const Request& request,
                               AttemptId attempt) const {
  wire::SettleT settle;
  settle.budget = request.budget_id;
  settle.team = request.team;
  settle.request_key = request.key;
  settle.attempt = attempt;
  settle.model = request.caller.target;
  settle.request_class = request.request_class;
  settle.holder = m_options.self.host;
  settle.holder_incarnation = m_options.self.incarnation;
  settle.claim = request.claimed_by;
  return settle;
}

void Core::Settle(Request* request, const Attempt& attempt,
                  const Settlement& settlement, Instant now) {
  const Spend& spend = settlement.spend;
  ReleaseReservation(*request, {attempt.reserved, attempt.standing},
                     spend.spent, now);
  request->spent += spend.spent;
  request->usage_difference += spend.difference;
  const bool ends_claim = request->claim_open && settlement.last;
  const bool answered = settlement.outcome == wire::Outcome::Answered;
  // Control does not know of an attempt that was neither opened nor run.
  if (!attempt.opening && !attempt.dispatched && !ends_claim) return;

  wire::SettleT settle = SettleBody(*request, attempt.id);
  settle.reserved = attempt.reserved;
  settle.spent = spend.spent;
  settle.billed = settlement.billed;
  settle.outcome = settlement.outcome;
  settle.witnessed = !attempt.standing;
  settle.last_attempt = settlement.last;
  settle.unknown = settlement.unknown;
  settle.queue_ms = static_cast<uint32_t>(ToMs(request->queue_wait));
  settle.first_token_ms = static_cast<uint32_t>(ToMs(request->first_token));
  settle.total_ms = static_cast<uint32_t>(ToMs(now - request->arrived));
  if (ends_claim) request->claim_open = false;
  const uint64_t sequence =
      ProposeSettle(std::move(settle), answered ? request->id : 0);
  if (answered) request->awaited = sequence;
}

void Core::ReleaseClaim(Request* request) {
  if (!request->claim_open) return;
  request->claim_open = false;
  // Uses a new attempt id, because the claiming attempt may already be settled.
  wire::SettleT settle = SettleBody(*request, ++m_last_attempt);
  settle.outcome = wire::Outcome::Refused;
  settle.witnessed = false;
  ProposeSettle(std::move(settle), 0);
}

uint64_t Core::ProposeSettle(wire::SettleT settle, RequestId request) {
  PendingCommand pending;
  pending.kind = PendingCommand::Kind::kSettle;
  pending.request = request;
  const uint64_t sequence = Propose(std::move(settle), std::move(pending));
  const auto& proposed = std::get<ProposeCommand>(m_actions.back());
  m_commands.Find(sequence)->command =
      std::make_unique<wire::CommandT>(proposed.command);
  if (m_reach == ControlReach::kCutOff) Spool(sequence);
  return sequence;
}

void Core::Spool(uint64_t sequence) {
  PendingCommand* pending = m_commands.Find(sequence);
  if (pending == nullptr || pending->spooling) return;
  pending->spooling = true;
  ++m_counters.spooled_settlements;
  AddAction(SpoolCommand{*pending->command});
}

void Core::SpoolPendingSettlement(Request* request, Instant now) {
  const PendingCommand* pending = m_commands.Find(request->awaited);
  if (pending == nullptr || pending->spooling) {
    Fail(request, ErrorKind::kBillNotRecorded, now);
    return;
  }
  Spool(request->awaited);
  SetDue(request, now + m_options.settle_timeout);
}

void Core::OnSpooled(const wire::CommandIdT& id, Instant now) {
  PendingCommand* pending = m_commands.Find(id);
  if (pending == nullptr || !pending->spooling) return;
  pending->spooled = true;
  Request* request = FindRequest(pending->request);
  if (request == nullptr || request->stage != Stage::kSettling) return;
  Finish(request, now);
  FinishEvent(now);
}

void Core::OnAnswer(const wire::CommandAnswerT& answer, Instant now) {
  if (answer.id == nullptr) return;
  PendingCommand* found = m_commands.Find(*answer.id);
  if (found == nullptr) return;
  PendingCommand pending = std::move(*found);
  m_commands.Erase(answer.id->sequence);
  switch (pending.kind) {
    case PendingCommand::Kind::kRequestGrant:
      OnGrantAnswer(pending, answer, now);
      break;
    case PendingCommand::Kind::kOpen:
      OnOpenAnswer(pending, answer, now);
      break;
    case PendingCommand::Kind::kClaim:
      OnClaimAnswer(&pending, answer, now);
      break;
    case PendingCommand::Kind::kSettle:
      if (Request* request = FindRequest(pending.request))
        OnSettled(request, answer, now);
      break;
    case PendingCommand::Kind::kReturn:
      break;
    case PendingCommand::Kind::kOther:
      if (const wire::SuspectAnswerT* suspect = answer.body.AsSuspectAnswer())
        m_blocklist.OnEntry(*suspect, now);
      if (Request* request = FindRequest(pending.request))
        OnReported(request, now);
      break;
  }
  FinishEvent(now);
}

void Core::OnGrantAnswer(const PendingCommand& pending,
                         const wire::CommandAnswerT& answer, Instant now) {
  m_grants_pending.erase(pending.budget);
  const wire::GrantAnswerT* grant = answer.body.AsGrantAnswer();
  const bool valid = answer.error == 0 && grant != nullptr;
  if (valid) m_last_grant[pending.budget] = *grant;
  m_dependencies.ledger->OnGrant(pending.budget,
                                 valid ? *grant : wire::GrantAnswerT{}, now);
  m_freed.insert(pending.budget);
  m_adjustments_due = true;
}

void Core::OnOpenAnswer(const PendingCommand& pending,
                        const wire::CommandAnswerT& answer, Instant now) {
  Request* request = FindRequest(pending.request);
  const bool awaited = request != nullptr &&
                       request->stage == Stage::kOpening &&
                       request->attempt->id == pending.attempt;
  // A late answer is ignored: the attempt was dispatched without a committed
  // opening, or its settlement has already ended the opening.
  if (awaited) OnOpened(request, answer, now);
}

void Core::OnClaimAnswer(PendingCommand* pending,
                         const wire::CommandAnswerT& answer, Instant now) {
  if (Request* request = FindRequest(pending->request)) {
    OnClaim(request, answer, now);
    return;
  }
  const wire::ClaimAnswerT* claim = answer.body.AsClaimAnswer();
  const bool granted = answer.error == 0 && claim != nullptr &&
                       claim->state == wire::ClaimState::Granted;
  if (granted) ProposeSettle(std::move(*pending->undo), 0);
}

void Core::OnSettled(Request* request, const wire::CommandAnswerT& answer,
                     Instant now) {
  if (request->stage != Stage::kSettling) return;
  if (answer.error == 0) {
    Finish(request, now);
  } else {
    Fail(request, ErrorKind::kBillNotRecorded, now);
  }
}

void Core::RecordRefusals() {
  for (wire::RecordRefusalsT& record : m_refusals.Take())
    Propose(std::move(record), PendingCommand{});
}

void Core::ReturnGrants(Instant now) {
  if (m_reach != ControlReach::kConnected) return;
  SendAdjustments(m_dependencies.ledger->ReturnAll(now));
  // Disconnects the ledger so that it requests no more tokens: they would only
  // be returned again.
  m_dependencies.ledger->SetConnected(false, now);
}

void Core::Finish(Request* request, Instant now) {
  if (!request->caller_gone) AddAction(FinishResponse{request->id});
  Summarize(*request,
            request->caller_gone ? ErrorKind::kCallerGone : ErrorKind::kNone,
            now);
  Forget(request);
}

void Core::Fail(Request* request, ErrorKind wanted, Instant now,
                int retry_after_seconds, std::string detail) {
  if (request->stage == Stage::kQueued)
    m_dependencies.queue->Remove(request->id);
  if (request->stage == Stage::kAwaitingTokens) RemoveFromWaiters(*request);
  request->stage = Stage::kArrived;
  if (request->attempt) DropUnsentAttempt(request, now);
  if (request->reserved > 0)
    ReleaseReservation(*request, {request->reserved, request->standing}, 0,
                       now);
  ReleaseClaim(request);

  const ErrorKind kind = ReportableKind(*request, wanted);
  if (!request->caller_gone) {
    const int wait = retry_after_seconds > 0 ? retry_after_seconds
                                             : RowOf(kind).retry_after_seconds;
    AddAction(FailResponse{request->id, kind, std::move(detail), wait});
    CountRefusal(*request, kind, now);
  }
  Summarize(*request, kind, now);
  Forget(request);
}

ErrorKind Core::ReportableKind(const Request& request, ErrorKind kind) {
  if (!request.may_have_run || RowOf(kind).ran != Ran::kNo) return kind;
  if (kind == ErrorKind::kDeadlineBeforeRun)
    return ErrorKind::kDeadlineWhileRunning;
  return ErrorKind::kEndpointFailed;
}

void Core::CountRefusal(const Request& request, ErrorKind kind, Instant now) {
  if (RowOf(kind).ran != Ran::kNo || request.team.empty()) return;
  const bool remained = !request.budget_id.empty() && BudgetRemained(request);
  m_refusals.Count(request.team, kind, remained, now);
  if (remained && IsCapacityRefusal(kind)) ++m_counters.false_refusals;
}

void Core::Summarize(const Request& request, ErrorKind kind, Instant now) {
  RequestSummary summary;
  summary.request = request.id;
  summary.team = request.team;
  summary.request_class = request.request_class;
  summary.error = kind;
  summary.queue_wait = request.queue_wait;
  summary.first_token = request.first_token;
  summary.total = now - request.arrived;
  summary.spent = request.spent;
  summary.usage_difference = request.usage_difference;
  summary.attempts = request.attempts;
  m_summaries.push_back(std::move(summary));
}

void Core::Forget(Request* request) {
  SetDue(request, std::nullopt);
  m_requests.erase(request->id);
}

}  // namespace dotterelshift::serving
