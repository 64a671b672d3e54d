#include "dotterelshift/app/slow_turns.h"

#include <algorithm>  // for max
#include <string>     // for to_string

#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {

void SlowTurns::OnSlowTurn(Duration took, Instant now) {
  constexpr Duration kLineEvery = 1s;
  ++m_turns;
  m_longest = std::max(m_longest, took);
  if (now < m_next_line) return;
  telemetry::Log(telemetry::LogLevel::kInfo, "slow_turn",
                 {{"turns", std::to_string(m_turns)},
                  {"longest_ms", std::to_string(ToMs(m_longest))}});
  m_next_line = now + kLineEvery;
  m_turns = 0;
  m_longest = Duration{};
}

}  // namespace dotterelshift::app
