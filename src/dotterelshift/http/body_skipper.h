#ifndef DOTTERELSHIFT_SRC_HTTP_BODY_SKIPPER_H_
#define DOTTERELSHIFT_SRC_HTTP_BODY_SKIPPER_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t, uint64_t
#include <optional>     // for optional
#include <string_view>  // for string_view

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// Finds the end of a response's body, as its framing says.
class BodySkipper {
 public:
  // nullopt: the body ends with its connection, or its framing is not
  // understood.
  static std::optional<BodySkipper> For(int status, const Headers& headers);

  // Returns how many of these bytes belong to the body. Fewer than given: the
  // body is complete, or its framing is wrong.
  size_t Take(std::string_view bytes);
  bool IsComplete() const { return m_state == State::kComplete; }
  bool IsBroken() const { return m_state == State::kBroken; }

 private:
  enum class State : uint8_t {
    kData,        // `m_left` bytes, of the body or of a chunk
    kChunkSize,   // the line before a chunk
    kChunkBreak,  // the line break after a chunk
    kTrailer,     // lines after the last chunk
    kComplete,
    kBroken,
  };

  void TakeByte(char byte);
  void EndLine();
  void EndSizeLine();

  bool m_chunked = false;
  State m_state = State::kData;
  uint64_t m_left = 0;
  bool m_size_read = false;     // a digit of the size was read
  bool m_in_extension = false;  // the rest of the size's line does not count
  bool m_line_empty = true;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_BODY_SKIPPER_H_
