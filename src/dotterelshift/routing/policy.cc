#include "dotterelshift/routing/policy.h"

#include <algorithm>  // for find, max

namespace dotterelshift::routing {
namespace {

// Random draws before the endpoints are tried in order.
constexpr int kRandomTries = 8;

// Fraction of the average first-token time that is prefill. The rest does not
// depend on the cache.
constexpr double kPrefillFraction = 0.7;

// An endpoint that has the prefix cached may have up to this factor, plus the
// slack, of the load of the alternative.
constexpr double kBoundFactor = 1.25;
constexpr double kBoundSlack = 2;

// First-token time assumed before the first measurement.
constexpr double kFirstTokenGuessMs = 100;

// Weight of the entry's own requests relative to the reported requests of other
// entries. The other entries send about as many, and requests that they sent
// since the last report are not included in it. With a weight of one, all
// entries follow the same reports and choose the same endpoints. See
// docs/decisions/routing.md.
constexpr double kOwnWeight = 6;

// An endpoint's own first-token time is used only if it exceeds the overall
// average by this factor. Below that it mostly reflects the queueing of the
// last few requests, which says little about the next one.
constexpr double kSlowFactor = 2;

// Samples needed before an endpoint's own first-token time is used.
constexpr int kEnoughSamples = 4;

double InMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

EndpointState* SelectionContext::Sample(Random* random) const {
  const size_t count = endpoints->size();
  if (count == 0) return nullptr;
  for (int i = 0; i < kRandomTries; ++i) {
    EndpointState* state = (*endpoints)[random->Below(count)];
    if (Admits(*state)) return state;
  }
  const size_t start = random->Below(count);
  for (size_t i = 0; i < count; ++i) {
    EndpointState* state = (*endpoints)[(start + i) % count];
    if (Admits(*state)) return state;
  }
  return nullptr;
}

double SelectionContext::CachedFraction(const EndpointState& state) const {
  const auto* end = holders.begin() + holder_count;
  return std::find(holders.begin(), end, &state) == end ? 0 : cached_fraction;
}

double SelectionContext::Estimate(EndpointState* state) const {
  const directory::Endpoint* endpoint = directory->Find(state->id);
  if (endpoint != nullptr) state->TakeReport(*endpoint);
  const double average_ms =
      first_token_ms > 0 ? first_token_ms : kFirstTokenGuessMs;
  const bool slow = state->samples >= kEnoughSamples &&
                    state->first_token_ms > kSlowFactor * average_ms;
  const double expected_ms = slow ? state->first_token_ms : average_ms;
  const double load = kOwnWeight * state->in_flight + state->OtherLoadAt(now);
  const double utilization = (load + 1) / std::max(1.0, state->slots);
  const double queue =
      std::max(0.0, utilization - 1) * state->service_time.Seconds() * 1000;
  const double work =
      expected_ms * (1 - kPrefillFraction * CachedFraction(*state));
  const double latency = state->local ? 0 : InMs(remote_penalty);
  return queue + work * (1 + utilization) + latency;
}

EndpointState* RoundRobin::Pick(const SelectionContext& context,
                                Random* /*random*/) {
  const size_t count = context.endpoints->size();
  for (size_t i = 0; i < count; ++i) {
    EndpointState* state = (*context.endpoints)[m_next++ % count];
    if (context.Admits(*state)) return state;
  }
  return nullptr;
}

EndpointState* LeastInFlight::Pick(const SelectionContext& context,
                                   Random* random) {
  const size_t count = context.endpoints->size();
  if (count == 0) return nullptr;
  // Starts at a random position, so that ties do not all go to the first one.
  const size_t start = random->Below(count);
  EndpointState* best = nullptr;
  for (size_t i = 0; i < count; ++i) {
    EndpointState* state = (*context.endpoints)[(start + i) % count];
    const bool better = best == nullptr || state->in_flight < best->in_flight;
    if (better && context.Admits(*state)) best = state;
  }
  return best;
}

EndpointState* PrefixAffinity::Pick(const SelectionContext& context,
                                    Random* random) {
  EndpointState* best = m_fallback.Pick(context, random);
  if (best == nullptr || context.holder_count == 0) return best;
  double minimum = context.Estimate(best);
  const double bound = kBoundFactor * best->Load(context.now) + kBoundSlack;
  for (size_t i = 0; i < context.holder_count; ++i) {
    EndpointState* state = context.holders[i];
    if (!context.Admits(*state) || state->Load(context.now) > bound) continue;
    const double estimate = context.Estimate(state);
    if (estimate >= minimum) continue;
    minimum = estimate;
    best = state;
  }
  return best;
}

}  // namespace dotterelshift::routing
