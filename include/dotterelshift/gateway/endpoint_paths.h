#ifndef DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_
#define DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <optional>     // for optional
#include <set>          // for set
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

// Several endpoints of a service could not be reached one after the other: they
// have crashed, or this entry's own paths to all of them have failed.
struct PathDoubt {
  ServiceName service;
  size_t failed = 0;     // endpoints
  size_t endpoints = 0;  // of the service
  size_t checked = 0;    // of these, probed to find out
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

// What is known of an endpoint since a connection to it broke.
enum class EndpointSign : uint8_t {
  kNone,
  kAlive,        // it was reached, or sent something
  kUnreachable,  // a connection could not be established, or it is gone
};

struct EndpointPathsOptions {
  DataCentreId data_centre;  // of this entry
  // Endpoints of one service that cannot be reached one after the other, with
  // no connection to any of them in between, before the failure is attributed
  // to this entry's own paths. A crash of one endpoint is no evidence for that.
  size_t min_failed = 2;
  Duration max_evidence_age = 2s;
  // Failures that took at least this long, of which nothing was heard from the
  // other endpoints meanwhile, need no check.
  Duration min_silence = 100ms;
  // Endpoints that are probed at once to tell crashes from a failure of all
  // paths, and how long requests wait for that: a few round trips.
  size_t max_checked = 6;
  Duration check_time = 25ms;
  // After a check has reached an endpoint, failures are the endpoints' own for
  // this long, so that crashes in series do not cause a check each.
  Duration check_validity = 300ms;
  // What was sent before a connection broke may still be read for this long.
  Duration read_delay = 50ms;
  // An endpoint that crashes may still accept connections for this long after
  // it closed the first one.
  Duration accept_delay = 25ms;
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
// the two apart: while an entry is cut off, nothing is heard from any endpoint;
// a crashed endpoint makes no announcement to control.
//
// Several endpoints may also crash within a second, and refuse connections at
// once. Other entries see the same, so that entries which then mistrusted their
// own paths would refuse to relay for each other. A few of the other endpoints
// are therefore probed first. Requests wait for the outcome, a round trip.
//
// An endpoint whose path is in doubt is relayed and probed until a direct
// connection to it succeeds.
class EndpointPaths {
 public:
  explicit EndpointPaths(EndpointPathsOptions options)
      : m_options(std::move(options)) {}

  void OnDirectory(const directory::Directory& directory, Instant now);

  // Evidence from direct connections: one that was begun then could not be
  // established; one carries bytes of a request sent then that are not
  // acknowledged; one was established; bytes were received on an open one.
  void OnConnectFailed(EndpointKey endpoint, Instant began, Instant now);
  void OnUnacknowledged(EndpointKey endpoint, Instant sent, Instant now);
  void OnConnected(EndpointKey endpoint, Instant now);
  void OnBytes(EndpointKey endpoint, Instant now);
  // Compares failures with later announcements. To be called regularly.
  void OnTimer(const directory::Directory& directory, Instant now);

  // Another entry offers to relay, or no longer does.
  void OnRelay(RelayContact relay);
  void OnRelayGone(const HostId& host);
  // The relay did not connect, for a reason of its own.
  void OnRelayFailed(const HostId& host, EndpointKey endpoint, Instant now);

  bool IsRelayed(EndpointKey endpoint) const;
  // Usable endpoints of the service from which nothing was received since then.
  std::vector<EndpointKey> NotHeardSince(const ServiceName& service,
                                         Instant since) const;
  // Whether it is being checked now if this entry reaches the endpoint's
  // service at all, or this endpoint.
  bool IsBeingChecked(EndpointKey endpoint, Instant now) const;
  bool IsBeingChecked(const ServiceName& service, Instant now) const;
  // Whether all usable endpoints of one of the services are relayed.
  bool IsAnyUnreachable(const std::vector<ServiceName>& services) const;
  std::vector<EndpointKey> RelayedEndpoints() const;
  // Whether all that speaks against the path to the endpoint is that it did not
  // acknowledge bytes, which it does not while it is silent either.
  bool MayOnlyBeSilent(EndpointKey endpoint, Instant now) const;
  // The relay to use for a connection to the endpoint; nullopt: connect
  // directly, as the direct path is not in doubt or no relay is known.
  std::optional<RelayContact> RelayTo(EndpointKey endpoint, Instant now) const;
  // Whether an endpoint has to be relayed and no relay is known that may.
  bool LacksRelay(Instant now) const;
  // Services of which all usable endpoints are relayed.
  std::vector<ServiceName> UnreachableServices() const;
  size_t Relays() const { return m_relays.size(); }
  PathCounts CountOf(const ServiceName& service) const;

  // Probes an endpoint whose connection broke, and another one of the service
  // if none was heard from lately.
  void ProbeNow(EndpointKey endpoint, const ServiceName& service, Instant now);
  EndpointSign SignSince(EndpointKey endpoint, Instant since) const;
  // Whether another endpoint of the service sent something since then. True if
  // there is no other.
  bool HeardFromOthers(const ServiceName& service, EndpointKey endpoint,
                       Instant since) const;

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
    Instant last_bytes{};
    // Of the last failure since a direct connection was established.
    std::optional<Instant> failed_at;
    Instant failure_began{};
    PathEvidence failure = PathEvidence::kConnectFailed;
    PathEvidence relayed_for = PathEvidence::kConnectFailed;
    bool probing = false;
    bool probe_wanted = false;  // at once, whatever its state
    Instant probe_at{};
    Duration probe_interval = 0s;
  };
  // Failures of a service since it was last reached.
  struct Failures {
    size_t endpoints = 0;
    Instant began{};  // of the earliest one
  };
  struct Check {
    Instant until{};
    std::set<EndpointKey> open;  // endpoints whose probes have not ended
    Instant began{};             // of the failures that caused it
  };

  void OnFailure(EndpointKey endpoint, PathEvidence evidence, Instant began,
                 Instant now);
  void JudgeService(const ServiceName& service, Instant now);
  Failures FailuresOf(const ServiceName& service, Instant now) const;
  // Whether bytes were received from an endpoint late enough to show that its
  // path did not fail together with those that failed since `began`.
  bool WasHeard(const Path& path, Instant began, Instant now) const;
  // Probes some of the endpoints whose paths neither failed nor are proven.
  // Returns their number.
  size_t StartCheck(const ServiceName& service, Instant began, Instant now);
  // A probe failed. It may belong to no check.
  void OnCheckProbe(EndpointKey endpoint, const Path& path, Instant now);
  void EndOverdueChecks(Instant now);
  // All paths to the service that are not proven have failed.
  void RelayAll(const ServiceName& service, Instant began, Instant now);
  void RecordDoubt(const ServiceName& service, size_t failed, size_t checked,
                   Instant now);
  bool IsUnreachable(const std::vector<EndpointKey>& keys) const;
  void Change(EndpointKey endpoint, Path& path, PathState to,
              PathEvidence evidence, Instant now);
  bool MayCarry(const RelayContact& relay, const Path& path, Instant now) const;

  const EndpointPathsOptions m_options;
  std::map<EndpointKey, Path> m_paths;
  std::map<ServiceName, std::vector<EndpointKey>> m_by_service;
  std::map<ServiceName, Instant> m_service_reached;
  std::map<ServiceName, Check> m_checks;
  std::map<ServiceName, Instant> m_checked;  // last check that reached one
  Instant m_next_probe{};                    // no probe is due before
  std::map<HostId, RelayContact> m_relays;
  std::map<std::pair<HostId, ServiceName>, Instant> m_relay_avoided_until;
  size_t m_open_probes = 0;
  std::vector<PathChange> m_changes;
  std::vector<PathDoubt> m_doubts;
  uint64_t m_doubt_count = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ENDPOINT_PATHS_H_
