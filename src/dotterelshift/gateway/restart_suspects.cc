#include "dotterelshift/gateway/restart_suspects.h"

namespace dotterelshift::gateway {

void RestartSuspects::OnBroken(EndpointKey endpoint, EndpointIdKey id,
                               Instant now) {
  m_suspects[endpoint] = {id, now};
}

void RestartSuspects::OnBytes(EndpointKey endpoint, Instant connected_at,
                              Instant now) {
  const auto found = m_suspects.find(endpoint);
  if (found == m_suspects.end()) return;
  const Instant broken_at = found->second.broken_at;
  const bool survived = connected_at != Instant{} && connected_at < broken_at &&
                        now >= broken_at + m_options.read_delay;
  if (survived) m_suspects.erase(found);
}

void RestartSuspects::Update(const EndpointRuns& runs, Instant now) {
  std::erase_if(m_suspects, [&](const auto& item) {
    const Suspect& suspect = item.second;
    const ConnectionLife since = {suspect.broken_at, now};
    return now - suspect.broken_at > m_options.max_suspicion ||
           runs.During(suspect.id, since).proof == RunProof::kProven;
  });
}

std::vector<EndpointKey> RestartSuspects::All() const {
  std::vector<EndpointKey> endpoints;
  for (const auto& [endpoint, suspect] : m_suspects)
    endpoints.push_back(endpoint);
  return endpoints;
}

}  // namespace dotterelshift::gateway
