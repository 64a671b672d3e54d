#include "dotterelshift/quarantine/suspects.h"

#include <algorithm>  // for min_element

namespace dotterelshift::quarantine {
namespace {

// Decrements a counter and erases it at zero.
template <typename Counts, typename Key>
void Decrement(Counts* counts, const Key& key) {
  const auto it = counts->find(key);
  if (it != counts->end() && --it->second <= 0) counts->erase(it);
}

}  // namespace

bool Suspects::IsSuspect(uint64_t content_hash) const {
  return m_suspects.contains(content_hash);
}

bool Suspects::MayStart(uint64_t content_hash) const {
  return !IsSuspect(content_hash) || !m_running.contains(content_hash);
}

std::vector<EndpointId> Suspects::Occupied() const {
  std::vector<EndpointId> endpoints;
  endpoints.reserve(m_occupied.size());
  for (const auto& [endpoint, count] : m_occupied)
    endpoints.push_back(endpoint);
  return endpoints;
}

bool Suspects::OnStarted(uint64_t content_hash, const EndpointId& endpoint) {
  ++m_running[content_hash];
  const bool alone = IsSuspect(content_hash);
  if (alone) ++m_occupied[endpoint];
  return alone;
}

void Suspects::OnEnded(uint64_t content_hash, const EndpointId& endpoint,
                       bool alone) {
  Decrement(&m_running, content_hash);
  if (alone) Decrement(&m_occupied, endpoint);
}

void Suspects::OnDeath(uint64_t content_hash, Instant now) {
  m_suspects[content_hash] = now;
  if (m_suspects.size() > m_options.max_suspects) ForgetOldest();
}

bool Suspects::OnAnswered(uint64_t content_hash) {
  return m_suspects.erase(content_hash) > 0;
}

void Suspects::OnTimer(Instant now) {
  std::erase_if(m_suspects, [this, now](const auto& item) {
    return now - item.second >= m_options.retention;
  });
}

void Suspects::ForgetOldest() {
  const auto older = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  m_suspects.erase(
      std::min_element(m_suspects.begin(), m_suspects.end(), older));
}

}  // namespace dotterelshift::quarantine
