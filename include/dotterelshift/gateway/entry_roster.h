#ifndef DOTTERELSHIFT_GATEWAY_ENTRY_ROSTER_H_
#define DOTTERELSHIFT_GATEWAY_ENTRY_ROSTER_H_

#include <cstddef>   // for size_t
#include <map>       // for map
#include <optional>  // for optional

#include "dotterelshift/base/ids.h"   // for HostId
#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// The entries that share the fleet's limits, as one leader counts them: those
// that are connected to it, and those that were a short time ago. The load
// pattern that it answers: connections that are lost and made again all the
// time, one entry after the other. A count of the present connections would
// then never include all entries, although each of them holds its share.
class EntryRoster {
 public:
  // `memory` is how long an entry that is no longer connected is counted. It is
  // at least as long as an entry uses its share without a leader.
  explicit EntryRoster(Duration memory) : m_memory(memory) {}

  void OnConnected(const HostId& entry, const DataCentreId& data_centre = {});
  void OnDisconnected(const HostId& entry, Instant now);

  struct Place {
    size_t index = 0;           // of the entry, ordered by host name
    size_t count = 0;           // of all entries
    size_t in_data_centre = 0;  // of these, in the data centre of the entry
    Duration counted_for = 0s;  // the entry, in earlier runs too
  };
  Place PlaceOf(const HostId& entry, Instant now);

 private:
  struct Entry {
    DataCentreId data_centre;
    std::optional<Instant> counted_since;  // its place was first asked for
    std::optional<Instant> disconnected;   // none while it is connected
  };
  std::map<HostId, Entry> m_entries;
  Duration m_memory;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ENTRY_ROSTER_H_
