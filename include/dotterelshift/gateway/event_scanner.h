#ifndef DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_
#define DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_

#include <cstdint>      // for uint64_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift::gateway {

// Cuts an event stream into whole events, so that what is passed on always ends
// between two events and the stream can go on at another endpoint from there.
class EventScanner {
 public:
  // Takes bytes of the answer and returns those that are to be passed on now:
  // whole events only.
  std::string Take(std::string_view bytes);

  // The stream goes on from another endpoint: the event that was not whole is
  // dropped, and what was passed on before is left out when it comes again.
  void Reset() { m_rest.clear(); }

  // The bytes of an event that is not whole yet.
  const std::string& Rest() const { return m_rest; }
  // The id of the last event passed on; none: no event had one.
  std::optional<uint64_t> LastId() const { return m_last_id; }
  uint64_t Events() const { return m_events; }
  // An id that does not follow the one before: events are missing.
  bool HasGap() const { return m_gap; }

 private:
  // True when the event is to be passed on.
  bool Note(std::string_view event);

  std::string m_rest;
  std::optional<uint64_t> m_last_id;
  uint64_t m_events = 0;
  bool m_gap = false;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_EVENT_SCANNER_H_
