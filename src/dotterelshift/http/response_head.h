#ifndef DOTTERELSHIFT_SRC_HTTP_RESPONSE_HEAD_H_
#define DOTTERELSHIFT_SRC_HTTP_RESPONSE_HEAD_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t
#include <string_view>  // for string_view

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// What became of one line of a head.
enum class HeadLine : uint8_t {
  kTaken,
  kLast,     // the head is complete
  kRefused,  // no head, or too large
};

// The head of a response, as its lines arrive. Interim heads (status 1xx) are
// skipped, and so are trailers.
//
// It alone decides what the status of a response is: a head that libcurl might
// read in another way is refused, the connection is closed, and nothing of the
// response is believed.
class ResponseHead {
 public:
  // Lines end as they were received. Heads and trailers that are larger than 64
  // KiB together are refused: callers accept far less, and bytes may come
  // without end.
  HeadLine Take(std::string_view line);

  int Status() const { return m_status; }
  // Names are in lower case.
  const Headers& GetHeaders() const { return m_headers; }
  bool IsReceived() const { return m_received; }
  bool IsTooLarge() const;

 private:
  bool TakeStatus(std::string_view line);
  bool TakeHeader(std::string_view line);
  HeadLine EndHead();
  // Whether the end of the body is told in one way at the most.
  bool HasOneFraming() const;

  bool m_begun = false;  // the status line of the head was read
  int m_status = 0;
  Headers m_headers;
  bool m_received = false;
  size_t m_bytes = 0;  // of all heads and trailers
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RESPONSE_HEAD_H_
