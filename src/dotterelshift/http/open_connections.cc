#include "dotterelshift/http/open_connections.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for find

namespace dotterelshift::http {
namespace {

// Ids of one connection: 4 KiB, and one new connection in so many requests.
constexpr size_t kMaxIds = 512;

// Ids of the same hash only cost a connection.
uint64_t HashOf(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

}  // namespace

void SentIds::Add(std::string_view id) {
  if (!id.empty()) m_hashes.push_back(HashOf(id));
}

bool SentIds::Contains(std::string_view id) const {
  if (id.empty()) return false;
  return std::ranges::find(m_hashes, HashOf(id)) != m_hashes.end();
}

bool SentIds::IsFull() const { return m_hashes.size() >= kMaxIds; }

OpenConnection& OpenConnections::Add(int descriptor,
                                     const ConnectionName& name) {
  Remove(descriptor);
  m_names[descriptor] = name;
  OpenConnection& connection = m_connections[name];
  connection = {};
  connection.descriptor = descriptor;
  return connection;
}

void OpenConnections::Remove(int descriptor) {
  const auto node = m_names.extract(descriptor);
  if (node.empty()) return;
  const auto found = m_connections.find(node.mapped());
  // The name may be that of a later connection.
  const bool is_its_own =
      found != m_connections.end() && found->second.descriptor == descriptor;
  if (is_its_own) m_connections.erase(found);
}

OpenConnection* OpenConnections::Find(const ConnectionName& name) {
  const auto found = m_connections.find(name);
  return found == m_connections.end() ? nullptr : &found->second;
}

}  // namespace dotterelshift::http
