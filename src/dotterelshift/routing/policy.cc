#include "dotterelshift/routing/policy.h"

#include <algorithm>  // for find, max

namespace dotterelshift::routing {
namespace {

// Random draws before the endpoints are tried in order.
constexpr int kTries = 8;

// Fraction of the average first-token time that is prefill. The rest does not
// depend on the cache.
constexpr double kPromptPart = 0.7;

// An endpoint that has the prefix cached may have up to this factor, plus the
// slack, of the load of the alternative.
constexpr double kBoundFactor = 1.25;
constexpr double kBoundSlack = 2;

// First-token time assumed before the first measurement.
constexpr double kFirstTokenGuessMs = 100;

// Weight of the entry's own requests relative to the reported requests of other
// entries. The other entries send about as many, and what they sent since the
// last report is missing in it. With a weight of one all entries follow the
// same reports and herd to the same endpoints. See docs/decisions/routing.md.
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

Seat* Slate::Sample(Random* random) const {
  const size_t count = seats->size();
  if (count == 0) return nullptr;
  for (int i = 0; i < kTries; ++i) {
    Seat* seat = (*seats)[random->Below(count)];
    if (Admits(*seat)) return seat;
  }
  const size_t start = random->Below(count);
  for (size_t i = 0; i < count; ++i) {
    Seat* seat = (*seats)[(start + i) % count];
    if (Admits(*seat)) return seat;
  }
  return nullptr;
}

double Slate::CachedPart(const Seat& seat) const {
  const auto* end = holders.begin() + holder_count;
  return std::find(holders.begin(), end, &seat) == end ? 0 : cached_part;
}

double Slate::Estimate(Seat* seat) const {
  const directory::Endpoint* endpoint = directory->Find(seat->id);
  if (endpoint != nullptr) seat->TakeReport(*endpoint);
  const double usual = first_token_ms > 0 ? first_token_ms : kFirstTokenGuessMs;
  const bool slow = seat->samples >= kEnoughSamples &&
                    seat->first_token_ms > kSlowFactor * usual;
  const double pace = slow ? seat->first_token_ms : usual;
  const double load = kOwnWeight * seat->in_flight + seat->OthersNow(now);
  const double use = (load + 1) / std::max(1.0, seat->slots);
  const double queue = std::max(0.0, use - 1) * seat->hold.Seconds() * 1000;
  const double work = pace * (1 - kPromptPart * CachedPart(*seat));
  const double way = seat->local ? 0 : InMs(far_penalty);
  return queue + work * (1 + use) + way;
}

Seat* RoundRobin::Pick(const Slate& slate, Random* /*random*/) {
  const size_t count = slate.seats->size();
  for (size_t i = 0; i < count; ++i) {
    Seat* seat = (*slate.seats)[m_next++ % count];
    if (slate.Admits(*seat)) return seat;
  }
  return nullptr;
}

Seat* LeastInFlight::Pick(const Slate& slate, Random* random) {
  const size_t count = slate.seats->size();
  if (count == 0) return nullptr;
  // Starts at a random position, so that ties do not all go to the first one.
  const size_t start = random->Below(count);
  Seat* best = nullptr;
  for (size_t i = 0; i < count; ++i) {
    Seat* seat = (*slate.seats)[(start + i) % count];
    const bool better = best == nullptr || seat->in_flight < best->in_flight;
    if (better && slate.Admits(*seat)) best = seat;
  }
  return best;
}

Seat* PrefixAffinity::Pick(const Slate& slate, Random* random) {
  Seat* best = m_fallback.Pick(slate, random);
  if (best == nullptr || slate.holder_count == 0) return best;
  double least = slate.Estimate(best);
  const double bound = kBoundFactor * best->Load(slate.now) + kBoundSlack;
  for (size_t i = 0; i < slate.holder_count; ++i) {
    Seat* seat = slate.holders[i];
    if (!slate.Admits(*seat) || seat->Load(slate.now) > bound) continue;
    const double estimate = slate.Estimate(seat);
    if (estimate >= least) continue;
    least = estimate;
    best = seat;
  }
  return best;
}

}  // namespace dotterelshift::routing
