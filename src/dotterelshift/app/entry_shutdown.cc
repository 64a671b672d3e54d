#include "dotterelshift/app/entry_shutdown.h"

#include <algorithm>  // for min
#include <string>     // for to_string
#include <utility>    // for move

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {

void EntryShutdown::Begin(Duration notice, Duration limit) {
  if (m_drain) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_begun",
                 {{"open", std::to_string(m_parts.core->OpenRequests())}});
  m_drain = gateway::MakeDrainSchedule(m_loop.Now(), notice, limit);
  m_parts.core->StartDraining(*m_drain);
  m_parts.relays->Withdraw();
  m_parts.limits->Retire(m_loop.Now());
}

void EntryShutdown::Check() {
  if (!m_drain) return;
  const Instant now = m_loop.Now();
  if (!m_returning_since) {
    const bool drained = now > m_drain->notice_end && !HasOpen();
    if (drained || now >= m_drain->response_deadline) EndOpenRequests(drained);
    return;
  }
  // Holdings whose return control has not accepted by the exit are lost with
  // this incarnation, and a caller that has not received its refusal does not
  // know that it may retry.
  const bool returned = m_parts.link->Idle();
  const Duration reporting = m_drain->exit - m_drain->response_deadline;
  const Instant last = std::min(m_drain->exit, *m_returning_since + reporting);
  if ((!returned || HasOpen()) && now < last) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_done",
                 {{"open", std::to_string(m_parts.server->OpenExchanges())},
                  {"holdings_returned", returned ? "yes" : "no"}});
  m_loop.Stop();
}

bool EntryShutdown::HasOpen() const {
  return m_parts.traffic->OpenResponses() > 0 ||
         m_parts.server->OpenExchanges() > 0 || m_parts.relays->IsBusy();
}

// Ends open requests before the holdings are returned, so that their spend is
// part of the final reports. If `drained`, no request is open; otherwise the
// log line contains the numbers of open requests, responses and exchanges, and
// a line for each open request follows.
void EntryShutdown::EndOpenRequests(bool drained) {
  m_returning_since = m_loop.Now();
  const Duration stopping = *m_returning_since - m_drain->begun;
  const size_t exchanges = m_parts.server->OpenExchanges();
  const size_t answers = m_parts.traffic->OpenResponses();
  telemetry::Log(telemetry::LogLevel::kInfo, "shutdown_answers_ended",
                 {{"why", drained ? "none_open" : "limit"},
                  {"stopping_ms", std::to_string(ToMs(stopping))},
                  {"open", std::to_string(m_parts.core->OpenRequests())},
                  {"answers", std::to_string(answers)},
                  {"exchanges", std::to_string(exchanges)}});
  m_parts.core->AbortOpenRequests(m_loop.Now());
  m_parts.traffic->Pump();
  ReturnHoldings();
}

void EntryShutdown::ReturnHoldings() {
  for (wire::CommandT& command :
       m_parts.budgets->TakeLastCommands(m_loop.Now()))
    m_parts.link->Propose(std::move(command));
}

}  // namespace dotterelshift::app
