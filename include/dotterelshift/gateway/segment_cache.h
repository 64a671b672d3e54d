#ifndef DOTTERELSHIFT_GATEWAY_SEGMENT_CACHE_H_
#define DOTTERELSHIFT_GATEWAY_SEGMENT_CACHE_H_

#include <cstdint>        // for uint64_t
#include <list>           // for list
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/tokens.h"      // for Tokens
#include "dotterelshift/gateway/request.h"  // for PromptSegment

namespace dotterelshift::gateway {

// Estimated content of an engine's prompt cache, derived from the requests sent
// there: prompt segments with least-recently-used eviction.
class SegmentCache {
 public:
  explicit SegmentCache(Tokens capacity = 0) : m_capacity(capacity) {}

  void SetCapacity(Tokens capacity);
  // A segment of a prompt was prefilled or reused there now.
  void Touch(uint64_t segment, Tokens tokens);
  // Number of tokens at the front of a prompt that need no prefill: a segment
  // counts only if all segments before it are cached as well.
  Tokens Held(const std::vector<PromptSegment>& parts) const;
  void Clear();

 private:
  struct Entry {
    uint64_t segment = 0;
    Tokens tokens = 0;
  };
  void Trim();

  Tokens m_capacity;
  Tokens m_held = 0;
  std::list<Entry> m_order;  // most recently used first
  std::unordered_map<uint64_t, std::list<Entry>::iterator> m_places;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_SEGMENT_CACHE_H_
