#ifndef DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
#define DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_

#include <cstdint>        // for uint64_t
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/gateway/retry_windows.h"  // for RetryWindows
#include "dotterelshift/gateway/slack_lease.h"    // for SlackLease

namespace dotterelshift::gateway {

struct RetryShareOptions {
  double ratio = 0.2;   // of the fleet's requests to a service in a window
  uint32_t slack = 50;  // additional retries of the whole fleet in a window
  Duration window = 10s;
  // Fraction of the allowance that is used. The rest is a margin for retries
  // that are delayed on their way to the endpoint and arrive together.
  double used_fraction = 0.8;
};

// A decision on one retry, and what it was based on.
struct RetryDecision {
  bool granted = false;
  double allowed = 0;    // retries in the window that leaves the fewest
  uint32_t used = 0;     // of these, before this decision
  double requests = 0;   // for the service, that count for that window
  size_t sharers = 0;    // entries that share the slack; 0: none of it is used
  Duration count_age{};  // since a leader confirmed the number of entries
  Duration run_age{};    // since this run received its first request
};

// What a service's share allows now, and the decisions since the start.
struct RetryUse {
  std::string service;
  double allowed = 0;
  uint32_t used = 0;
  uint64_t granted_total = 0;
  uint64_t denied_total = 0;
};

// This entry's share of the retries that the fleet may send to a service:
// retries in proportion to its own requests, and its part of the slack while it
// holds the lease on that. A retry needs no message to others. All shares
// together stay within the fleet's allowance in every window, whichever entries
// die, return, join or are cut off meanwhile.
class RetryShare {
 public:
  explicit RetryShare(const RetryShareOptions& options)
      : m_options(options), m_lease(options.window) {}

  // A leader counted `entries` entries in its answer, received at `now`, to a
  // heartbeat sent at `confirmed`.
  void OnEntryCount(size_t entries, Instant confirmed, Instant now) {
    m_lease.OnEntryCount(entries, confirmed, now);
  }
  // A request for the service was received.
  void OnRequest(const std::string& service, Instant now);
  // Takes one retry from the share, if one is left.
  RetryDecision Take(const std::string& service, Instant now);
  // Whether Take() would grant a retry now. Takes and counts nothing.
  bool MayTake(const std::string& service, Instant now);
  // The services that had requests, ordered by name.
  std::vector<RetryUse> UseByService(Instant now);

 private:
  struct Service {
    explicit Service(Duration window) : windows(window) {}
    RetryWindows windows;
    uint64_t granted_total = 0;
    uint64_t denied_total = 0;
  };
  Service& ServiceOf(const std::string& name);
  RetryDecision Position(Service& service, Instant now) const;

  RetryShareOptions m_options;
  SlackLease m_lease;
  Instant m_first_request{};
  std::unordered_map<std::string, Service> m_services;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
