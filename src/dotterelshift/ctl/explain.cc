#include "dotterelshift/ctl/explain.h"

#include <algorithm>          // for any_of, stable_sort
#include <istream>            // for getline
#include <nlohmann/json.hpp>  // for ordered_json
#include <optional>           // for optional
#include <set>                // for set

namespace dotterelshift::ctl {
namespace {

using Json = nlohmann::ordered_json;

std::string TextOf(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<LogLine> ReadLine(const std::string& text) {
  const size_t begin = text.find('{');
  if (begin == std::string::npos) return std::nullopt;
  const Json json =
      Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                  nullptr, false);
  if (!json.is_object() || !json.contains("event")) return std::nullopt;
  LogLine line;
  for (const auto& [name, value] : json.items()) {
    if (name == "time")
      line.time = TextOf(value);
    else if (name == "host")
      line.host = TextOf(value);
    else if (name == "event")
      line.event = TextOf(value);
    else if (name == "request")
      line.request = TextOf(value);
    else if (name != "level")
      line.rest += " " + name + "=" + TextOf(value);
  }
  return line;
}

}  // namespace

void RequestTrace::ReadLog(std::istream& log) {
  for (std::string text; std::getline(log, text);) {
    std::optional<LogLine> line = ReadLine(text);
    if (!line) continue;
    const bool wanted = line->request.empty() || line->request == m_request;
    if (wanted) m_lines.push_back(std::move(*line));
  }
}

bool RequestTrace::HasRequest() const {
  return std::any_of(m_lines.begin(), m_lines.end(),
                     [](const LogLine& line) { return !line.request.empty(); });
}

std::vector<LogLine> RequestTrace::Lines() const {
  std::set<std::string> hosts;
  std::string first;
  std::string last;
  for (const LogLine& line : m_lines) {
    if (line.request.empty()) continue;
    hosts.insert(line.host);
    if (first.empty() || line.time < first) first = line.time;
    if (line.time > last) last = line.time;
  }
  std::vector<LogLine> lines;
  for (const LogLine& line : m_lines) {
    const bool host_involved = hosts.contains(line.host);
    const bool during_request = line.time >= first && line.time <= last;
    if (!line.request.empty() || (host_involved && during_request))
      lines.push_back(line);
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

}  // namespace dotterelshift::ctl
