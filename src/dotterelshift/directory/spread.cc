#include "dotterelshift/directory/spread.h"

#include <algorithm>  // for any_of, max, min
#include <limits>     // for numeric_limits
#include <optional>   // for optional
#include <string>     // for string
#include <utility>    // for exchange, move

#include "dotterelshift/directory/departures.h"  // for DepartureKey
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
  Mix(&hash, (record.draining ? 1 : 0) + (record.gone ? 2 : 0) +
                 (record.silent ? 4 : 0));
  for (const auto& model : record.models) {
    MixText(&hash, model->model);
    MixText(&hash, model->version);
    for (const std::string& adapter : model->adapters) MixText(&hash, adapter);
  }
  for (const std::string& service : record.services) MixText(&hash, service);
  MixText(&hash, record.software_version);
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
    : m_options(options),
      m_directory(directory),
      m_requests(options.self, options.answer_timeout, OnlyReceives()) {
  m_roster.insert(m_options.self);
}

void Spread::OnPeerUp(const HostId& host, Instant now) {
  m_roster.insert(host);
  // A daemon that only receives and had no connection has missed updates for
  // certain, so it does not wait for the digest of its first peer.
  const bool returns = OnlyReceives() && m_peers.empty();
  m_peers[host] = {};
  m_requests.OnPeerUp(host, returns);
  ChooseNeighbours();
  m_peers[host].send_digest = IsNeighbour(host);
  AskIfDue(now);
}

void Spread::OnPeerDown(const HostId& host, Instant now) {
  m_roster.erase(host);
  m_peers.erase(host);
  m_requests.OnPeerDown(host);
  for (auto& [id, known] : m_known) {
    if (known.heard_from == host && !known.orphaned_at) known.orphaned_at = now;
  }
  m_synced = m_synced && !m_peers.empty();
  ChooseNeighbours();
  AskIfDue(now);
}

// A new neighbour is sent the digest in the next round, since it may lack
// records of this daemon.
void Spread::ChooseNeighbours() {
  const std::unordered_set<HostId> before = std::move(m_neighbours);
  const std::vector<HostId> chosen =
      NeighboursOf(m_roster, m_options.self, m_options.fan_out);
  m_neighbours = {chosen.begin(), chosen.end()};
  for (const HostId& host : m_neighbours) {
    if (before.contains(host)) continue;
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end()) peer->second.send_digest = true;
  }
}

bool Spread::IsNeighbour(const HostId& host) const {
  return m_neighbours.contains(host);
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
  const RecordUpdate update = m_directory->Take(record, now);
  if (update == RecordUpdate::kStale) return update;
  TrackedEndpoint& known = m_known[record.id];
  ++known.consecutive_announcements;
  m_directory->SetAnnouncedHere(
      record.id, known.consecutive_announcements >= kAnnouncedHereCount);
  // A report up to one round early counts as due, because announcements arrive
  // about as often as pulses are sent.
  const Duration interval = PulseInterval() - m_options.round;
  const bool due = now - known.shared_news >= interval;
  if (update == RecordUpdate::kOffer || due) {
    Track(record.id, m_options.self);
    QueueUpdate(record.id, update, m_options.self);
  }
  // A departure is not announced again, and this daemon may be lost once it
  // has acknowledged it: the others are told before.
  if (update == RecordUpdate::kOffer && HasLeft(record.id)) m_next_round = now;
  return update;
}

void Spread::RequestConfirmation(const EndpointId& endpoint, Instant now) {
  QueueUpdate(endpoint, RecordUpdate::kOffer, m_options.self);
  m_pending[endpoint].confirm = true;
  m_next_round = now;
}

bool Spread::OnDelta(const HostId& from, const wire::DirectoryDeltaT& delta,
                     Instant now) {
  bool any_update = false;
  for (const auto& record : delta.records) {
    if (record == nullptr) continue;
    const bool left_before = HasLeft(record->id);
    const bool known_before = m_directory->Find(record->id) != nullptr;
    const RecordUpdate update = m_directory->Take(*record, now);
    if (update == RecordUpdate::kStale) continue;
    any_update = true;
    Track(record->id, from);
    if (known_before || ForwardsAllOf(delta))
      QueueUpdate(record->id, update, from);
    if (!left_before && HasLeft(record->id))
      m_departures.push_back({record->id, from, record->draining, record->gone,
                              record->age_ms, delta.answer});
  }
  ApplyPulses(from, delta, now, &any_update);
  if (delta.confirm && !OnlyReceives()) ConfirmDepartures(from, delta);
  const auto peer = m_peers.find(from);
  if (peer == m_peers.end()) return any_update;
  if (delta.pull) {
    peer->second.asked_us = true;
    peer->second.held = {delta.held.begin(), delta.held.end()};
  }
  if (delta.answer || (delta.digest != 0 && delta.digest == Digest()))
    m_synced = true;
  if (delta.answer) {
    m_requests.OnAnswer(from, delta.digest);
  } else if (delta.digest != 0) {
    m_requests.OnDigest(from, delta.digest, Digest());
  }
  AskIfDue(now);
  return any_update;
}

// A later incarnation proves that the one that leaves has ended.
void Spread::ConfirmDepartures(const HostId& to,
                               const wire::DirectoryDeltaT& delta) {
  Outgoing confirmation{to, {}};
  for (const auto& record : delta.records) {
    if (record == nullptr || !IsDeparture(*record)) continue;
    const Endpoint* known = m_directory->Find(record->id);
    if (known == nullptr || known->record.incarnation < record->incarnation)
      continue;
    confirmation.delta.confirmed.push_back(DepartureKey(*record));
  }
  if (confirmation.delta.confirmed.empty()) return;
  m_confirmations.push_back(std::move(confirmation));
}

std::vector<Outgoing> Spread::TakeConfirmations() {
  return std::exchange(m_confirmations, {});
}

bool Spread::HasLeft(const EndpointId& endpoint) const {
  const Endpoint* known = m_directory->Find(endpoint);
  if (known == nullptr) return false;
  const wire::EndpointRecordT& record = known->record;
  return IsDeparture(record) || record.silent;
}

std::vector<ReceivedDeparture> Spread::TakeDepartures() {
  return std::exchange(m_departures, {});
}

void Spread::ApplyPulses(const HostId& from, const wire::DirectoryDeltaT& delta,
                         Instant now, bool* any_update) {
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
    const RecordUpdate update = m_directory->ApplyLoad(
        id->second, endpoint->record.incarnation, load, now);
    if (update == RecordUpdate::kStale) continue;
    *any_update = true;
    const EndpointId endpoint_id = id->second;
    Track(endpoint_id, from);
    if (update == RecordUpdate::kOffer || ForwardsAllOf(delta))
      QueueUpdate(endpoint_id, update, from);
  }
}

// A daemon that sends to all others does not forward what an answer repeats:
// loads, and endpoints that were new to itself only. The others have these from
// the daemon that answered, or compare digests. Otherwise a daemon that
// restarts would send its whole directory to each of them.
bool Spread::ForwardsAllOf(const wire::DirectoryDeltaT& delta) const {
  const bool sends_to_all = m_options.fan_out + 1 >= m_roster.size();
  return !delta.answer || !sends_to_all;
}

void Spread::Track(const EndpointId& endpoint, const HostId& from) {
  TrackedEndpoint& known = m_known[endpoint];
  const uint64_t incarnation = m_directory->Find(endpoint)->record.incarnation;
  const uint64_t key = PulseKey(endpoint, incarnation);
  if (known.key != key) {
    m_by_key.erase(known.key);
    known.key = key;
    m_by_key[key] = endpoint;
  }
  // An answer to a request may bring an announcement that is seconds old.
  known.shared_news = m_directory->Find(endpoint)->last_news;
  known.heard_from = from;
  known.orphaned_at.reset();
  if (from != m_options.self) {
    known.consecutive_announcements = 0;
    m_directory->SetAnnouncedHere(endpoint, false);
  }
}

void Spread::QueueUpdate(const EndpointId& endpoint, RecordUpdate update,
                         const HostId& from) {
  Pending& pending = m_pending[endpoint];
  pending.whole = pending.whole || update == RecordUpdate::kOffer;
  pending.from = from;
}

// A request is sent at once, not with the next round: endpoints that left in
// the meantime are still in use here.
void Spread::AskIfDue(Instant now) {
  if (!m_requests.MayAsk(now)) return;
  const std::optional<HostId> host = m_requests.Next(Digest(), now);
  if (!host) return;
  m_peers[*host].ask = true;
  m_next_round = now;
}

uint64_t Spread::Digest() const {
  uint64_t digest = kNoRecordsDigest;
  for (const auto& [id, endpoint] : m_directory->All())
    digest ^= DigestOf(endpoint.record);
  return std::max(digest, kNoRecordsDigest);
}

void Spread::AnnounceSilence(Instant now) {
  for (const auto& [id, endpoint] : m_directory->All()) {
    const auto tracked = m_known.find(id);
    if (tracked == m_known.end() || !IsSilent(tracked->second, endpoint, now))
      continue;
    wire::EndpointRecordT record = endpoint.record;
    record.silent = true;
    if (m_directory->Take(record, now) == RecordUpdate::kStale) continue;
    Track(record.id, m_options.self);
    QueueUpdate(record.id, RecordUpdate::kOffer, m_options.self);
  }
}

// The daemon that received the last announcement reports the silence, also of
// an endpoint that announced itself only once or twice: entries rely on it. If
// that daemon may have been lost since, each of those that heard of it does.
// The loss of a source says nothing about the endpoint: its silence counts from
// the loss on.
bool Spread::IsSilent(const TrackedEndpoint& tracked, const Endpoint& endpoint,
                      Instant now) const {
  const wire::EndpointRecordT& record = endpoint.record;
  if (endpoint.usable || record.silent || record.draining || record.gone ||
      now < endpoint.dead_until)
    return false;
  if (tracked.consecutive_announcements > 0)
    return m_directory->IsOverdue(endpoint.last_news, now);
  if (!tracked.orphaned_at || OnlyReceives()) return false;
  return m_directory->IsOverdue(
      std::max(endpoint.last_news, *tracked.orphaned_at), now);
}

std::vector<Outgoing> Spread::OnTimer(Instant now) {
  if (now < m_next_round) return {};
  m_directory->SetRemoteSilenceTimeout(kMissedPulses * PulseInterval());
  m_directory->OnTimer(now);
  AnnounceSilence(now);
  std::erase_if(m_known, [this](const auto& item) {
    if (m_directory->Find(item.first) != nullptr) return false;
    m_by_key.erase(item.second.key);
    return true;
  });

  AskIfDue(now);

  const bool digest_due = now >= m_next_digest;
  if (digest_due) m_next_digest = now + m_options.digest_interval;
  const bool digest_wanted =
      digest_due || std::ranges::any_of(m_peers, [](const auto& item) {
        return item.second.send_digest || item.second.asked_us;
      });
  const uint64_t digest = digest_wanted ? Digest() : 0;
  std::vector<Outgoing> all;
  for (auto& [host, peer] : m_peers) {
    Outgoing outgoing{host, DeltaFor(host, peer, digest_due, digest, now)};
    peer = {};
    const wire::DirectoryDeltaT& delta = outgoing.delta;
    const bool empty = delta.records.empty() && delta.pulses.empty() &&
                       delta.digest == 0 && !delta.pull;
    if (!empty) all.push_back(std::move(outgoing));
  }
  m_pending.clear();
  m_next_round = now + m_options.round;
  return all;
}

wire::DirectoryDeltaT Spread::DeltaFor(const HostId& host, const Peer& peer,
                                       bool digest_due, uint64_t digest,
                                       Instant now) const {
  wire::DirectoryDeltaT delta;
  const bool neighbour = IsNeighbour(host);
  const bool with_digest = neighbour && (digest_due || peer.send_digest);
  if (with_digest || peer.asked_us) delta.digest = digest;
  if (peer.ask) AddRequest(&delta);
  if (peer.asked_us) AddAnswer(peer, &delta, now);
  if (neighbour) AddPending(host, &delta, now);
  return delta;
}

void Spread::AddRequest(wire::DirectoryDeltaT* delta) const {
  delta->pull = true;
  for (const auto& [id, endpoint] : m_directory->All())
    delta->held.push_back(DigestOf(endpoint.record));
}

// Records that the peer holds in the same state are sent as pulses: those that
// it missed would otherwise count as silent before the next ones are due.
void Spread::AddAnswer(const Peer& peer, wire::DirectoryDeltaT* delta,
                       Instant now) const {
  delta->answer = true;
  for (const auto& [id, endpoint] : m_directory->All()) {
    wire::EndpointRecordT record = m_directory->AgedRecord(endpoint, now);
    const auto known = m_known.find(id);
    if (known != m_known.end() && peer.held.contains(DigestOf(record))) {
      delta->pulses.push_back(PulseOf(record, known->second.key));
    } else {
      delta->records.push_back(
          std::make_unique<wire::EndpointRecordT>(std::move(record)));
    }
  }
}

// Skips the updates that an answer in the same delta contains, unless they are
// to be confirmed: of records that the peer holds, an answer has only pulses.
void Spread::AddPending(const HostId& host, wire::DirectoryDeltaT* delta,
                        Instant now) const {
  for (const auto& [id, pending] : m_pending) {
    if (delta->answer && !pending.confirm) continue;
    const Endpoint* endpoint = m_directory->Find(id);
    if (endpoint == nullptr || pending.from == host) continue;
    delta->confirm = delta->confirm || pending.confirm;
    wire::EndpointRecordT record = m_directory->AgedRecord(*endpoint, now);
    if (pending.whole) {
      delta->records.push_back(
          std::make_unique<wire::EndpointRecordT>(std::move(record)));
    } else {
      delta->pulses.push_back(PulseOf(record, m_known.at(id).key));
    }
  }
}

}  // namespace dotterelshift::directory
