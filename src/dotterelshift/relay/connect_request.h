#ifndef DOTTERELSHIFT_SRC_RELAY_CONNECT_REQUEST_H_
#define DOTTERELSHIFT_SRC_RELAY_CONNECT_REQUEST_H_

#include <cstddef>      // for size_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace dotterelshift::relay {

// The head of a CONNECT request.
struct ConnectRequest {
  std::string target;  // IP:port
  std::string token;   // empty: none
  size_t size = 0;     // bytes of the head, with the empty line at its end
};

inline constexpr size_t kMaxConnectHeadBytes = 4 << 10;

enum class ConnectParse : uint8_t { kIncomplete, kBad, kComplete };

// Parses the head at the beginning of `bytes`. It is bad if it is no CONNECT
// request or is larger than kMaxConnectHeadBytes.
ConnectParse ParseConnect(std::string_view bytes, ConnectRequest* request);

}  // namespace dotterelshift::relay

#endif  // DOTTERELSHIFT_SRC_RELAY_CONNECT_REQUEST_H_
