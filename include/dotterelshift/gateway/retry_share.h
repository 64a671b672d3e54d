#ifndef DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
#define DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_

#include <array>          // for array
#include <cstdint>        // for uint64_t
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

struct RetryShareOptions {
  double ratio = 0.2;   // of the fleet's requests to a service in a window
  uint32_t slack = 50;  // repeats of the whole fleet in a window besides
  Duration window = 10s;
  // Part of the allowance that is used: a restarted entry forgets what its
  // former run sent, and windows of different entries do not begin together.
  double used_part = 0.8;
};

// This entry's share of the repeats that the fleet may send to a service,
// worked out from its own requests and the number of entries, so that no
// message is needed before a repeat. All shares together stay within the
// fleet's allowance in every window.
class RetryShare {
 public:
  explicit RetryShare(const RetryShareOptions& options) : m_options(options) {}

  // Entries that share the slack; at least one.
  void SetEntries(size_t entries);
  // A request for the service came in.
  void OnRequest(const std::string& service, Instant now);
  // Takes one repeat out of the share; false when there is none left.
  bool Take(const std::string& service, Instant now);

 private:
  static constexpr size_t kBuckets = 20;
  struct Counts {
    std::array<uint32_t, kBuckets> requests{};
    std::array<uint32_t, kBuckets> repeats{};
    int64_t newest = 0;  // number of the newest bucket since the clock's start
  };
  Counts& Turn(const std::string& service, Instant now);

  RetryShareOptions m_options;
  size_t m_entries = 1;
  std::unordered_map<std::string, Counts> m_services;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_RETRY_SHARE_H_
