#include "dotterelshift/gateway/drain.h"

#include <algorithm>  // for min

namespace dotterelshift::gateway {
namespace {

// Time for control to accept the last reports and for callers to receive their
// last responses.
constexpr Duration kFinalReportTime = 500ms;

// The limit is enforced from outside, counted from the sending of the signal.
// The handling of the signal and the exit may each be late by one tick of
// 50 ms; the rest is for hosts on which the event loop's turns take longer.
// Without a margin, processes are killed at the end of their shutdown: this
// happened in each of five runs with 86 entries.
constexpr Duration kExitMargin = 250ms;

// If the limit is too short for both times, they are capped at the limit
// divided by these.
constexpr int kReportDivisor = 4;
constexpr int kMarginDivisor = 8;

}  // namespace

DrainSchedule MakeDrainSchedule(Instant now, Duration notice, Duration limit) {
  DrainSchedule times;
  times.begun = now;
  times.exit = now + limit - std::min(kExitMargin, limit / kMarginDivisor);
  times.response_deadline =
      times.exit - std::min(kFinalReportTime, limit / kReportDivisor);
  times.notice_end = std::min(now + notice, times.response_deadline);
  return times;
}

}  // namespace dotterelshift::gateway
