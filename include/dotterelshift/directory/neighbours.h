#ifndef DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_
#define DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_

#include <set>     // for set
#include <vector>  // for vector

#include "dotterelshift/base/ids.h"  // for HostId

namespace dotterelshift::directory {

// The hosts to which `self` sends on what it learns: `fan_out` of the roster
// (all daemons that are up, self included), or all of them when they are no
// more. Made so that news goes from any host to any other in about
// log(hosts) / log(fan_out) steps, and that no single lost host cuts others
// off: the generalized de Bruijn graph of Imase and Itoh over the sorted
// roster. Daemons need not agree on the roster for news to get through; while
// they differ it may take more steps.
std::vector<HostId> NeighboursOf(const std::set<HostId>& roster,
                                 const HostId& self, size_t fan_out);

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_NEIGHBOURS_H_
