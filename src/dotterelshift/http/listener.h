#ifndef DOTTERELSHIFT_SRC_HTTP_LISTENER_H_
#define DOTTERELSHIFT_SRC_HTTP_LISTENER_H_

#include <netinet/in.h>  // for sockaddr_in

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop, IoWatcher, Timer

namespace dotterelshift::http {

// An address of either family.
union SocketAddress {
  sockaddr any;
  sockaddr_in v4;
  sockaddr_in6 v6;
};

// Takes connections on one address, and can stop listening for a while. While
// it does not listen, the system turns callers away before they have sent a
// byte of a request, and they may ask elsewhere at once.
class Listener {
 public:
  // Takes over a connection that has come, from `peer`.
  using OnConnection =
      std::function<void(int descriptor, const SocketAddress& peer)>;

  // Listens from the start; port 0: the system chooses. Throws
  // Error(kBadSettings) when the address cannot be bound.
  Listener(loop::Loop& loop, const std::string& address, uint16_t port,
           int backlog, OnConnection on_connection);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Stays the same while it does not listen.
  uint16_t Port() const { return m_port; }

  // Takes what has connected already, then listens no more.
  void Pause();
  // Listens again; false when the address cannot be bound now.
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
