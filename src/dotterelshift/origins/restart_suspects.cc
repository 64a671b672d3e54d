#include "dotterelshift/origins/restart_suspects.h"

#include <algorithm>  // for min

namespace dotterelshift::origins {
namespace {

uint32_t AgeMs(Instant at, Instant now) {
  return static_cast<uint32_t>(ToMs(now - at));
}

}  // namespace

std::string_view NameOf(RestartEvidence evidence) {
  switch (evidence) {
    case RestartEvidence::kConnectionBroke:
      return "connection_broke";
    case RestartEvidence::kIdleClosed:
      return "idle_closed";
    case RestartEvidence::kTold:
      return "told";
    case RestartEvidence::kAnnounced:
      return "announced";
    case RestartEvidence::kBytes:
      return "bytes";
    case RestartEvidence::kExpired:
      return "expired";
    case RestartEvidence::kEnded:
      return "ended";
  }
  return "unknown";
}

void RestartSuspects::OnBroken(const EndpointContact& endpoint, Instant now) {
  AddOwn(endpoint, RestartEvidence::kConnectionBroke, now);
}

void RestartSuspects::OnIdleClosed(const EndpointContact& endpoint,
                                   Duration idle, Instant now) {
  if (idle < m_options.min_idle_timeout)
    AddOwn(endpoint, RestartEvidence::kIdleClosed, now);
}

void RestartSuspects::AddOwn(const EndpointContact& endpoint,
                             RestartEvidence evidence, Instant now) {
  Add(endpoint, evidence, now - m_options.notice_delay, now);
  const EndpointKey key = KeyOf(endpoint);
  if (IsSuspect(key)) m_notices[key] = {now};
}

// The notice was on its way for no longer than `tell_delay`.
void RestartSuspects::OnTold(const EndpointContact& endpoint,
                             const wire::ProcessNote& note, Instant now) {
  const Instant latest = now - std::chrono::milliseconds(note.age_ms());
  const Instant earliest = latest - m_options.tell_delay;
  if (!note.runs()) {
    Add(endpoint, RestartEvidence::kTold, earliest, latest);
    return;
  }
  const auto found = m_suspects.find(note.endpoint());
  if (found == m_suspects.end() || found->second.latest > earliest) return;
  m_proven[note.endpoint()] = earliest;
  Clear(found, RestartEvidence::kBytes, now);
}

// The directory may have forgotten it.
bool RestartSuspects::HasEnded(const EndpointContact& endpoint) const {
  const directory::Endpoint* known = m_directory.Find(endpoint.id);
  return known == nullptr || known->record.incarnation != endpoint.incarnation;
}

bool RestartSuspects::HasAnnouncedSince(const EndpointContact& endpoint,
                                        Instant since) const {
  const directory::Endpoint* known = m_directory.Find(endpoint.id);
  return known != nullptr &&
         known->record.incarnation == endpoint.incarnation &&
         known->last_news >= since + m_options.announcement_delay;
}

// The connections of an incarnation that has ended may break later.
void RestartSuspects::Add(const EndpointContact& endpoint,
                          RestartEvidence evidence, Instant earliest,
                          Instant latest) {
  const EndpointKey key = KeyOf(endpoint);
  if (endpoint.incarnation == 0 || HasEnded(endpoint) || m_ended.contains(key))
    return;
  const auto [found, is_new] =
      m_suspects.try_emplace(key, Suspect{endpoint, earliest, latest});
  Suspect& suspect = found->second;
  suspect.earliest = std::min(suspect.earliest, earliest);
  suspect.latest = std::max(suspect.latest, latest);
  if (is_new) m_beliefs.push_back({endpoint.id, true, evidence, 0s});
}

// The connection of a response that began before the first break was to the
// incarnation that had been announced.
ProcessProof RestartSuspects::During(const EndpointContact& endpoint,
                                     Instant begun) const {
  if (HasAnnouncedSince(endpoint, begun)) return ProcessProof::kSame;
  const EndpointKey key = KeyOf(endpoint);
  const auto suspect = m_suspects.find(key);
  if (suspect != m_suspects.end())
    return begun < suspect->second.earliest ? ProcessProof::kUnproven
                                            : ProcessProof::kInDoubt;
  const auto ended = m_ended.find(key);
  if (ended != m_ended.end())
    return begun < ended->second ? ProcessProof::kSame : ProcessProof::kInDoubt;
  const auto proven = m_proven.find(key);
  const bool same = proven != m_proven.end() && begun <= proven->second;
  return same ? ProcessProof::kSame : ProcessProof::kUnproven;
}

void RestartSuspects::OnBytes(EndpointKey endpoint, Instant begun,
                              Instant now) {
  const auto found = m_suspects.find(endpoint);
  if (found == m_suspects.end() || begun >= found->second.earliest) return;
  const Instant ran = now - m_options.read_delay;
  // Later by `tell_delay`, so that the others are cleared by the notice, too.
  if (ran - m_options.tell_delay < found->second.latest) return;
  m_proven[endpoint] = ran;
  m_notices[endpoint] = {ran, true};
  Clear(found, RestartEvidence::kBytes, now);
}

void RestartSuspects::Update(Instant now) {
  for (auto next = m_suspects.begin(); next != m_suspects.end();) {
    const auto suspect = next++;
    const auto& [key, what] = *suspect;
    if (HasEnded(what.endpoint)) {
      m_ended[key] = what.earliest;
      Clear(suspect, RestartEvidence::kEnded, now);
    } else if (HasAnnouncedSince(what.endpoint, what.latest)) {
      Clear(suspect, RestartEvidence::kAnnounced, now);
    } else if (now - what.latest > m_options.max_suspicion) {
      Clear(suspect, RestartEvidence::kExpired, now);
    }
  }
  for (auto* memory : {&m_ended, &m_proven}) {
    std::erase_if(*memory, [&](const auto& item) {
      return now - item.second > m_options.memory;
    });
  }
}

void RestartSuspects::Clear(std::map<EndpointKey, Suspect>::iterator suspect,
                            RestartEvidence evidence, Instant now) {
  const Suspect& what = suspect->second;
  m_beliefs.push_back({what.endpoint.id, false, evidence, now - what.latest});
  m_suspects.erase(suspect);
}

std::vector<wire::ProcessNote> RestartSuspects::TakeNotices(Instant now) {
  std::vector<wire::ProcessNote> notes;
  for (const auto& [endpoint, notice] : std::exchange(m_notices, {}))
    notes.emplace_back(endpoint, AgeMs(notice.at, now), notice.runs);
  return notes;
}

std::vector<wire::ProcessNote> RestartSuspects::AllNotices(Instant now) const {
  std::vector<wire::ProcessNote> notes;
  for (const auto& [endpoint, suspect] : m_suspects)
    for (const Instant at : {suspect.earliest, suspect.latest})
      notes.emplace_back(endpoint, AgeMs(at, now), false);
  return notes;
}

std::vector<EndpointKey> RestartSuspects::All() const {
  std::vector<EndpointKey> endpoints;
  for (const auto& [endpoint, suspect] : m_suspects)
    endpoints.push_back(endpoint);
  return endpoints;
}

}  // namespace dotterelshift::origins
