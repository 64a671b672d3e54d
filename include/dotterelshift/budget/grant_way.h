#ifndef DOTTERELSHIFT_BUDGET_GRANT_WAY_H_
#define DOTTERELSHIFT_BUDGET_GRANT_WAY_H_

#include <algorithm>  // for min
#include <concepts>   // for same_as
#include <cstdint>    // for uint32_t

#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/wire/commands_generated.h"  // for GrantWay

// The ways in which an entry may hold part of a budget. What is spent never
// exceeds the budget under any of them: the standing part bounds what a holder
// may spend unseen, and control keeps that back when the holder dies. A way
// only decides how large that part is and when it is drawn on.
namespace dotterelshift::budget {

// What control knows of a holding when it sets the standing part.
struct HoldingFacts {
  Tokens tokens = 0;
  Tokens unopened = 0;
  Tokens demand_per_second = 0;
  uint32_t partition_seconds = 0;  // that the team asks to be covered
};

template <typename Way>
concept GrantWayPolicy = requires(const HoldingFacts& facts, bool connected) {
  // Whether an attempt is dispatched without a committed opening.
  { Way::GoesUnwitnessed(connected) } -> std::same_as<bool>;
  // The size that the standing part should have.
  { Way::StandingTarget(facts) } -> std::same_as<Tokens>;
  // Whether control may take the unopened part of a silent holder back.
  { Way::Lapses() } -> std::same_as<bool>;
};

// All of a grant may be spent unseen: no commit before an attempt, and all of
// it is lost with its holder.
struct UnwitnessedWay {
  static constexpr bool GoesUnwitnessed(bool) { return true; }
  static constexpr Tokens StandingTarget(const HoldingFacts& facts) {
    return facts.tokens;
  }
  static constexpr bool Lapses() { return false; }
};

// Every attempt is opened by a commit, and a holder that falls silent loses
// what it has not opened. No clock needs to be trusted, because without a
// commit nothing is dispatched; but an entry that is cut off serves nothing.
struct ClockLeaseWay {
  static constexpr bool GoesUnwitnessed(bool) { return false; }
  static constexpr Tokens StandingTarget(const HoldingFacts&) { return 0; }
  static constexpr bool Lapses() { return true; }
};

// Every attempt is opened by a commit while the leader is in reach; cut off, an
// entry spends its standing part, sized by demand and the partition to cover.
struct WitnessedWay {
  static constexpr bool GoesUnwitnessed(bool connected) { return !connected; }
  static constexpr Tokens StandingTarget(const HoldingFacts& facts) {
    const Tokens seconds = facts.partition_seconds;
    const Tokens demand =
        std::min(facts.demand_per_second, kMaxTokens / (seconds + 1));
    return std::min(facts.unopened, demand * seconds);
  }
  static constexpr bool Lapses() { return false; }
};

static_assert(GrantWayPolicy<UnwitnessedWay>);
static_assert(GrantWayPolicy<ClockLeaseWay>);
static_assert(GrantWayPolicy<WitnessedWay>);

// Calls `use` with the policy of a way.
template <typename Use>
auto WithWay(wire::GrantWay way, Use use) {
  switch (way) {
    case wire::GrantWay::Unwitnessed:
      return use(UnwitnessedWay());
    case wire::GrantWay::ClockLease:
      return use(ClockLeaseWay());
    case wire::GrantWay::Witnessed:
      break;
  }
  return use(WitnessedWay());
}

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_GRANT_WAY_H_
