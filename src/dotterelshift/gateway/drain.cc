#include "dotterelshift/gateway/drain.h"

namespace dotterelshift::gateway {

DrainTimes PlanDrain(Instant now, Duration notice, Duration limit) {
  DrainTimes times;
  times.begun = now;
  times.notice_end = now + notice;
  times.exit = now + limit;
  times.last_answer = times.exit - kLastReports;
  return times;
}

}  // namespace dotterelshift::gateway
