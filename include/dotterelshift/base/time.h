#ifndef DOTTERELSHIFT_BASE_TIME_H_
#define DOTTERELSHIFT_BASE_TIME_H_

#include <chrono>   // for steady_clock, milliseconds
#include <cstdint>  // for int64_t

namespace dotterelshift {

// A point on the monotonic clock. Cores receive it as an argument; only
// adapters read the clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

// Wall-clock milliseconds since the Unix epoch. Used only in records that
// people read, and to decide when those records expire.
using WallMs = int64_t;

// Converts to milliseconds, truncating.
constexpr int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_TIME_H_
