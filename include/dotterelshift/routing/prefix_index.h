#ifndef DOTTERELSHIFT_ROUTING_PREFIX_INDEX_H_
#define DOTTERELSHIFT_ROUTING_PREFIX_INDEX_H_

#include <array>          // for array
#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

namespace dotterelshift::routing {

// An endpoint that is believed to have a prompt's leading blocks cached.
struct PrefixHolder {
  uint32_t endpoint_number = 0;
  uint32_t epoch = 0;  // of the endpoint's cache when this was recorded
};

// Result of a look-up of a prompt.
struct PrefixMatch {
  static constexpr size_t kMax = 4;
  size_t blocks = 0;  // leading blocks that are cached; 0: none known
  std::array<PrefixHolder, kMax> holders{};
  size_t count = 0;
};

// Maps prompt prefixes to the endpoints that have them cached. Its sources are
// the engines' cache events, which arrive late and with gaps, and the prompts
// that this entry sent. The result is a hint and may be wrong. A gap in an
// endpoint's events increments its epoch, which invalidates all that was
// recorded before. Memory is bounded by two generations of entries: when the
// young generation is full, the old one is dropped.
class PrefixIndex {
 public:
  explicit PrefixIndex(size_t max_entries = 1 << 17)
      : m_max_entries(max_entries) {}

  // Handles a cache event of an endpoint's engine, in the order of arrival.
  void OnEvent(uint32_t endpoint_number, uint64_t incarnation,
               uint64_t sequence, uint64_t prefix_hash, bool stored);
  // This entry sends a prompt to the endpoint, whose engine will then cache it.
  void OnSent(uint32_t endpoint_number,
              const std::vector<uint64_t>& prefix_hashes);
  // Invalidates all that was recorded for the endpoint: its engine has lost its
  // cache, or its events are unreliable.
  void Invalidate(uint32_t endpoint_number);
  void Forget(uint32_t endpoint_number) { m_caches.erase(endpoint_number); }

  // Returns the endpoints with the longest known prefix.
  PrefixMatch Find(const std::vector<uint64_t>& prefix_hashes) const;

  size_t size() const { return m_young.size() + m_old.size(); }

 private:
  struct EndpointCache {
    uint64_t incarnation = 0;
    uint64_t last_sequence = 0;  // 0: no event seen yet
    uint32_t epoch = 0;
  };
  struct Holders {
    std::array<PrefixHolder, PrefixMatch::kMax> list{};
    uint8_t count = 0;
    uint8_t next = 0;  // index to overwrite when the list is full
  };
  using Entries = std::unordered_map<uint64_t, Holders>;

  void Add(uint64_t prefix_hash, PrefixHolder holder);
  void Remove(uint64_t prefix_hash, uint32_t endpoint_number);
  bool IsCurrent(const PrefixHolder& holder) const;
  void Collect(const Entries& entries, uint64_t prefix_hash,
               PrefixMatch* match) const;

  size_t m_max_entries;
  Entries m_young;
  Entries m_old;
  std::unordered_map<uint32_t, EndpointCache> m_caches;
};

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_PREFIX_INDEX_H_
