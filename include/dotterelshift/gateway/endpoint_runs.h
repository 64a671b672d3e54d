#ifndef DOTTERELSHIFT_GATEWAY_ENDPOINT_RUNS_H_
#define DOTTERELSHIFT_GATEWAY_ENDPOINT_RUNS_H_

#include <cstdint>        // for uint64_t
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                  // for EndpointId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/directory/directory.h"       // for Directory
#include "dotterelshift/gateway/service_versions.h"  // for SoftwareKey

namespace dotterelshift::gateway {

// Identifies an endpoint over all its incarnations; the same on every entry.
using EndpointIdKey = uint64_t;
EndpointIdKey EndpointIdKeyOf(const EndpointId& endpoint);

// The time during which the process at the other end of a connection is known
// to have existed: from when the connection was established until bytes were
// last received on it.
struct ConnectionLife {
  Instant from{};
  Instant to{};
  bool open = false;  // it has not ended, so that `to` may still grow
};

// What is known of the process at the other end of a connection.
enum class RunProof : uint8_t {
  kProven,   // an announcement made while the connection existed names it
  kPending,  // a later announcement may prove it
  kUnknown,  // it cannot be proven any more
};

struct ProvenRun {
  RunProof proof = RunProof::kUnknown;
  SoftwareKey software = 0;  // if proven
};

struct EndpointRunsOptions {
  // How long a run that has ended is remembered.
  Duration memory = ServiceVersions::kMemory;
  // Maximum time that an announcement takes to the first daemon.
  Duration announcement_delay = 300ms;
  // Maximum time from when an endpoint sends bytes until they are read here.
  Duration read_delay = 100ms;
};

// Which software version ran at each endpoint, and when.
//
// Load pattern: a release restarts endpoints under their id and address at
// another version, while streams break and are resumed. A directory record is
// up to a heartbeat old, so that it does not tell which version receives a
// request that is sent now, and endpoints do not check it. But a connection
// does not outlive its process: an announcement that was made while the
// connection existed tells what is at its other end, and so do bytes on an
// older connection of which this is known.
class EndpointRuns {
 public:
  // `directory` must outlive this object.
  explicit EndpointRuns(const directory::Directory& directory,
                        const EndpointRunsOptions& options = {})
      : m_options(options), m_directory(directory) {}

  // Takes over the directory's state. To be called whenever what endpoints
  // offer changes, and regularly.
  void Update(Instant now);

  // Bytes were received on a connection that was established then. What is
  // proven to have sent them still runs, which proves what younger connections
  // belong to.
  void OnBytes(EndpointIdKey endpoint, Instant connected_at, Instant now);

  // The software of the process that was at the other end of a connection.
  ProvenRun During(EndpointIdKey endpoint, const ConnectionLife& life) const;

 private:
  // One incarnation of an endpoint.
  struct Run {
    uint64_t incarnation = 0;
    SoftwareKey software = 0;
    Instant first{};  // when its first known announcement was received
    Instant last{};   // the same of its last one
    Instant bytes{};  // when its bytes were last received
  };
  struct History {
    EndpointId id;
    std::vector<Run> runs;  // in order
  };

  void UpdateRun(const directory::Endpoint& endpoint);
  Instant LastAnnouncement(const History& history, const Run& run) const;
  // It is certain that the run existed until then.
  Instant CertainUntil(const History& history, const Run& run) const;
  bool HasBegun(const Run& run, const ConnectionLife& life) const;
  // Whether the connection was to a process of this run.
  bool Proves(const History& history, const Run& run,
              const ConnectionLife& life) const;

  const EndpointRunsOptions m_options;
  const directory::Directory& m_directory;
  std::unordered_map<EndpointIdKey, History> m_histories;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_ENDPOINT_RUNS_H_
