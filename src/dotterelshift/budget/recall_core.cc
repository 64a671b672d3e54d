#include "dotterelshift/budget/recall_core.h"

#include <algorithm>  // for clamp, max, min, sort
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
  std::vector<Surplus> surpluses = SurplusesOf(asker, ask, holdings, now);
  std::vector<Tokens> taken(surpluses.size());
  Tokens wanted = std::max(ask.wanted, ask.minimum);
  Tokens needed = ask.minimum;
  for (size_t i = 0; i < surpluses.size(); ++i) {
    taken[i] = std::clamp<Tokens>(wanted, 0, surpluses[i].tokens);
    wanted -= taken[i];
    needed -= taken[i];
  }
  // A request that waits goes before shares that nobody draws on now.
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
    message.recall.budget = ask.budget;
    message.recall.tokens = taken[i];
    m_asked[{message.host, ask.budget}] = now;
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
    const Tokens unused = IdleOf(holding, ask.budget, now);
    const Tokens surplus = std::max<Tokens>(0, unused - share);
    if (unused > 0) surpluses.push_back({holding.holder.host, surplus, unused});
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
