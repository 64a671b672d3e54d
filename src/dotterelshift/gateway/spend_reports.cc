#include "dotterelshift/gateway/spend_reports.h"

#include <memory>  // for make_unique

namespace dotterelshift::gateway {

void SpendReports::OnSpent(const TeamId& team, Tokens spent, bool answered) {
  Spend& spend = m_spends[team];
  spend.spent += spent;
  ++spend.requests;
  if (answered) ++spend.answered;
}

void SpendReports::OnLent(const TeamId& team, const HostRun& to,
                          Tokens tokens) {
  m_transfers[{team, to}] += tokens;
}

std::optional<wire::ReportHoldingsT> SpendReports::Take() {
  if (m_in_flight) return std::nullopt;
  return TakeFinal();
}

std::optional<wire::ReportHoldingsT> SpendReports::TakeFinal() {
  if (PendingLines() == 0) return std::nullopt;
  wire::ReportHoldingsT report;
  for (const auto& [team, spend] : m_spends) {
    auto line = std::make_unique<wire::ReportSpendT>();
    line->budget = team;
    line->spent = spend.spent;
    line->answered = spend.answered;
    line->requests = spend.requests;
    report.spends.push_back(std::move(line));
  }
  for (const auto& [move, tokens] : m_transfers) {
    auto line = std::make_unique<wire::MoveGrantT>();
    line->budget = move.first;
    line->tokens = tokens;
    line->to_host = move.second.host;
    line->to_incarnation = move.second.incarnation;
    report.moves.push_back(std::move(line));
  }
  m_spends.clear();
  m_transfers.clear();
  return report;
}

bool SpendReports::OnAnswer(uint64_t sequence) {
  if (m_in_flight != sequence) return false;
  m_in_flight.reset();
  return true;
}

}  // namespace dotterelshift::gateway
