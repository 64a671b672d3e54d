#include "dotterelshift/telemetry/log.h"

#include <unistd.h>  // for STDOUT_FILENO

#include <algorithm>                                 // for min
#include <boost/core/null_deleter.hpp>               // for null_deleter
#include <boost/log/core.hpp>                        // for core
#include <boost/log/sinks/sync_frontend.hpp>         // for synchronous_sink
#include <boost/log/sinks/text_ostream_backend.hpp>  // for text_ostream_backend
#include <boost/log/sources/record_ostream.hpp>      // for record_ostream
#include <boost/log/sources/severity_logger.hpp>     // for severity_logger
#include <boost/make_shared.hpp>                     // for make_shared
#include <chrono>                                    // for system_clock
#include <nlohmann/json.hpp>                         // for ordered_json
#include <ostream>                                   // for ostream

#include "dotterelshift/telemetry/bounded_output.h"  // for BoundedOutput

namespace dotterelshift::telemetry {
namespace {

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

// Set by StartLog(). Without a sink nothing is written.
struct LogSetup {
  std::string host;
  LogLevel least = LogLevel::kInfo;
  boost::shared_ptr<Sink> sink;
};

LogSetup& Setup() {
  static auto* const setup = new LogSetup;
  return *setup;
}

std::string_view NameOf(LogLevel level) {
  constexpr std::array<std::string_view, 3> kNames = {"info", "warning",
                                                      "error"};
  return kNames.at(static_cast<size_t>(level));
}

std::string UtcNow() {
  const auto now = std::chrono::system_clock::now();
  const int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                         now.time_since_epoch())
                         .count();
  const time_t seconds = ms / 1000;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const size_t size =
      strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(ms % 1000));
  return std::string(text.data(), size) + fraction.data();
}

nlohmann::ordered_json MakeLogLine(LogLevel level, std::string_view event) {
  nlohmann::ordered_json line;
  line["time"] = UtcNow();
  line["level"] = NameOf(level);
  line["host"] = Setup().host;
  line["event"] = event;
  return line;
}

std::string TextOf(const nlohmann::ordered_json& line) {
  // Replaces invalid UTF-8, so that logging never throws.
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

void Write(LogLevel level, const std::string& line) {
  static auto* const logger =
      new boost::log::sources::severity_logger<LogLevel>;
  BOOST_LOG_SEV(*logger, level) << line;
}

// A token bucket that limits lines per second and counts the dropped ones.
class LineRate {
 public:
  // Returns false when the line is to be dropped.
  bool Take(std::chrono::steady_clock::time_point now) {
    const std::chrono::duration<double> passed = now - m_since;
    m_since = now;
    m_available =
        std::min(kBurst, m_available + passed.count() * kLinesPerSecond);
    if (m_available < 1) {
      ++m_dropped;
      return false;
    }
    m_available -= 1;
    return true;
  }
  uint64_t ExchangeDropped() { return std::exchange(m_dropped, 0); }

 private:
  // A line takes about 10 microseconds, so this is at most 0.2 % of a core.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurst = 400;
  std::chrono::steady_clock::time_point m_since{};
  double m_available = kBurst;
  uint64_t m_dropped = 0;
};

}  // namespace

void StartLog(const std::string& host, LogLevel least) {
  static auto* const buffer = new BoundedOutput(STDOUT_FILENO);
  static auto* const stream = new std::ostream(buffer);
  StartLog(host, least, *stream);
}

void StartLog(const std::string& host, LogLevel least, std::ostream& stream) {
  LogSetup& setup = Setup();
  const auto core = boost::log::core::get();
  if (setup.sink) core->remove_sink(setup.sink);
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
  backend->auto_flush(true);
  setup.sink = boost::make_shared<Sink>(backend);
  setup.host = host;
  setup.least = least;
  core->add_sink(setup.sink);
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (!Setup().sink || level < Setup().least) return;
  nlohmann::ordered_json line = MakeLogLine(level, event);
  for (const LogField& field : fields)
    line[std::string(field.name)] = field.value;
  Write(level, TextOf(line));
}

void LogDecision(
    std::string_view event, const std::string& request,
    const std::vector<std::pair<std::string_view, std::string>>& inputs) {
  static auto* const rate = new LineRate;
  if (!Setup().sink || Setup().least > LogLevel::kInfo) return;
  if (!rate->Take(std::chrono::steady_clock::now())) return;
  nlohmann::ordered_json line = MakeLogLine(LogLevel::kInfo, event);
  line["request"] = request;
  for (const auto& [name, value] : inputs) line[std::string(name)] = value;
  if (const uint64_t dropped = rate->ExchangeDropped(); dropped > 0)
    line["lines_dropped"] = dropped;
  Write(LogLevel::kInfo, TextOf(line));
}

}  // namespace dotterelshift::telemetry
