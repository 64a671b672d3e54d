#ifndef DOTTERELSHIFT_ADMISSION_WAIT_ESTIMATOR_H_
#define DOTTERELSHIFT_ADMISSION_WAIT_ESTIMATOR_H_

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::admission {

// Estimates the queueing time from the rate at which queued requests were
// started. A request whose deadline cannot be met is then refused on arrival,
// with a time to retry after, instead of at its deadline.
class WaitEstimator {
 public:
  // A request for the target was queued; `first` if the target had none before.
  void OnWaiting(const std::string& target, bool first, Instant now);
  // A queued request was started; `more` if others are still queued.
  void OnStarted(const std::string& target, double cost, bool more,
                 Instant now);

  // Expected wait behind `cost_ahead`; 0 while there are too few measurements.
  Duration Expected(const std::string& target, double cost_ahead,
                    Instant now) const;

  // Set if the request would miss its deadline: the time after which a request
  // like it would be served in time.
  std::optional<Duration> RefuseFor(const std::string& target,
                                    double cost_ahead, Duration time_left,
                                    Instant now) const;

 private:
  // Sums that decay with the time during which requests were queued. Idle time
  // is excluded, as it says nothing about the rate.
  struct Rate {
    double cost = 0;
    double seconds = 0;
    bool waiting = false;
    Instant last;
  };
  static Rate At(Rate rate, Instant now);

  std::unordered_map<std::string, Rate> m_rates;
};

}  // namespace dotterelshift::admission

#endif  // DOTTERELSHIFT_ADMISSION_WAIT_ESTIMATOR_H_
