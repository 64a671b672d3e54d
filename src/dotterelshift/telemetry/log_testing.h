#ifndef DOTTERELSHIFT_PLATFORM_LOG_TESTING_H_
#define DOTTERELSHIFT_PLATFORM_LOG_TESTING_H_

#include <sstream>  // for ostringstream
#include <string>   // for string

#include "dotterelshift/telemetry/log.h"  // for StartLog

namespace dotterelshift::telemetry {

// Captures the log of a test for the lifetime of the object.
class CapturedLog {
 public:
  explicit CapturedLog(LogLevel least) {
    Stream().str("");
    StartLog("plateau-1", least, Stream());
  }
  ~CapturedLog() { StartLog("tests", LogLevel::kError, Stream()); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  std::string Text() const { return Stream().str(); }

  // The number of lines with this event.
  size_t Count(const std::string& event) const {
    const std::string member = "\"event\":\"" + event + "\"";
    const std::string text = Text();
    size_t count = 0;
    for (size_t at = text.find(member); at != std::string::npos;
         at = text.find(member, at + 1))
      ++count;
    return count;
  }

 private:
  // Never destroyed, because the log keeps writing to it.
  static std::ostringstream& Stream() {
    static auto* const stream = new std::ostringstream;
    return *stream;
  }
};

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_PLATFORM_LOG_TESTING_H_
