#include <algorithm>  // for max, min

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often it is checked whether withheld events may be passed on.
constexpr Duration kFitCheckInterval = 50ms;

// Withheld bytes of one response beyond this end its attempt.
constexpr size_t kMaxWithheldBytes = 1 << 20;

bool AllowsService(const Route& route, const ServiceName& service) {
  return std::ranges::any_of(
      route.services, [&service](const WeightedService& share) {
        return share.weight > 0 && share.service == service;
      });
}

// For the log; empty: not known.
std::string ConnectedMsAgo(const Attempt& attempt, Instant now) {
  if (attempt.connected_at == Instant{}) return "";
  return std::to_string(ToMs(now - attempt.connected_at));
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
  }
  return "unknown";
}

// What two software versions write does not fit together. A stream whose
// origin is not known is therefore not resumed by guessing.
std::optional<ResumptionRefusal> CoreImpl::BindResumed(ActiveRequest& active,
                                                       Instant now) const {
  const std::string& first = active.info.first_caller_id;
  const KnownOrigin known =
      first.empty()
          ? KnownOrigin()
          : m_dependencies.origins->Find(StreamKeyOf(active.team, first), now);
  if (known.state == OriginState::kKnown) return BindToOrigin(active, known);
  const std::optional<SoftwareKey> only = ProvenOnlyVersion(active, now);
  if (!only) {
    if (known.state == OriginState::kUnclear)
      return ResumptionRefusal::kOriginUnclear;
    return m_dependencies.versions->Only(active.service)
               ? ResumptionRefusal::kViewIncomplete
               : ResumptionRefusal::kOriginUnknown;
  }
  StreamOrigin origin;
  origin.software = *only;
  origin.proven = true;
  active.binding = {origin, BindingSource::kOneVersion, 0s};
  return std::nullopt;
}

std::optional<ResumptionRefusal> CoreImpl::BindToOrigin(
    ActiveRequest& active, const KnownOrigin& known) const {
  const SoftwareKey software = known.origin.software;
  const std::optional<ServiceName> service =
      m_dependencies.versions->ServiceOf(software);
  if (!service || !m_dependencies.versions->Serves(software))
    return ResumptionRefusal::kVersionGone;
  if (!AllowsService(*active.route, *service))
    return ResumptionRefusal::kServiceNotAllowed;
  const BindingSource heard =
      active.lookup ? BindingSource::kAsked : BindingSource::kTold;
  active.service = *service;
  active.binding = {known.origin, known.own ? BindingSource::kOwn : heard,
                    known.age};
  return std::nullopt;
}

void CoreImpl::AdmitResumed(ActiveRequest& active, Instant now) {
  const std::optional<ResumptionRefusal> why = BindResumed(active, now);
  if (why && LookUpOrigin(active, *why, now)) return;
  if (why) return RefuseResumption(active, *why, now);
  ++m_resumptions.accepted;
  AdmitToService(active, now);
}

// A stream may have begun at an entry that does not send its origins here.
bool CoreImpl::LookUpOrigin(ActiveRequest& active, ResumptionRefusal why,
                            Instant now) {
  const bool missing = why == ResumptionRefusal::kOriginUnknown ||
                       why == ResumptionRefusal::kViewIncomplete;
  const std::string& first = active.info.first_caller_id;
  if (!missing || active.lookup || first.empty() ||
      m_dependencies.lookup == nullptr)
    return false;
  const StreamKey stream = StreamKeyOf(active.team, first);
  if (!m_dependencies.lookup->Start(stream, now)) return false;
  active.stage = Stage::kWaitsForOrigin;
  m_waiting_for_origin.emplace(stream, active.id);
  SetTimer(active, active.deadline);
  return true;
}

void CoreImpl::OnOriginsLookedUp(const std::vector<EndedLookup>& lookups,
                                 Instant now) {
  for (const EndedLookup& lookup : lookups) {
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

// The only version of the request's service, if this entry knows of all
// endpoints since before the stream can have begun.
std::optional<SoftwareKey> CoreImpl::ProvenOnlyVersion(
    const ActiveRequest& active, Instant now) const {
  const Duration life = active.route->timeout * m_options.stream_life_timeouts;
  const bool complete =
      m_view_complete_since && *m_view_complete_since <= now - life;
  if (!complete) return std::nullopt;
  return m_dependencies.versions->Only(active.service);
}

// What asking other entries for the stream's origin has yielded.
void CoreImpl::AddLookup(const ActiveRequest& active, LogInputs& inputs) {
  if (!active.lookup) return;
  const EndedLookup& lookup = *active.lookup;
  inputs.emplace_back("lookup", std::string(NameOf(lookup.outcome)));
  inputs.emplace_back("lookup_ms", std::to_string(ToMs(lookup.took)));
  inputs.emplace_back("asked_data_centres",
                      std::to_string(lookup.data_centres));
  inputs.emplace_back("answered", std::to_string(lookup.answered));
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
      {"view_complete_ms", std::to_string(ToMs(complete_for))}};
  AddLookup(active, inputs);
  Log("resumption_refused", active, std::move(inputs));
  Fail(active, ErrorKind::kNotResumable, RetryAfter(active, 0s, now), now);
}

void CoreImpl::OnHandedOver(AttemptId id, Instant connected_at) {
  ActiveRequest* active = FindByAttempt(id);
  if (active != nullptr) active->attempt.connected_at = connected_at;
}

void CoreImpl::BindToAttempt(ActiveRequest& active, Instant now) {
  if (!active.route->resumable) return;
  const Attempt& attempt = active.attempt;
  StreamBinding binding;
  binding.origin.software = attempt.endpoint.software;
  binding.origin.endpoint = EndpointIdKeyOf(attempt.endpoint.id);
  const bool known = attempt.connected_at != Instant{};
  binding.origin.life = {known ? attempt.connected_at : now, now, true};
  active.binding = binding;
  active.attempt.fits = true;
  ProveOrigin(active, now);
  if (!active.binding->origin.proven) {
    m_dependencies.origins->OnBegun(
        StreamKeyOf(active.team, active.info.caller_id), active.binding->origin,
        now);
  }
}

// Only the attempt that began the stream adds evidence about its origin.
void CoreImpl::ProveOrigin(ActiveRequest& active, Instant now) {
  StreamOrigin& origin = active.binding->origin;
  if (origin.proven || !origin.life.open) return;
  origin.life.to = now;
  if (Prove(origin, *m_dependencies.runs) != RunProof::kProven) return;
  m_dependencies.origins->OnBegun(
      StreamKeyOf(active.team, active.info.caller_id), origin, now);
}

// Whether the attempt's endpoint has the version that began the stream. While
// only one version is known, there is no question.
CoreImpl::Fit CoreImpl::FitOf(ActiveRequest& active) const {
  StreamOrigin& origin = active.binding->origin;
  if (m_dependencies.versions->Only(active.service) == origin.software)
    return Fit::kFits;
  const RunProof proof = Prove(origin, *m_dependencies.runs);
  if (proof == RunProof::kPending) return Fit::kPending;
  if (proof == RunProof::kUnknown) return Fit::kOriginUnclear;
  const Attempt& attempt = active.attempt;
  if (attempt.connected_at == Instant{}) return Fit::kPending;
  const ConnectionLife life = {attempt.connected_at, attempt.last_received,
                               !attempt.complete && !attempt.broken};
  const ProvenRun run =
      m_dependencies.runs->During(EndpointIdKeyOf(attempt.endpoint.id), life);
  if (run.proof == RunProof::kPending) return Fit::kPending;
  const bool same =
      run.proof == RunProof::kProven && run.software == origin.software;
  return same ? Fit::kFits : Fit::kOtherVersion;
}

// Events are withheld until it is proven that they fit: a record is up to a
// heartbeat old, and the endpoint may have restarted at another version.
void CoreImpl::CheckFit(ActiveRequest& active, Instant now) {
  Attempt& attempt = active.attempt;
  const Fit fit = FitOf(active);
  if (fit == Fit::kFits) return Release(active, now);
  if (attempt.withheld_since == Instant{}) {
    attempt.withheld_since = now;
    ++m_resumptions.withheld;
  }
  const bool waits = fit == Fit::kPending &&
                     now < attempt.withheld_since + m_options.max_withhold &&
                     attempt.withheld.size() < kMaxWithheldBytes;
  if (!waits) return OnUnfit(active, fit, now);
  const Instant next = now + kFitCheckInterval;
  if (attempt.complete || attempt.broken) return SetTimer(active, next);
  if (RunningDeadline(active) <= now && LeaveSilent(active, now)) return;
  SetTimer(active, std::min(next, RunningDeadline(active)));
}

void CoreImpl::Release(ActiveRequest& active, Instant now) {
  Attempt& attempt = active.attempt;
  attempt.fits = true;
  RelayHeadOnce(active);
  if (attempt.withheld_since != Instant{}) {
    Log("stream_released", active,
        {{"endpoint", attempt.endpoint.id},
         {"withheld_ms", std::to_string(ToMs(now - attempt.withheld_since))},
         {"connected_ms_ago", ConnectedMsAgo(attempt, now)},
         {"bytes", std::to_string(attempt.withheld.size())},
         {"broken", attempt.broken ? "yes" : "no"}});
  }
  const RequestId request = active.id;
  const AttemptId id = attempt.id;
  const bool complete = attempt.complete;
  const bool broken = attempt.broken;
  PassOn(active, std::exchange(attempt.withheld, {}), now);
  // The events may have had a gap, which ends the attempt.
  const auto found = m_active.find(request);
  if (found == m_active.end() || found->second.attempt.id != id) return;
  if (broken) return Fail(found->second, ErrorKind::kEndpointFailed, 0s, now);
  if (complete) return OnWholeResponse(found->second, now);
  SetTimer(found->second, RunningDeadline(found->second));
}

bool CoreImpl::AwaitsProof(const ActiveRequest& active, http::TransferEnd end) {
  return end == http::TransferEnd::kCut && active.stage == Stage::kAnswering &&
         !active.attempt.withheld.empty();
}

// An announcement that is on its way can prove the events of a connection that
// has ended, as it does those of a complete response. They are passed on then,
// so that the caller goes on after them; the attempt itself is over.
void CoreImpl::AwaitProof(ActiveRequest& active, Instant now) {
  active.attempt.broken = true;
  active.stage = Stage::kAnswering;
  CheckFit(active, now);
}

void CoreImpl::OnUnfit(ActiveRequest& active, Fit fit, Instant now) {
  const Attempt& attempt = active.attempt;
  const bool mismatched = fit == Fit::kOtherVersion;
  if (mismatched) ++m_resumptions.mismatched;
  Log("stream_unfit", active,
      {{"endpoint", attempt.endpoint.id},
       {"why", mismatched                   ? "other_version"
               : fit == Fit::kOriginUnclear ? "origin_unclear"
                                            : "not_proven"},
       {"bound_to",
        m_dependencies.versions->NameOf(active.binding->origin.software)},
       {"origin_proven", active.binding->origin.proven ? "yes" : "no"},
       {"connected_ms_ago", ConnectedMsAgo(attempt, now)},
       {"withheld_ms", std::to_string(ToMs(now - attempt.withheld_since))}});
  if (attempt.broken) return Fail(active, ErrorKind::kEndpointFailed, 0s, now);
  const bool may_retry = fit != Fit::kOriginUnclear && MayRunAgain(active);
  CancelAttemptIfSent(active);
  // The endpoint did not fail: it is neither avoided nor is the content
  // suspected.
  EndAttempt(active, now);
  ++active.runs;
  if (may_retry && TryAgain(active, false, now)) return;
  Fail(active, ErrorKind::kEndpointFailed, 0s, now);
}

}  // namespace dotterelshift::gateway
