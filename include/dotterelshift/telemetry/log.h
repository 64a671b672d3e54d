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

// Sets Boost.Log up with one synchronous sink on standard output: one JSON
// object a line, with time, level, host. Lines that the reader of the output
// does not take in time are held up to a bound, then dropped and counted: a
// log never blocks the loop.
void StartLog(const std::string& host, LogLevel least);
// The same with another stream, which outlives the log. Until one of the two is
// called, nothing is written.
void StartLog(const std::string& host, LogLevel least, std::ostream& stream);

// Writes one line for a change of state. What happens often is a counter, not a
// line.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

// Writes one line for a decision on a request. Above a rate that a process can
// afford lines are dropped, and the next one that is written says how many.
void LogDecision(
    std::string_view event, const std::string& request,
    const std::vector<std::pair<std::string_view, std::string>>& inputs);

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_TELEMETRY_LOG_H_
