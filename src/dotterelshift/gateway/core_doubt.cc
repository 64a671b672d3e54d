#include <algorithm>  // for any_of, sort
#include <utility>    // for exchange, move

#include "dotterelshift/gateway/core_impl.h"  // for CoreImpl

namespace dotterelshift::gateway {
namespace {

// How often a doubt is looked at again: well below the time in which a caller
// notices a pause.
constexpr Duration kDoubtCheckInterval = 20ms;

}  // namespace

bool CoreImpl::HasSuspects(SoftwareKey software) const {
  const std::vector<EndpointKey> suspects = m_dependencies.restarts->All();
  return std::ranges::any_of(suspects, [&](EndpointKey endpoint) {
    const origins::EndpointContact* contact =
        m_dependencies.load->Find(endpoint);
    return contact != nullptr && contact->software == software;
  });
}

// Endpoints that may have started again at another version. A stream that has
// begun does not go on there; one that has not prefers others.
std::vector<EndpointKey> CoreImpl::SuspectedEndpoints(
    const ActiveRequest& active, Instant now) {
  origins::RestartSuspects& restarts = *m_dependencies.restarts;
  const bool resumable =
      active.route->kind == RouteKind::kStream && active.route->resumable;
  if (!resumable || restarts.Size() == 0) return {};
  restarts.Update(now);
  return restarts.All();
}

// The connection of an attempt broke, which does not outlive its endpoint's
// process.
void CoreImpl::SuspectRestart(const Attempt& attempt, http::TransferEnd end,
                              Instant now) {
  const bool broke = end == http::TransferEnd::kCut ||
                     end == http::TransferEnd::kFailedBeforeHead;
  if (broke && attempt.relay.empty())
    m_dependencies.restarts->OnBroken(attempt.endpoint, now);
}

bool CoreImpl::IsInDoubt(const Attempt& attempt) const {
  const bool cleared = attempt.next == NextIncarnation::kSameVersion;
  if (!attempt.bound || attempt.events > 0 || cleared) return false;
  return m_dependencies.restarts->During(attempt.endpoint, attempt.head_at) ==
         origins::ProcessProof::kInDoubt;
}

// The break became known only after the request was sent. Mostly a single
// stream broke there, so that a request that would not go on elsewhere at once
// is kept, but its caller gets nothing that may be of another version.
void CoreImpl::Withhold(ActiveRequest& active, std::string_view bytes,
                        bool whole, Instant now) {
  std::optional<Withheld>& withheld = active.attempt.withheld;
  if (!withheld) withheld.emplace();
  withheld->bytes.append(bytes);
  withheld->whole = whole;
  SettleDoubt(active, now);
}

void CoreImpl::SettleDoubt(ActiveRequest& active, Instant now) {
  m_dependencies.restarts->Update(now);
  if (!IsInDoubt(active.attempt)) return PassOnWithheld(active, now);
  const std::optional<std::string_view> why = WhyKept(active, now);
  if (!why) return LeaveInDoubt(active, now);
  if (!std::exchange(active.attempt.withheld->logged, true))
    Log("stream_withheld", active,
        {{"endpoint", active.attempt.endpoint.id}, {"why", std::string(*why)}});
  SetTimer(active, now + kDoubtCheckInterval);
}

void CoreImpl::PassOnWithheld(ActiveRequest& active, Instant now) {
  const AttemptId attempt = active.attempt.id;
  const Withheld withheld = std::move(*active.attempt.withheld);
  active.attempt.withheld.reset();
  if (withheld.logged) {
    Log("stream_passed_on", active,
        {{"endpoint", active.attempt.endpoint.id},
         {"withheld_ms", std::to_string(ToMs(now - active.attempt.head_at))}});
  }
  SetTimer(active, RunningDeadline(active));
  PassOn(active, withheld.bytes, now);
  // The attempt may have been given up, as events are missing.
  ActiveRequest* still = FindByAttempt(attempt);
  if (withheld.whole && still != nullptr) OnWholeResponse(*still, now);
}

void CoreImpl::LeaveInDoubt(ActiveRequest& active, Instant now) {
  Log("stream_in_doubt", active, {{"endpoint", active.attempt.endpoint.id}});
  CancelAttemptIfSent(active);
  OnAttemptFailed(active, http::TransferEnd::kTimedOut, now);
}

// What an endpoint sends after its next incarnation has announced itself is the
// next one's. A stream that had begun before does not go on there if that has
// another version. One that began there runs to its end, and does not go on
// elsewhere.
void CoreImpl::LeaveRestartedEndpoints(const directory::Directory& directory,
                                       Instant now) {
  std::vector<RequestId> bound;
  for (auto& [id, active] : m_active) {
    Attempt& attempt = active.attempt;
    if (!active.IsSent()) continue;
    if (attempt.next == NextIncarnation::kOtherVersion) continue;
    const directory::Endpoint* endpoint = directory.Find(attempt.endpoint.id);
    const bool restarted =
        endpoint != nullptr &&
        endpoint->record.incarnation > attempt.endpoint.incarnation;
    if (!restarted) continue;
    const bool same =
        origins::SoftwareKeyOf(endpoint->record) == attempt.endpoint.software;
    attempt.next =
        same ? NextIncarnation::kSameVersion : NextIncarnation::kOtherVersion;
    if (same) continue;
    if (attempt.bound)
      bound.push_back(id);
    else if (active.binding)
      active.binding = BindingInDoubt();
  }
  std::sort(bound.begin(), bound.end());
  for (const RequestId id : bound) {
    const auto found = m_active.find(id);
    if (found == m_active.end()) continue;
    CancelAttemptIfSent(found->second);
    OnAttemptFailed(found->second, http::TransferEnd::kCut, now);
  }
}

}  // namespace dotterelshift::gateway
