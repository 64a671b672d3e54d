#include "dotterelshift/gateway/segment_cache.h"

namespace dotterelshift::gateway {

void SegmentCache::SetCapacity(Tokens capacity) {
  m_capacity = capacity;
  Trim();
}

void SegmentCache::Touch(uint64_t segment, Tokens tokens) {
  const auto known = m_places.find(segment);
  if (known != m_places.end()) {
    m_held += tokens - known->second->tokens;
    known->second->tokens = tokens;
    m_order.splice(m_order.begin(), m_order, known->second);
  } else {
    m_order.push_front({segment, tokens});
    m_places[segment] = m_order.begin();
    m_held += tokens;
  }
  Trim();
}

Tokens SegmentCache::Held(const std::vector<PromptSegment>& parts) const {
  Tokens held = 0;
  for (const PromptSegment& segment : parts) {
    if (!m_places.contains(segment.hash)) break;
    held += segment.tokens;
  }
  return held;
}

void SegmentCache::Clear() {
  m_order.clear();
  m_places.clear();
  m_held = 0;
}

void SegmentCache::Trim() {
  while (m_held > m_capacity && !m_order.empty()) {
    m_held -= m_order.back().tokens;
    m_places.erase(m_order.back().segment);
    m_order.pop_back();
  }
}

}  // namespace dotterelshift::gateway
