#ifndef DOTTERELSHIFT_HTTP_IDLE_CONNECTIONS_H_
#define DOTTERELSHIFT_HTTP_IDLE_CONNECTIONS_H_

#include <functional>     // for function
#include <memory>         // for unique_ptr
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/base/time.h"  // for Instant
#include "dotterelshift/loop/loop.h"  // for IoWatcher

namespace dotterelshift::http {

// Notices at once when a server closes a connection that is kept for reuse,
// which libcurl looks at only when it is used again.
class IdleConnections {
 public:
  // server: IP:port; idle: since the last response on the connection.
  using OnClosed =
      std::function<void(const std::string& server, Duration idle)>;
  IdleConnections(loop::Loop& loop, OnClosed on_closed)
      : m_loop(loop), m_on_closed(std::move(on_closed)) {}

  // The connection is idle from now on.
  void Watch(int descriptor, const std::string& server);
  // It is used again, or closed by this side.
  void Forget(int descriptor);

 private:
  struct Connection {
    std::string server;
    Instant since{};
    std::unique_ptr<loop::IoWatcher> watcher;
  };

  void OnReadable(int descriptor);

  loop::Loop& m_loop;
  const OnClosed m_on_closed;
  // By descriptor. Never removed, so that no watcher is destroyed during its
  // own callback.
  std::unordered_map<int, Connection> m_connections;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_IDLE_CONNECTIONS_H_
