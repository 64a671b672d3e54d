#ifndef DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_
#define DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"             // for HostId
#include "dotterelshift/base/time.h"            // for Instant
#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/gateway/fleet_load.h"   // for EndpointKey

namespace dotterelshift::gateway {

// How this entry reaches an endpoint.
enum class PathState : uint8_t {
  kDirect,
  kRelayed,  // through another entry
};
std::string_view NameOf(PathState state);

// What changed an entry's belief about its path to an endpoint.
enum class PathEvidence : uint8_t {
  kConnectFailed,   // a connection was refused or not established in time
  kUnacknowledged,  // bytes on a connection were not acknowledged
  kOthersFailed,    // other endpoints of its service could not be reached
  kAnnounced,       // it announced itself after it could not be reached
  kConnected,       // a connection to it was established
};
std::string_view NameOf(PathEvidence evidence);

struct PathChange {
  EndpointKey endpoint = 0;
  EndpointId id;
  PathState to = PathState::kDirect;
  PathEvidence evidence = PathEvidence::kConnected;
  // Since the last direct connection to it, or since this entry first knew it.
  Duration last_reached_ago = 0s;
};

// Failures of several endpoints of a service were taken for a fault of this
// entry's own paths to all of them.
struct PathDoubt {
  ServiceName service;
  size_t failed = 0;     // endpoints
  size_t endpoints = 0;  // of the service
  // Since a connection to any of them was established; nullopt: none was.
  std::optional<Duration> reached_ago;
};

// How many usable endpoints of a service this entry does not reach itself.
struct PathCounts {
  size_t relayed = 0;
  size_t others_failed = 0;  // of these, only as other endpoints failed
};

// Another entry that relays connections to endpoints for this one.
struct RelayContact {
  HostId host;
  DataCentreId data_centre;
  std::string address;                   // of its relay server, IP:port
  std::string token;                     // authorises this entry there
  std::vector<ServiceName> unreachable;  // services that it cannot reach itself
};

struct EndpointPathsOptions {
  DataCentreId data_centre;  // of this entry
  // Endpoints of one service that cannot be reached one after the other, with
  // no connection to any of them in between, before the failure is attributed
  // to this entry's own paths. A crash of one endpoint is no evidence for that.
  size_t min_failed = 2;
  Duration max_evidence_age = 2s;
  // An announcement made later than this after a failure shows that the
  // endpoint runs; one made earlier may have been sent before it crashed.
  Duration announcement_margin = 300ms;
  // A relayed endpoint's direct path is probed again after the minimum, doubled
  // with each failure up to the maximum: probes are connections, which have a
  // cost at the endpoint.
  Duration min_probe_interval = 100ms;
  Duration max_probe_interval = 1s;
  size_t max_open_probes = 4;
  // A relay that could not carry a connection to a service is not asked for
  // that service again within this time.
  Duration relay_avoid_time = 1s;
};

// Decides whether an entry connects to an endpoint itself or through another
// entry.
//
// Load pattern: an entry loses its paths to some or all endpoints for seconds,
// while callers, control and the other entries still reach it, and these reach
// the endpoints. Its own failures look like those of endpoints that have
// crashed, and it would avoid all endpoints and refuse all requests. What tells
// the two apart: a crash affects one endpoint at a time, and a crashed endpoint
// makes no announcement to control.
//
// An endpoint whose path is in doubt is relayed and probed until a direct
// connection to it succeeds.
class EndpointPaths {
 public:
  explicit EndpointPaths(EndpointPathsOptions options)
      : m_options(std::move(options)) {}

  void OnDirectory(const directory::Directory& directory, Instant now);

  // Evidence from direct connections: one could not be established; one carries
  // bytes that are not acknowledged; one was established; an endpoint responded
  // on an open one.
  void OnConnectFailed(EndpointKey endpoint, Instant now);
  void OnUnacknowledged(EndpointKey endpoint, Instant now);
  void OnConnected(EndpointKey endpoint, Instant now);
  void OnResponse(EndpointKey endpoint);
  // Compares failures with later announcements. To be called regularly.
  void OnTimer(const directory::Directory& directory, Instant now);

  // Another entry offers to relay, or no longer does.
  void OnRelay(RelayContact relay);
  void OnRelayGone(const HostId& host);
  // The relay did not connect, for a reason of its own.
  void OnRelayFailed(const HostId& host, EndpointKey endpoint, Instant now);

  bool IsRelayed(EndpointKey endpoint) const;
  std::vector<EndpointKey> RelayedEndpoints() const;
  // The relay to use for a connection to the endpoint; nullopt: connect
  // directly, as the direct path is not in doubt or no relay is known.
  std::optional<RelayContact> RelayTo(EndpointKey endpoint, Instant now) const;
  // Whether an endpoint has to be relayed and no relay is known that may.
  bool LacksRelay(Instant now) const;
  // Services of which all usable endpoints are relayed.
  std::vector<ServiceName> UnreachableServices() const;
  size_t Relays() const { return m_relays.size(); }
  PathCounts CountOf(const ServiceName& service) const;

  // Endpoints to probe now, with their addresses. Each probe ends with
  // OnProbeEnded().
  struct Probe {
    EndpointKey endpoint = 0;
    std::string address;
  };
  std::vector<Probe> TakeProbes(Instant now);
  void OnProbeEnded(EndpointKey endpoint, bool connected, Instant now);

  std::vector<PathChange> TakeChanges() { return std::exchange(m_changes, {}); }
  std::vector<PathDoubt> TakeDoubts() { return std::exchange(m_doubts, {}); }
  // Doubts about all paths to a service, since the start.
  uint64_t Doubts() const { return m_doubt_count; }

 private:
  struct Path {
    EndpointId id;
    std::string address;
    std::vector<ServiceName> services;
    bool usable = false;
    PathState state = PathState::kDirect;
    Instant last_reached{};
    // Of the last failure since a direct connection was established.
    std::optional<Instant> failed_at;
    PathEvidence failure = PathEvidence::kConnectFailed;
    PathEvidence relayed_for = PathEvidence::kConnectFailed;
    bool probing = false;
    Instant probe_at{};
    Duration probe_interval = 0s;
  };

  void OnFailure(EndpointKey endpoint, PathEvidence evidence, Instant now);
  void CheckService(const ServiceName& service, Instant now);
  // Failing endpoints of the service, of those that are not already relayed for
  // another reason, since it was last reached.
  size_t FailedOf(const ServiceName& service, Instant now) const;
  void Change(EndpointKey endpoint, Path& path, PathState to,
              PathEvidence evidence, Instant now);
  bool MayCarry(const RelayContact& relay, const Path& path, Instant now) const;

  const EndpointPathsOptions m_options;
  std::map<EndpointKey, Path> m_paths;
  std::map<ServiceName, std::vector<EndpointKey>> m_by_service;
  std::map<ServiceName, Instant> m_service_reached;
  std::map<HostId, RelayContact> m_relays;
  std::map<std::pair<HostId, ServiceName>, Instant> m_relay_avoided_until;
  size_t m_open_probes = 0;
  std::vector<PathChange> m_changes;
  std::vector<PathDoubt> m_doubts;
  uint64_t m_doubt_count = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_
