#include <algorithm>  // for find, min

#include "dotterelshift/serving/core.h"  // for Core

namespace dotterelshift::serving {
namespace {

// Interval at which waiting requests try to reserve again, even when no tokens
// were freed on this entry.
constexpr Duration kRecheckInterval = 100ms;

}  // namespace

bool Core::ReserveOrWait(Request* request, Instant now) {
  if (request->reserved > 0) return true;
  const Tokens worst_case = request->WorstCase();
  m_adjustments_due = true;
  switch (m_dependencies.ledger->Reserve(request->budget, worst_case, now)) {
    case budget::ReserveResult::kReserved:
      request->reserved = worst_case;
      request->standing = false;
      return true;
    case budget::ReserveResult::kReservedPreauthorized:
      request->reserved = worst_case;
      request->standing = true;
      return true;
    case budget::ReserveResult::kWait:
      WaitForTokens(request, now);
      return false;
    case budget::ReserveResult::kExhausted:
      RefuseForBudget(request, now);
      return false;
  }
  return false;
}

bool Core::MayBeFreedLocally(const Request& request) const {
  // Other requests of this entry may return part of their reservations.
  const Tokens held = m_dependencies.ledger->Held(request.budget);
  const Tokens reserved = m_dependencies.ledger->Reserved(request.budget);
  return reserved > 0 && held >= request.WorstCase();
}

void Core::WaitForTokens(Request* request, Instant now) {
  const bool cut_off = m_reach != ControlReach::kConnected;
  if (cut_off && !MayBeFreedLocally(*request) && !request->refusals_first) {
    RefuseForBudget(request, now);
    return;
  }
  if (!request->budget_wait_until) {
    const Duration timeout = request->refusals_first
                                 ? m_options.budget_wait_refusals_first
                                 : m_options.budget_wait_overspend_first;
    request->budget_wait_until = std::min(request->deadline, now + timeout);
  }
  if (*request->budget_wait_until <= now) {
    RefuseForBudget(request, now);
    return;
  }
  request->stage = Stage::kAwaitingTokens;
  if (m_waiters.empty()) m_next_reserve = now + kRecheckInterval;
  m_waiters[request->budget].push_back(request->id);
  SetDue(request, request->budget_wait_until);
}

void Core::RetryWaiters(Instant now) {
  std::set<budget::BudgetHandle> freed;
  freed.swap(m_freed);
  m_next_reserve = now + kRecheckInterval;
  for (const budget::BudgetHandle budget : freed) {
    const auto it = m_waiters.find(budget);
    if (it == m_waiters.end()) continue;
    const std::vector<RequestId> waiters = std::move(it->second);
    m_waiters.erase(it);
    // In order of arrival; a small request may overtake one that needs more
    // tokens than are free.
    for (const RequestId id : waiters) {
      Request* request = FindRequest(id);
      if (request == nullptr || request->stage != Stage::kAwaitingTokens)
        continue;
      request->stage = Stage::kArrived;
      if (ReserveOrWait(request, now)) EnqueueDeferred(request);
    }
  }
}

void Core::RemoveFromWaiters(const Request& request) {
  const auto it = m_waiters.find(request.budget);
  if (it == m_waiters.end()) return;
  std::erase(it->second, request.id);
  if (it->second.empty()) m_waiters.erase(it);
}

void Core::RefuseForBudget(Request* request, Instant now) {
  Fail(request,
       IsExhausted(*request) ? ErrorKind::kBudgetExhausted
                             : ErrorKind::kBudgetUnavailable,
       now);
}

bool Core::IsExhausted(const Request& request) const {
  if (m_reach != ControlReach::kConnected) return false;
  const auto last = m_last_grant.find(request.budget);
  if (last == m_last_grant.end()) return false;
  const Tokens left = m_dependencies.ledger->Held(request.budget) +
                      last->second.free + last->second.elsewhere;
  return left < request.WorstCase();
}

bool Core::BudgetRemained(const Request& request) const {
  if (m_dependencies.ledger->Held(request.budget) > 0) return true;
  const auto last = m_last_grant.find(request.budget);
  if (last == m_last_grant.end()) return true;
  return last->second.free + last->second.elsewhere > 0;
}

void Core::ReleaseReservation(const Request& request,
                              const Reservation& reservation, Tokens spent,
                              Instant now) {
  if (reservation.standing) {
    m_dependencies.ledger->SettlePreauthorized(request.budget,
                                               reservation.tokens, spent, now);
  } else {
    m_dependencies.ledger->Settle(request.budget, reservation.tokens, spent,
                                  now);
  }
  m_adjustments_due = true;
  if (m_waiters.contains(request.budget)) m_freed.insert(request.budget);
}

void Core::SendAdjustments(
    const std::vector<budget::GrantAdjustment>& adjustments) {
  for (const budget::GrantAdjustment& adjustment : adjustments) {
    PendingCommand pending;
    pending.budget = adjustment.budget;
    if (adjustment.kind == budget::GrantAdjustment::Kind::kReturn) {
      pending.kind = PendingCommand::Kind::kReturn;
      wire::ReturnGrantT body;
      body.budget = m_dependencies.ledger->IdOf(adjustment.budget);
      body.tokens = adjustment.wanted;
      body.standing = adjustment.standing;
      Propose(std::move(body), std::move(pending));
      continue;
    }
    // The adapter resends a pending request with the same id.
    if (!m_grants_pending.insert(adjustment.budget).second) continue;
    pending.kind = PendingCommand::Kind::kRequestGrant;
    wire::RequestGrantT body;
    body.budget = m_dependencies.ledger->IdOf(adjustment.budget);
    body.wanted = adjustment.wanted;
    body.minimum = adjustment.minimum;
    body.held = m_dependencies.ledger->Held(adjustment.budget);
    body.demand_per_second = adjustment.demand_per_second;
    Propose(std::move(body), std::move(pending));
  }
}

}  // namespace dotterelshift::serving
