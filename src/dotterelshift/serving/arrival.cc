#include <algorithm>  // for any_of, find, max, sort
#include <utility>    // for move

#include "dotterelshift/routing/target.h"  // for ReachOf
#include "dotterelshift/serving/core.h"    // for Core

namespace dotterelshift::serving {
namespace {

// Tokens per unit of cost in the fair queue.
constexpr double kTokensPerUnit = 1024;

// Priority of requests that had an attempt before: first within their team.
constexpr int kRetryPriority = -100;

// The value for Retry-After: whole seconds, rounded up, at least one.
int RetryAfterSeconds(Duration wait) {
  const int64_t seconds = (ToMs(wait) + 999) / 1000;
  return static_cast<int>(std::max<int64_t>(1, seconds));
}

}  // namespace

void Core::OnRequest(RequestId id, callers::CallerRequest caller_request,
                     Instant now) {
  auto owned = std::make_unique<Request>();
  Request* request = owned.get();
  request->id = id;
  request->caller = std::move(caller_request);
  request->arrived = now;
  request->deadline = now + request->caller.deadline;
  m_requests[id] = std::move(owned);

  const ErrorKind refusal = Authorize(request);
  if (refusal != ErrorKind::kNone) {
    Fail(request, refusal, now);
  } else if (const auto blocked = m_blocklist.RemainingBlock(
                 request->caller.content_hash, now)) {
    Fail(request, ErrorKind::kQuarantined, now, RetryAfterSeconds(*blocked));
  } else {
    Enqueue(request, now);
  }
  FinishEvent(now);
}

ErrorKind Core::Authorize(Request* request) {
  if (m_draining) return ErrorKind::kDraining;
  if (m_reach == ControlReach::kNever) return ErrorKind::kNotReady;
  const callers::CallerRequest& caller = request->caller;
  const wire::TeamT* team =
      m_dependencies.configuration->FindTeamByKey(caller.key_hash);
  if (team == nullptr) return ErrorKind::kUnauthorized;
  request->team = team->id;
  request->request_class = team->request_class.empty() ? m_options.default_class
                                                       : team->request_class;
  request->weight = team->weight;
  request->refusals_first = team->policy == wire::TeamPolicy::RefusalsFirst;
  if (!caller.claimed_team.empty() && caller.claimed_team != team->id)
    return ErrorKind::kWrongTeam;
  if (!caller.idempotent && caller.idempotency_key.empty())
    return ErrorKind::kKeyRequired;
  const ErrorKind reach = CheckAccess(*request);
  if (reach != ErrorKind::kNone) return reach;

  const std::vector<BudgetId> budgets =
      m_dependencies.configuration->BudgetsOf(team->id);
  if (budgets.empty()) return ErrorKind::kNoBudget;
  request->budget_id = caller.budget.empty() ? budgets.front() : caller.budget;
  if (std::find(budgets.begin(), budgets.end(), request->budget_id) ==
      budgets.end())
    return ErrorKind::kNoBudget;
  budget::HoldingPolicy policy;
  policy.policy = team->policy;
  policy.way = team->grant_way;
  policy.partition = std::chrono::seconds(team->partition_seconds);
  request->budget = m_dependencies.ledger->Open(request->budget_id, policy);

  const bool cut_off = m_reach == ControlReach::kCutOff;
  if (cut_off && (!m_options.serve_when_cut_off || !caller.idempotent))
    return ErrorKind::kNoQuorum;
  request->key = caller.idempotency_key;
  if (request->key.empty()) {
    request->key = "~" + m_options.self.host + "." +
                   std::to_string(m_options.self.incarnation) + "." +
                   std::to_string(request->id);
  }
  return ErrorKind::kNone;
}

ErrorKind Core::CheckAccess(const Request& request) const {
  const bool service = request.IsService();
  switch (routing::ReachOf(*m_dependencies.configuration, request.team,
                           request.caller.target, service)) {
    case state::Reach::kAllowed:
      return ErrorKind::kNone;
    case state::Reach::kOutOfReach:
      return ErrorKind::kOutOfReach;
    case state::Reach::kUnknown:
      return service ? ErrorKind::kUnknownService : ErrorKind::kUnknownModel;
  }
  return ErrorKind::kInternal;
}

void Core::Enqueue(Request* request, Instant now) {
  admission::Waiting waiting;
  waiting.request = request->id;
  waiting.team = request->team;
  waiting.target = request->caller.target;
  waiting.weight = request->weight;
  waiting.priority =
      request->attempts > 0 ? kRetryPriority : request->caller.priority;
  waiting.cost =
      std::max(1.0, static_cast<double>(request->WorstCase()) / kTokensPerUnit);
  waiting.deadline = request->deadline;
  if (!m_dependencies.queue->Push(waiting)) {
    Fail(request, ErrorKind::kQueueFull, now);
    return;
  }
  request->stage = Stage::kQueued;
  SetDue(request, request->deadline);
}

void Core::EnqueueDeferred(Request* request) {
  request->stage = Stage::kArrived;
  m_deferred.push_back(request->id);
}

bool Core::TryStart(RequestId id, Instant now) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->stage != Stage::kQueued) return true;
  if (!m_suspects.MayStart(request->caller.content_hash)) {
    AwaitIsolation(request, now);
    return true;
  }
  const routing::RouteChoice choice = Choose(*request, now);
  if (choice.outcome == routing::RouteOutcome::kBusy) {
    if (now + choice.expected_wait < request->deadline) return false;
    request->stage = Stage::kArrived;
    Fail(request, ErrorKind::kOverloaded, now,
         RetryAfterSeconds(choice.expected_wait));
    return true;
  }
  request->stage = Stage::kArrived;
  if (choice.outcome == routing::RouteOutcome::kNone) {
    OnNoEndpoint(request, now);
  } else if (ReserveOrWait(request, now)) {
    BeginAttempt(request, choice, now);
  }
  return true;
}

routing::RouteChoice Core::Choose(const Request& request, Instant now) {
  if (!m_suspects.IsSuspect(request.caller.content_hash))
    return ChooseFor(request, request.excluded, now);
  // If suspects of two entries ran on the same endpoint and it died, both would
  // be reported as its cause. Each entry therefore prefers its own share of the
  // endpoints for suspects.
  const std::vector<EndpointId> occupied = m_suspects.Occupied();
  std::vector<EndpointId> avoided = EndpointsOfOtherEntries();
  avoided.insert(avoided.end(), request.excluded.begin(),
                 request.excluded.end());
  const bool own_share_occupied =
      std::ranges::any_of(occupied, [&avoided](const EndpointId& endpoint) {
        return std::ranges::find(avoided, endpoint) == avoided.end();
      });
  avoided.insert(avoided.end(), occupied.begin(), occupied.end());
  routing::RouteChoice own = ChooseFor(request, avoided, now);
  if (own.outcome != routing::RouteOutcome::kNone || own_share_occupied)
    return own;
  std::vector<EndpointId> exclude = request.excluded;
  exclude.insert(exclude.end(), occupied.begin(), occupied.end());
  return ChooseFor(request, exclude, now);
}

std::vector<EndpointId> Core::EndpointsOfOtherEntries() const {
  std::vector<EndpointId> endpoints;
  for (const auto& [id, endpoint] : m_dependencies.directory->All())
    endpoints.push_back(id);
  std::ranges::sort(endpoints);
  std::vector<EndpointId> others;
  for (size_t i = 0; i < endpoints.size(); ++i)
    if (i % m_entries != m_entry_index) others.push_back(endpoints[i]);
  return others;
}

routing::RouteChoice Core::ChooseFor(const Request& request,
                                     const std::vector<EndpointId>& exclude,
                                     Instant now) {
  routing::RouteQuery query;
  query.team = request.team;
  query.target = request.caller.target;
  query.service = request.IsService();
  query.prompt_tokens = request.caller.prompt_bound;
  query.output_tokens = request.caller.output_limit;
  query.prefix_hashes = &request.caller.prefix_hashes;
  query.exclude = &exclude;
  return m_dependencies.router->Choose(query, now);
}

void Core::OnNoEndpoint(Request* request, Instant now) {
  const bool suspect = m_suspects.IsSuspect(request->caller.content_hash);
  if (suspect && !m_suspects.Occupied().empty()) {
    AwaitIsolation(request, now);
    return;
  }
  // If there is no other endpoint, those that refused because of load are
  // retried.
  if (request->last_failure == ErrorKind::kEndpointRefused &&
      !request->excluded.empty()) {
    request->excluded.clear();
    const routing::RouteChoice choice = Choose(*request, now);
    if (choice.outcome == routing::RouteOutcome::kChosen) {
      if (ReserveOrWait(request, now)) BeginAttempt(request, choice, now);
      return;
    }
  }
  const bool tried = request->last_failure != ErrorKind::kNone;
  Fail(request, tried ? request->last_failure : ErrorKind::kNoEndpoint, now);
}

void Core::AwaitIsolation(Request* request, Instant now) {
  request->stage = Stage::kAwaitingIsolation;
  m_awaiting_isolation.push_back(request->id);
  if (request->reserved > 0) {
    ReleaseReservation(*request, {request->reserved, request->standing}, 0,
                       now);
    request->reserved = 0;
  }
  SetDue(request, request->deadline);
}

void Core::RetryIsolated() {
  for (const RequestId id : m_awaiting_isolation) {
    Request* request = FindRequest(id);
    if (request == nullptr || request->stage != Stage::kAwaitingIsolation)
      continue;
    EnqueueDeferred(request);
  }
  m_awaiting_isolation.clear();
}

}  // namespace dotterelshift::serving
