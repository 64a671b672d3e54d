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

// Backend of the operators' interface; owned by the daemon.
using OperatorBackend = operators::Backend;

// Backend of an entry: it knows the leader's address and holds no state.
std::unique_ptr<OperatorBackend> MakeEntryBackend(
    loop::Loop& loop, const peers::Hub& hub, const ControlLink& link,
    const directory::Directory& directory, std::string http_address);

// Backend of a control host, on its replica. `next_id` returns the ids of its
// commands.
std::unique_ptr<OperatorBackend> MakeControlBackend(
    loop::Loop& loop, const peers::Hub& hub, ControlReplica& replica,
    const directory::Directory& directory, std::string http_address,
    const HostRun& self,
    std::function<std::unique_ptr<wire::CommandIdT>()> next_id);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_OPERATOR_BACKEND_H_
