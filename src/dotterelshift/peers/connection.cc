#include "dotterelshift/peers/connection.h"

#include <netinet/in.h>   // for IPPROTO_TCP
#include <netinet/tcp.h>  // for TCP_NODELAY
#include <sys/socket.h>   // for socket

#include <array>  // for array

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::peers {

int NewTcpSocket() {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    throw Error(ErrorKind::kInternal, "cannot create a TCP socket");
  return descriptor;
}

std::string_view NameOf(DialResult result) {
  constexpr std::array<std::string_view, 5> kNames = {
      "up", "refused", "connect_timeout", "hello_timeout", "closed"};
  return kNames.at(static_cast<size_t>(result));
}

DialResult FailureOf(const Connection& connection) {
  if (connection.timed_out)
    return connection.IsConnecting() ? DialResult::kConnectTimeout
                                     : DialResult::kHelloTimeout;
  return connection.IsConnecting() ? DialResult::kRefused : DialResult::kClosed;
}

}  // namespace dotterelshift::peers
