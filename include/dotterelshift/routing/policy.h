#ifndef DOTTERELSHIFT_ROUTING_POLICY_H_
#define DOTTERELSHIFT_ROUTING_POLICY_H_

#include <algorithm>  // for find
#include <array>      // for array
#include <concepts>   // for same_as
#include <cstdint>    // for uint64_t
#include <vector>     // for vector

#include "dotterelshift/routing/endpoint_state.h"  // for EndpointState
#include "dotterelshift/routing/prefix_index.h"    // for PrefixMatch
#include "dotterelshift/routing/router.h"          // for RouteQuery

namespace dotterelshift::routing {

// A small, fast random number generator (xorshift64*). Seeded, so that runs are
// reproducible.
class Random {
 public:
  explicit Random(uint64_t seed) : m_state(seed | 1) {}
  // A random number in [0, bound).
  size_t Below(size_t bound) {
    m_state ^= m_state >> 12;
    m_state ^= m_state << 25;
    m_state ^= m_state >> 27;
    const uint64_t high = (m_state * 0x2545F4914F6CDD1DULL) >> 32;
    return static_cast<size_t>((high * bound) >> 32);
  }

 private:
  uint64_t m_state;
};

// Input of one selection: the candidate endpoints and the request to route.
struct SelectionContext {
  const std::vector<EndpointState*>* endpoints =
      nullptr;  // all that serve the target
  const RouteQuery* query = nullptr;
  const directory::Directory* directory = nullptr;
  // The candidates that are believed to have `cached_fraction` of the prompt
  // cached.
  std::array<EndpointState*, PrefixMatch::kMax> holders{};
  size_t holder_count = 0;
  double cached_fraction = 0;
  Duration remote_penalty = 0s;
  double first_token_ms = 0;  // moving average over all endpoints
  Instant now{};

  // Whether the endpoint may be chosen now.
  bool Admits(const EndpointState& state) const {
    if (!state.usable || state.IsEjected(now) || !state.HasCapacity())
      return false;
    if (query->exclude == nullptr) return true;
    const std::vector<EndpointId>& exclude = *query->exclude;
    return std::find(exclude.begin(), exclude.end(), state.id) == exclude.end();
  }

  // Returns a random endpoint that may be chosen. After a few rejected draws,
  // returns the next admissible endpoint in order; null if there is none.
  EndpointState* Sample(Random* random) const;

  // The fraction of the prompt that the endpoint is believed to have cached.
  double CachedFraction(const EndpointState& state) const;

  // The expected time to the first token at the endpoint, in milliseconds: the
  // wait for a slot, the prefill concurrent with the other requests there, and
  // the network latency.
  double Estimate(EndpointState* state) const;
};

// A policy picks one of the admitted endpoints; null if none is admitted.
template <typename T>
concept Policy = requires(T policy, const SelectionContext& context,
                          Random* random) {
  { policy.Pick(context, random) } -> std::same_as<EndpointState*>;
};

// Picks each endpoint in turn, regardless of its load.
class RoundRobin {
 public:
  EndpointState* Pick(const SelectionContext& context, Random* random);

 private:
  size_t m_next = 0;
};

// Picks the endpoint with the fewest of this entry's requests in flight.
class LeastInFlight {
 public:
  EndpointState* Pick(const SelectionContext& context, Random* random);
};

// Picks the endpoint with the shortest expected time to the first token among
// kSamples random ones.
template <int kSamples>
class BestOf {
 public:
  EndpointState* Pick(const SelectionContext& context, Random* random) {
    EndpointState* best = context.Sample(random);
    if (best == nullptr) return nullptr;
    double minimum = context.Estimate(best);
    for (int i = 1; i < kSamples; ++i) {
      EndpointState* state = context.Sample(random);
      if (state == best) continue;
      const double estimate = context.Estimate(state);
      if (estimate >= minimum) continue;
      minimum = estimate;
      best = state;
    }
    return best;
  }
};
using TwoChoices = BestOf<2>;
using SixChoices = BestOf<6>;

// Picks the endpoint with the shortest expected time to the first token among
// the fallback's choice and the endpoints that have the prompt's prefix cached.
// Of the latter, only those whose load is within a bound derived from the load
// of the fallback's choice.
class PrefixAffinity {
 public:
  EndpointState* Pick(const SelectionContext& context, Random* random);

 private:
  SixChoices m_fallback;
};

// Applies the inner policy to the endpoints of the entry's own data centre that
// have a free slot; to all endpoints if there is none.
template <Policy Inner>
class LocalFirst {
 public:
  EndpointState* Pick(const SelectionContext& context, Random* random) {
    m_local.clear();
    for (EndpointState* state : *context.endpoints) {
      const bool free = state->local && state->Load(context.now) < state->slots;
      if (free && context.Admits(*state)) m_local.push_back(state);
    }
    if (m_local.empty()) return m_inner.Pick(context, random);
    SelectionContext local = context;
    local.endpoints = &m_local;
    return m_inner.Pick(local, random);
  }

 private:
  Inner m_inner;
  std::vector<EndpointState*> m_local;
};

static_assert(Policy<RoundRobin>);
static_assert(Policy<LeastInFlight>);
static_assert(Policy<TwoChoices>);
static_assert(Policy<SixChoices>);
static_assert(Policy<PrefixAffinity>);
static_assert(Policy<LocalFirst<TwoChoices>>);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_POLICY_H_
