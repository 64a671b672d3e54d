#include "dotterelshift/budget/recall_core.h"

#include <algorithm>  // for clamp, max, min, sort
#include <cmath>      // for ceil

namespace dotterelshift::budget {
namespace {

// Demand counted for a holder in addition to the measured one, so that shares
// are defined when no holder has any demand.
constexpr double kMinDemand = 1;

}  // namespace

void RecallCore::OnHeartbeat(const HostId& entry, const wire::EntryBeatT& beat,
                             Instant now) {
  for (const auto& holding : beat.held)
    m_budgets[holding->budget].reports[entry] = {holding->tokens, now};
}

bool RecallCore::IsDue(const wire::RequestGrantT& grant_request,
                       Instant now) const {
  const auto budget = m_budgets.find(grant_request.budget);
  return grant_request.minimum > 0 || budget == m_budgets.end() ||
         now >= budget->second.next_top_up ||
         grant_request.demand_per_second > budget->second.last_top_up_demand;
}

std::vector<RecallMessage> RecallCore::OnShortage(
    const HostRun& requester, const wire::RequestGrantT& grant_request,
    const std::vector<state::Holding>& holdings, Instant now) {
  if (now >= m_next_sweep) Sweep(now);
  if (!IsDue(grant_request, now)) return {};
  Budget& budget = m_budgets[grant_request.budget];
  if (grant_request.minimum == 0) {
    budget.next_top_up = now + m_options.min_repeat_interval;
    budget.last_top_up_demand = grant_request.demand_per_second;
  }
  Forget(budget, now);
  const std::vector<Surplus> surpluses =
      SurplusesOf(budget, requester, grant_request, holdings, now);
  std::vector<Tokens> taken(surpluses.size());
  Tokens wanted = std::max(grant_request.wanted, grant_request.minimum);
  Tokens needed = grant_request.minimum;
  for (size_t i = 0; i < surpluses.size(); ++i) {
    taken[i] = std::clamp<Tokens>(wanted, 0, surpluses[i].tokens);
    wanted -= taken[i];
    needed -= taken[i];
  }
  // A waiting request takes precedence over the idle shares of other holders.
  for (size_t i = 0; i < surpluses.size(); ++i) {
    const Tokens more =
        std::clamp<Tokens>(needed, 0, surpluses[i].idle - taken[i]);
    taken[i] += more;
    needed -= more;
  }
  std::vector<RecallMessage> messages;
  for (size_t i = 0; i < surpluses.size(); ++i) {
    if (taken[i] <= 0) continue;
    RecallMessage& message = messages.emplace_back();
    message.host = surpluses[i].host;
    message.recall.budget = grant_request.budget;
    message.recall.tokens = taken[i];
    budget.last_recalled[message.host] = now;
  }
  return messages;
}

// The tokens that the holder could return: control's own count, or the holder's
// last report if that is smaller.
Tokens RecallCore::IdleOf(const Budget& budget, const state::Holding& holding,
                          Instant now) const {
  const Tokens unopened = holding.tokens - holding.opened;
  const auto report = budget.reports.find(holding.holder.host);
  const bool fresh = report != budget.reports.end() &&
                     now - report->second.received <= m_options.report_ttl;
  return fresh ? std::min(unopened, report->second.idle) : unopened;
}

std::vector<RecallCore::Surplus> RecallCore::SurplusesOf(
    const Budget& budget, const HostRun& requester,
    const wire::RequestGrantT& grant_request,
    const std::vector<state::Holding>& holdings, Instant now) const {
  struct Holder {
    const state::Holding* holding;
    Tokens idle;
  };
  std::vector<Holder> holders;
  double demand =
      kMinDemand + static_cast<double>(grant_request.demand_per_second);
  double idle = 0;
  for (const state::Holding& holding : holdings) {
    if (holding.dead) continue;
    const Tokens unused = IdleOf(budget, holding, now);
    idle += static_cast<double>(unused);
    if (holding.holder == requester) continue;
    demand += kMinDemand + static_cast<double>(holding.demand_per_second);
    if (unused > 0) holders.push_back({&holding, unused});
  }
  std::vector<Surplus> surpluses;
  for (const Holder& holder : holders) {
    const HostId& host = holder.holding->holder.host;
    if (budget.last_recalled.contains(host)) continue;
    const double own =
        kMinDemand + static_cast<double>(holder.holding->demand_per_second);
    const auto share = static_cast<Tokens>(std::ceil(idle * own / demand));
    surpluses.push_back(
        {host, std::max<Tokens>(0, holder.idle - share), holder.idle});
  }
  std::sort(surpluses.begin(), surpluses.end(),
            [](const Surplus& a, const Surplus& b) {
              return a.tokens != b.tokens ? a.tokens > b.tokens
                                          : a.host < b.host;
            });
  return surpluses;
}

void RecallCore::Forget(Budget& budget, Instant now) const {
  std::erase_if(budget.last_recalled, [&](const auto& entry) {
    return now - entry.second >= m_options.min_repeat_interval;
  });
  std::erase_if(budget.reports, [&](const auto& entry) {
    return now - entry.second.received > m_options.report_ttl;
  });
}

// Removes expired reports, and the budgets that have no reports left.
void RecallCore::Sweep(Instant now) {
  m_next_sweep = now + m_options.sweep_interval;
  for (auto& [id, budget] : m_budgets) Forget(budget, now);
  std::erase_if(m_budgets,
                [](const auto& entry) { return entry.second.reports.empty(); });
}

}  // namespace dotterelshift::budget
