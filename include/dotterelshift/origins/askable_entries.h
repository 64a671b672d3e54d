#ifndef DOTTERELSHIFT_ORIGINS_ASKABLE_ENTRIES_H_
#define DOTTERELSHIFT_ORIGINS_ASKABLE_ENTRIES_H_

#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"               // for DataCentreId, HostId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/origins/origin_lookup.h"  // for DistantEntry

namespace dotterelshift::origins {

// Addresses of entries, by data centre.
using EntryAddresses = std::map<DataCentreId, std::vector<std::string>>;

// The entries of the other data centres, a few of each, that an entry asks for
// origins of streams. Chosen by rendezvous hashing: each is asked by about as
// many as any other, and one that starts or fails changes the choice of few.
std::vector<DistantEntry> AskableFor(const HostId& asking,
                                     const DataCentreId& data_centre,
                                     const EntryAddresses& entries);

// The entries that one entry asks for origins of streams.
//
// Load pattern: entries stop or fail until so few are left that all are told to
// connect with each other, and control names none to ask. What began until then
// is still known in its own data centre only.
class AskedEntries {
 public:
  // Those that control names now; none in a small fleet. Returns whether
  // Entries() has changed.
  bool OnNamed(const std::vector<DistantEntry>& named, Instant now);
  // Those named, or in a fleet that has become small those named last, until
  // the streams that began before are over.
  const std::vector<DistantEntry>& Entries() const { return m_entries; }
  // Whether control names some.
  bool IsLargeFleet() const { return !m_entries.empty() && !m_small_since; }

 private:
  std::vector<DistantEntry> m_entries;
  std::optional<Instant> m_small_since;  // set while former ones are kept
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_ASKABLE_ENTRIES_H_
