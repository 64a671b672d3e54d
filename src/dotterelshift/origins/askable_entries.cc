#include "dotterelshift/origins/askable_entries.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for min, partial_sort
#include <cstdint>    // for uint64_t
#include <utility>    // for pair

#include "dotterelshift/origins/stream_origins.h"  // for StreamOriginsOptions

namespace dotterelshift::origins {
namespace {

// Of each data centre. Two of them are asked at a time.
constexpr size_t kAskableEntries = 4;

// As long as origins are kept.
constexpr Duration kKeptTime = StreamOriginsOptions().max_age;

}  // namespace

std::vector<DistantEntry> AskableFor(const HostId& asking,
                                     const DataCentreId& data_centre,
                                     const EntryAddresses& entries) {
  const uint64_t seed = XXH3_64bits(asking.data(), asking.size());
  std::vector<DistantEntry> askable;
  for (const auto& [other, addresses] : entries) {
    if (other == data_centre) continue;
    std::vector<std::pair<uint64_t, const std::string*>> ranked;
    ranked.reserve(addresses.size());
    for (const std::string& address : addresses) {
      const uint64_t rank =
          XXH3_64bits_withSeed(address.data(), address.size(), seed);
      ranked.emplace_back(rank, &address);
    }
    const size_t count = std::min(kAskableEntries, ranked.size());
    const auto chosen = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), chosen, ranked.end());
    for (auto entry = ranked.begin(); entry != chosen; ++entry)
      askable.push_back({*entry->second, other});
  }
  return askable;
}

bool AskedEntries::OnNamed(const std::vector<DistantEntry>& named,
                           Instant now) {
  if (named.empty() && !m_entries.empty()) {
    if (!m_small_since) m_small_since = now;
    if (now - *m_small_since < kKeptTime) return false;
  }
  m_small_since.reset();
  if (named == m_entries) return false;
  m_entries = named;
  return true;
}

}  // namespace dotterelshift::origins
