#include "dotterelshift/directory/directory.h"

#include <algorithm>  // for max, find
#include <utility>    // for move

namespace dotterelshift::directory {
namespace {

bool SameModel(const wire::ModelStateT& a, const wire::ModelStateT& b) {
  return a.model == b.model && a.version == b.version &&
         a.adapters == b.adapters;
}

// Whether two records have the same address, capacity, models and services.
bool SameOffer(const wire::EndpointRecordT& a, const wire::EndpointRecordT& b) {
  const bool same_place = a.incarnation == b.incarnation &&
                          a.address == b.address &&
                          a.data_centre == b.data_centre && a.slots == b.slots;
  if (a.software_version != b.software_version) return false;
  if (!same_place || a.services != b.services) return false;
  if (a.models.size() != b.models.size()) return false;
  for (size_t i = 0; i < a.models.size(); ++i) {
    if (!SameModel(*a.models[i], *b.models[i])) return false;
  }
  return true;
}

// Whether two records agree on the availability of the endpoint.
bool SameAvailability(const wire::EndpointRecordT& a,
                      const wire::EndpointRecordT& b) {
  return a.incarnation == b.incarnation && a.draining == b.draining &&
         a.gone == b.gone && a.silent == b.silent;
}

// The time at which the first daemon received the update.
Instant ReceivedAt(uint32_t age_ms, Instant now) {
  return now - std::chrono::milliseconds(age_ms);
}

bool IsReplaced(const Endpoint& endpoint) {
  return endpoint.replaced_at != Instant{} &&
         endpoint.last_news <= endpoint.replaced_at;
}

// Draining and gone stay set for the rest of the incarnation.
void MergeSticky(wire::EndpointRecordT* record, bool draining, bool gone) {
  record->draining = record->draining || draining;
  record->gone = record->gone || gone;
}

}  // namespace

bool Directory::CheckTombstone(wire::EndpointRecordT* record) {
  const auto it = m_tombstones.find(record->id);
  if (it == m_tombstones.end()) return true;
  const Tombstone& tombstone = it->second;
  if (record->incarnation < tombstone.incarnation) return false;
  if (record->incarnation == tombstone.incarnation) {
    if (record->sequence <= tombstone.sequence) return false;
    MergeSticky(record, tombstone.draining, tombstone.gone);
  }
  m_tombstones.erase(it);
  return true;
}

bool Directory::OnRecord(const wire::EndpointRecordT& update, Instant now) {
  return Take(update, now) != RecordUpdate::kStale;
}

RecordUpdate Directory::Take(const wire::EndpointRecordT& update, Instant now) {
  wire::EndpointRecordT record = update;
  const auto it = m_endpoints.find(record.id);
  if (it == m_endpoints.end()) return AddEndpoint(std::move(record), now);
  Endpoint& endpoint = it->second;
  wire::EndpointRecordT& known = endpoint.record;
  if (record.incarnation < known.incarnation) return RecordUpdate::kStale;
  const Instant heard = ReceivedAt(record.age_ms, now);
  if (record.incarnation == known.incarnation) {
    CheckSoftware(known, &record);
    if (record.sequence <= known.sequence)
      return MergeStickyFlags(&endpoint, record, now);
    MergeSticky(&record, known.draining, known.gone);
    endpoint.last_news = std::max(endpoint.last_news, heard);
  } else {
    endpoint.last_news = heard;
    endpoint.last_evidence = {};
    endpoint.dead_until = {};
  }
  const bool same_offer = SameOffer(known, record);
  const bool same_marks = SameAvailability(known, record);
  if (!same_offer) ++m_generation;
  known = std::move(record);
  UpdateUsable(&endpoint, now);
  m_changed.insert(known.id);
  return same_offer && same_marks ? RecordUpdate::kLoad : RecordUpdate::kOffer;
}

// A record without a version comes from a daemon that does not know the field.
void Directory::CheckSoftware(const wire::EndpointRecordT& known,
                              wire::EndpointRecordT* update) {
  if (update->software_version.empty())
    update->software_version = known.software_version;
  const std::string& version = update->software_version;
  const bool same =
      version == known.software_version && update->services == known.services;
  if (known.software_version.empty() || same) return;
  update->gone = true;
  if (known.gone) return;
  m_contradictions.push_back({known.id, known.software_version, version});
}

RecordUpdate Directory::AddEndpoint(wire::EndpointRecordT record, Instant now) {
  if (!CheckTombstone(&record)) return RecordUpdate::kStale;
  Endpoint& endpoint = m_endpoints[record.id];
  endpoint.last_news = ReceivedAt(record.age_ms, now);
  endpoint.record = std::move(record);
  ++m_generation;
  CompareAddress(&endpoint, now);
  UpdateUsable(&endpoint, now);
  m_changed.insert(endpoint.record.id);
  return RecordUpdate::kOffer;
}

// Usually the added one is the later. A report that was held up may arrive
// after the next endpoint has announced the address; the one that lives
// announces itself again.
void Directory::CompareAddress(Endpoint* added, Instant now) {
  if (added->record.gone) return;
  for (auto& [id, other] : m_endpoints) {
    if (&other == added || other.record.address != added->record.address ||
        other.last_news == added->last_news)
      continue;
    const bool other_is_earlier = other.last_news < added->last_news;
    Endpoint* earlier = other_is_earlier ? &other : added;
    const Instant later_news = std::max(other.last_news, added->last_news);
    earlier->replaced_at = std::max(earlier->replaced_at, later_news);
    UpdateUsable(earlier, now);
  }
}

// An update that is not newer can only add flags.
RecordUpdate Directory::MergeStickyFlags(Endpoint* endpoint,
                                         const wire::EndpointRecordT& late,
                                         Instant now) {
  wire::EndpointRecordT& known = endpoint->record;
  const bool becomes_silent =
      late.silent && !known.silent && late.sequence == known.sequence;
  const bool adds = (late.draining && !known.draining) ||
                    (late.gone && !known.gone) || becomes_silent;
  if (!adds) return RecordUpdate::kStale;
  MergeSticky(&known, late.draining, late.gone);
  known.silent = known.silent || becomes_silent;
  UpdateUsable(endpoint, now);
  m_changed.insert(known.id);
  return RecordUpdate::kOffer;
}

RecordUpdate Directory::ApplyLoad(const EndpointId& id, uint64_t incarnation,
                                  const LoadReport& load, Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return RecordUpdate::kStale;
  Endpoint& endpoint = it->second;
  wire::EndpointRecordT& known = endpoint.record;
  const bool newer =
      known.incarnation == incarnation && load.sequence > known.sequence;
  if (!newer) return RecordUpdate::kStale;
  const bool was_silent = known.silent;
  known.sequence = load.sequence;
  known.running = load.running;
  known.waiting = load.waiting;
  known.tokens_per_second = load.tokens_per_second;
  known.silent = false;
  endpoint.last_news =
      std::max(endpoint.last_news, ReceivedAt(load.age_ms, now));
  UpdateUsable(&endpoint, now);
  m_changed.insert(id);
  return was_silent ? RecordUpdate::kOffer : RecordUpdate::kLoad;
}

void Directory::SetAnnouncedHere(const EndpointId& id, bool announced_here) {
  const auto it = m_endpoints.find(id);
  if (it != m_endpoints.end()) it->second.announced_here = announced_here;
}

void Directory::SetRemoteSilenceTimeout(Duration silence) {
  m_remote_silence_timeout = silence;
}

void Directory::OnAlive(const EndpointId& id, Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return;
  it->second.last_evidence = now;
  it->second.dead_until = {};
  UpdateUsable(&it->second, now);
}

void Directory::OnDead(const EndpointId& id, uint64_t incarnation,
                       Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return;
  // A failure of an older incarnation says nothing about the current one.
  if (it->second.record.incarnation != incarnation) return;
  it->second.dead_until = now + m_options.dead_hold;
  it->second.last_evidence = {};
  UpdateUsable(&it->second, now);
}

bool Directory::OnReplaced(const EndpointId& id, Instant now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end() || IsReplaced(it->second)) return false;
  it->second.replaced_at = now;
  UpdateUsable(&it->second, now);
  return true;
}

bool Directory::OnTimer(Instant now) {
  const uint64_t before = m_generation;
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    Endpoint& endpoint = it->second;
    UpdateUsable(&endpoint, now);
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
  const wire::EndpointRecordT& record = endpoint.record;
  if (record.draining || record.gone || IsReplaced(endpoint)) return false;
  if (now < endpoint.dead_until) return false;
  const bool own_evidence =
      now - endpoint.last_evidence < m_options.silent_after;
  if (own_evidence) return true;
  return !record.silent &&
         now - endpoint.last_news < SilenceTimeoutOf(endpoint);
}

Duration Directory::SilenceTimeoutOf(const Endpoint& endpoint) const {
  if (endpoint.announced_here) return m_options.silent_after;
  return std::max(m_options.silent_after, m_remote_silence_timeout);
}

void Directory::UpdateUsable(Endpoint* endpoint, Instant now) {
  const bool usable = IsUsable(*endpoint, now);
  if (usable == endpoint->usable) return;
  endpoint->usable = usable;
  ++m_generation;
}

}  // namespace dotterelshift::directory
