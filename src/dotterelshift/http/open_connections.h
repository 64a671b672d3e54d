#ifndef DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_
#define DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::http {

// What tells a connection of this host from all others.
struct ConnectionName {
  std::string peer_ip;
  int peer_port = 0;
  int local_port = 0;

  auto operator<=>(const ConnectionName&) const = default;
};

// The ids of the requests that were sent on a connection. A server may send a
// response once more at any later time, so that they are kept for as long as
// the connection is used.
class SentIds {
 public:
  // An empty id is none.
  void Add(std::string_view id);
  bool Contains(std::string_view id) const;
  // No more are kept: the connection must not be used for another request.
  bool IsFull() const;

 private:
  std::vector<uint64_t> m_hashes;
};

// An established connection.
struct OpenConnection {
  int descriptor = -1;
  SentIds ids;
  uint32_t requests = 0;  // sent on it
  Instant last_error{};   // last response with an error status; epoch: none
};

// The established connections of a client. libcurl names a connection that it
// is about to reuse, and not its descriptor.
class OpenConnections {
 public:
  OpenConnection& Add(int descriptor, const ConnectionName& name);
  // It is closed.
  void Remove(int descriptor);
  // nullptr: it is not known.
  OpenConnection* Find(const ConnectionName& name);

 private:
  std::unordered_map<int, ConnectionName> m_names;
  std::map<ConnectionName, OpenConnection> m_connections;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_
