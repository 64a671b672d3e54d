#ifndef DOTTERELSHIFT_ADMISSION_WAIT_ESTIMATOR_H_
#define DOTTERELSHIFT_ADMISSION_WAIT_ESTIMATOR_H_

#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::admission {

// Estimates from the rate at which waiting requests were started how long a
// queue will take, so that a request whose deadline cannot be met is refused at
// its arrival, with a time to come back, and not at its deadline.
class WaitEstimator {
 public:
  // A request for the target waits; `first` when none did before.
  void OnWaiting(const std::string& target, bool first, Instant now);
  // A waiting request was started; `more` when others still wait.
  void OnStarted(const std::string& target, double cost, bool more,
                 Instant now);

  // The expected wait behind so much cost; 0 while too little is known.
  Duration Expected(const std::string& target, double cost_ahead,
                    Instant now) const;

  // Set when the request would miss its deadline: the time after which a
  // request like it would be served in time.
  std::optional<Duration> RefuseFor(const std::string& target,
                                    double cost_ahead, Duration time_left,
                                    Instant now) const;

 private:
  // Sums that fade with the time for which something waited; idle time tells
  // nothing of the rate.
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
