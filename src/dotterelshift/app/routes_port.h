#ifndef DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_
#define DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_

#include <cstdint>      // for uint64_t
#include <functional>   // for function
#include <map>          // for map
#include <memory>       // for unique_ptr
#include <string_view>  // for string_view

#include "dotterelshift/app/control_replica.h"     // for ControlReplica
#include "dotterelshift/app/directory_exchange.h"  // for DirectoryExchange
#include "dotterelshift/app/operator_backend.h"    // for OperatorBackend
#include "dotterelshift/app/routes_control.h"      // for RoutesControl
#include "dotterelshift/loop/loop.h"               // for Loop
#include "dotterelshift/state/state.h"             // for PublishedRoutes

namespace dotterelshift::app {

// Returns the command that puts a document in force, encoded as a delta against
// the document that is in force. For an older version it has no delta, because
// it only needs an answer.
wire::PublishRoutesT RoutesCommand(uint64_t version, std::string_view document,
                                   const std::map<TeamId, Tokens>& totals,
                                   const state::PublishedRoutes& in_force);

// Creates the interface through which an adapter uses this control daemon.
// `on_stale` is called with the newest incarnation of this host in the log if
// it is newer than this one, as after the wall clock was set back between two
// starts.
std::unique_ptr<RoutesControl> MakeRoutesControl(
    loop::Loop& loop, ControlReplica& replica, OperatorBackend& backend,
    DirectoryExchange& directory,
    std::function<void(Incarnation newest)> on_stale);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_
