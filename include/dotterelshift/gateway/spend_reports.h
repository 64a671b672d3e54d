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

// Accumulates what an entry spends and lends until it can be reported to
// control. One report is in flight at a time; later events are summed by team
// and receiver. After control was unreachable for any length of time, the entry
// has one command to send instead of one per interval and loan, so that a
// restarting control group is not overloaded by the backlog of a whole fleet.
class SpendReports {
 public:
  void OnSpent(const TeamId& team, Tokens spent, bool answered);
  void OnLent(const TeamId& team, const HostRun& to, Tokens tokens);

  // Returns all accumulated events; none if there are none or a report is in
  // flight. The report is in flight until OnAnswer() is called for its command.
  std::optional<wire::ReportHoldingsT> Take();
  // The same even while a report is in flight, for use at shutdown.
  std::optional<wire::ReportHoldingsT> TakeFinal();
  // Sets the command that carries the report taken last.
  void OnSent(uint64_t sequence) { m_in_flight = sequence; }
  // Returns whether the answer was for the report in flight.
  bool OnAnswer(uint64_t sequence);

  // Number of lines in the next report.
  size_t PendingLines() const { return m_spends.size() + m_transfers.size(); }

 private:
  struct Spend {
    Tokens spent = 0;
    uint32_t answered = 0;
    uint32_t requests = 0;
  };
  std::map<TeamId, Spend> m_spends;
  std::map<std::pair<TeamId, HostRun>, Tokens> m_transfers;
  std::optional<uint64_t> m_in_flight;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SPEND_REPORTS_H_
