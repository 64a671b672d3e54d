#include "dotterelshift/app/dial_log.h"

#include <bit>     // for has_single_bit
#include <string>  // for string, to_string

#include "dotterelshift/base/time.h"      // for ToMs
#include "dotterelshift/telemetry/log.h"  // for Log

namespace dotterelshift::app {

void LogDial(const peers::DialReport& report) {
  const bool up = report.result == peers::DialResult::kUp;
  if (!up && !std::has_single_bit(report.attempt)) return;
  telemetry::Log(
      up ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
      "peer_dial",
      {{"address", report.address},
       {"result", std::string(peers::NameOf(report.result))},
       {"attempt", std::to_string(report.attempt)},
       {"took_ms", std::to_string(ToMs(report.took))},
       {"connected_after_ms", std::to_string(ToMs(report.connected_after))}});
}

}  // namespace dotterelshift::app
