#include "dotterelshift/endpoints/event_stream.h"

#include <algorithm>          // for clamp
#include <array>              // for array
#include <nlohmann/json.hpp>  // for json

#include "dotterelshift/http/event_bytes.h"  // for FindEventEnd

namespace dotterelshift::endpoints {
namespace {

using http::FindEventEnd;
using nlohmann::json;

constexpr std::string_view kEndMark = "[DONE]";
constexpr size_t kBytesPerToken = 4;

// Fields that contain generated text. An event with text in any of them is
// counted as one token.
constexpr std::array<std::string_view, 5> kTextFields = {
    "content", "text", "reasoning_content", "reasoning", "arguments"};

std::string_view TrimLeft(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  return begin == std::string_view::npos ? std::string_view()
                                         : text.substr(begin);
}

bool IsTextField(std::string_view name) {
  return std::ranges::find(kTextFields, name) != kTextFields.end();
}

// Result of scanning an event's JSON without parsing it.
struct EventScan {
  bool has_text = false;   // contains a non-empty text field
  bool has_usage = false;  // contains a usage other than null
};

// Checks each name before a colon. Quotes inside a JSON string are escaped, so
// text there that resembles a field name ends in a backslash and never matches.
EventScan ScanEventData(std::string_view data) {
  EventScan scan;
  for (size_t colon = data.find(':'); colon != std::string_view::npos;
       colon = data.find(':', colon + 1)) {
    if (colon < 2 || data[colon - 1] != '"') continue;
    const size_t quote = data.rfind('"', colon - 2);
    if (quote == std::string_view::npos) continue;
    const std::string_view name = data.substr(quote + 1, colon - quote - 2);
    const std::string_view value = TrimLeft(data.substr(colon + 1));
    if (name == "usage" && !value.starts_with("null")) scan.has_usage = true;
    if (value.size() >= 2 && value[0] == '"' && value[1] != '"' &&
        IsTextField(name))
      scan.has_text = true;
  }
  return scan;
}

Tokens CountOf(const json& usage, const char* name) {
  const auto found = usage.find(name);
  if (found == usage.end() || !found->is_number_unsigned()) return 0;
  return static_cast<Tokens>(
      std::min<uint64_t>(found->get<uint64_t>(), kMaxTokens));
}

void SetUsage(const json& answer, serving::Chunk* chunk) {
  const auto usage = answer.find("usage");
  if (usage == answer.end() || !usage->is_object()) return;
  chunk->has_usage = true;
  chunk->usage_prompt = CountOf(*usage, "prompt_tokens");
  chunk->usage_output = CountOf(*usage, "completion_tokens");
}

size_t TextBytes(const json& value, bool generated) {
  if (value.is_string())
    return generated ? value.get_ref<const std::string&>().size() : 0;
  size_t bytes = 0;
  if (value.is_array())
    for (const json& element : value) bytes += TextBytes(element, generated);
  if (!value.is_object()) return bytes;
  for (const auto& [name, field] : value.items()) {
    bytes += TextBytes(field, IsTextField(name));
  }
  return bytes;
}

}  // namespace

EventStream::State EventStream::Add(std::string_view bytes, const Sink& sink) {
  if (m_state != State::kOpen) return m_state;
  size_t used = 0;
  if (m_partial_event_bytes.empty()) {
    // The usual case: complete events are passed on without copying.
    ConsumeEvents(bytes, sink, &used);
    m_partial_event_bytes.assign(bytes.substr(used));
  } else {
    m_partial_event_bytes.append(bytes);
    const std::string joined = std::move(m_partial_event_bytes);
    ConsumeEvents(joined, sink, &used);
    m_partial_event_bytes.assign(joined, used);
  }
  if (m_state == State::kOpen &&
      m_partial_event_bytes.size() > m_max_event_bytes)
    m_state = State::kBroken;
  return m_state;
}

void EventStream::ConsumeEvents(std::string_view bytes, const Sink& sink,
                                size_t* used) {
  size_t flush_begin = 0;  // start of the events not yet passed to `sink`
  size_t at = 0;
  serving::Chunk chunk;
  const auto flush = [&](size_t end) {
    if (end > flush_begin || chunk.has_usage)
      sink(chunk, bytes.substr(flush_begin, end - flush_begin));
    chunk = {};
  };
  while (m_state == State::kOpen) {
    const size_t size = FindEventEnd(bytes.substr(at));
    if (size == std::string_view::npos) break;
    if (!ReadEvent(bytes.substr(at, size), &chunk)) {
      flush(at);
      flush_begin = at + size;
    }
    at += size;
  }
  flush(m_state == State::kOpen ? at : flush_begin);
  *used = at;
}

bool EventStream::ReadEvent(std::string_view event, serving::Chunk* chunk) {
  bool forward = true;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with("data:")) {
      forward = ReadData(TrimLeft(line.substr(5)), chunk) && forward;
      continue;
    }
    const bool known = line.empty() || line.front() == ':' ||
                       line.starts_with("event:") || line.starts_with("id:") ||
                       line.starts_with("retry:");
    if (!known) m_state = State::kBroken;
  }
  return forward && m_state == State::kOpen;
}

bool EventStream::ReadData(std::string_view data, serving::Chunk* chunk) {
  if (data == kEndMark) {
    m_state = State::kEnded;
    return false;
  }
  if (!data.starts_with('{') || !data.ends_with('}') ||
      data.starts_with("{\"error\"")) {
    m_state = State::kBroken;
    return false;
  }
  const EventScan scan = ScanEventData(data);
  if (scan.has_text) ++chunk->tokens;
  // Only events with a usage are parsed; most have none.
  if (!scan.has_usage) return true;
  if (!ReadUsage(data, chunk)) {
    m_state = State::kBroken;
    return false;
  }
  return scan.has_text || m_forward_usage || !chunk->has_usage ||
         data.find("\"finish_reason\":\"") != std::string_view::npos;
}

bool ReadUsage(std::string_view text, serving::Chunk* chunk) {
  const json answer = json::parse(text, nullptr, false);
  if (!answer.is_object()) return false;
  SetUsage(answer, chunk);
  return true;
}

Tokens EstimateTokens(std::string_view text) {
  const json answer = json::parse(text, nullptr, false);
  const size_t bytes = TextBytes(answer, false);
  return static_cast<Tokens>((bytes + kBytesPerToken - 1) / kBytesPerToken);
}

}  // namespace dotterelshift::endpoints
