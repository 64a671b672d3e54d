#ifndef DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_
#define DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_

#include <set>     // for set
#include <vector>  // for vector

#include "dotterelshift/base/ids.h"  // for HostId

namespace dotterelshift::directory {

// The hosts to which `self` forwards updates: `fan_out` hosts of the roster
// (all daemons that are up, including self), or all others if there are no more
// than that. The hosts form the generalized de Bruijn graph of Imase and Itoh
// over the sorted roster, in which an update reaches every host in about
// log(hosts) / log(fan_out) hops and the loss of one host does not disconnect
// others. Updates still get through while daemons have different rosters, but
// may need more hops.
std::vector<HostId> NeighboursOf(const std::set<HostId>& roster,
                                 const HostId& self, size_t fan_out);

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_
