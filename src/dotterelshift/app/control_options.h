#ifndef DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_
#define DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_

#include <vector>  // for vector

#include "dotterelshift/base/ids.h"           // for HostId
#include "dotterelshift/base/time.h"          // for Duration
#include "dotterelshift/directory/spread.h"   // for SpreadOptions
#include "dotterelshift/settings/settings.h"  // for Settings

namespace dotterelshift::app {

// Options for the components of a control daemon.

// The hub addresses of the daemons on the seeds' hosts.
std::vector<std::string> SeedPeersOf(const settings::Settings& settings);
// The members that the group begins with; empty: this daemon founds none.
std::vector<HostId> FirstMembersOf(const settings::Settings& settings);
// A leader's lease ends before any replica may start an election.
Duration LeaseOf(Duration election_timeout);
// With published routes the entries only receive gossip, so control sends to
// each of them.
directory::SpreadOptions ControlSpreadOptionsOf(
    const settings::Settings& settings);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_CONTROL_OPTIONS_H_
