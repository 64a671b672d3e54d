#ifndef DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_
#define DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_

#include <cstddef>      // for size_t
#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/serving/request_core.h"  // for Chunk

namespace dotterelshift::endpoints {

// Splits the bytes of an engine's server-sent events into whole events, counts
// their tokens and finds the usage and the end mark.
class EventStream {
 public:
  enum class State { kOpen, kEnded, kBroken };

  // `bytes` are whole events, and live until the call returns.
  using Sink = std::function<void(const serving::Chunk&, std::string_view)>;

  // Without `forward_usage` the event that holds nothing but the usage is not
  // part of the bytes.
  EventStream(bool forward_usage, size_t max_event_bytes)
      : m_forward_usage(forward_usage), m_max_event_bytes(max_event_bytes) {}

  // Hands the whole events over in as few pieces as possible, the end mark
  // never. Broken: a line that is no part of the protocol, an event past its
  // bound, or an error that the engine reports; nothing is handed over after.
  State Add(std::string_view bytes, const Sink& sink);

 private:
  void TakeEvents(std::string_view bytes, const Sink& sink, size_t* used);
  // Reads one event into the piece; false when the event is not for the caller.
  bool ReadEvent(std::string_view event, serving::Chunk* piece);
  bool ReadData(std::string_view data, serving::Chunk* piece);

  bool m_forward_usage;
  size_t m_max_event_bytes;
  State m_state = State::kOpen;
  std::string m_rest;  // of an event that is not whole yet
};

// Reads a usage object of an engine's JSON answer into the piece. False when
// the text is no JSON object.
bool ReadUsage(std::string_view json, serving::Chunk* piece);

// The entry's own count of the tokens in a whole answer without usage: a
// quarter of the bytes of its texts, rounded up.
Tokens EstimateTokens(std::string_view json);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_SRC_ENDPOINTS_EVENT_STREAM_H_
