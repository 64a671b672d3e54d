#include <algorithm>  // for any_of, max, sort

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

bool AllowsService(const Route& route, const ServiceName& service) {
  return std::ranges::any_of(
      route.services, [&service](const WeightedService& share) {
        return share.weight > 0 && share.service == service;
      });
}

}  // namespace

std::string_view NameOf(BindingSource source) {
  switch (source) {
    case BindingSource::kOwn:
      return "own";
    case BindingSource::kTold:
      return "told";
    case BindingSource::kAsked:
      return "asked";
    case BindingSource::kOneVersion:
      return "one_version";
    case BindingSource::kInDoubt:
      return "in_doubt";
  }
  return "unknown";
}

std::string_view NameOf(ResumptionRefusal why) {
  switch (why) {
    case ResumptionRefusal::kOriginUnknown:
      return "origin_unknown";
    case ResumptionRefusal::kOriginUnclear:
      return "origin_unclear";
    case ResumptionRefusal::kVersionGone:
      return "version_gone";
    case ResumptionRefusal::kServiceNotAllowed:
      return "service_not_allowed";
    case ResumptionRefusal::kViewIncomplete:
      return "view_incomplete";
    case ResumptionRefusal::kViewUnconfirmed:
      return "view_unconfirmed";
  }
  return "unknown";
}

origins::KnownOrigin CoreImpl::FindOrigin(const ActiveRequest& active,
                                          Instant now) const {
  const std::string& first = active.info.first_caller_id;
  if (first.empty()) return {};
  return m_dependencies.origins->Find(origins::StreamKeyOf(active.team, first),
                                      now);
}

// What two software versions write does not fit together. A stream whose
// origin is not known is therefore not resumed by guessing.
std::optional<ResumptionRefusal> CoreImpl::BindResumed(
    ActiveRequest& active, const origins::KnownOrigin& known,
    Instant now) const {
  switch (known.state) {
    case origins::OriginState::kKnown:
      return BindToOrigin(active, known);
    case origins::OriginState::kUnclear:
      return ResumptionRefusal::kOriginUnclear;
    case origins::OriginState::kMissing:
      break;
  }
  return BindToOnlyVersion(active, now);
}

// The only version of the only service that the request's route has led to.
std::optional<ResumptionRefusal> CoreImpl::BindToOnlyVersion(
    ActiveRequest& active, Instant now) const {
  const std::optional<SoftwareKey> only =
      m_dependencies.versions->Only(active.service);
  if (!only || active.route->services.size() != 1)
    return ResumptionRefusal::kOriginUnknown;
  // Those who may know were not reached: neither may be what they know of.
  const bool unanswered =
      active.lookup &&
      active.lookup->outcome == origins::LookupOutcome::kIncomplete;
  if (unanswered) return ResumptionRefusal::kOriginUnknown;
  if (!KnewAllThroughout(active, now) || HasSuspects(*only))
    return ResumptionRefusal::kViewIncomplete;
  if (m_view_confirmed_at < active.arrived)
    return ResumptionRefusal::kViewUnconfirmed;
  active.binding = {*only, BindingSource::kOneVersion, 0s};
  return std::nullopt;
}

bool CoreImpl::KnewAllThroughout(const ActiveRequest& active,
                                 Instant now) const {
  const Instant begin =
      now - active.route->timeout * m_options.stream_life_timeouts;
  const std::optional<Instant> routes = m_route_targets.UnchangedSince();
  return m_view_complete_since && *m_view_complete_since <= begin && routes &&
         *routes <= begin;
}

std::optional<ResumptionRefusal> CoreImpl::BindToOrigin(
    ActiveRequest& active, const origins::KnownOrigin& known) const {
  const SoftwareKey software = known.software;
  const std::optional<ServiceName> service =
      m_dependencies.versions->ServiceOf(software);
  // An entry that has just started may not know of its endpoints yet.
  if (!service && !m_view_complete_since)
    return ResumptionRefusal::kViewIncomplete;
  if (!service || !m_dependencies.versions->Serves(software))
    return ResumptionRefusal::kVersionGone;
  if (!AllowsService(*active.route, *service))
    return ResumptionRefusal::kServiceNotAllowed;
  const BindingSource heard =
      active.lookup ? BindingSource::kAsked : BindingSource::kTold;
  active.service = *service;
  active.binding = {software, known.own ? BindingSource::kOwn : heard,
                    known.age};
  return std::nullopt;
}

void CoreImpl::AdmitResumed(ActiveRequest& active, Instant now) {
  const origins::KnownOrigin known = FindOrigin(active, now);
  const bool missing = known.state == origins::OriginState::kMissing;
  if (missing && LookUpOrigin(active, now)) return;
  const std::optional<ResumptionRefusal> why = BindResumed(active, known, now);
  if (why && WaitForDirectory(active, *why, missing, now)) return;
  if (why) return RefuseResumption(active, *why, now);
  ++m_resumptions.accepted;
  AdmitToService(active, now);
}

// A stream may have begun at an entry that does not send its origins here, or
// before this entry started.
bool CoreImpl::LookUpOrigin(ActiveRequest& active, Instant now) {
  const std::string& first = active.info.first_caller_id;
  if (active.lookup || first.empty() || m_dependencies.lookup == nullptr)
    return false;
  const origins::StreamKey stream = origins::StreamKeyOf(active.team, first);
  if (!m_dependencies.lookup->Start(stream, now)) return false;
  active.stage = Stage::kWaitsForOrigin;
  m_waiting_for_origin.emplace(stream, active.id);
  SetTimer(active, active.deadline);
  return true;
}

// An entry that has just started knows an origin before it knows the endpoints.
// One that may be out of step asks a leader.
bool CoreImpl::WaitForDirectory(ActiveRequest& active, ResumptionRefusal why,
                                bool missing, Instant now) {
  const bool starting = why == ResumptionRefusal::kViewIncomplete && !missing;
  const bool may_end = starting || why == ResumptionRefusal::kViewUnconfirmed;
  const Instant until = active.arrived + m_options.max_directory_wait;
  if (!may_end || now >= until) return false;
  if (active.stage != Stage::kWaitsForDirectory) SetTimer(active, until);
  active.stage = Stage::kWaitsForDirectory;
  active.awaits_confirmation = !starting;
  return true;
}

void CoreImpl::AdmitWaiting(bool for_confirmation, Instant now) {
  std::vector<RequestId> waiting;
  for (const auto& [id, active] : m_active) {
    if (active.stage == Stage::kWaitsForDirectory &&
        active.awaits_confirmation == for_confirmation)
      waiting.push_back(id);
  }
  std::ranges::sort(waiting);
  for (const RequestId id : waiting) {
    const auto found = m_active.find(id);
    if (found != m_active.end()) AdmitResumed(found->second, now);
  }
}

void CoreImpl::OnViewConfirmed(Instant asked_at, Instant now) {
  if (asked_at <= m_view_confirmed_at) return;
  m_view_confirmed_at = asked_at;
  AdmitWaiting(true, now);
}

std::optional<Instant> CoreImpl::AwaitsConfirmationSince() const {
  std::optional<Instant> newest;
  for (const auto& [id, active] : m_active) {
    if (active.stage == Stage::kWaitsForDirectory && active.awaits_confirmation)
      newest = std::max(newest.value_or(active.arrived), active.arrived);
  }
  return newest;
}

void CoreImpl::OnOriginsLookedUp(
    const std::vector<origins::EndedLookup>& lookups, Instant now) {
  for (const origins::EndedLookup& lookup : lookups) {
    const auto [begin, end] = m_waiting_for_origin.equal_range(lookup.stream);
    std::vector<RequestId> waiting;
    for (auto item = begin; item != end; ++item)
      waiting.push_back(item->second);
    m_waiting_for_origin.erase(begin, end);
    for (const RequestId request : waiting) {
      const auto found = m_active.find(request);
      if (found == m_active.end()) continue;
      found->second.lookup = lookup;
      AdmitResumed(found->second, now);
    }
  }
}

// What asking other entries for the stream's origin has yielded.
void CoreImpl::AddLookup(const ActiveRequest& active, LogInputs& inputs) {
  if (!active.lookup) return;
  const origins::EndedLookup& lookup = *active.lookup;
  inputs.emplace_back("lookup", std::string(NameOf(lookup.outcome)));
  inputs.emplace_back("lookup_ms", std::to_string(ToMs(lookup.took)));
  inputs.emplace_back("asked_groups", std::to_string(lookup.groups));
  inputs.emplace_back("answered", std::to_string(lookup.answered));
}

// Whether the stream may be resumed a little later: this entry or those that it
// has asked have just started, or one that was asked did not answer.
bool CoreImpl::MayChangeSoon(const ActiveRequest& active,
                             ResumptionRefusal why) {
  if (why == ResumptionRefusal::kViewIncomplete ||
      why == ResumptionRefusal::kViewUnconfirmed)
    return true;
  return why == ResumptionRefusal::kOriginUnknown && active.lookup &&
         active.lookup->outcome == origins::LookupOutcome::kIncomplete;
}

void CoreImpl::RefuseResumption(ActiveRequest& active, ResumptionRefusal why,
                                Instant now) {
  ++m_resumptions.refused;
  ++m_resumptions.refused_for[NameOf(why)];
  const Duration complete_for =
      m_view_complete_since ? now - *m_view_complete_since : 0s;
  const size_t versions =
      m_dependencies.versions->SoftwareOf(active.service).size();
  LogInputs inputs = {
      {"why", std::string(NameOf(why))},
      {"service", active.service},
      {"resumes", active.info.first_caller_id},
      {"after_event", active.info.last_event_id},
      {"versions", std::to_string(versions)},
      {"origins", std::to_string(m_dependencies.origins->Size())},
      {"view_complete_ms", std::to_string(ToMs(complete_for))},
      {"view_confirmed_ms", std::to_string(ToMs(now - m_view_confirmed_at))}};
  AddLookup(active, inputs);
  Log("resumption_refused", active, std::move(inputs));
  const Duration wait = MayChangeSoon(active, why) ? 0s : active.deadline - now;
  Fail(active, ErrorKind::kNotResumable, RetryAfter(active, wait, now), now);
}

// A stream that begins at an endpoint which may have started again has no known
// origin yet: it runs to its end there, and does not go on elsewhere within
// this response.
void CoreImpl::BindToAttempt(ActiveRequest& active, Instant now) {
  if (!active.route->resumable) return;
  const Attempt& attempt = active.attempt;
  const origins::StreamKey stream =
      origins::StreamKeyOf(active.team, active.info.caller_id);
  const origins::RestartSuspects& restarts = *m_dependencies.restarts;
  const bool restarted = attempt.next == NextIncarnation::kOtherVersion;
  const bool in_doubt =
      restarted || restarts.During(attempt.endpoint, attempt.head_at) ==
                       origins::ProcessProof::kInDoubt;
  active.binding = {attempt.endpoint.software, BindingSource::kOwn, 0s};
  if (in_doubt) {
    active.binding = BindingInDoubt();
    ++m_resumptions.begun_in_doubt;
  }
  if (restarted) return;
  m_dependencies.origins->OnBegun(stream, attempt.endpoint, attempt.head_at,
                                  restarts, now);
}

}  // namespace dotterelshift::gateway
