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

// The command that brings a document in force, told as a step from the one that
// is in force now. An older version is only to be answered, and has none.
wire::PublishRoutesT RoutesCommand(uint64_t version, std::string_view document,
                                   const std::map<TeamId, Tokens>& totals,
                                   const state::PublishedRoutes& in_force);

// What an adapter may ask of this control daemon. `on_stale` is told the newest
// run that the log knows of this host, when it is newer than this one: the wall
// clock was set back between two starts.
std::unique_ptr<RoutesControl> MakeRoutesControl(
    loop::Loop& loop, ControlReplica& replica, OperatorBackend& backend,
    DirectoryExchange& directory,
    std::function<void(Incarnation newest)> on_stale);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_
