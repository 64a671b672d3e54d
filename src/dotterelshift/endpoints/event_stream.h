#ifndef DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_
#define DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_

#include <cstddef>      // for size_t
#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/serving/request_core.h"  // for Chunk

namespace dotterelshift::endpoints {

// Splits an engine's server-sent event stream into complete events, counts
// their tokens, and detects the usage and the end marker.
class EventStream {
 public:
  enum class State { kOpen, kEnded, kBroken };

  // `bytes` holds complete events and is valid only during the call.
  using Sink = std::function<void(const serving::Chunk&, std::string_view)>;

  // Without `forward_usage`, an event that contains only the usage is removed
  // from the forwarded bytes.
  EventStream(bool forward_usage, size_t max_event_bytes)
      : m_forward_usage(forward_usage), m_max_event_bytes(max_event_bytes) {}

  // Passes complete events to `sink` in as few chunks as possible, without the
  // end marker. The stream is broken by a line that is not valid in the
  // protocol, an incomplete event larger than max_event_bytes, or an error
  // reported by the engine. Once it has ended or is broken, later bytes are
  // ignored.
  State Add(std::string_view bytes, const Sink& sink);

 private:
  void ConsumeEvents(std::string_view bytes, const Sink& sink, size_t* used);
  // Adds one event's tokens and usage to the chunk. Returns false if the event
  // is not forwarded to the caller.
  bool ReadEvent(std::string_view event, serving::Chunk* chunk);
  bool ReadData(std::string_view data, serving::Chunk* chunk);

  bool m_forward_usage;
  size_t m_max_event_bytes;
  State m_state = State::kOpen;
  std::string
      m_partial_event_bytes;  // start of an event that is still incomplete
};

// Copies the usage of an engine's JSON response, if it has one, to the chunk.
// Returns false if the text is not a JSON object.
bool ReadUsage(std::string_view json, serving::Chunk* chunk);

// Estimates the tokens of a complete response that reports no usage: a quarter
// of the bytes of its generated text, rounded up.
Tokens EstimateTokens(std::string_view json);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_
