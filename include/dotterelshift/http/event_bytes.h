#ifndef DOTTERELSHIFT_HTTP_EVENT_BYTES_H_
#define DOTTERELSHIFT_HTTP_EVENT_BYTES_H_

#include <cstddef>      // for size_t
#include <string_view>  // for string_view

namespace dotterelshift::http {

// Returns the offset just past the first server-sent event and its terminating
// empty line, or npos while the event is incomplete. `line`: where a line
// begins, before which no event ends; advanced to the last line that begins.
inline size_t FindEventEnd(std::string_view bytes, size_t& line) {
  while (true) {
    const size_t end = bytes.find('\n', line);
    if (end == std::string_view::npos) return end;
    const bool empty = end == line || (end == line + 1 && bytes[line] == '\r');
    if (empty) return end + 1;
    line = end + 1;
  }
}

inline size_t FindEventEnd(std::string_view bytes) {
  size_t line = 0;
  return FindEventEnd(bytes, line);
}

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_EVENT_BYTES_H_
