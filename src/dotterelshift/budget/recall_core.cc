#include "dotterelshift/budget/recall_core.h"

#include <algorithm>  // for max, min, sort
#include <cmath>      // for ceil

namespace dotterelshift::budget {
namespace {

// A holder without measured demand still counts a little, so that shares are
// defined when nobody has any.
constexpr double kLeastDemand = 1;

}  // namespace

void RecallCore::OnBeat(const HostId& entry, const wire::EntryBeatT& beat,
                        Instant now) {
  for (const auto& holding : beat.held)
    m_reports[{entry, holding->budget}] = {holding->tokens, now};
}

std::vector<RecallMessage> RecallCore::OnShortage(
    const HostRun& asker, const wire::RequestGrantT& ask,
    const std::vector<state::Holding>& holdings, Instant now) {
  Forget(now);
  std::vector<RecallMessage> messages;
  Tokens missing = std::max(ask.wanted, ask.minimum);
  for (const Surplus& surplus : SurplusesOf(asker, ask, holdings, now)) {
    if (missing <= 0) break;
    const Tokens taken = std::min(missing, surplus.tokens);
    missing -= taken;
    RecallMessage& message = messages.emplace_back();
    message.host = surplus.host;
    message.recall.budget = ask.budget;
    message.recall.tokens = taken;
    m_asked[{surplus.host, ask.budget}] = now;
  }
  return messages;
}

// What the holder could give: control's own count, or less by its last report.
Tokens RecallCore::IdleOf(const state::Holding& holding, const BudgetId& budget,
                          Instant now) const {
  const Tokens unopened = holding.tokens - holding.opened;
  const auto report = m_reports.find({holding.holder.host, budget});
  const bool fresh = report != m_reports.end() &&
                     now - report->second.heard <= m_options.beat_memory;
  return fresh ? std::min(unopened, report->second.idle) : unopened;
}

std::vector<RecallCore::Surplus> RecallCore::SurplusesOf(
    const HostRun& asker, const wire::RequestGrantT& ask,
    const std::vector<state::Holding>& holdings, Instant now) const {
  double demand = kLeastDemand + static_cast<double>(ask.demand_per_second);
  double idle = 0;
  for (const state::Holding& holding : holdings) {
    if (holding.dead) continue;
    idle += static_cast<double>(IdleOf(holding, ask.budget, now));
    if (holding.holder == asker) continue;
    demand += kLeastDemand + static_cast<double>(holding.demand_per_second);
  }
  std::vector<Surplus> surpluses;
  for (const state::Holding& holding : holdings) {
    if (holding.dead || holding.holder == asker) continue;
    if (m_asked.contains({holding.holder.host, ask.budget})) continue;
    const double own =
        kLeastDemand + static_cast<double>(holding.demand_per_second);
    const auto share = static_cast<Tokens>(std::ceil(idle * own / demand));
    const Tokens surplus = IdleOf(holding, ask.budget, now) - share;
    if (surplus > 0) surpluses.push_back({holding.holder.host, surplus});
  }
  std::sort(surpluses.begin(), surpluses.end(),
            [](const Surplus& a, const Surplus& b) {
              return a.tokens != b.tokens ? a.tokens > b.tokens
                                          : a.host < b.host;
            });
  return surpluses;
}

void RecallCore::Forget(Instant now) {
  std::erase_if(m_asked, [&](const auto& entry) {
    return now - entry.second >= m_options.repeat;
  });
  std::erase_if(m_reports, [&](const auto& entry) {
    return now - entry.second.heard > m_options.beat_memory;
  });
}

}  // namespace dotterelshift::budget
