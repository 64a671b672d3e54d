#ifndef DOTTERELSHIFT_APP_SLOW_TURNS_H_
#define DOTTERELSHIFT_APP_SLOW_TURNS_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Duration, Instant

namespace dotterelshift::app {

// Event loop iterations at least this long may be noticed by peers as silence.
inline constexpr Duration kSlowTurn = 100ms;

// Logs slow event loop iterations, at most one line per second, with their
// number and the longest duration since the previous line.
class SlowTurns {
 public:
  void OnSlowTurn(Duration took, Instant now);

 private:
  Instant m_next_line{};
  uint64_t m_turns = 0;  // since the previous log line
  Duration m_longest{};
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SLOW_TURNS_H_
