#include "dotterelshift/app/slow_turns.h"

#include <algorithm>  // for max
#include <string>     // for to_string

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {

void SlowIterationLog::OnSlowIteration(Duration took, Instant now) {
  constexpr Duration kLogInterval = 1s;
  ++m_iterations;
  m_longest = std::max(m_longest, took);
  if (now < m_next_log_time) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "slow_turn",
                 {{"turns", std::to_string(m_iterations)},
                  {"longest_ms", std::to_string(ToMs(m_longest))}});
  m_next_log_time = now + kLogInterval;
  m_iterations = 0;
  m_longest = Duration{};
}

}  // namespace dotterelshift::app
