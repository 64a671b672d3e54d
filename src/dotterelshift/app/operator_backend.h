#ifndef DOTTERELSHIFT_APP_OPERATOR_BACKEND_H_
#define DOTTERELSHIFT_APP_OPERATOR_BACKEND_H_

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "dotterelshift/app/control_link.h"     // for ControlLink
#include "dotterelshift/app/control_replica.h"  // for ControlReplica
#include "dotterelshift/loop/loop.h"            // for Loop
#include "dotterelshift/operators/api.h"        // for Backend
#include "dotterelshift/peers/hub.h"            // for Hub

namespace dotterelshift::app {

// What the operators' interface works with; the daemon owns it.
using OperatorBackend = operators::Backend;

// On an entry: knows where the leader is, holds no state.
std::unique_ptr<OperatorBackend> MakeEntryBackend(
    loop::Loop& loop, const peers::Hub& hub, const ControlLink& link,
    const directory::Directory& directory, std::string http_address);

// On a control host: its replica. Ids of its commands come from `next_id`.
std::unique_ptr<OperatorBackend> MakeControlBackend(
    loop::Loop& loop, const peers::Hub& hub, ControlReplica& replica,
    const directory::Directory& directory, std::string http_address,
    const HostRun& self,
    std::function<std::unique_ptr<wire::CommandIdT>()> next_id);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_OPERATOR_BACKEND_H_
