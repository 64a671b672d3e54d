#ifndef DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_
#define DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_

#include <utility>  // for move

#include "dotterelshift/gateway/crash_suspects.h"   // for SuspectReport
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::gateway {

// The command for a report. Its id is left to the caller.
inline wire::CommandT SuspicionCommand(const SuspectReport& suspicion) {
  wire::CommandT command;
  if (suspicion.kind == SuspectReportKind::kCleared) {
    wire::ClearSuspectT body;
    body.content_hash = suspicion.content_hash;
    command.body.Set(body);
    return command;
  }
  if (suspicion.kind == SuspectReportKind::kTrial) {
    wire::TrySuspectT body;
    body.content_hash = suspicion.content_hash;
    command.body.Set(body);
    return command;
  }
  wire::ReportSuspectT body;
  body.content_hash = suspicion.content_hash;
  body.endpoint = suspicion.endpoint;
  body.endpoint_incarnation = suspicion.incarnation;
  body.alone = suspicion.alone;
  body.shared = suspicion.shared;
  body.team = suspicion.team;
  command.body.Set(std::move(body));
  return command;
}

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_
