#include "dotterelshift/http/idle_connections.h"

#include <sys/socket.h>  // for recv

#include <cerrno>  // for errno

namespace dotterelshift::http {
namespace {

// Whether the peer has closed or reset the connection. Bytes that nobody asked
// for do not close it.
bool IsClosed(int descriptor) {
  char byte = 0;
  const ssize_t got = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

}  // namespace

void IdleConnections::Watch(int descriptor, const std::string& server) {
  Connection& connection = m_connections[descriptor];
  connection.server = server;
  connection.since = m_loop.Now();
  if (connection.watcher) return connection.watcher->SetEvents(EV_READ);
  connection.watcher = std::make_unique<loop::IoWatcher>(
      m_loop, descriptor, EV_READ,
      [this, descriptor](int) { OnReadable(descriptor); });
}

void IdleConnections::Forget(int descriptor) {
  const auto found = m_connections.find(descriptor);
  if (found != m_connections.end()) found->second.watcher->SetEvents(0);
}

void IdleConnections::OnReadable(int descriptor) {
  // It stays readable until libcurl closes it.
  Forget(descriptor);
  const Connection& connection = m_connections.at(descriptor);
  if (IsClosed(descriptor))
    m_on_closed(connection.server, m_loop.Now() - connection.since);
}

}  // namespace dotterelshift::http
