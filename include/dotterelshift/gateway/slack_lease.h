#ifndef DOTTERELSHIFT_GATEWAY_SLACK_LEASE_H_
#define DOTTERELSHIFT_GATEWAY_SLACK_LEASE_H_

#include <cstddef>   // for size_t
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// This entry's lease on its part of the slack: the retries that the fleet may
// send in a window whatever the number of requests. The load pattern that it
// answers: entries die, return, join and are cut off from control while all of
// them retry.
//
// The leader's count of the entries is used with a memory, so that the parts
// used in any window add up to at most the slack:
// - Without a leader's confirmation the lease ends after one window.
// - A lease begins two windows after the first count. By then its holder's
//   previous run has been dead for a window, and for a window each other lease
//   has been divided by a count that includes this entry: a lease that was not
//   confirmed since has ended.
// - A smaller count is used two windows after it was received, when the leases
//   of the entries that it no longer includes have been over for a window.
class SlackLease {
 public:
  explicit SlackLease(Duration window) : m_window(window) {}

  // A leader counted `entries` entries in its answer, received at `now`, to a
  // heartbeat sent at `confirmed`.
  void OnEntryCount(size_t entries, Instant confirmed, Instant now);

  // The number of entries among which the slack is divided; none while this
  // entry may not use any of it.
  std::optional<size_t> Sharers(Instant now) const;

  // When the newest answered heartbeat was sent; none if there was none.
  std::optional<Instant> ConfirmedAt() const { return m_confirmed; }

 private:
  // A larger count than the present one, in use until it is forgotten.
  struct FormerCount {
    size_t entries = 0;
    Instant forgotten_at{};
  };
  bool IsConfirmed(Instant now) const {
    return m_confirmed && now - *m_confirmed < m_window;
  }

  Duration m_window;
  std::optional<Instant> m_confirmed;
  Instant m_begins{};
  size_t m_entries = 0;
  std::vector<FormerCount> m_former;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SLACK_LEASE_H_
