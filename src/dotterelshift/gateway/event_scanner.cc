#include "dotterelshift/gateway/event_scanner.h"

#include <charconv>  // for from_chars

#include "dotterelshift/http/event_bytes.h"  // for FindEventEnd

namespace dotterelshift::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

// The id of an event if it is an integer; nullopt otherwise.
std::optional<uint64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    uint64_t id = 0;
    const auto read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

std::string EventScanner::Take(std::string_view bytes) {
  std::string complete_events;
  // Without the end of a line, no event ends.
  if (bytes.find('\n') == std::string_view::npos) {
    m_partial_event.append(bytes);
    return complete_events;
  }
  m_partial_event.append(bytes);
  size_t at = 0;
  while (true) {
    std::string_view left = m_partial_event;
    left.remove_prefix(at);
    const size_t size = http::FindEventEnd(left, m_last_line);
    if (size == std::string_view::npos) break;
    if (Accept(left.substr(0, size)))
      complete_events.append(left.substr(0, size));
    at += size;
    m_last_line = 0;
  }
  m_partial_event.erase(0, at);
  return complete_events;
}

bool EventScanner::Accept(std::string_view event) {
  const std::optional<uint64_t> id = IdOf(event);
  if (id && m_last_id && *id <= *m_last_id) return false;
  if (id && m_last_id && *id != *m_last_id + 1) m_gap = true;
  if (id) m_last_id = id;
  ++m_events;
  return true;
}

}  // namespace dotterelshift::gateway
