#ifndef DOTTERELSHIFT_SRC_HTTP_LISTENER_H_
#define DOTTERELSHIFT_SRC_HTTP_LISTENER_H_

#include <netinet/in.h>  // for sockaddr_in

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop, IoWatcher, Timer

namespace dotterelshift::http {

// An IPv4 or IPv6 address.
union SocketAddress {
  sockaddr any;
  sockaddr_in v4;
  sockaddr_in6 v6;
};

// Accepts connections on one address; listening can be paused. While it is
// paused, the system refuses connections before their callers have sent any
// byte of a request, so that they can retry elsewhere at once.
class Listener {
 public:
  // Receives an accepted connection from `peer` and takes over its descriptor.
  using OnConnection =
      std::function<void(int descriptor, const SocketAddress& peer)>;

  // Starts listening at once; with port 0, the system chooses the port. Throws
  // Error(kBadSettings) if the address cannot be bound.
  Listener(loop::Loop& loop, const std::string& address, uint16_t port,
           int backlog, OnConnection on_connection);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The port, which stays the same while listening is paused.
  uint16_t Port() const { return m_port; }

  // Accepts the connections that are already queued, then stops listening.
  void Pause();
  // Listens again. Returns false if the address cannot be bound now.
  bool Resume();

 private:
  bool Open();
  void Close();
  void AcceptConnections();

  loop::Loop& m_loop;
  SocketAddress m_address;
  uint16_t m_port;
  const int m_backlog;
  const OnConnection m_on_connection;
  int m_descriptor = -1;  // -1: not listening
  std::unique_ptr<loop::IoWatcher> m_watcher;
  loop::Timer m_accept_retry_timer;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_LISTENER_H_
