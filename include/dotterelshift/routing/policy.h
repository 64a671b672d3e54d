#ifndef DOTTERELSHIFT_ROUTING_POLICY_H_
#define DOTTERELSHIFT_ROUTING_POLICY_H_

#include <algorithm>  // for find
#include <array>      // for array
#include <concepts>   // for same_as
#include <cstdint>    // for uint64_t
#include <vector>     // for vector

#include "dotterelshift/routing/prefix_index.h"  // for PrefixMatch
#include "dotterelshift/routing/router.h"        // for RouteQuery
#include "dotterelshift/routing/seat.h"          // for Seat

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
struct Slate {
  const std::vector<Seat*>* seats = nullptr;  // all that serve the target
  const RouteQuery* query = nullptr;
  const directory::Directory* directory = nullptr;
  // The candidates that are believed to have `cached_part` of the prompt
  // cached.
  std::array<Seat*, PrefixMatch::kMost> holders{};
  size_t holder_count = 0;
  double cached_part = 0;
  Duration far_penalty = 0s;
  double first_token_ms = 0;  // moving average over all endpoints
  Instant now{};

  // Whether the endpoint may be chosen now.
  bool Admits(const Seat& seat) const {
    if (!seat.usable || seat.IsEjected(now) || !seat.HasRoom()) return false;
    if (query->exclude == nullptr) return true;
    const std::vector<EndpointId>& exclude = *query->exclude;
    return std::find(exclude.begin(), exclude.end(), seat.id) == exclude.end();
  }

  // Returns a random endpoint that may be chosen. After a few rejected draws it
  // takes the next admissible one in order. Null if there is none.
  Seat* Sample(Random* random) const;

  // The fraction of the prompt that the endpoint is believed to have cached.
  double CachedPart(const Seat& seat) const;

  // The expected time to the first token at the endpoint, in milliseconds: the
  // wait for a slot, the prefill concurrent with the other requests there, and
  // the network latency.
  double Estimate(Seat* seat) const;
};

// A policy picks one of the admitted endpoints; null if none is admitted.
template <typename T>
concept Policy = requires(T policy, const Slate& slate, Random* random) {
  { policy.Pick(slate, random) } -> std::same_as<Seat*>;
};

// Picks each endpoint in turn, regardless of its load.
class RoundRobin {
 public:
  Seat* Pick(const Slate& slate, Random* random);

 private:
  size_t m_next = 0;
};

// Picks the endpoint with the fewest of this entry's requests in flight.
class LeastInFlight {
 public:
  Seat* Pick(const Slate& slate, Random* random);
};

// Picks the endpoint with the shortest expected time to the first token among
// kSamples random ones.
template <int kSamples>
class BestOf {
 public:
  Seat* Pick(const Slate& slate, Random* random) {
    Seat* best = slate.Sample(random);
    if (best == nullptr) return nullptr;
    double least = slate.Estimate(best);
    for (int i = 1; i < kSamples; ++i) {
      Seat* seat = slate.Sample(random);
      if (seat == best) continue;
      const double estimate = slate.Estimate(seat);
      if (estimate >= least) continue;
      least = estimate;
      best = seat;
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
  Seat* Pick(const Slate& slate, Random* random);

 private:
  SixChoices m_fallback;
};

// Applies the inner policy to the endpoints of the entry's own data centre that
// have a free slot; to all endpoints if there is none.
template <Policy Inner>
class LocalFirst {
 public:
  Seat* Pick(const Slate& slate, Random* random) {
    m_local.clear();
    for (Seat* seat : *slate.seats) {
      const bool free = seat->local && seat->Load(slate.now) < seat->slots;
      if (free && slate.Admits(*seat)) m_local.push_back(seat);
    }
    if (m_local.empty()) return m_inner.Pick(slate, random);
    Slate local = slate;
    local.seats = &m_local;
    return m_inner.Pick(local, random);
  }

 private:
  Inner m_inner;
  std::vector<Seat*> m_local;
};

static_assert(Policy<RoundRobin>);
static_assert(Policy<LeastInFlight>);
static_assert(Policy<TwoChoices>);
static_assert(Policy<SixChoices>);
static_assert(Policy<PrefixAffinity>);
static_assert(Policy<LocalFirst<TwoChoices>>);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_POLICY_H_
