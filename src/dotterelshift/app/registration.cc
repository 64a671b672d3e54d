#include "dotterelshift/app/registration.h"

#include <utility>  // for move

#include "dotterelshift/app/command_id.h"  // for MakeCommandId
#include "dotterelshift/base/error.h"      // for ErrorKind
#include "dotterelshift/telemetry/log.h"   // for Log

namespace dotterelshift::app {

Registration::Registration(RegistrationOptions options)
    : m_options(std::move(options)) {}

wire::CommandT Registration::Command(uint64_t sequence) {
  m_sequence = sequence;
  wire::CommandT command;
  command.id = MakeCommandId(m_options.self, sequence);
  wire::RegisterHostT host;
  host.data_centre = m_options.data_centre;
  host.address = m_options.address;
  host.role = wire::HostRole::Entry;
  command.body.Set(std::move(host));
  return command;
}

IncarnationStatus Registration::OnAnswer(const wire::CommandAnswerT& answer) {
  const bool of_former_number =
      answer.id != nullptr &&
      answer.id->incarnation != m_options.self.incarnation;
  if (of_former_number) return IncarnationStatus::kUnchanged;
  const auto error = static_cast<ErrorKind>(answer.error);
  if (error == ErrorKind::kStaleIncarnation)
    return OnStale(answer.newest_incarnation);
  const bool registered = error == ErrorKind::kNone && answer.id != nullptr &&
                          answer.id->sequence == m_sequence;
  if (!registered || m_done) return IncarnationStatus::kUnchanged;
  m_done = true;
  return IncarnationStatus::kRegistered;
}

IncarnationStatus Registration::OnStale(Incarnation newest) {
  HostRun& self = m_options.self;
  if (m_options.may_raise && !m_done) {
    self.incarnation = newest + 1;
    telemetry::Log(telemetry::LogLevel::kWarning, "incarnation_raised",
                   {{"incarnation", std::to_string(self.incarnation)}});
    return IncarnationStatus::kRaised;
  }
  if (!m_superseded) {
    telemetry::Log(telemetry::LogLevel::kError, "stale_incarnation",
                   {{"incarnation", std::to_string(self.incarnation)},
                    {"newest", std::to_string(newest)}});
  }
  m_superseded = true;
  return IncarnationStatus::kSuperseded;
}

}  // namespace dotterelshift::app
