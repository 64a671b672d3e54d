#include "dotterelshift/gateway/fleet_load.h"

#include <algorithm>  // for clamp, find, max, min
#include <utility>    // for move

#include "dotterelshift/directory/spread.h"          // for PulseKey
#include "dotterelshift/origins/service_versions.h"  // for SoftwareKeyOf

namespace dotterelshift::gateway {
namespace {

constexpr int kMaxDoublings = 8;

Duration Milliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double AsMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool Contains(const std::vector<EndpointKey>& keys, EndpointKey key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

// The cheapest placement so far.
struct Cheapest {
  std::optional<Placement> placement;
  double cost = 0;

  void Offer(const Placement& other, double other_cost) {
    if (placement && other_cost >= cost) return;
    placement = other;
    cost = other_cost;
  }
};

}  // namespace

void FleetLoad::OnDirectory(const directory::Directory& directory) {
  m_by_service.clear();
  std::unordered_map<EndpointKey, Load> known = std::move(m_loads);
  m_loads.clear();
  for (const auto& [id, endpoint] : directory.All()) {
    const wire::EndpointRecordT& record = endpoint.record;
    const EndpointKey key = directory::PulseKey(id, record.incarnation);
    Load& load = m_loads[key];
    const auto before = known.find(key);
    if (before != known.end())
      load = std::move(before->second);
    else if (endpoint.usable)
      m_arrivals.push_back(key);
    load.contact = {id,
                    record.incarnation,
                    record.address,
                    record.data_centre,
                    record.software_version,
                    origins::SoftwareKeyOf(record)};
    load.services = record.services;
    load.slots = std::max<uint32_t>(1, record.slots);
    load.usable = endpoint.usable;
    load.leaving = record.draining || record.gone;
    SetCapacity(load);
    for (const ServiceName& service : record.services)
      m_by_service[service].push_back(key);
  }
  // Endpoints that left the directory are kept while this entry has requests
  // there.
  for (auto& [key, load] : known) {
    if (load.own == 0 || m_loads.contains(key)) continue;
    load.usable = false;
    load.leaving = true;
    m_loads[key] = std::move(load);
  }
  for (auto& [service, keys] : m_by_service)
    std::sort(keys.begin(), keys.end());
}

void FleetLoad::OnRoutes(const RouteTable& routes) {
  m_engines.clear();
  for (const Service& service : routes.Get().services)
    if (service.engine) m_engines[service.name] = *service.engine;
  for (auto& [key, load] : m_loads) SetCapacity(load);
}

void FleetLoad::SetCapacity(Load& load) const {
  for (const ServiceName& service : load.services) {
    const auto engine = m_engines.find(service);
    if (engine == m_engines.end()) continue;
    const auto tokens = static_cast<double>(engine->second.cache_tokens);
    load.cache.SetCapacity(
        static_cast<Tokens>(tokens * m_options.cache_fraction));
  }
}

bool FleetLoad::MayUse(const Load& load, Instant now) const {
  return load.usable && RunningAt(load) < RoomAt(load, now) &&
         now >= load.avoid_until && now >= load.full_until;
}

// An endpoint with a limit on refusals may have no queue at all.
uint32_t FleetLoad::RoomAt(const Load& load, Instant now) const {
  if (!load.refusal_limit) return std::numeric_limits<uint32_t>::max();
  if (!load.room) return load.slots;
  const auto risen = (now - load.refused_at) / m_options.room_rise_interval;
  return std::min<uint32_t>(load.slots,
                            *load.room + static_cast<uint32_t>(risen));
}

// The refused request is still counted as running.
void FleetLoad::LowerRoom(Load& load, Instant now) const {
  const uint32_t others = std::max<uint32_t>(1, RunningAt(load)) - 1;
  load.room = std::max<uint32_t>(1, std::min(RoomAt(load, now), others));
  load.refused_at = now;
}

void FleetLoad::SetRefusalLimit(EndpointKey endpoint,
                                std::optional<uint32_t> limit) {
  const auto found = m_loads.find(endpoint);
  if (found != m_loads.end()) found->second.refusal_limit = limit;
}

Placement FleetLoad::PlaceAt(EndpointKey key, const Load& load,
                             const Prompt& prompt, Instant now) const {
  Placement placement;
  placement.endpoint = key;
  placement.tokens_to_prefill =
      std::max<Tokens>(0, prompt.prompt_tokens - load.cache.Held(prompt.parts));
  placement.wait = std::max<Duration>(0s, load.prefill_until - now);
  placement.read =
      Milliseconds(static_cast<double>(placement.tokens_to_prefill) /
                   m_options.prefill_tokens_per_ms);
  return placement;
}

double FleetLoad::CostOf(const Load& load, const Placement& placement,
                         Instant now) const {
  const uint32_t running = RunningAt(load);
  double cost = AsMs(placement.wait) + AsMs(placement.read);
  cost += m_options.per_running_ms * running;
  // A request for which the endpoint has no free slot waits for another one to
  // end.
  constexpr double kNoSlotMs = 200;
  if (running >= load.slots) cost += kNoSlotMs * (running - load.slots + 1);
  if (load.contact.data_centre != m_options.data_centre)
    cost += m_observes_all ? m_options.other_data_centre_ms
                           : m_options.unobserved_data_centre_ms;
  if (now < load.last_choice_until) cost += AsMs(LastChoiceTime(load));
  return cost;
}

Duration FleetLoad::LastChoiceTime(const Load& load) const {
  const int doublings = std::clamp(load.refusals - 1, 0, kMaxDoublings);
  return std::min(m_options.min_last_choice_time * (1 << doublings),
                  m_options.max_last_choice_time);
}

std::optional<Placement> FleetLoad::Choose(const ServiceName& service,
                                           const Prompt& prompt,
                                           const ChoiceLimits& limits,
                                           Instant now) const {
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return std::nullopt;
  const std::vector<SoftwareKey> staying = limits.prefers_staying
                                               ? StayingAmong(keys->second)
                                               : std::vector<SoftwareKey>();
  Cheapest best;
  Cheapest best_staying;
  for (const EndpointKey key : keys->second) {
    const Load& load = m_loads.at(key);
    if (!MayUse(load, now) || Contains(limits.excluded, key)) continue;
    if (limits.software && load.contact.software != *limits.software) continue;
    if (limits.idle && RunningAt(load) > 0) continue;
    if (Contains(limits.barred_software, load.contact.software)) continue;
    const Placement placement = PlaceAt(key, load, prompt, now);
    const double cost = CostOf(load, placement, now);
    best.Offer(placement, cost);
    if (Contains(staying, load.contact.software))
      best_staying.Offer(placement, cost);
  }
  const bool stays =
      best_staying.placement &&
      best_staying.cost <= best.cost + m_options.max_staying_extra_ms;
  return stays ? best_staying.placement : best.placement;
}

std::vector<SoftwareKey> FleetLoad::StayingAmong(
    const std::vector<EndpointKey>& keys) const {
  std::map<SoftwareKey, size_t> usable;
  for (const EndpointKey key : keys) {
    const Load& load = m_loads.at(key);
    if (load.usable) ++usable[load.contact.software];
  }
  std::vector<SoftwareKey> staying;
  for (const auto& [software, endpoints] : usable)
    if (endpoints >= kStayingEndpoints) staying.push_back(software);
  return staying;
}

std::vector<EndpointKey> FleetLoad::UsableEndpoints(
    const ServiceName& service) const {
  std::vector<EndpointKey> usable;
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return usable;
  for (const EndpointKey key : keys->second)
    if (m_loads.at(key).usable) usable.push_back(key);
  return usable;
}

bool FleetLoad::HasEndpoint(const ServiceName& service, Instant now) const {
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return false;
  return std::any_of(
      keys->second.begin(), keys->second.end(),
      [&](EndpointKey key) { return MayUse(m_loads.at(key), now); });
}

EndpointCounts FleetLoad::CountOf(const ServiceName& service,
                                  Instant now) const {
  EndpointCounts counts;
  const auto keys = m_by_service.find(service);
  if (keys == m_by_service.end()) return counts;
  for (const EndpointKey key : keys->second) {
    const Load& load = m_loads.at(key);
    if (!load.usable) continue;
    ++counts.usable;
    counts.avoided += now < load.avoid_until ? 1 : 0;
    counts.full += now < load.full_until ? 1 : 0;
  }
  return counts;
}

std::map<ServiceName, EndpointCounts> FleetLoad::CountByService(
    Instant now) const {
  std::map<ServiceName, EndpointCounts> counts;
  for (const auto& [service, keys] : m_by_service)
    counts[service] = CountOf(service, now);
  return counts;
}

Duration FleetLoad::AvoidedFor(EndpointKey endpoint, Instant now) const {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return 0s;
  return std::max<Duration>(0s, found->second.avoid_until - now);
}

void FleetLoad::QueuePrefill(Load& load, Tokens tokens, Instant now) {
  load.prefill_until = std::max(load.prefill_until, now) +
                       Milliseconds(static_cast<double>(tokens) /
                                    m_options.prefill_tokens_per_ms);
}

void FleetLoad::OnAssigned(const Placement& placement, const Prompt& prompt,
                           Instant now) {
  const auto found = m_loads.find(placement.endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  ++load.own;
  QueuePrefill(load, placement.tokens_to_prefill, now);
  RecordChange(placement.endpoint, placement.tokens_to_prefill, 1);
  for (const PromptSegment& part : prompt.parts) {
    load.cache.Touch(part.hash, part.tokens);
    m_segment_updates.emplace_back(placement.endpoint, part.hash, 0,
                                   static_cast<int32_t>(part.tokens), 0);
  }
}

// The slot itself is released by OnEnded().
void FleetLoad::OnNotSent(const Placement& placement, Instant now) {
  const auto found = m_loads.find(placement.endpoint);
  if (found == m_loads.end()) return;
  QueuePrefill(found->second, -placement.tokens_to_prefill, now);
  RecordChange(placement.endpoint, -placement.tokens_to_prefill, 0);
}

void FleetLoad::OnPrefilled(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  // It is the only request there, so no other prompt is queued.
  if (RunningAt(found->second) == 1) found->second.prefill_until = now;
}

void FleetLoad::OnEnded(EndpointKey endpoint) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end() || found->second.own == 0) return;
  --found->second.own;
  RecordChange(endpoint, 0, -1);
}

void FleetLoad::OnSucceeded(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  load.failures = 0;
  // One that serves now and then, and refuses the rest, is still in need.
  const bool recovers = now >= load.last_choice_until + LastChoiceTime(load);
  if (load.refusals == 0 || !recovers) return;
  load.refusals /= 2;
  m_trouble_changes.insert(endpoint);
}

void FleetLoad::OnFailed(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  ++load.failures;
  if (load.failures < m_options.failure_threshold) return;
  const int doublings =
      std::min(load.failures - m_options.failure_threshold, kMaxDoublings);
  load.avoid_until = now + std::min(m_options.min_avoid_time * (1 << doublings),
                                    m_options.max_avoid_time);
}

// All requests that wait there notice the same silence.
void FleetLoad::OnSilent(EndpointKey endpoint, Instant since, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  const bool counted = since <= load.silence_counted;
  if (counted && load.failures >= m_options.failure_threshold) return;
  load.silence_counted = now;
  OnFailed(endpoint, now);
}

void FleetLoad::OnUnreachable(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  load.failures = std::max(load.failures, m_options.failure_threshold - 1);
  OnFailed(endpoint, now);
}

void FleetLoad::OnEndlessResponse(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  // Not avoided altogether: a single request may have caused this, and an
  // endpoint that fails a few requests is better than none.
  load.refusals = std::max(load.refusals, kMaxDoublings);
  load.last_choice_until = now + LastChoiceTime(load);
  m_trouble_changes.insert(endpoint);
}

void FleetLoad::OnPathChanged(EndpointKey endpoint) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  found->second.failures = 0;
  found->second.avoid_until = {};
}

void FleetLoad::OnOverloaded(EndpointKey endpoint, Instant now) {
  const auto found = m_loads.find(endpoint);
  if (found == m_loads.end()) return;
  Load& load = found->second;
  // Requests that were under way together are refused together: these are one
  // refusal.
  if (now >= load.full_until) {
    load.refusals = std::min(load.refusals + 1, kMaxDoublings);
    load.last_choice_until = now + LastChoiceTime(load);
    m_trouble_changes.insert(endpoint);
  }
  load.full_until = now + m_options.full_for;
  if (load.refusal_limit) LowerRoom(load, now);
}

void FleetLoad::RecordChange(EndpointKey endpoint, Tokens prompt_tokens,
                             int requests) {
  Change& change = m_changes[endpoint];
  change.prompt_tokens += static_cast<int32_t>(prompt_tokens);
  change.requests += requests;
}

// An endpoint's sums are sent with the first update for one of its segments.
std::vector<wire::LoadNote> FleetLoad::TakeLoadUpdates(size_t most) {
  std::map<EndpointKey, Change> changes = std::exchange(m_changes, {});
  std::vector<wire::LoadNote> notes = std::exchange(m_segment_updates, {});
  const size_t parts = most - std::min(most, changes.size());
  if (notes.size() > parts)
    notes.erase(notes.begin(), notes.end() - static_cast<ptrdiff_t>(parts));
  for (wire::LoadNote& note : notes) {
    const auto change = changes.find(note.endpoint());
    if (change == changes.end()) continue;
    note = wire::LoadNote(note.endpoint(), note.part(),
                          change->second.prompt_tokens, note.part_tokens(),
                          change->second.requests);
    changes.erase(change);
  }
  for (const auto& [endpoint, change] : changes) {
    if (change.prompt_tokens == 0 && change.requests == 0) continue;
    notes.emplace_back(endpoint, 0, change.prompt_tokens, 0, change.requests);
  }
  return notes;
}

std::vector<wire::TroubleNote> FleetLoad::TakeTroubleChanges(Instant now) {
  std::vector<wire::TroubleNote> notes;
  for (const EndpointKey endpoint : std::exchange(m_trouble_changes, {})) {
    const auto found = m_loads.find(endpoint);
    if (found != m_loads.end())
      notes.push_back(TroubleOf(endpoint, found->second, now));
  }
  return notes;
}

std::vector<wire::TroubleNote> FleetLoad::Troubles(Instant now) const {
  std::vector<wire::TroubleNote> notes;
  for (const auto& [endpoint, load] : m_loads)
    if (now < load.last_choice_until)
      notes.push_back(TroubleOf(endpoint, load, now));
  return notes;
}

wire::TroubleNote FleetLoad::TroubleOf(EndpointKey endpoint, const Load& load,
                                       Instant now) {
  const Duration left = std::max<Duration>(0s, load.last_choice_until - now);
  return {endpoint, static_cast<uint32_t>(load.refusals),
          static_cast<uint32_t>(ToMs(left))};
}

// Where another entry was served, this one's own time still has to pass, so
// that not all entries return at once.
void FleetLoad::OnTrouble(const wire::TroubleNote& note, Instant now) {
  const auto found = m_loads.find(note.endpoint());
  if (found == m_loads.end()) return;
  Load& load = found->second;
  load.refusals =
      static_cast<int>(std::min<uint32_t>(note.refusals(), kMaxDoublings));
  const Duration time =
      std::min<Duration>(std::chrono::milliseconds(note.last_choice_ms()),
                         m_options.max_last_choice_time);
  load.last_choice_until = std::max(load.last_choice_until, now + time);
}

// The count of an endpoint that was removed and added again restarts at zero,
// so that later changes may subtract more than was counted.
void FleetLoad::ChangeOthers(Load& load, int change) {
  const int others = static_cast<int>(load.others) + change;
  load.others = static_cast<uint32_t>(std::max(0, others));
}

void FleetLoad::OnLoadUpdates(const HostId& from, const wire::LoadNotesT& notes,
                              Instant now) {
  auto& of_entry = m_requests_by_entry[from];
  for (const wire::LoadNote& note : notes.notes) {
    const auto found = m_loads.find(note.endpoint());
    if (found == m_loads.end()) continue;
    Load& load = found->second;
    int& count = of_entry[note.endpoint()];
    const int change = std::max(note.requests(), -count);
    count += change;
    ChangeOthers(load, change);
    if (note.prompt_tokens() != 0)
      QueuePrefill(load, note.prompt_tokens(), now);
    if (note.part() != 0) load.cache.Touch(note.part(), note.part_tokens());
  }
  for (const wire::TroubleNote& note : notes.troubles) OnTrouble(note, now);
}

void FleetLoad::OnEntryGone(const HostId& entry) {
  const auto node = m_requests_by_entry.extract(entry);
  if (node.empty()) return;
  for (const auto& [endpoint, count] : node.mapped()) {
    const auto found = m_loads.find(endpoint);
    if (found != m_loads.end()) ChangeOthers(found->second, -count);
  }
}

bool FleetLoad::IsLeaving(EndpointKey endpoint) const {
  const auto found = m_loads.find(endpoint);
  return found == m_loads.end() || found->second.leaving;
}

const origins::EndpointContact* FleetLoad::Find(EndpointKey endpoint) const {
  const auto found = m_loads.find(endpoint);
  return found == m_loads.end() ? nullptr : &found->second.contact;
}

uint32_t FleetLoad::Running(EndpointKey endpoint) const {
  const auto found = m_loads.find(endpoint);
  return found == m_loads.end() ? 0 : RunningAt(found->second);
}

}  // namespace dotterelshift::gateway
