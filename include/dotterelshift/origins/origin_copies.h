#ifndef DOTTERELSHIFT_ORIGINS_ORIGIN_COPIES_H_
#define DOTTERELSHIFT_ORIGINS_ORIGIN_COPIES_H_

#include <cstddef>  // for size_t
#include <map>      // for map
#include <string>   // for string
#include <utility>  // for exchange
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"                // for HostId
#include "dotterelshift/base/time.h"               // for Instant
#include "dotterelshift/origins/stream_origins.h"  // for StreamOrigins

namespace dotterelshift::origins {

struct OriginCopiesOptions {
  // Control hosts that hold a copy of each origin: one of them may be lost
  // together with all entries.
  size_t copies = 2;
};

// Chooses the control hosts that this entry sends its origins to.
//
// Load pattern: all entries are killed at the same moment, while callers read
// thousands of streams, and resume these as soon as the first entries are back.
// What entries told each other is lost then. Each origin is therefore sent to a
// few control hosts, other ones for each stream, at the stream's first event. A
// host that connects is sent what it would have been sent before.
class OriginCopies {
 public:
  using Hosts = std::map<HostId, std::string>;  // with their hubs' addresses

  // `origins` must outlive this object.
  explicit OriginCopies(const StreamOrigins& origins,
                        const OriginCopiesOptions& options = {})
      : m_options(options), m_origins(origins) {}

  // The control hosts that are connected.
  void SetHosts(const Hosts& hosts, Instant now);
  // Origins of streams that have begun here.
  void Add(const std::vector<wire::StreamOrigin>& origins);

  // What is to be sent to each host.
  std::map<HostId, std::vector<wire::StreamOrigin>> TakeCopies() {
    return std::exchange(m_unsent, {});
  }

 private:
  std::vector<HostId> HostsFor(StreamKey stream, const Hosts& among) const;

  const OriginCopiesOptions m_options;
  const StreamOrigins& m_origins;
  Hosts m_hosts;
  std::map<HostId, std::vector<wire::StreamOrigin>> m_unsent;
};

}  // namespace dotterelshift::origins

#endif  // DOTTERELSHIFT_ORIGINS_ORIGIN_COPIES_H_
