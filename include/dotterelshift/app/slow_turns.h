#ifndef DOTTERELSHIFT_APP_SLOW_TURNS_H_
#define DOTTERELSHIFT_APP_SLOW_TURNS_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Duration, Instant

namespace dotterelshift::app {

// Event loop iterations at least this long may be noticed by peers as silence.
inline constexpr Duration kSlowIteration = 100ms;

// Logs slow event loop iterations, at most one line per second, with their
// number and the longest duration since the previous line.
class SlowIterationLog {
 public:
  void OnSlowIteration(Duration took, Instant now);

 private:
  Instant m_next_log_time{};
  uint64_t m_iterations = 0;  // since the previous log line
  Duration m_longest{};
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SLOW_TURNS_H_
