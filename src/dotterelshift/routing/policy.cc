#include "dotterelshift/routing/policy.h"

#include <algorithm>  // for find, max

namespace dotterelshift::routing {
namespace {

// Random tries before the seats are gone through in order.
constexpr int kTries = 8;

// Working through the prompt is this part of the usual first-token time; the
// rest does not depend on what is cached.
constexpr double kPromptPart = 0.7;

// A seat that has the prefix may have this much more work than others.
constexpr double kBoundFactor = 1.25;
constexpr double kBoundSlack = 2;

// First-token time assumed before anything was measured.
constexpr double kFirstTokenGuessMs = 100;

// How much the entry's own work counts beside the reported work of others. The
// other entries are sent about as much, and what they have sent since the last
// report does not show in it: counted once, all entries ran after the same
// reports together. See docs/decisions/routing.md.
constexpr double kOwnWeight = 6;

// A seat that is slower than usual by less than this is taken as usual: its
// average holds the waits of the last few requests, which say little of the
// next one.
constexpr double kSlowFactor = 2;

// A seat's own pace counts once this many answers were seen.
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
  // Begins anywhere, so that ties do not all go to the first.
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
