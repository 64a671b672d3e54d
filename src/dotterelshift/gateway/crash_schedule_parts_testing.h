#ifndef DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_PARTS_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_PARTS_TESTING_H_

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t

#include "dotterelshift/base/time.h"  // for Duration

namespace dotterelshift::gateway {

struct CrashScheduleOptions {
  uint64_t seed = 1;
  double crashing_per_second = 8;  // requests with the crashing segment
  size_t teams = 1;                // that send them
  bool only_one_team = false;      // sends them; the others send sound ones
  bool before_head = false;        // endpoints crash before their first byte
  bool kills = false;              // of entries, one every two seconds
  bool other_crashes = false;      // a random endpoint every 0.7 s
  bool new_segments = false;  // each sound segment is seen three times only
  bool no_control = false;    // control cannot be reached
  Duration crashing_for = 18s;
};

// What an endpoint's callers, and the endpoints, saw.
struct CrashScheduleResult {
  size_t crashed = 0;  // endpoints, by the segment
  // Requests with the segment that reached endpoints later than half a second
  // after the third crash by it.
  size_t late = 0;
  // Sound requests that arrived from then on, and those of them that got a
  // whole response or lost their endpoint.
  size_t sound = 0;
  size_t served = 0;
  size_t lost = 0;
  // The same of teams that never sent the segment's crashing requests, but
  // sound ones that name it.
  size_t refused_of_others = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_CRASH_SCHEDULE_PARTS_TESTING_H_
