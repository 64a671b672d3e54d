#include "dotterelshift/gateway/held_grants.h"

#include <algorithm>  // for any_of, max
#include <utility>    // for move

namespace dotterelshift::gateway {
namespace {

budget::LedgerOptions LedgerOptionsOf() {
  budget::LedgerOptions options;
  // Holdings stay close to what a partition needs, as they are lost with the
  // process: they are topped up early and returned when demand falls. Idle
  // tokens are returned late, as they may be lent to an entry that needs them.
  options.idle_return_after = 45s;
  options.request_below_fraction = 0.85;
  options.return_above_factor = 1.3;
  return options;
}

}  // namespace

HeldGrants::HeldGrants(const HeldGrantsOptions& options, NextId next_id)
    : m_options(options),
      m_next_id(std::move(next_id)),
      m_ledger(budget::MakeLedger(LedgerOptionsOf())) {}

void HeldGrants::OnRoutes(const RouteTable& routes, size_t entries,
                          Instant now) {
  m_entries = entries;
  for (const TeamAccess& team : routes.Get().teams) {
    if (!team.total) {
      m_handles.erase(team.team);
      continue;
    }
    Tokens& total = m_totals[team.team];
    // The remainder of a changed total is not known yet.
    if (total != *team.total) m_remainders.erase(team.team);
    total = *team.total;
    if (!m_handles.contains(team.team)) m_demand_unknown[team.team] = {};
    const budget::BudgetHandle handle =
        m_ledger->Open(team.team, PolicyOf(team.team));
    const bool fresh = m_handles.emplace(team.team, handle).second;
    if (fresh) m_ledger->Prepare(handle, now);
  }
}

budget::HoldingPolicy HeldGrants::PolicyOf(const TeamId& team) const {
  budget::HoldingPolicy policy;
  policy.policy = wire::TeamPolicy::RefusalsFirst;
  policy.way = wire::GrantWay::Unwitnessed;
  policy.partition = m_options.partition;
  if (!m_demand_unknown.contains(team)) return policy;
  const double fraction = m_options.initial_fraction /
                          static_cast<double>(std::max<size_t>(1, m_entries));
  policy.min_holding =
      static_cast<Tokens>(static_cast<double>(m_totals.at(team)) * fraction);
  return policy;
}

// Teams whose demand is known now hold what their demand requires, without the
// initial minimum.
void HeldGrants::ApplyKnownDemand(Instant now) {
  for (auto it = m_demand_unknown.begin(); it != m_demand_unknown.end();) {
    const bool known =
        it->second != Instant{} && now - it->second >= m_options.demand_warmup;
    if (!known) {
      ++it;
      continue;
    }
    const TeamId team = it->first;
    it = m_demand_unknown.erase(it);
    if (m_handles.contains(team)) m_ledger->Open(team, PolicyOf(team));
  }
}

BudgetDecision HeldGrants::Reserve(const TeamId& team, Tokens worst_case,
                                   Instant now) {
  const auto handle = m_handles.find(team);
  if (handle == m_handles.end()) return BudgetDecision::kUnlimited;
  const auto unknown = m_demand_unknown.find(team);
  if (unknown != m_demand_unknown.end() && unknown->second == Instant{})
    unknown->second = now;
  if (const auto kept = ThrottleDecision(team, handle->second, worst_case, now))
    return *kept;
  switch (m_ledger->Reserve(handle->second, worst_case, now)) {
    case budget::ReserveResult::kReservedPreauthorized:
    case budget::ReserveResult::kReserved:
      if (const auto trickle = m_trickles.find(team);
          trickle != m_trickles.end())
        trickle->second.accumulated -= static_cast<double>(worst_case);
      return BudgetDecision::kReserved;
    case budget::ReserveResult::kWait:
    case budget::ReserveResult::kExhausted:
      break;
  }
  if (ExceedsTotal(team, handle->second, worst_case, now))
    return BudgetDecision::kExhausted;
  QueueBorrowRequest(team, handle->second, worst_case, now);
  return BudgetDecision::kWait;
}

// Result of a reservation while only the last fraction of a total is left;
// nullopt if the request may reserve its tokens. A request larger than the
// bucket can never be served, so its caller is not told to retry.
std::optional<BudgetDecision> HeldGrants::ThrottleDecision(
    const TeamId& team, budget::BudgetHandle handle, Tokens worst_case,
    Instant now) {
  const auto remainder = m_remainders.find(team);
  const bool known =
      remainder != m_remainders.end() &&
      now - remainder->second.received_at < m_options.trickle_max_age;
  const Tokens left =
      known ? remainder->second.tokens + m_ledger->Held(handle) : 0;
  const double below =
      static_cast<double>(m_totals[team]) * m_options.trickle_threshold;
  if (!known || static_cast<double>(left) >= below) {
    m_trickles.erase(team);
    return std::nullopt;
  }
  const auto seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  const double rate = below / seconds(m_options.trickle_duration) /
                      static_cast<double>(std::max<size_t>(1, m_entries));
  const auto [trickle, fresh] = m_trickles.try_emplace(team);
  if (fresh) trickle->second.since = now;
  const double accumulated =
      trickle->second.accumulated + rate * seconds(now - trickle->second.since);
  trickle->second.since = now;
  const double most = rate * seconds(m_options.trickle_burst);
  trickle->second.accumulated = std::min(accumulated, most);
  const auto needed = static_cast<double>(worst_case);
  if (needed <= trickle->second.accumulated) return std::nullopt;
  return needed > most ? BudgetDecision::kExhausted : BudgetDecision::kKept;
}

bool HeldGrants::ExceedsTotal(const TeamId& team, budget::BudgetHandle handle,
                              Tokens worst_case, Instant now) const {
  const auto remainder = m_remainders.find(team);
  if (remainder == m_remainders.end()) return false;
  const bool fresh =
      now - remainder->second.received_at < m_options.remainder_max_age;
  return fresh &&
         remainder->second.tokens + m_ledger->Held(handle) < worst_case;
}

bool HeldGrants::GrantIsLikely(const TeamId& team, Tokens worst_case,
                               Instant now) const {
  const auto remainder = m_remainders.find(team);
  if (!m_connected || remainder == m_remainders.end()) return false;
  const bool fresh =
      now - remainder->second.received_at < m_options.trickle_max_age;
  return fresh &&
         remainder->second.tokens / m_options.likely_requests >= worst_case;
}

void HeldGrants::QueueBorrowRequest(const TeamId& team,
                                    budget::BudgetHandle handle,
                                    Tokens worst_case, Instant now) {
  Instant& last = m_last_borrow[team];
  if (last != Instant{} && now - last < m_options.borrow_every) return;
  last = now;
  const Tokens idle = m_ledger->Held(handle) - m_ledger->Reserved(handle);
  const Tokens demand = m_ledger->DemandPerSecond(handle, now);
  wire::TokenBorrowT& borrow = m_borrow_requests.emplace_back();
  borrow.budget = team;
  borrow.minimum = worst_case - idle;
  borrow.demand_per_second = demand;
  const double cover =
      std::chrono::duration<double>(m_options.partition).count();
  borrow.wanted = std::max(
      borrow.minimum, static_cast<Tokens>(static_cast<double>(demand) * cover));
}

Tokens HeldGrants::OnBorrow(const wire::TokenBorrowT& borrow,
                            const HostRun& from, Instant now) {
  const auto handle = m_handles.find(borrow.budget);
  const bool sane = borrow.wanted >= 0 && borrow.minimum >= 0 &&
                    borrow.wanted <= kMaxTokens && borrow.minimum <= kMaxTokens;
  if (handle == m_handles.end() || !sane) return 0;
  const Tokens lent =
      m_ledger->Lend(handle->second, borrow.wanted, borrow.minimum,
                     borrow.demand_per_second, now);
  if (lent <= 0) return 0;
  m_reports.OnLent(borrow.budget, from, lent);
  return lent;
}

void HeldGrants::OnLoan(const wire::TokenLoanT& loan, Instant now) {
  const auto handle = m_handles.find(loan.budget);
  if (handle == m_handles.end() || loan.tokens <= 0) return;
  m_ledger->Borrow(handle->second, loan.tokens, now);
}

void HeldGrants::Settle(const TeamId& team, Tokens reserved, Tokens spent,
                        bool answered, Instant now) {
  const auto handle = m_handles.find(team);
  if (handle == m_handles.end()) return;
  m_ledger->SettlePreauthorized(handle->second, reserved, spent, now);
  m_reports.OnSpent(team, spent, answered);
}

HeldGrants::Position HeldGrants::PositionOf(const TeamId& team,
                                            Instant now) const {
  Position position;
  const auto handle = m_handles.find(team);
  if (handle == m_handles.end()) return position;
  position.held = m_ledger->Held(handle->second);
  position.reserved = m_ledger->Reserved(handle->second);
  position.demand_per_second = m_ledger->DemandPerSecond(handle->second, now);
  const auto remainder = m_remainders.find(team);
  if (remainder == m_remainders.end()) return position;
  position.left_elsewhere = remainder->second.tokens;
  position.left_age = now - remainder->second.received_at;
  return position;
}

HeldGrants::Sums HeldGrants::HeldSums() const {
  Sums sums;
  for (const auto& [team, handle] : m_handles) {
    sums.held += m_ledger->Held(handle);
    sums.reserved += m_ledger->Reserved(handle);
  }
  return sums;
}

void HeldGrants::SetConnected(bool connected, Instant now) {
  m_connected = connected;
  m_ledger->SetConnected(connected, now);
}

void HeldGrants::OnRecall(const wire::RecallT& recall, Instant now) {
  m_ledger->OnRecall(recall.budget, recall.tokens, now);
}

bool HeldGrants::OnAnswer(const wire::CommandAnswerT& answer, Instant now) {
  if (answer.id != nullptr) {
    m_pending_requests.erase(answer.id->sequence);
    m_reports.OnAnswer(answer.id->sequence);
  }
  const wire::GrantAnswerT* grant = answer.body.AsGrantAnswer();
  if (grant == nullptr) return false;
  const auto handle = m_handles.find(grant->budget);
  if (handle == m_handles.end()) return false;
  m_ledger->OnGrant(handle->second, *grant, now);
  m_remainders[grant->budget] = {grant->free + grant->elsewhere, now};
  return true;
}

std::vector<wire::CommandT> HeldGrants::TakeCommands(Instant now) {
  std::vector<wire::CommandT> commands;
  if (now >= m_next_report) {
    m_next_report = now + m_options.report_every;
    AddReport(m_reports.Take(), &commands);
    ApplyKnownDemand(now);
  }
  for (const budget::GrantAdjustment& wish : m_ledger->TakeAdjustments(now)) {
    // The link to control resends a request under its first id; a second
    // request would be granted in addition.
    const bool doubled =
        wish.kind == budget::GrantAdjustment::Kind::kRequestGrant &&
        HasPendingRequest(m_ledger->IdOf(wish.budget));
    if (!doubled) commands.push_back(CommandOf(wish));
  }
  return commands;
}

bool HeldGrants::HasPendingRequest(const TeamId& team) const {
  return std::any_of(
      m_pending_requests.begin(), m_pending_requests.end(),
      [&](const auto& request) { return request.second == team; });
}

std::vector<wire::CommandT> HeldGrants::TakeLastCommands(Instant now) {
  std::vector<wire::CommandT> commands;
  AddReport(m_reports.TakeFinal(), &commands);
  for (const budget::GrantAdjustment& wish : m_ledger->ReturnAll(now))
    commands.push_back(CommandOf(wish));
  return commands;
}

void HeldGrants::AddReport(std::optional<wire::ReportHoldingsT> report,
                           std::vector<wire::CommandT>* commands) {
  if (!report) return;
  commands->push_back(MakeCommand(std::move(*report)));
  m_reports.OnSent(commands->back().id->sequence);
}

wire::CommandT HeldGrants::CommandOf(const budget::GrantAdjustment& wish) {
  const BudgetId& id = m_ledger->IdOf(wish.budget);
  if (wish.kind == budget::GrantAdjustment::Kind::kReturn) {
    wire::ReturnGrantT body;
    body.budget = id;
    body.tokens = wish.wanted;
    body.standing = wish.standing;
    return MakeCommand(std::move(body));
  }
  wire::RequestGrantT body;
  body.budget = id;
  body.wanted = wish.wanted;
  body.minimum = wish.minimum;
  body.demand_per_second = wish.demand_per_second;
  wire::CommandT command = MakeCommand(std::move(body));
  m_pending_requests[command.id->sequence] = id;
  return command;
}

std::vector<wire::BudgetHoldingT> HeldGrants::Holdings(Instant now) const {
  std::vector<wire::BudgetHoldingT> holdings;
  for (const auto& [team, handle] : m_handles) {
    if (m_ledger->Held(handle) == 0) continue;
    wire::BudgetHoldingT holding;
    holding.budget = team;
    holding.tokens = m_ledger->Held(handle) - m_ledger->Reserved(handle);
    holding.demand_per_second = m_ledger->DemandPerSecond(handle, now);
    holdings.push_back(std::move(holding));
  }
  return holdings;
}

}  // namespace dotterelshift::gateway
