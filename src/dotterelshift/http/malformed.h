#ifndef DOTTERELSHIFT_SRC_HTTP_MALFORMED_H_
#define DOTTERELSHIFT_SRC_HTTP_MALFORMED_H_

#include <array>        // for array
#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t
#include <string_view>  // for string_view

namespace dotterelshift::http {

// Why a message is rejected: what in it could be read in several ways, or in
// none.
enum class Malformed : uint8_t {
  kNone,
  kLineEnd,     // CR or LF alone
  kControl,     // another control byte
  kFoldedLine,  // a header line that begins with white space
  kRequestLine,
  kHeaderName,
  kHost,     // none, or several
  kLength,   // not one number
  kCoding,   // not `chunked` alone
  kFraming,  // a length and a coding
  kChunk,    // its size, or its end
  kTrailer,
};

inline std::string_view NameOf(Malformed why) {
  constexpr std::array<std::string_view, 12> kNames = {
      "none", "line_end", "control", "folded_line", "request_line", "name",
      "host", "length",   "coding",  "framing",     "chunk",        "trailer"};
  return kNames.at(static_cast<size_t>(why));
}

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_MALFORMED_H_
