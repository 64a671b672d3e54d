#include "dotterelshift/http/listener.h"

#include <arpa/inet.h>   // for inet_pton
#include <sys/socket.h>  // for accept4
#include <unistd.h>      // for close

#include <cerrno>   // for errno
#include <cstring>  // for strerror
#include <utility>  // for move

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::http {
namespace {

// Delay before accept() is retried after an error such as running out of file
// descriptors.
constexpr Duration kAcceptRetryDelay = 100ms;

// Parses an IP address. Throws Error(kBadSettings) if it is not valid.
SocketAddress ParseAddress(const std::string& text) {
  SocketAddress address{};
  if (inet_pton(AF_INET, text.c_str(), &address.v4.sin_addr) == 1) {
    address.v4.sin_family = AF_INET;
  } else if (inet_pton(AF_INET6, text.c_str(), &address.v6.sin6_addr) == 1) {
    address.v6.sin6_family = AF_INET6;
  } else {
    throw Error(ErrorKind::kBadSettings, "not an IP address: " + text);
  }
  return address;
}

bool IsV6(const SocketAddress& address) {
  return address.any.sa_family == AF_INET6;
}

socklen_t SizeOf(const SocketAddress& address) {
  return IsV6(address) ? sizeof address.v6 : sizeof address.v4;
}

uint16_t PortOf(int descriptor) {
  SocketAddress bound{};
  socklen_t size = sizeof bound;
  if (::getsockname(descriptor, &bound.any, &size) != 0) return 0;
  return ntohs(IsV6(bound) ? bound.v6.sin6_port : bound.v4.sin_port);
}

// Whether an accept() error concerns only one connection, so that the next call
// may succeed.
bool IsTransientAcceptError(int error) {
  return error == EINTR || error == ECONNABORTED || error == EPROTO;
}

}  // namespace

Listener::Listener(loop::Loop& loop, const std::string& address, uint16_t port,
                   int backlog, OnConnection on_connection)
    : m_loop(loop),
      m_address(ParseAddress(address)),
      m_port(port),
      m_backlog(backlog),
      m_on_connection(std::move(on_connection)),
      m_accept_retry_timer(loop, [this] { m_watcher->SetEvents(EV_READ); }) {
  if (Open()) return;
  throw Error(ErrorKind::kBadSettings, "cannot listen on " + address + ":" +
                                           std::to_string(port) + ": " +
                                           std::strerror(errno));
}

bool Listener::Open() {
  const uint16_t port = htons(m_port);
  (IsV6(m_address) ? m_address.v6.sin6_port : m_address.v4.sin_port) = port;
  m_descriptor = ::socket(m_address.any.sa_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_descriptor < 0) return false;
  // Allow binding while connections of an earlier socket are still open.
  const int on = 1;
  ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(m_descriptor, &m_address.any, SizeOf(m_address)) != 0 ||
      ::listen(m_descriptor, m_backlog) != 0) {
    const int why = errno;
    Close();
    errno = why;
    return false;
  }
  m_port = PortOf(m_descriptor);
  m_watcher = std::make_unique<loop::IoWatcher>(
      m_loop, m_descriptor, EV_READ, [this](int) { AcceptConnections(); });
  return true;
}

void Listener::Close() {
  m_accept_retry_timer.Cancel();
  m_watcher.reset();
  if (m_descriptor >= 0) ::close(m_descriptor);
  m_descriptor = -1;
}

void Listener::Pause() {
  if (m_descriptor < 0) return;
  AcceptConnections();
  Close();
}

bool Listener::Resume() { return m_descriptor >= 0 || Open(); }

void Listener::AcceptConnections() {
  while (m_descriptor >= 0) {
    SocketAddress peer{};
    socklen_t size = sizeof peer;
    const int descriptor =
        ::accept4(m_descriptor, &peer.any, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
      m_on_connection(descriptor, peer);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (!IsTransientAcceptError(errno)) {
      m_watcher->SetEvents(0);
      m_accept_retry_timer.ArmIn(kAcceptRetryDelay);
      return;
    }
  }
}

}  // namespace dotterelshift::http
