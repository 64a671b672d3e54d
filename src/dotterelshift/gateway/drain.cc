#include "dotterelshift/gateway/drain.h"

#include <algorithm>  // for min

namespace dotterelshift::gateway {
namespace {

// For control to take the last reports: ten of its round trips at its slowest.
constexpr Duration kLastReports = 500ms;

// The limit is enforced from outside, from the signal's sending on: the signal
// is taken and the exit made a turn of the loop later, each some 50 ms, on a
// host with an eighth of a core.
constexpr Duration kMargin = 250ms;

// Of a limit too short for both, the parts that they take.
constexpr int kReportsPart = 4;
constexpr int kMarginPart = 8;

}  // namespace

DrainTimes PlanDrain(Instant now, Duration notice, Duration limit) {
  DrainTimes times;
  times.begun = now;
  times.exit = now + limit - std::min(kMargin, limit / kMarginPart);
  times.last_answer = times.exit - std::min(kLastReports, limit / kReportsPart);
  times.notice_end = std::min(now + notice, times.last_answer);
  return times;
}

}  // namespace dotterelshift::gateway
