#include "dotterelshift/routing/prefix_index.h"

#include <utility>  // for move

namespace dotterelshift::routing {
namespace {

// Prompts are recorded and looked up at 1, 2, 4, ... leading blocks only. This
// takes few look-ups for a prompt, and a match is at least half as long as the
// actual one.
size_t LargestPowerOfTwo(size_t blocks) {
  size_t step = 1;
  while (step * 2 <= blocks) step *= 2;
  return step;
}

}  // namespace

void PrefixIndex::OnEvent(uint32_t endpoint_number, uint64_t incarnation,
                          uint64_t sequence, uint64_t prefix_hash,
                          bool stored) {
  EndpointCache& cache = m_caches[endpoint_number];
  if (incarnation < cache.incarnation) return;
  if (incarnation > cache.incarnation) {
    // A new incarnation starts with an empty cache.
    if (cache.incarnation != 0) ++cache.epoch;
    cache.incarnation = incarnation;
    cache.last_sequence = 0;
  }
  if (sequence <= cache.last_sequence) return;
  const bool gap =
      cache.last_sequence != 0 && sequence != cache.last_sequence + 1;
  if (gap) ++cache.epoch;
  cache.last_sequence = sequence;
  if (stored) {
    Add(prefix_hash, {endpoint_number, cache.epoch});
  } else {
    Remove(prefix_hash, endpoint_number);
  }
}

void PrefixIndex::OnSent(uint32_t endpoint_number,
                         const std::vector<uint64_t>& prefix_hashes) {
  const uint32_t epoch = m_caches[endpoint_number].epoch;
  for (size_t blocks = 1; blocks <= prefix_hashes.size(); blocks *= 2)
    Add(prefix_hashes[blocks - 1], {endpoint_number, epoch});
}

void PrefixIndex::Invalidate(uint32_t endpoint_number) {
  ++m_caches[endpoint_number].epoch;
}

PrefixMatch PrefixIndex::Find(
    const std::vector<uint64_t>& prefix_hashes) const {
  PrefixMatch match;
  if (prefix_hashes.empty()) return match;
  for (size_t blocks = LargestPowerOfTwo(prefix_hashes.size()); blocks > 0;
       blocks /= 2) {
    Collect(m_young, prefix_hashes[blocks - 1], &match);
    Collect(m_old, prefix_hashes[blocks - 1], &match);
    if (match.count == 0) continue;
    match.blocks = blocks;
    return match;
  }
  return match;
}

void PrefixIndex::Add(uint64_t prefix_hash, PrefixHolder holder) {
  if (m_young.size() >= m_max_entries / 2 && !m_young.contains(prefix_hash)) {
    m_old = std::move(m_young);
    m_young.clear();
  }
  Holders& holders = m_young[prefix_hash];
  for (size_t i = 0; i < holders.count; ++i) {
    if (holders.list[i].endpoint_number != holder.endpoint_number) continue;
    holders.list[i].epoch = holder.epoch;
    return;
  }
  if (holders.count < holders.list.size()) {
    holders.list[holders.count++] = holder;
    return;
  }
  holders.list[holders.next] = holder;
  holders.next = static_cast<uint8_t>((holders.next + 1) % holders.list.size());
}

void PrefixIndex::Remove(uint64_t prefix_hash, uint32_t endpoint_number) {
  for (Entries* entries : {&m_young, &m_old}) {
    const auto it = entries->find(prefix_hash);
    if (it == entries->end()) continue;
    Holders& holders = it->second;
    for (size_t i = 0; i < holders.count; ++i) {
      if (holders.list[i].endpoint_number != endpoint_number) continue;
      holders.list[i] = holders.list[--holders.count];
      holders.next = 0;
      break;
    }
    if (holders.count == 0) entries->erase(it);
  }
}

bool PrefixIndex::IsCurrent(const PrefixHolder& holder) const {
  const auto it = m_caches.find(holder.endpoint_number);
  return it != m_caches.end() && it->second.epoch == holder.epoch;
}

void PrefixIndex::Collect(const Entries& entries, uint64_t prefix_hash,
                          PrefixMatch* match) const {
  const auto it = entries.find(prefix_hash);
  if (it == entries.end()) return;
  for (size_t i = 0; i < it->second.count; ++i) {
    if (match->count == match->holders.size()) return;
    const PrefixHolder& holder = it->second.list[i];
    if (IsCurrent(holder)) match->holders[match->count++] = holder;
  }
}

}  // namespace dotterelshift::routing
