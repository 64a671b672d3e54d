#ifndef DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_
#define DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_

#include <functional>  // for function
#include <memory>      // for unique_ptr

#include "dotterelshift/app/control_replica.h"     // for ControlReplica
#include "dotterelshift/app/directory_exchange.h"  // for DirectoryExchange
#include "dotterelshift/app/operator_backend.h"    // for OperatorBackend
#include "dotterelshift/app/routes_control.h"      // for RoutesControl

namespace dotterelshift::app {

// What an adapter may ask of this control daemon. `on_stale` is told the newest
// run that the log knows of this host, when it is newer than this one: the wall
// clock was set back between two starts.
std::unique_ptr<RoutesControl> MakeRoutesControl(
    ControlReplica& replica, OperatorBackend& backend,
    DirectoryExchange& directory,
    std::function<void(Incarnation newest)> on_stale);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ROUTES_PORT_H_
