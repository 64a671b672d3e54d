#include "dotterelshift/directory/spread.h"

#include <algorithm>  // for find, max, min
#include <limits>     // for numeric_limits
#include <string>     // for string
#include <utility>    // for exchange, move

#include "dotterelshift/directory/neighbours.h"  // for NeighboursOf

namespace dotterelshift::directory {
namespace {

constexpr double kPulseBytes = sizeof(wire::EndpointPulse);

// After this many consecutive announcements here, with none elsewhere in
// between, an endpoint is taken to announce itself only to this daemon.
constexpr uint32_t kAnnouncedHereCount = 3;

// An endpoint that announces itself to another daemon counts as silent after
// this many missed pulses.
constexpr int kMissedPulses = 3;

constexpr uint64_t kFnvStart = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

void Mix(uint64_t* hash, uint64_t byte) {
  *hash = (*hash ^ (byte & 0xff)) * kFnvPrime;
}

void MixNumber(uint64_t* hash, uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) Mix(hash, number >> shift);
}

void MixText(uint64_t* hash, const std::string& text) {
  for (const char letter : text) Mix(hash, static_cast<uint8_t>(letter));
  Mix(hash, 0);
}

// Hashes a record without its load and its age.
uint64_t DigestOf(const wire::EndpointRecordT& record) {
  uint64_t hash = kFnvStart;
  MixText(&hash, record.id);
  MixNumber(&hash, record.incarnation);
  MixText(&hash, record.address);
  MixNumber(&hash, record.slots);
  Mix(&hash, (record.draining ? 1 : 0) + (record.gone ? 2 : 0));
  for (const auto& model : record.models) {
    MixText(&hash, model->model);
    MixText(&hash, model->version);
    for (const std::string& adapter : model->adapters) MixText(&hash, adapter);
  }
  for (const std::string& service : record.services) MixText(&hash, service);
  return hash;
}

uint16_t ClampToUint16(uint64_t value) {
  constexpr uint64_t kMax = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(std::min(value, kMax));
}

wire::EndpointPulse PulseOf(const wire::EndpointRecordT& record, uint64_t key) {
  return {key,
          static_cast<uint32_t>(record.sequence),
          record.tokens_per_second,
          ClampToUint16(record.running),
          ClampToUint16(record.waiting),
          ClampToUint16(record.age_ms)};
}

// Restores the 64-bit sequence number closest to a known one from the low 32
// bits that a pulse carries.
uint64_t ExpandSequence(uint64_t known, uint32_t low) {
  constexpr uint64_t kHalf = uint64_t{1} << 31;
  constexpr uint64_t kRange = uint64_t{1} << 32;
  const uint64_t candidate = (known & ~(kRange - 1)) | low;
  if (candidate + kHalf < known) return candidate + kRange;
  if (candidate > known + kHalf && candidate >= kRange)
    return candidate - kRange;
  return candidate;
}

}  // namespace

uint64_t PulseKey(const EndpointId& endpoint, uint64_t incarnation) {
  uint64_t hash = kFnvStart;
  MixText(&hash, endpoint);
  MixNumber(&hash, incarnation);
  return hash;
}

Spread::Spread(const SpreadOptions& options, Directory* directory)
    : m_options(options), m_directory(directory) {
  m_roster.insert(m_options.self);
}

void Spread::OnPeerUp(const HostId& host, Instant /*now*/) {
  m_roster.insert(host);
  m_peers[host] = {};
  // The peer may have no records yet: both sides send their digests in the next
  // round.
  m_next_digest = {};
  ChooseNeighbours();
}

void Spread::OnPeerDown(const HostId& host, Instant /*now*/) {
  m_roster.erase(host);
  m_peers.erase(host);
  ChooseNeighbours();
}

void Spread::ChooseNeighbours() {
  m_neighbours = NeighboursOf(m_roster, m_options.self, m_options.fan_out);
}

Duration Spread::PulseInterval() const {
  // Each pulse is received and sent about fan_out times.
  const double copies =
      2 * static_cast<double>(std::min(m_options.fan_out, m_neighbours.size()));
  const double bytes =
      static_cast<double>(m_directory->All().size()) * kPulseBytes * copies;
  const std::chrono::duration<double> needed(bytes /
                                             m_options.pulse_bytes_per_second);
  return std::max(m_options.min_pulse_interval,
                  std::chrono::duration_cast<Duration>(needed));
}

RecordUpdate Spread::OnAnnounced(const wire::EndpointRecordT& record,
                                 Instant now) {
  const RecordUpdate news = m_directory->Take(record, now);
  if (news == RecordUpdate::kStale) return news;
  TrackedEndpoint& known = m_known[record.id];
  ++known.consecutive_announcements;
  m_directory->SetAnnouncedHere(
      record.id, known.consecutive_announcements >= kAnnouncedHereCount);
  // A report up to one round early counts as due, because announcements arrive
  // about as often as pulses are sent.
  const Duration interval = PulseInterval() - m_options.round;
  const bool due = now - known.last_pulse >= interval;
  if (news == RecordUpdate::kOffer || due)
    QueueUpdate(record.id, news, m_options.self, now);
  return news;
}

bool Spread::OnDelta(const HostId& from, const wire::DirectoryDeltaT& delta,
                     Instant now) {
  bool any_news = false;
  for (const auto& record : delta.records) {
    if (record == nullptr) continue;
    const bool left_before = HasLeft(record->id);
    const RecordUpdate news = m_directory->Take(*record, now);
    if (news == RecordUpdate::kStale) continue;
    any_news = true;
    QueueUpdate(record->id, news, from, now);
    if (!left_before && HasLeft(record->id))
      m_departures.push_back(
          {record->id, from, record->draining, record->gone, record->age_ms});
  }
  ApplyPulses(from, delta, now, &any_news);
  const auto peer = m_peers.find(from);
  if (peer == m_peers.end()) return any_news;
  if (delta.pull) peer->second.full_requested = true;
  if (delta.digest != 0) CompareDigest(from, delta.digest, now);
  return any_news;
}

bool Spread::HasLeft(const EndpointId& endpoint) const {
  const Endpoint* known = m_directory->Find(endpoint);
  if (known == nullptr) return false;
  const wire::EndpointRecordT& record = known->record;
  return record.draining || record.gone || record.silent;
}

std::vector<ReceivedDeparture> Spread::TakeDepartures() {
  return std::exchange(m_departures, {});
}

void Spread::ApplyPulses(const HostId& from, const wire::DirectoryDeltaT& delta,
                         Instant now, bool* any_news) {
  for (const wire::EndpointPulse& pulse : delta.pulses) {
    const auto id = m_by_key.find(pulse.key());
    if (id == m_by_key.end()) continue;  // repaired by the digests
    const Endpoint* endpoint = m_directory->Find(id->second);
    if (endpoint == nullptr) continue;
    LoadReport load;
    load.sequence = ExpandSequence(endpoint->record.sequence, pulse.sequence());
    load.running = pulse.running();
    load.waiting = pulse.waiting();
    load.tokens_per_second = pulse.tokens_per_second();
    load.age_ms = pulse.age_ms();
    const RecordUpdate news = m_directory->ApplyLoad(
        id->second, endpoint->record.incarnation, load, now);
    if (news == RecordUpdate::kStale) continue;
    *any_news = true;
    QueueUpdate(id->second, news, from, now);
  }
}

void Spread::QueueUpdate(const EndpointId& endpoint, RecordUpdate news,
                         const HostId& from, Instant now) {
  TrackedEndpoint& known = m_known[endpoint];
  const uint64_t incarnation = m_directory->Find(endpoint)->record.incarnation;
  const uint64_t key = PulseKey(endpoint, incarnation);
  if (known.key != key) {
    m_by_key.erase(known.key);
    known.key = key;
    m_by_key[key] = endpoint;
  }
  known.last_pulse = now;
  if (from != m_options.self) {
    known.consecutive_announcements = 0;
    m_directory->SetAnnouncedHere(endpoint, false);
  }
  Pending& pending = m_pending[endpoint];
  pending.whole = pending.whole || news == RecordUpdate::kOffer;
  pending.from = from;
}

void Spread::CompareDigest(const HostId& from, uint64_t digest, Instant now) {
  Neighbour& neighbour = m_peers[from];
  const bool differs = digest != Digest();
  // Updates in flight also make digests differ, so a full transfer is requested
  // only after two differing digests in a row. A daemon without records
  // requests it at once.
  const bool lasting = neighbour.differed || m_directory->All().empty();
  neighbour.differed = differs;
  if (!differs || !lasting) return;
  const bool pulled_before = neighbour.pulled != Instant{};
  if (pulled_before && now - neighbour.pulled < m_options.min_pull_interval)
    return;
  neighbour.pulled = now;
  neighbour.request_full = true;
}

uint64_t Spread::Digest() const {
  uint64_t digest = 1;
  for (const auto& [id, endpoint] : m_directory->All())
    digest ^= DigestOf(endpoint.record);
  return std::max<uint64_t>(digest, 1);
}

void Spread::AnnounceSilence(Instant now) {
  for (const auto& [id, endpoint] : m_directory->All()) {
    const bool silent = endpoint.announced_here && !endpoint.usable &&
                        !endpoint.record.silent && !endpoint.record.draining &&
                        !endpoint.record.gone && now >= endpoint.dead_until;
    if (!silent) continue;
    wire::EndpointRecordT record = endpoint.record;
    record.silent = true;
    if (m_directory->Take(record, now) != RecordUpdate::kStale)
      QueueUpdate(record.id, RecordUpdate::kOffer, m_options.self, now);
  }
}

std::vector<Outgoing> Spread::OnTimer(Instant now) {
  if (now < m_next_round) return {};
  m_next_round = now + m_options.round;
  m_directory->SetRemoteSilenceTimeout(kMissedPulses * PulseInterval());
  m_directory->OnTimer(now);
  AnnounceSilence(now);
  std::erase_if(m_known, [this](const auto& item) {
    if (m_directory->Find(item.first) != nullptr) return false;
    m_by_key.erase(item.second.key);
    return true;
  });

  const bool with_digest = now >= m_next_digest;
  if (with_digest) m_next_digest = now + m_options.digest_interval;
  std::vector<Outgoing> all;
  for (const auto& [host, peer] : m_peers) {
    const bool neighbour = std::find(m_neighbours.begin(), m_neighbours.end(),
                                     host) != m_neighbours.end();
    const bool asked = peer.full_requested || peer.request_full;
    if (!neighbour && !asked) continue;
    Outgoing outgoing{host, DeltaFor(host, with_digest && neighbour, now)};
    const wire::DirectoryDeltaT& delta = outgoing.delta;
    const bool empty = delta.records.empty() && delta.pulses.empty() &&
                       delta.digest == 0 && !delta.pull;
    if (!empty) all.push_back(std::move(outgoing));
  }
  for (auto& [host, peer] : m_peers) {
    peer.full_requested = false;
    peer.request_full = false;
  }
  m_pending.clear();
  return all;
}

wire::DirectoryDeltaT Spread::DeltaFor(const HostId& host, bool with_digest,
                                       Instant now) const {
  const Neighbour& peer = m_peers.at(host);
  wire::DirectoryDeltaT delta;
  delta.pull = peer.request_full;
  if (with_digest) delta.digest = Digest();
  if (peer.full_requested) {
    wire::DirectoryDeltaT everything = m_directory->AllRecords(now);
    delta.records = std::move(everything.records);
    return delta;
  }
  if (std::find(m_neighbours.begin(), m_neighbours.end(), host) ==
      m_neighbours.end())
    return delta;
  for (const auto& [id, pending] : m_pending) {
    const Endpoint* endpoint = m_directory->Find(id);
    if (endpoint == nullptr || pending.from == host) continue;
    wire::EndpointRecordT record = m_directory->AgedRecord(*endpoint, now);
    if (pending.whole) {
      delta.records.push_back(
          std::make_unique<wire::EndpointRecordT>(std::move(record)));
    } else {
      delta.pulses.push_back(PulseOf(record, m_known.at(id).key));
    }
  }
  return delta;
}

}  // namespace dotterelshift::directory
