#ifndef DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_
#define DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <optional>       // for optional
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

// What a connection carried before a request.
struct EarlierUse {
  uint32_t requests = 0;
  // Since the last response with an error status; nullopt: there was none.
  std::optional<Duration> since_error;
};

// Whether a request may be sent on an established connection.
enum class Reuse : uint8_t {
  kAllowed,
  kNotKnown,    // what it carried is not known, or not kept any more
  kRepeatedId,  // it has carried a request of the same id
};

// The established connections of a client. libcurl names a connection that it
// is about to reuse, and not its descriptor.
//
// Load pattern: an endpoint refuses a request and starts again at its address;
// the request goes to that address once more, where a copy of the refusal is
// still to come. The copy bears the id of the request that is due.
class OpenConnections {
 public:
  void Add(int descriptor, const ConnectionName& name);
  // It is closed.
  void Remove(int descriptor);
  // nullopt: it is not known.
  std::optional<int> DescriptorOf(const ConnectionName& name) const;

  Reuse MayCarry(const ConnectionName& name, std::string_view id) const;
  // A request is sent on the connection, if it is known.
  EarlierUse OnSent(const ConnectionName& name, std::string_view id,
                    Instant now);
  // The head of a response was received on it.
  void OnStatus(const ConnectionName& name, int status, Instant now);

 private:
  struct Connection {
    int descriptor = -1;
    SentIds ids;
    uint32_t requests = 0;
    Instant last_error{};  // the epoch: there was none
  };
  std::unordered_map<int, ConnectionName> m_names;
  std::map<ConnectionName, Connection> m_connections;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_OPEN_CONNECTIONS_H_
