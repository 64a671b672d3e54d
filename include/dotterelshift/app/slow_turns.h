#ifndef DOTTERELSHIFT_APP_SLOW_TURNS_H_
#define DOTTERELSHIFT_APP_SLOW_TURNS_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Duration, Instant

namespace dotterelshift::app {

// A turn of the loop from which on peers may notice the silence.
inline constexpr Duration kSlowIteration = 100ms;

// Writes a line for slow turns of the loop, at most one a second, with the
// longest of those since the last line.
class SlowIterationLog {
 public:
  void OnSlowIteration(Duration took, Instant now);

 private:
  Instant m_next_log_time{};
  uint64_t m_iterations = 0;  // since the last line
  Duration m_longest{};
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SLOW_TURNS_H_
