#ifndef DOTTERELSHIFT_GATEWAY_SPEND_REPORTS_H_
#define DOTTERELSHIFT_GATEWAY_SPEND_REPORTS_H_

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <utility>   // for pair

#include "dotterelshift/base/ids.h"                 // for TeamId
#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/wire/commands_generated.h"  // for ReportHoldingsT

namespace dotterelshift::gateway {

// Gathers what an entry spends and hands on until control can be told. One
// report is under way at a time, and what happens meanwhile is summed by team
// and receiver: however long control is away, the entry then owes it one
// command, not one for each interval and loan. A control group that starts
// again under a whole fleet's backlog is what this is for.
class SpendReports {
 public:
  void OnSpent(const TeamId& team, Tokens spent, bool answered);
  void OnLent(const TeamId& team, const HostRun& to, Tokens tokens);

  // All that has gathered; none when nothing has, or while a report is under
  // way. It is then under way until OnAnswer() of the command that carries it.
  std::optional<wire::ReportHoldingsT> Take();
  // The same also while one is under way: at the end there is no next time.
  std::optional<wire::ReportHoldingsT> TakeLast();
  // The command that carries the report taken last.
  void OnSent(uint64_t sequence) { m_under_way = sequence; }
  // Whether the answer was the one to the report under way.
  bool OnAnswer(uint64_t sequence);

  // Lines that the next report will have.
  size_t Gathered() const { return m_spends.size() + m_moves.size(); }

 private:
  struct Spend {
    Tokens spent = 0;
    uint32_t answered = 0;
    uint32_t requests = 0;
  };
  std::map<TeamId, Spend> m_spends;
  std::map<std::pair<TeamId, HostRun>, Tokens> m_moves;
  std::optional<uint64_t> m_under_way;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SPEND_REPORTS_H_
