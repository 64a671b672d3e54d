#include "dotterelshift/http/open_connections.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for find

namespace dotterelshift::http {
namespace {

// Maximum number of ids kept for one connection, which is then left: 4 KiB.
constexpr size_t kMaxIds = 512;

// Two ids with the same hash cost a new connection, and nothing else.
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

void OpenConnections::Add(int descriptor, const ConnectionName& name) {
  Remove(descriptor);
  m_names[descriptor] = name;
  Connection& connection = m_connections[name];
  connection = {};
  connection.descriptor = descriptor;
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

std::optional<int> OpenConnections::DescriptorOf(
    const ConnectionName& name) const {
  const auto found = m_connections.find(name);
  if (found == m_connections.end()) return std::nullopt;
  return found->second.descriptor;
}

Reuse OpenConnections::MayCarry(const ConnectionName& name,
                                std::string_view id) const {
  const auto found = m_connections.find(name);
  if (found == m_connections.end()) return Reuse::kNotKnown;
  const SentIds& ids = found->second.ids;
  if (ids.Contains(id)) return Reuse::kRepeatedId;
  return ids.IsFull() ? Reuse::kNotKnown : Reuse::kAllowed;
}

EarlierUse OpenConnections::OnSent(const ConnectionName& name,
                                   std::string_view id, Instant now) {
  EarlierUse before;
  const auto found = m_connections.find(name);
  if (found == m_connections.end()) return before;
  Connection& connection = found->second;
  connection.ids.Add(id);
  before.requests = connection.requests++;
  if (connection.last_error != Instant{})
    before.since_error = now - connection.last_error;
  return before;
}

void OpenConnections::OnStatus(const ConnectionName& name, int status,
                               Instant now) {
  constexpr int kFirstErrorStatus = 400;
  const auto found = m_connections.find(name);
  if (status >= kFirstErrorStatus && found != m_connections.end())
    found->second.last_error = now;
}

}  // namespace dotterelshift::http
