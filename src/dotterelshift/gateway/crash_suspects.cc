#include "dotterelshift/gateway/crash_suspects.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for all_of, any_of, count_if, min_element
#include <array>      // for array

namespace dotterelshift::gateway {
namespace {

uint64_t TeamHashOf(const TeamId& team) {
  // 0 has a meaning of its own.
  return XXH3_64bits(team.data(), team.size()) | 1;
}

SuspectKey KeyOf(uint64_t segment, SoftwareKey software, uint64_t team) {
  const std::array<uint64_t, 3> values = {segment, software, team};
  return XXH3_64bits(values.data(), sizeof values);
}

}  // namespace

std::string_view NameOf(SuspectVerdict verdict) {
  switch (verdict) {
    case SuspectVerdict::kFree:
      return "free";
    case SuspectVerdict::kTrial:
      return "trial";
    case SuspectVerdict::kWaits:
      return "waits";
    case SuspectVerdict::kBusy:
      return "busy";
    case SuspectVerdict::kBlocked:
      return "blocked";
  }
  return "unknown";
}

std::vector<SegmentKey> SegmentKeysOf(const TeamId& team, const Prompt& prompt,
                                      SoftwareKey software) {
  std::vector<SegmentKey> keys;
  const uint64_t team_hash = TeamHashOf(team);
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const PromptSegment& segment = prompt.parts[i];
    keys.push_back({KeyOf(segment.hash, software, team_hash), 0, segment.id});
    keys.push_back({KeyOf(segment.hash, software, 0), team_hash, segment.id});
  }
  return keys;
}

bool CrashSuspects::IsAcquitted(SuspectKey key, Instant now) const {
  const auto found = m_acquitted_index.find(key);
  return found != m_acquitted_index.end() &&
         now - found->second->second < m_options.acquittal_memory;
}

void CrashSuspects::Acquit(SuspectKey key, Instant now) {
  const auto found = m_acquitted_index.find(key);
  if (found != m_acquitted_index.end()) {
    found->second->second = now;
    m_acquitted.splice(m_acquitted.begin(), m_acquitted, found->second);
    return;
  }
  m_acquitted.emplace_front(key, now);
  m_acquitted_index[key] = m_acquitted.begin();
  if (m_acquitted.size() <= m_options.max_acquitted) return;
  m_acquitted_index.erase(m_acquitted.back().first);
  m_acquitted.pop_back();
}

const CrashSuspects::Suspect* CrashSuspects::Find(const SegmentKey& key,
                                                  Instant now) const {
  const auto found = m_suspects.find(key.key);
  if (found == m_suspects.end() || IsAcquitted(key.key, now)) return nullptr;
  return &found->second;
}

// Beyond the limit the one that changed longest ago is forgotten.
CrashSuspects::Suspect& CrashSuspects::Ensure(const SegmentKey& key,
                                              Instant now) {
  const auto found = m_suspects.find(key.key);
  if (found == m_suspects.end() &&
      m_suspects.size() >= m_options.max_suspects) {
    m_suspects.erase(std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
          return a.second.changed_at < b.second.changed_at;
        }));
  }
  Suspect& suspect = m_suspects[key.key];
  suspect.changed_at = now;
  if (!key.id.empty()) suspect.id = key.id;
  return suspect;
}

bool CrashSuspects::IsFree(const std::vector<SegmentKey>& keys,
                           Instant now) const {
  return std::all_of(keys.begin(), keys.end(), [&](const SegmentKey& key) {
    const Suspect* suspect = Find(key, now);
    return suspect == nullptr ||
           (now >= suspect->blocked_until && !suspect->IsSuspected());
  });
}

bool CrashSuspects::IsBlocked(const std::vector<SegmentKey>& keys,
                              Instant now) const {
  return std::any_of(keys.begin(), keys.end(), [&](const SegmentKey& key) {
    const Suspect* suspect = Find(key, now);
    return suspect != nullptr && now < suspect->blocked_until;
  });
}

SuspectVerdict CrashSuspects::Judge(const std::vector<SegmentKey>& keys,
                                    RequestId request, Instant now) {
  if (IsFree(keys, now)) return SuspectVerdict::kFree;
  if (IsBlocked(keys, now)) return SuspectVerdict::kBlocked;
  std::vector<Trial*> trials;
  bool waits = false;
  for (const SegmentKey& key : keys) {
    if (Find(key, now) == nullptr) continue;
    Suspect& suspect = m_suspects.at(key.key);
    if (!suspect.IsSuspected()) continue;
    const SuspectVerdict verdict = JudgeTrial(key.key, suspect, request, now);
    if (verdict == SuspectVerdict::kBusy) return verdict;
    waits = waits || verdict == SuspectVerdict::kWaits;
    trials.push_back(&suspect.trial);
  }
  if (waits) return SuspectVerdict::kWaits;
  for (Trial* trial : trials) trial->request = request;
  return SuspectVerdict::kTrial;
}

SuspectVerdict CrashSuspects::JudgeTrial(SuspectKey key, Suspect& suspect,
                                         RequestId request, Instant now) {
  Trial& trial = suspect.trial;
  if (trial.request == request) return SuspectVerdict::kTrial;
  if (trial.request != 0) return SuspectVerdict::kBusy;
  if (suspect.undecided > 0) return SuspectVerdict::kWaits;
  if (!m_connected || now < trial.granted_until) return SuspectVerdict::kTrial;
  if (now < trial.denied_until) return SuspectVerdict::kBusy;
  const bool asked = trial.asked_at != Instant{} &&
                     now < trial.asked_at + m_options.answer_timeout;
  if (asked) return SuspectVerdict::kWaits;
  trial.asked_at = now;
  SuspectReport& report = m_reports.emplace_back();
  report.kind = SuspectReportKind::kTrial;
  report.content_hash = key;
  report.shared = true;
  return SuspectVerdict::kWaits;
}

void CrashSuspects::OnEnded(RequestId request) {
  for (auto& [key, suspect] : m_suspects)
    if (suspect.trial.request == request) suspect.trial.request = 0;
}

std::vector<SegmentKey> CrashSuspects::NotAcquitted(
    std::vector<SegmentKey> keys, Instant now) const {
  std::erase_if(
      keys, [&](const SegmentKey& key) { return IsAcquitted(key.key, now); });
  return keys;
}

void CrashSuspects::OnBroken(const std::vector<SegmentKey>& keys) {
  for (const SegmentKey& key : keys) {
    // The key of any team is held back only by evidence of several.
    if (key.team != 0 && !m_suspects.contains(key.key)) continue;
    Suspect& suspect = m_suspects[key.key];
    suspect.id = key.id;
    ++suspect.undecided;
  }
}

void CrashSuspects::OnDecided(const std::vector<SegmentKey>& keys) {
  for (const SegmentKey& key : keys) {
    const auto found = m_suspects.find(key.key);
    if (found == m_suspects.end()) continue;
    Suspect& suspect = found->second;
    if (suspect.undecided > 0) --suspect.undecided;
    const bool known =
        suspect.undecided > 0 || suspect.fleet > 0 || !suspect.own.empty();
    if (!known) m_suspects.erase(found);
  }
}

void CrashSuspects::OnCrash(const std::vector<SegmentKey>& keys,
                            const EndpointId& endpoint, uint64_t incarnation,
                            Instant now) {
  for (const SegmentKey& key : keys) {
    Suspect& suspect = Ensure(key, now);
    suspect.trial = {};
    suspect.own.emplace(quarantine::RunKeyOf(endpoint, incarnation), key.team);
    const bool proven =
        quarantine::IsProven(suspect.own, m_options.block_after);
    if (proven && now >= suspect.blocked_until)
      suspect.blocked_until = now + m_options.own_block;
    RecordChange(key.key, suspect, proven ? "blocked" : "suspected", now);
    SuspectReport& report = m_reports.emplace_back();
    report.content_hash = key.key;
    report.endpoint = endpoint;
    report.incarnation = incarnation;
    report.shared = true;
    report.team = key.team;
  }
}

void CrashSuspects::OnCompleteResponse(const std::vector<SegmentKey>& keys,
                                       Instant now) {
  for (const SegmentKey& key : keys) {
    Acquit(key.key, now);
    if (!m_suspects.empty() && m_suspects.contains(key.key))
      Clear(key.key, now);
  }
}

// Broken attempts that are not decided yet stay counted.
void CrashSuspects::Clear(SuspectKey key, Instant now) {
  Suspect& suspect = m_suspects.at(key);
  const bool reported = suspect.fleet > 0 || !suspect.own.empty();
  const bool due = suspect.cleared_at == Instant{} ||
                   now >= suspect.cleared_at + m_options.clear_interval;
  if (reported && due) {
    suspect.cleared_at = now;
    SuspectReport& report = m_reports.emplace_back();
    report.kind = SuspectReportKind::kCleared;
    report.content_hash = key;
    report.shared = true;
    RecordChange(key, suspect, "cleared", now);
  }
  suspect.own.clear();
  suspect.blocked_until = {};
}

void CrashSuspects::OnAnswer(const wire::SuspectAnswerT& answer, Instant now) {
  if (!answer.shared) return;
  const SuspectKey key = answer.content_hash;
  const auto found = m_suspects.find(key);
  if (answer.endpoints == 0) {
    if (found == m_suspects.end()) return;
    RecordChange(key, found->second, "cleared", now);
    const int undecided = found->second.undecided;
    m_suspects.erase(found);
    if (undecided > 0) m_suspects[key].undecided = undecided;
    return;
  }
  Suspect& suspect = Ensure({key, 0, ""}, now);
  const size_t before = suspect.fleet;
  const bool was_blocked = now < suspect.blocked_until;
  suspect.fleet = answer.endpoints;
  suspect.fleet_suspects = answer.suspected;
  suspect.blocked_until = now + std::chrono::milliseconds(answer.blocked_ms);
  if (answer.trial == wire::SuspectTrial::Granted) {
    suspect.trial.asked_at = {};
    suspect.trial.granted_until = now + m_options.trial_lease;
  } else if (answer.trial == wire::SuspectTrial::Denied) {
    suspect.trial.asked_at = {};
    suspect.trial.denied_until = now + m_options.denied_for;
  }
  const bool blocked = answer.blocked_ms > 0;
  if (IsAcquitted(key, now)) return Clear(key, now);
  if (before != suspect.fleet || blocked != was_blocked)
    RecordChange(key, suspect, blocked ? "blocked" : "suspected", now);
}

size_t CrashSuspects::Blocked(Instant now) const {
  return std::count_if(
      m_suspects.begin(), m_suspects.end(),
      [now](const auto& item) { return now < item.second.blocked_until; });
}

void CrashSuspects::RecordChange(SuspectKey key, const Suspect& suspect,
                                 std::string_view state, Instant now) {
  SuspectChange& change = m_changes.emplace_back();
  change.key = key;
  change.id = suspect.id;
  change.state = state;
  change.own = suspect.own.size();
  change.fleet = suspect.fleet;
  change.blocked_for = std::max<Duration>(0s, suspect.blocked_until - now);
}

}  // namespace dotterelshift::gateway
