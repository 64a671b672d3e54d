#include "dotterelshift/directory/directory.h"

#include <algorithm>  // for max, find
#include <utility>    // for move

namespace dotterelshift::directory {
namespace {

bool SameModel(const wire::ModelStateT& a, const wire::ModelStateT& b) {
  return a.model == b.model && a.version == b.version &&
         a.adapters == b.adapters;
}

// Whether two records offer the same work at the same place.
bool SameOffer(const wire::EndpointRecordT& a, const wire::EndpointRecordT& b) {
  const bool same_place = a.incarnation == b.incarnation &&
                          a.address == b.address &&
                          a.data_centre == b.data_centre && a.slots == b.slots;
  if (!same_place || a.services != b.services) return false;
  if (a.models.size() != b.models.size()) return false;
  for (size_t i = 0; i < a.models.size(); ++i) {
    if (!SameModel(*a.models[i], *b.models[i])) return false;
  }
  return true;
}

// Draining and gone hold for the whole incarnation.
void KeepSticky(wire::EndpointRecordT* record, bool draining, bool gone) {
  record->draining = record->draining || draining;
  record->gone = record->gone || gone;
}

}  // namespace

bool Directory::PassTombstone(wire::EndpointRecordT* record) {
  const auto it = m_tombstones.find(record->id);
  if (it == m_tombstones.end()) return true;
  const Tombstone& tombstone = it->second;
  if (record->incarnation < tombstone.incarnation) return false;
  if (record->incarnation == tombstone.incarnation) {
    if (record->sequence <= tombstone.sequence) return false;
    KeepSticky(record, tombstone.draining, tombstone.gone);
  }
  m_tombstones.erase(it);
  return true;
}

bool Directory::OnRecord(const wire::EndpointRecordT& news, Instant now) {
  wire::EndpointRecordT record = news;
  const Instant heard = now - std::chrono::milliseconds(record.age_ms);
  const auto it = m_endpoints.find(record.id);
  if (it == m_endpoints.end()) {
    if (!PassTombstone(&record)) return false;
    Endpoint& endpoint = m_endpoints[record.id];
    endpoint.last_news = heard;
    endpoint.record = std::move(record);
    ++m_generation;
    Judge(&endpoint, now);
    NoteChange(endpoint.record.id);
    return true;
  }

  Endpoint& endpoint = it->second;
  wire::EndpointRecordT& known = endpoint.record;
  if (record.incarnation < known.incarnation) return false;
  if (record.incarnation == known.incarnation) {
    if (record.sequence <= known.sequence) {
      // Late news changes nothing but what is sticky.
      const bool adds =
          (record.draining && !known.draining) || (record.gone && !known.gone);
      if (!adds) return false;
      KeepSticky(&known, record.draining, record.gone);
      Judge(&endpoint, now);
      NoteChange(known.id);
      return true;
    }
    KeepSticky(&record, known.draining, known.gone);
    endpoint.last_news = std::max(endpoint.last_news, heard);
  } else {
    endpoint.last_news = heard;
    endpoint.last_evidence = {};
    endpoint.dead_until = {};
  }
  if (!SameOffer(known, record)) ++m_generation;
  known = std::move(record);
  Judge(&endpoint, now);
  NoteChange(known.id);
  return true;
}

void Directory::OnAlive(const EndpointId& id, Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return;
  it->second.last_evidence = now;
  it->second.dead_until = {};
  Judge(&it->second, now);
}

void Directory::OnDead(const EndpointId& id, uint64_t incarnation,
                       Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return;
  // An older run's death says nothing of the one that runs now.
  if (it->second.record.incarnation != incarnation) return;
  it->second.dead_until = now + m_options.dead_hold;
  it->second.last_evidence = {};
  Judge(&it->second, now);
}

bool Directory::OnTimer(Instant now) {
  const uint64_t before = m_generation;
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    Endpoint& endpoint = it->second;
    Judge(&endpoint, now);
    const Instant heard = std::max(endpoint.last_news, endpoint.last_evidence);
    if (now - heard < m_options.forget_after) {
      ++it;
      continue;
    }
    const wire::EndpointRecordT& record = endpoint.record;
    m_tombstones[record.id] = {record.incarnation, record.sequence,
                               record.draining, record.gone,
                               now + m_options.tombstone};
    it = m_endpoints.erase(it);
    ++m_generation;
  }
  std::erase_if(m_tombstones,
                [now](const auto& item) { return item.second.until <= now; });
  return m_generation != before;
}

wire::DirectoryDeltaT Directory::TakeDelta(Instant now) {
  wire::DirectoryDeltaT delta;
  for (const EndpointId& id : m_changed) {
    const Endpoint* endpoint = Find(id);
    if (endpoint == nullptr) continue;
    delta.records.push_back(
        std::make_unique<wire::EndpointRecordT>(AgedRecord(*endpoint, now)));
  }
  m_changed.clear();
  return delta;
}

wire::DirectoryDeltaT Directory::Everything(Instant now) const {
  wire::DirectoryDeltaT delta;
  for (const auto& [id, endpoint] : m_endpoints) {
    delta.records.push_back(
        std::make_unique<wire::EndpointRecordT>(AgedRecord(endpoint, now)));
  }
  return delta;
}

wire::EndpointRecordT Directory::AgedRecord(const Endpoint& endpoint,
                                            Instant now) const {
  wire::EndpointRecordT record = endpoint.record;
  const int64_t age = std::max<int64_t>(0, ToMs(now - endpoint.last_news));
  record.age_ms = static_cast<uint32_t>(age);
  return record;
}

const Endpoint* Directory::Find(const EndpointId& id) const {
  const auto it = m_endpoints.find(id);
  return it == m_endpoints.end() ? nullptr : &it->second;
}

bool Directory::IsUsable(const Endpoint& endpoint, Instant now) const {
  if (endpoint.record.draining || endpoint.record.gone) return false;
  if (now < endpoint.dead_until) return false;
  const Instant heard = std::max(endpoint.last_news, endpoint.last_evidence);
  return now - heard < m_options.silent_after;
}

void Directory::Judge(Endpoint* endpoint, Instant now) {
  const bool usable = IsUsable(*endpoint, now);
  if (usable == endpoint->usable) return;
  endpoint->usable = usable;
  ++m_generation;
}

void Directory::NoteChange(const EndpointId& id) {
  if (std::find(m_changed.begin(), m_changed.end(), id) == m_changed.end())
    m_changed.push_back(id);
}

}  // namespace dotterelshift::directory
