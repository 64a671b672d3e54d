#ifndef DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_
#define DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_

#include <utility>  // for move

#include "dotterelshift/gateway/core.h"             // for SuspectReport
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::gateway {

// The command that reports a request whose endpoint crashed, or, when the
// report names no endpoint, clears one that did not crash its endpoint. Its id
// is left to the caller.
inline wire::CommandT SuspicionCommand(const SuspectReport& suspicion) {
  wire::CommandT command;
  if (suspicion.endpoint.empty()) {
    wire::ClearSuspectT body;
    body.content_hash = suspicion.content_hash;
    command.body.Set(body);
    return command;
  }
  wire::ReportSuspectT body;
  body.content_hash = suspicion.content_hash;
  body.endpoint = suspicion.endpoint;
  body.endpoint_incarnation = suspicion.incarnation;
  body.alone = suspicion.alone;
  command.body.Set(std::move(body));
  return command;
}

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SUSPICION_COMMAND_H_
