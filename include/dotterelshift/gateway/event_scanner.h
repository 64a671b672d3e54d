#ifndef DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_
#define DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_

#include <cstdint>      // for uint64_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift::gateway {

// Splits an event stream into events. The bytes passed on always end at an
// event boundary, from where the stream can resume at another endpoint.
class EventScanner {
 public:
  // Adds bytes of the response. Returns the complete events to pass on now.
  std::string Take(std::string_view bytes);

  // The stream resumes at another endpoint: drops the partial event. Events
  // that were passed on before are skipped when they are received again.
  void Reset() {
    m_partial_event.clear();
    m_last_line = 0;
  }

  // The bytes of the last, still incomplete event.
  const std::string& PartialEvent() const { return m_partial_event; }
  // The id of the last event passed on; nullopt if no event had one.
  std::optional<uint64_t> LastId() const { return m_last_id; }
  uint64_t Events() const { return m_events; }
  // Whether an id did not follow the one before, so that events are missing.
  bool HasGap() const { return m_gap; }

 private:
  // Records the event. Returns whether it is to be passed on, that is, whether
  // it is not a duplicate.
  bool Accept(std::string_view event);

  std::string m_partial_event;
  // Where its last line begins: the lines before it are not searched again.
  size_t m_last_line = 0;
  std::optional<uint64_t> m_last_id;
  uint64_t m_events = 0;
  bool m_gap = false;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_
