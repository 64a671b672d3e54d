#ifndef DOTTERELSHIFT_TESTS_SUPPORT_RETRY_ALLOWANCE_H_
#define DOTTERELSHIFT_TESTS_SUPPORT_RETRY_ALLOWANCE_H_

#include <algorithm>  // for lower_bound, max
#include <limits>     // for numeric_limits
#include <vector>     // for vector

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::testing {

// The retries that a fleet may send to a service in any window.
struct RetryAllowance {
  double ratio = 0.2;  // per request that counts for the window
  double slack = 50;
  Duration window = 10s;
};

// Counts the times in [from, to). `times` is ordered.
inline double CountBetween(const std::vector<Instant>& times, Instant from,
                           Instant to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<double>(std::lower_bound(first, times.end(), to) - first);
}

// The requests that count for a window are those of the window itself, of the
// one before it or of the one half a window before it, whichever has most.
inline double AllowedRetries(const std::vector<Instant>& requests,
                             Instant start, const RetryAllowance& allowance) {
  double most = 0;
  for (const Duration back :
       {Duration(0s), allowance.window / 2, allowance.window}) {
    const Instant from = start - back;
    most =
        std::max(most, CountBetween(requests, from, from + allowance.window));
  }
  return allowance.ratio * most + allowance.slack;
}

// The largest excess of the retries of any window, whenever it begins, over
// what is allowed. Both lists are ordered.
inline double WorstRetryExcess(const std::vector<Instant>& requests,
                               const std::vector<Instant>& retries,
                               const RetryAllowance& allowance) {
  double worst = -std::numeric_limits<double>::infinity();
  for (const Instant start : retries) {
    const Instant end = start + allowance.window + Duration(1);
    worst = std::max(worst, CountBetween(retries, start, end) -
                                AllowedRetries(requests, start, allowance));
  }
  return worst;
}

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_SUPPORT_RETRY_ALLOWANCE_H_
