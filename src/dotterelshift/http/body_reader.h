#ifndef DOTTERELSHIFT_SRC_HTTP_BODY_READER_H_
#define DOTTERELSHIFT_SRC_HTTP_BODY_READER_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t, uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/malformed.h"     // for Malformed
#include "dotterelshift/http/request_head.h"  // for RequestHead

namespace dotterelshift::http {

// Reads the body of a request, as its head frames it, and finds its end. Chunks
// are read as RFC 9112, 7.1 writes them and in no other way. Trailers are
// checked and discarded: nothing passes them on.
class BodyReader {
 public:
  BodyReader() = default;
  explicit BodyReader(const RequestHead& head);

  // Appends to `body` what belongs to it and returns how many of these bytes
  // belong to the request. Fewer than given: it is complete, or malformed.
  size_t Take(std::string_view bytes, std::string* body);
  bool IsComplete() const { return m_state == State::kComplete; }
  bool IsMalformed() const { return m_why != Malformed::kNone; }
  Malformed Why() const { return m_why; }
  // Bytes of the body that are still to come as far as its framing has told.
  uint64_t Left() const { return m_left; }

 private:
  enum class State : uint8_t {
    kData,       // `m_left` bytes, of the body or of a chunk
    kSize,       // digits of a chunk's size
    kExtension,  // after them, up to the end of the line
    kSizeEnd,    // LF of that line
    kChunkCr,    // after a chunk
    kChunkLf,
    kTrailer,     // a line after the last chunk
    kTrailerEnd,  // LF of that line
    kComplete,
  };

  void TakeByte(char byte);
  void TakeSize(char byte);
  void TakeExtension(char byte);
  void EndSize();
  void EndTrailer();
  void Expect(char byte, char expected, State next);
  void Fail(Malformed why) { m_why = why; }

  bool m_chunked = false;
  State m_state = State::kComplete;
  Malformed m_why = Malformed::kNone;
  uint64_t m_left = 0;
  int m_size_digits = 0;
  std::string m_line;       // of an extension, or a trailer
  size_t m_line_bytes = 0;  // of all of them
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_BODY_READER_H_
