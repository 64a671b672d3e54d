#include "dotterelshift/directory/departures.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>  // for stable_partition
#include <iterator>   // for make_move_iterator
#include <utility>    // for move

namespace dotterelshift::directory {

bool IsDeparture(const wire::EndpointRecordT& record) {
  return record.draining || record.gone;
}

uint64_t DepartureKey(const wire::EndpointRecordT& record) {
  const uint64_t seed = 2 * record.incarnation + (record.gone ? 1 : 0);
  return XXH3_64bits_withSeed(record.id.data(), record.id.size(), seed);
}

void Departures::OnPeerDown(const HostId& host, Instant now) {
  m_peers.erase(host);
  for (auto& [key, holders] : m_holders) holders.hosts.erase(host);
  Settle(now);
}

bool Departures::Await(uint64_t key, size_t needed, Instant now,
                       Callback callback) {
  Waiting waiting{key, needed, now, std::move(callback)};
  const Decision decision = Decide(waiting, now);
  if (decision != Decision::kWait) {
    Finish(waiting, decision, now);
    return false;
  }
  m_waiting.push_back(std::move(waiting));
  return true;
}

void Departures::OnConfirmed(const HostId& from,
                             const std::vector<uint64_t>& keys, Instant now) {
  if (keys.empty() || !m_peers.contains(from)) return;
  for (const uint64_t key : keys) {
    Holders& holders = m_holders[key];
    holders.hosts.insert(from);
    holders.until = now + m_options.remember;
  }
  Settle(now);
}

void Departures::OnTimer(Instant now) {
  std::erase_if(m_holders,
                [now](const auto& item) { return item.second.until <= now; });
  Settle(now);
}

size_t Departures::HoldersOf(uint64_t key) const {
  const auto found = m_holders.find(key);
  return found == m_holders.end() ? 0 : found->second.hosts.size();
}

Departures::Decision Departures::Decide(const Waiting& waiting,
                                        Instant now) const {
  if (HoldersOf(waiting.key) >= waiting.needed) return Decision::kAcknowledge;
  const bool too_few = m_peers.size() < waiting.needed;
  const bool too_late = now - waiting.since >= m_options.confirm_timeout;
  return too_few || too_late ? Decision::kRefuse : Decision::kWait;
}

// The callbacks may announce further departures, so they are called last.
void Departures::Settle(Instant now) {
  const auto decided = std::stable_partition(
      m_waiting.begin(), m_waiting.end(), [&](const Waiting& waiting) {
        return Decide(waiting, now) == Decision::kWait;
      });
  const std::vector<Waiting> finished(std::make_move_iterator(decided),
                                      std::make_move_iterator(m_waiting.end()));
  m_waiting.erase(decided, m_waiting.end());
  for (const Waiting& waiting : finished)
    Finish(waiting, Decide(waiting, now), now);
}

void Departures::Finish(const Waiting& waiting, Decision decision,
                        Instant now) const {
  const ErrorKind error = decision == Decision::kAcknowledge
                              ? ErrorKind::kNone
                              : ErrorKind::kNoQuorum;
  waiting.callback({error, HoldersOf(waiting.key), now - waiting.since});
}

}  // namespace dotterelshift::directory
