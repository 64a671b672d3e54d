#include "dotterelshift/base/socket.h"

#include <netinet/tcp.h>  // for TCP_NODELAY
#include <sys/socket.h>   // for connect
#include <unistd.h>       // for close

#include <cerrno>  // for errno

#include "dotterelshift/base/address.h"  // for ParseAddress

namespace dotterelshift {
namespace {

bool BindTo(int descriptor, const std::string& source_address) {
  if (source_address.empty()) return true;
  const auto source = MakeAddress(source_address, 0);
  return source &&
         ::bind(descriptor, reinterpret_cast<const sockaddr*>(&*source),
                sizeof *source) == 0;
}

}  // namespace

void SetNoDelay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int ConnectFrom(const std::string& source_address, const std::string& target) {
  const auto address = ParseAddress(target);
  if (!address) return -1;
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  SetNoDelay(descriptor);
  const bool started =
      BindTo(descriptor, source_address) &&
      (::connect(descriptor, reinterpret_cast<const sockaddr*>(&*address),
                 sizeof *address) == 0 ||
       errno == EINPROGRESS);
  if (started) return descriptor;
  ::close(descriptor);
  return -1;
}

int TakeSocketError(int descriptor) {
  int error = 0;
  socklen_t length = sizeof error;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
    return errno;
  return error;
}

}  // namespace dotterelshift
