#ifndef DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_
#define DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_

#include <cstdint>  // for uint16_t
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/app/control_replica.h"  // for ControlReplicaOptions
#include "dotterelshift/base/ids.h"             // for HostId
#include "dotterelshift/directory/spread.h"     // for SpreadOptions
#include "dotterelshift/settings/settings.h"    // for Settings

namespace dotterelshift::app {

// Options for the components of a control daemon.

// The hub addresses of the daemons on the seeds' hosts.
std::vector<std::string> SeedPeersOf(const settings::Settings& settings);
// `peer_port`: of the daemon's hub.
ControlReplicaOptions ReplicaOptionsOf(const settings::Settings& settings,
                                       Incarnation incarnation,
                                       uint16_t peer_port);
// With published routes the entries only receive gossip, so control sends to
// each of them.
directory::SpreadOptions ControlSpreadOptionsOf(
    const settings::Settings& settings);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_
