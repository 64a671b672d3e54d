#ifndef DOTTERELSHIFT_SRC_HTTP_OPEN_SOCKETS_H_
#define DOTTERELSHIFT_SRC_HTTP_OPEN_SOCKETS_H_

#include <map>            // for map
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map

namespace dotterelshift::http {

// What tells a connection of this host from all others.
struct ConnectionName {
  std::string peer_ip;
  int peer_port = 0;
  int local_port = 0;

  auto operator<=>(const ConnectionName&) const = default;
};

// The descriptors of established connections. libcurl names a connection that
// it is about to reuse, and not its descriptor.
class OpenSockets {
 public:
  void Add(int descriptor, const ConnectionName& name) {
    Remove(descriptor);
    m_names[descriptor] = name;
    m_descriptors[name] = descriptor;
  }
  // It is closed.
  void Remove(int descriptor) {
    const auto node = m_names.extract(descriptor);
    if (!node.empty()) m_descriptors.erase(node.mapped());
  }
  std::optional<int> Find(const ConnectionName& name) const {
    const auto found = m_descriptors.find(name);
    if (found == m_descriptors.end()) return std::nullopt;
    return found->second;
  }

 private:
  std::unordered_map<int, ConnectionName> m_names;
  std::map<ConnectionName, int> m_descriptors;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_OPEN_SOCKETS_H_
