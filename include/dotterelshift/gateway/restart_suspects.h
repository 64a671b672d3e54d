#ifndef DOTTERELSHIFT_GATEWAY_RESTART_SUSPECTS_H_
#define DOTTERELSHIFT_GATEWAY_RESTART_SUSPECTS_H_

#include <map>     // for map
#include <vector>  // for vector

#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/gateway/endpoint_runs.h"  // for EndpointRuns
#include "dotterelshift/gateway/fleet_load.h"     // for EndpointKey

namespace dotterelshift::gateway {

struct RestartSuspectsOptions {
  // Bytes that were sent before a break may still be read for this long.
  Duration read_delay = 50ms;
  // An endpoint that has restarted announces itself within this time.
  Duration max_suspicion = 5s;
};

// Endpoints that may have restarted since their last announcement.
//
// Load pattern: an endpoint restarts at another version under its id. All its
// connections break, and new streams would go there at once, on connections of
// which it cannot be proven soon enough which version is at their other end. A
// single stream that breaks looks the same, until bytes are received on another
// connection that is older than the break.
class RestartSuspects {
 public:
  explicit RestartSuspects(const RestartSuspectsOptions& options = {})
      : m_options(options) {}

  // A connection that carried a request broke.
  void OnBroken(EndpointKey endpoint, EndpointIdKey id, Instant now);
  // Bytes were received on a connection that was established then.
  void OnBytes(EndpointKey endpoint, Instant connected_at, Instant now);
  // Ends suspicions that an announcement refutes, or that are too old.
  void Update(const EndpointRuns& runs, Instant now);

  std::vector<EndpointKey> All() const;

 private:
  struct Suspect {
    EndpointIdKey id = 0;
    Instant broken_at{};
  };

  const RestartSuspectsOptions m_options;
  std::map<EndpointKey, Suspect> m_suspects;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RESTART_SUSPECTS_H_
