#ifndef DOTTERELSHIFT_SRC_HTTP_REQUEST_HEAD_H_
#define DOTTERELSHIFT_SRC_HTTP_REQUEST_HEAD_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t, uint64_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/malformed.h"  // for Malformed
#include "dotterelshift/http/server.h"     // for Headers

namespace dotterelshift::http {

// The head of a request that can be read in one way only.
struct RequestHead {
  std::string method;
  std::string target;  // with the query, not decoded
  Headers headers;     // names in lower case, values without outer white space
  bool http_1_0 = false;
  bool keep_alive = true;  // as the caller asks
  bool chunked = false;
  std::optional<uint64_t> length;  // of the body, as stated
  bool expects_continue = false;
};

// Finds the end of a head in bytes that arrive in pieces, and bytes that no
// head may hold as soon as they arrive: control bytes, lines that end with less
// than CR LF, and folded lines.
class HeadScanner {
 public:
  enum class State : uint8_t { kMore, kComplete, kMalformed };

  // Looks at the bytes that have not been looked at before; `bytes` begins with
  // the head and holds all of it that has arrived.
  State Scan(std::string_view bytes);
  // Size of the complete head, with the empty line at its end.
  size_t Size() const { return m_scanned; }
  Malformed Why() const { return m_why; }
  // Whether a byte of the request line was seen: an empty line may come first.
  bool HasBegun() const { return m_has_line; }

 private:
  bool Take(char byte);
  bool Fail(Malformed why);
  bool BeginLine(char byte);
  bool EndLine();

  size_t m_scanned = 0;
  bool m_after_cr = false;
  bool m_line_empty = true;
  bool m_has_line = false;
  bool m_complete = false;
  Malformed m_why = Malformed::kNone;
};

struct HeadResult {
  Malformed malformed = Malformed::kNone;
  RequestHead head;
};

// Whether the request is of a method that has a body as a rule, and frames
// none.
bool MayLackFraming(const RequestHead& head);

// Reads a head that a HeadScanner has found to be complete. What different
// readers could take for different requests is malformed (RFC 9112, 5 and 6).
HeadResult ReadHead(std::string_view bytes);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_REQUEST_HEAD_H_
