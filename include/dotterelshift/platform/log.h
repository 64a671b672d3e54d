#ifndef DOTTERELSHIFT_PLATFORM_LOG_H_
#define DOTTERELSHIFT_PLATFORM_LOG_H_

#include <initializer_list>  // for initializer_list
#include <iosfwd>            // for ostream
#include <string>            // for string
#include <string_view>       // for string_view

namespace dotterelshift::platform {

enum class LogLevel { kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  std::string value;
};

// Sets Boost.Log up with one synchronous sink on standard error: one JSON
// object a line, with time, level, host.
void StartLog(const std::string& host, LogLevel least);
// The same with another stream, which outlives the log. Until one of the two is
// called, nothing is written.
void StartLog(const std::string& host, LogLevel least, std::ostream& stream);

// Writes one line for a change of state. What happens often is a counter, not a
// line.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace dotterelshift::platform

#endif  // DOTTERELSHIFT_PLATFORM_LOG_H_
