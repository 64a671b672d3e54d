#ifndef DOTTERELSHIFT_SRC_HTTP_RESPONSE_WRITER_H_
#define DOTTERELSHIFT_SRC_HTTP_RESPONSE_WRITER_H_

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::http {

// How the end of a response's body is told.
enum class ResponseFraming : uint8_t {
  kNoBody,   // its status or method allows none
  kLength,   // stated in its head
  kChunked,  // by the last chunk
  kClose,    // by the end of the connection, to a caller that knows no chunks
};

// What the request says about the response to it.
struct ResponseTerms {
  bool http_1_0 = false;
  bool head_only = false;  // the request's method is HEAD
  bool keep_alive = true;  // the caller keeps the connection
};

// `length`: of the body; nullopt: not known yet.
ResponseFraming FramingOf(int status, std::optional<size_t> length,
                          const ResponseTerms& terms);

// Writes the head of a response with the headers that its framing and
// connection need. Headers that no head may hold, as of a control byte in their
// value, are left out.
std::string MakeResponseHead(int status, const Headers& headers,
                             ResponseFraming framing,
                             std::optional<size_t> length, bool close,
                             const ResponseTerms& terms);

// Appends one chunk of a chunked body.
void AppendChunk(std::string_view data, std::string* out);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Whether one of the headers asks to close the connection.
bool AsksToClose(const Headers& headers);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RESPONSE_WRITER_H_
