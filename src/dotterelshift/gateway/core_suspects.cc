#include <algorithm>  // for any_of, min
#include <iterator>   // for make_move_iterator
#include <utility>    // for move

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often a request waits for control's word on a trial, and a broken attempt
// for signs of its endpoint, before these are looked at again.
constexpr Duration kSuspectCheckInterval = 10ms;

constexpr Duration kSecondProbeDelay = 30ms;

std::string IdsOf(const std::vector<SegmentKey>& keys) {
  std::string ids;
  for (const SegmentKey& key : keys)
    if (key.team == 0) ids += (ids.empty() ? "" : ",") + key.id;
  return ids;
}

}  // namespace

std::vector<SegmentKey> CoreImpl::KeysOf(const ActiveRequest& active,
                                         SoftwareKey software) {
  return SegmentKeysOf(active.team, active.info.prompt, software);
}

std::vector<SoftwareKey> CoreImpl::SoftwareOpenTo(
    const ActiveRequest& active) const {
  if (active.binding) return {active.binding->software};
  return m_dependencies.versions->SoftwareOf(active.service);
}

bool CoreImpl::IsSuspected(const ActiveRequest& active, Instant now) const {
  const CrashSuspects* suspects = m_dependencies.suspects;
  if (suspects == nullptr || suspects->IsIdle()) return false;
  return std::ranges::any_of(SoftwareOpenTo(active), [&](SoftwareKey software) {
    return !suspects->IsFree(KeysOf(active, software), now);
  });
}

// Software that the request must not be sent to is barred; if that is all, the
// request is tried alone, waits for that, or is refused. Returns whether it may
// be placed.
bool CoreImpl::PassesSuspicion(ActiveRequest& active, Instant now) {
  active.barred_software.clear();
  CrashSuspects* suspects = m_dependencies.suspects;
  if (suspects == nullptr || suspects->IsIdle() ||
      active.info.prompt.parts.size() < 2)
    return true;
  const std::vector<SoftwareKey> all = SoftwareOpenTo(active);
  for (const SoftwareKey software : all)
    if (!suspects->IsFree(KeysOf(active, software), now))
      active.barred_software.push_back(software);
  if (active.barred_software.size() < all.size() || all.empty()) return true;
  for (const SoftwareKey software : all) {
    const std::vector<SegmentKey> keys = KeysOf(active, software);
    if (suspects->IsBlocked(keys, now)) continue;
    return PassesTrial(active, software, suspects->Judge(keys, active.id, now),
                       now);
  }
  RefuseSuspect(active, SuspectVerdict::kBlocked, now);
  return false;
}

bool CoreImpl::PassesTrial(ActiveRequest& active, SoftwareKey software,
                           SuspectVerdict verdict, Instant now) {
  switch (verdict) {
    case SuspectVerdict::kFree:
    case SuspectVerdict::kTrial:
      active.trial = verdict == SuspectVerdict::kTrial;
      std::erase(active.barred_software, software);
      return true;
    case SuspectVerdict::kWaits:
      WaitForTrial(active, now);
      return false;
    case SuspectVerdict::kBusy:
    case SuspectVerdict::kBlocked:
      break;
  }
  RefuseSuspect(active, verdict, now);
  return false;
}

void CoreImpl::WaitForTrial(ActiveRequest& active, Instant now) {
  const bool waits =
      active.stage == Stage::kWaitsForTrial && active.wait_until != Instant{};
  if (!waits) active.wait_until = now + m_options.trial_wait;
  active.stage = Stage::kWaitsForTrial;
  if (now >= active.wait_until)
    return RefuseSuspect(active, SuspectVerdict::kWaits, now);
  SetTimer(active, std::min(now + kSuspectCheckInterval, active.wait_until));
}

void CoreImpl::RefuseSuspect(ActiveRequest& active, SuspectVerdict why,
                             Instant now) {
  ++m_suspect_refusals;
  Log("suspect_refused", active,
      {{"why", std::string(NameOf(why))},
       {"service", active.service},
       {"segments", SharedSegmentsOf(active)}});
  if (active.may_have_run)
    return Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  Fail(active, ErrorKind::kQuarantined, RetryAfter(active, 0s, now), now);
}

// The verdict may have come while the request waited for its prefill start.
bool CoreImpl::IsBlockedNow(const ActiveRequest& active, SoftwareKey software,
                            Instant now) const {
  const CrashSuspects* suspects = m_dependencies.suspects;
  if (suspects == nullptr || suspects->IsIdle() || active.trial) return false;
  return !suspects->IsFree(KeysOf(active, software), now);
}

void CoreImpl::EndTrial(ActiveRequest& active) {
  if (std::exchange(active.trial, false))
    m_dependencies.suspects->OnEnded(active.id);
}

// A connection that broke accuses nobody by itself: the endpoint may run on.
// What a relay breaks, or a path that is in doubt, says nothing, nor does an
// endpoint that ends after it announced that it leaves.
void CoreImpl::OnBrokenAttempt(const ActiveRequest& active, bool complete,
                               Instant now) {
  if (m_dependencies.load->IsLeaving(active.attempt.placement.endpoint)) return;
  BrokenAttempt broken;
  broken.caller_id = active.info.caller_id;
  broken.service = active.service;
  broken.endpoint = active.attempt.placement.endpoint;
  broken.contact = active.attempt.endpoint;
  broken.at = now;
  broken.head = active.attempt.head_received;
  broken.complete = complete;
  broken.content_hash = active.info.content_hash;
  broken.alone = m_dependencies.load->Running(broken.endpoint) <= 1;
  if (m_dependencies.suspects != nullptr) {
    broken.keys = m_dependencies.suspects->NotAcquitted(
        KeysOf(active, active.attempt.endpoint.software), now);
  }
  if (complete && broken.keys.empty()) return;
  if (m_dependencies.paths == nullptr) return OnCrash(broken, now);
  if (m_dependencies.suspects != nullptr && !complete)
    m_dependencies.suspects->OnBroken(broken.keys);
  m_dependencies.paths->ProbeNow(broken.endpoint, broken.service, now);
  m_broken.push_back(std::move(broken));
}

void CoreImpl::JudgeBrokenAttempts(Instant now) {
  std::vector<BrokenAttempt> undecided;
  for (BrokenAttempt& broken : std::exchange(m_broken, {})) {
    if (Decide(broken, now)) continue;
    ProbeAgainIfDue(broken, now);
    undecided.push_back(std::move(broken));
  }
  m_broken.insert(m_broken.begin(), std::make_move_iterator(undecided.begin()),
                  std::make_move_iterator(undecided.end()));
  LogSuspectChanges();
}

// The first probe finds an endpoint that has ended at once. If it was accepted,
// a second one tells, as the endpoint may have been about to end.
void CoreImpl::ProbeAgainIfDue(BrokenAttempt& broken, Instant now) {
  if (now < broken.at + kSecondProbeDelay) return;
  if (std::exchange(broken.probed_again, true)) return;
  m_dependencies.paths->ProbeNow(broken.endpoint, broken.service, now);
}

// An endpoint that cannot be reached has ended only if others are heard from:
// else this entry may have lost its paths. Returns whether it is decided.
bool CoreImpl::Decide(const BrokenAttempt& broken, Instant now) {
  const EndpointPaths& paths = *m_dependencies.paths;
  const EndpointSign sign = paths.SignSince(broken.endpoint, broken.at);
  const bool ended =
      sign == EndpointSign::kUnreachable &&
      paths.HeardFromOthers(broken.service, broken.endpoint, broken.at);
  const bool expired = now >= broken.at + m_options.crash_decision_time;
  if (sign != EndpointSign::kAlive && !ended && !expired) return false;
  CrashSuspects* suspects = m_dependencies.suspects;
  if (suspects != nullptr && !broken.complete) suspects->OnDecided(broken.keys);
  if (ended)
    OnCrash(broken, now);
  else if (sign == EndpointSign::kAlive && broken.complete)
    suspects->OnCompleteResponse(broken.keys, now);
  return true;
}

void CoreImpl::OnCrash(const BrokenAttempt& broken, Instant now) {
  m_actions.emplace_back(
      Decision{"endpoint_crashed",
               broken.caller_id,
               {{"endpoint", broken.contact.id},
                {"incarnation", std::to_string(broken.contact.incarnation)},
                {"service", broken.service},
                {"version", broken.contact.software_version},
                {"broken_ms_ago", std::to_string(ToMs(now - broken.at))},
                {"head", broken.head ? "yes" : "no"},
                {"not_acquitted", IdsOf(broken.keys)}}});
  if (m_dependencies.paths != nullptr)
    m_dependencies.load->OnUnreachable(broken.endpoint, now);
  if (!broken.complete) ReportSuspectContent(broken);
  if (m_dependencies.suspects != nullptr) {
    m_dependencies.suspects->OnCrash(broken.keys, broken.contact.id,
                                     broken.contact.incarnation, now);
  }
}

// Content that crashes every endpoint that runs it may be resent through any
// entry. Control therefore counts the affected endpoints over all entries.
void CoreImpl::ReportSuspectContent(const BrokenAttempt& broken) {
  constexpr size_t kMaxSuspected = 4096;
  if (m_suspected.size() >= kMaxSuspected) m_suspected.clear();
  m_suspected.insert(broken.content_hash);
  SuspectReport& report = m_suspect_reports.emplace_back();
  report.content_hash = broken.content_hash;
  report.endpoint = broken.contact.id;
  report.incarnation = broken.contact.incarnation;
  report.alone = broken.alone;
}

void CoreImpl::ReportClearedContent(const ActiveRequest& active) {
  if (m_suspected.erase(active.info.content_hash) == 0) return;
  SuspectReport& report = m_suspect_reports.emplace_back();
  report.kind = SuspectReportKind::kCleared;
  report.content_hash = active.info.content_hash;
}

// A response without framing ends with its connection, and its endpoint may
// have crashed: it acquits once the endpoint is heard from again.
void CoreImpl::AcquitSegments(const ActiveRequest& active, Instant now) {
  if (m_dependencies.suspects == nullptr) return;
  if (active.info.prompt.parts.size() < 2) return;
  if (!active.attempt.response_info.framed)
    return OnBrokenAttempt(active, true, now);
  m_dependencies.suspects->OnCompleteResponse(
      KeysOf(active, active.attempt.endpoint.software), now);
  LogSuspectChanges();
}

void CoreImpl::LogSuspectChanges() {
  if (m_dependencies.suspects == nullptr) return;
  for (const SuspectChange& change : m_dependencies.suspects->TakeChanges()) {
    m_actions.emplace_back(
        Decision{"segment_suspicion",
                 "",
                 {{"segment", change.id},
                  {"key", std::to_string(change.key)},
                  {"state", std::string(change.state)},
                  {"own_crashes", std::to_string(change.own)},
                  {"fleet_crashes", std::to_string(change.fleet)},
                  {"blocked_ms", std::to_string(ToMs(change.blocked_for))}}});
  }
}

std::vector<SuspectReport> CoreImpl::TakeSuspectReports() {
  std::vector<SuspectReport> reports = std::exchange(m_suspect_reports, {});
  if (m_dependencies.suspects == nullptr) return reports;
  for (SuspectReport& report : m_dependencies.suspects->TakeReports())
    reports.push_back(std::move(report));
  return reports;
}

Instant CoreImpl::NextSuspectTimer() const {
  return m_broken.empty() ? Instant::max() : m_next_suspect_check;
}

}  // namespace dotterelshift::gateway
