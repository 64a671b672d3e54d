#ifndef DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
#define DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_

#include <cstdint>        // for uint64_t
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/gateway/retry_windows.h"  // for RetryWindows

namespace dotterelshift::gateway {

struct RetryShareOptions {
  double ratio = 0.2;   // of the fleet's requests to a service in a window
  uint32_t slack = 50;  // additional retries of the whole fleet in a window
  Duration window = 10s;
  // Fraction of the allowance that is used. The rest is a margin: a restarted
  // entry does not know what its previous incarnation sent, and retries that
  // are delayed on their way to the endpoint arrive together.
  double used_fraction = 0.8;
};

// A decision on one retry, and what it was based on.
struct RetryDecision {
  bool granted = false;
  double allowed = 0;    // retries in the window that leaves the fewest
  uint32_t used = 0;     // of these, before this decision
  double requests = 0;   // for the service, that count for that window
  size_t entries = 1;    // that share the slack
  Duration count_age{};  // since a leader confirmed that number
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

// This entry's share of the retries that the fleet may send to a service. It is
// computed from the entry's own requests and the number of entries, so that a
// retry needs no message to others. All shares together stay within the fleet's
// allowance in every window.
class RetryShare {
 public:
  explicit RetryShare(const RetryShareOptions& options) : m_options(options) {}

  // Sets the number of entries that share the slack, at least one, as confirmed
  // by a leader at this time.
  void OnEntryCount(size_t entries, Instant confirmed);
  // A request for the service was received.
  void OnRequest(const std::string& service, Instant now);
  // Takes one retry from the share, if one is left.
  RetryDecision Take(const std::string& service, Instant now);
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
  size_t m_entries = 1;
  Instant m_count_confirmed{};
  Instant m_first_request{};
  std::unordered_map<std::string, Service> m_services;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
