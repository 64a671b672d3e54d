#include "dotterelshift/origins/origin_copies.h"

#include <algorithm>  // for find, min, partial_sort
#include <cstdint>    // for uint64_t
#include <iterator>   // for next

#include "dotterelshift/origins/rendezvous.h"  // for RendezvousRank

namespace dotterelshift::origins {

std::vector<HostId> OriginCopies::HostsFor(StreamKey stream,
                                           const Hosts& among) const {
  std::vector<std::pair<uint64_t, HostId>> ranked;
  for (const auto& [host, address] : among)
    ranked.emplace_back(RendezvousRank(stream, address), host);
  const size_t count = std::min(m_options.copies, ranked.size());
  std::ranges::partial_sort(ranked,
                            std::next(ranked.begin(), static_cast<int>(count)));
  std::vector<HostId> hosts;
  for (size_t i = 0; i < count; ++i) hosts.push_back(ranked[i].second);
  return hosts;
}

void OriginCopies::SetHosts(const Hosts& hosts, Instant now) {
  if (hosts == m_hosts) return;
  const Hosts before = std::exchange(m_hosts, hosts);
  std::erase_if(m_unsent, [this](const auto& item) {
    return !m_hosts.contains(item.first);
  });
  // A host that is gone leaves its streams to the next ones in their ranks.
  for (const wire::StreamOrigin& origin : m_origins.Own(now)) {
    const std::vector<HostId> had = HostsFor(origin.stream(), before);
    for (const HostId& host : HostsFor(origin.stream(), m_hosts))
      if (std::ranges::find(had, host) == had.end())
        m_unsent[host].push_back(origin);
  }
}

void OriginCopies::Add(const std::vector<wire::StreamOrigin>& origins) {
  for (const wire::StreamOrigin& origin : origins)
    for (const HostId& host : HostsFor(origin.stream(), m_hosts))
      m_unsent[host].push_back(origin);
}

}  // namespace dotterelshift::origins
