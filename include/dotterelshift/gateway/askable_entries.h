#ifndef DOTTERELSHIFT_GATEWAY_ASKABLE_ENTRIES_H_
#define DOTTERELSHIFT_GATEWAY_ASKABLE_ENTRIES_H_

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/base/ids.h"               // for DataCentreId, HostId
#include "dotterelshift/gateway/origin_lookup.h"  // for DistantEntry

namespace dotterelshift::gateway {

// Addresses of entries, by data centre.
using EntryAddresses = std::map<DataCentreId, std::vector<std::string>>;

// The entries of the other data centres, a few of each, that an entry asks for
// origins of streams. Chosen by rendezvous hashing: each is asked by about as
// many as any other, and one that starts or fails changes the choice of few.
std::vector<DistantEntry> AskableFor(const HostId& asking,
                                     const DataCentreId& data_centre,
                                     const EntryAddresses& entries);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ASKABLE_ENTRIES_H_
