#include "dotterelshift/serving/request_core.h"

#include <algorithm>  // for min

#include "dotterelshift/serving/core.h"  // for Core

namespace dotterelshift::serving {

std::unique_ptr<RequestCore> MakeRequestCore(
    const RequestCoreOptions& options,
    const RequestCoreDependencies& dependencies) {
  return std::make_unique<Core>(options, dependencies);
}

Core::Core(const RequestCoreOptions& options,
           const RequestCoreDependencies& dependencies)
    : m_options(options),
      m_dependencies(dependencies),
      m_commands(options.self),
      m_retries(options.retry_ratio, options.retry_burst) {}

Request* Core::FindRequest(RequestId id) {
  const auto it = m_requests.find(id);
  return it == m_requests.end() ? nullptr : it->second.get();
}

Request* Core::FindByAttempt(AttemptId id) {
  const auto it = m_attempts.find(id);
  return it == m_attempts.end() ? nullptr : FindRequest(it->second);
}

const callers::CallerRequest* Core::RequestOf(AttemptId id) const {
  const auto attempt = m_attempts.find(id);
  if (attempt == m_attempts.end()) return nullptr;
  const auto request = m_requests.find(attempt->second);
  return request == m_requests.end() ? nullptr : &request->second->caller;
}

void Core::OnCallerGone(RequestId id, Instant now) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  request->caller_gone = true;
  const bool must_continue =
      request->stage == Stage::kSettling ||
      (request->stage == Stage::kRunning && !request->caller.idempotent);
  // A request that is not idempotent runs to its end, so that its outcome can
  // be reported when the caller resends its key.
  if (must_continue) return;
  if (request->stage == Stage::kRunning) {
    CancelAndFail(request, ErrorKind::kCallerGone, now);
  } else {
    Fail(request, ErrorKind::kCallerGone, now);
  }
  FinishEvent(now);
}

void Core::OnControlReach(ControlReach reach, Instant now) {
  if (reach == m_reach) return;
  m_reach = reach;
  m_dependencies.ledger->SetConnected(reach == ControlReach::kConnected, now);
  m_adjustments_due = true;
  FinishEvent(now);
}

void Core::OnRecall(const wire::RecallT& recall, Instant now) {
  m_dependencies.ledger->OnRecall(recall.budget, recall.tokens, now);
  m_adjustments_due = true;
  FinishEvent(now);
}

void Core::OnQuarantine(const wire::QuarantinePushT& push, Instant now) {
  m_blocklist.OnPush(push, now);
  std::vector<Request*> blocked;
  for (const auto& [id, request] : m_requests) {
    const bool waits = request->stage == Stage::kQueued ||
                       request->stage == Stage::kAwaitingTokens ||
                       request->stage == Stage::kAwaitingIsolation;
    if (waits && m_blocklist.RemainingBlock(request->caller.content_hash, now))
      blocked.push_back(request.get());
  }
  for (Request* request : blocked) Fail(request, ErrorKind::kQuarantined, now);
  FinishEvent(now);
}

void Core::OnEntriesChanged(size_t place, size_t count) {
  m_entry_index = place;
  m_entries = count;
}

void Core::OnRefresh(Instant now) {
  const uint64_t directory = m_dependencies.directory->Generation();
  const uint64_t configuration = m_dependencies.configuration->Version();
  if (directory != m_directory_seen || configuration != m_configuration_seen) {
    m_directory_seen = directory;
    m_configuration_seen = configuration;
    m_dependencies.router->Refresh(*m_dependencies.directory,
                                   *m_dependencies.configuration, now);
  }
  FinishEvent(now);
}

void Core::StartDraining(Instant now) {
  m_draining = true;
  FinishEvent(now);
}

bool Core::Drained() const {
  if (!m_draining || !m_requests.empty()) return false;
  const bool connected = m_reach == ControlReach::kConnected;
  if (connected && !m_refusals.empty()) return false;
  return !m_commands.HasUnacknowledged(connected);
}

void Core::SetDue(Request* request, std::optional<Instant> due) {
  if (request->due) m_timers.erase({*request->due, request->id});
  request->due = due;
  if (due) m_timers.insert({*due, request->id});
}

void Core::OnDue(Request* request, Instant now) {
  SetDue(request, std::nullopt);
  switch (request->stage) {
    case Stage::kArrived:
      break;
    case Stage::kQueued:
    case Stage::kAwaitingIsolation:
      Fail(request, ErrorKind::kDeadlineBeforeRun, now);
      break;
    case Stage::kAwaitingTokens:
      RefuseForBudget(request, now);
      break;
    case Stage::kClaiming:
    case Stage::kOpening:
      OnCommitTimeout(request, now);
      break;
    case Stage::kRunning:
      CancelAndFail(request, ErrorKind::kDeadlineWhileRunning, now);
      break;
    case Stage::kReporting:
      // Other entries may not know of the death, so the content is not retried.
      request->retry_wanted = false;
      RetryOrFail(request, now);
      break;
    case Stage::kSettling:
      SpoolPendingSettlement(request, now);
      break;
  }
}

void Core::OnTimer(Instant now) {
  while (!m_timers.empty() && m_timers.begin()->first <= now)
    OnDue(FindRequest(m_timers.begin()->second), now);
  m_blocklist.OnTimer(now);
  m_suspects.OnTimer(now);
  const std::optional<Instant> ledger_due = m_dependencies.ledger->NextDue();
  if (ledger_due && *ledger_due <= now) m_adjustments_due = true;
  if (!m_waiters.empty() && m_next_reserve <= now) {
    for (const auto& [budget, waiters] : m_waiters) m_freed.insert(budget);
  }
  FinishEvent(now);
}

std::optional<Instant> Core::NextTimer() const {
  std::optional<Instant> next = m_dependencies.ledger->NextDue();
  const auto consider = [&next](Instant when) {
    next = next ? std::min(*next, when) : when;
  };
  if (!m_timers.empty()) consider(m_timers.begin()->first);
  if (!m_waiters.empty()) consider(m_next_reserve);
  const bool connected = m_reach == ControlReach::kConnected;
  if (connected && !m_refusals.empty()) consider(m_refusals.Due());
  return next;
}

void Core::FinishEvent(Instant now) {
  do {
    std::vector<RequestId> soon;
    soon.swap(m_deferred);
    for (const RequestId id : soon) {
      Request* request = FindRequest(id);
      if (request != nullptr) Enqueue(request, now);
    }
    m_dependencies.queue->Offer([this, now](const admission::Waiting& waiting) {
      return TryStart(waiting.request, now);
    });
    if (!m_freed.empty()) RetryWaiters(now);
  } while (!m_deferred.empty() || !m_freed.empty());

  const bool connected = m_reach == ControlReach::kConnected;
  const bool flush = m_draining || m_refusals.Due() <= now;
  if (connected && flush && !m_refusals.empty()) RecordRefusals();
  if (m_draining && m_requests.empty()) ReturnGrants(now);
  if (!m_adjustments_due) return;
  m_adjustments_due = false;
  SendAdjustments(m_dependencies.ledger->TakeAdjustments(now));
}

std::vector<Action> Core::TakeActions() {
  std::vector<Action> actions;
  actions.swap(m_actions);
  return actions;
}

std::vector<RequestSummary> Core::TakeSummaries() {
  std::vector<RequestSummary> summaries;
  summaries.swap(m_summaries);
  return summaries;
}

}  // namespace dotterelshift::serving
