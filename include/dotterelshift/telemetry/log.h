#ifndef DOTTERELSHIFT_TELEMETRY_LOG_H_
#define DOTTERELSHIFT_TELEMETRY_LOG_H_

#include <initializer_list>  // for initializer_list
#include <iosfwd>            // for ostream
#include <string>            // for string
#include <string_view>       // for string_view
#include <utility>           // for pair
#include <vector>            // for vector

namespace dotterelshift::telemetry {

enum class LogLevel { kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  std::string value;
};

// Sets up Boost.Log with one synchronous sink on standard output: one JSON
// object per line, with time, level and host. Lines that cannot be written yet
// are buffered up to a bound, then dropped and counted, so that logging never
// blocks the event loop.
void StartLog(const std::string& host, LogLevel least);
// Like the overload above, but writes to `stream`, which must outlive the log.
// Nothing is logged before one of the two overloads is called.
void StartLog(const std::string& host, LogLevel least, std::ostream& stream);

// Writes one line for a change of state. Frequent events are counted in metrics
// instead.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

// Writes one line for a decision on a request. Lines above a fixed rate are
// dropped; the next line that is written contains their number.
void LogDecision(
    std::string_view event, const std::string& request,
    const std::vector<std::pair<std::string_view, std::string>>& inputs);

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_TELEMETRY_LOG_H_
