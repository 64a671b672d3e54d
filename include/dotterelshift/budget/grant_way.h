#ifndef DOTTERELSHIFT_BUDGET_GRANT_WAY_H_
#define DOTTERELSHIFT_BUDGET_GRANT_WAY_H_

#include <algorithm>  // for min
#include <concepts>   // for same_as
#include <cstdint>    // for uint32_t

#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/wire/commands_generated.h"  // for GrantWay

// Grant modes: policies for how an entry holds tokens of a budget. Spending
// never exceeds the budget in any mode: the pre-authorized amount bounds what a
// holder may spend without control knowing, and control withholds that amount
// when the holder dies. A mode only determines how large the pre-authorized
// amount is and when it is used.
namespace dotterelshift::budget {

// What control knows about a holding when it sets the pre-authorized amount.
struct HoldingFacts {
  Tokens tokens = 0;
  Tokens unopened = 0;
  Tokens demand_per_second = 0;
  uint32_t partition_seconds = 0;  // partition length to cover, by the team
};

template <typename Mode>
concept GrantModePolicy = requires(const HoldingFacts& facts, bool connected) {
  // Whether an attempt is dispatched without a committed opening.
  { Mode::DispatchesWithoutOpening(connected) } -> std::same_as<bool>;
  // The pre-authorized amount that the holding should have.
  { Mode::PreauthorizedTarget(facts) } -> std::same_as<Tokens>;
  // Whether control may reclaim the unopened tokens of a silent holder.
  { Mode::ExpiresWhenSilent() } -> std::same_as<bool>;
};

// The whole grant is pre-authorized: attempts need no committed opening, and
// the whole grant is lost when its holder dies.
struct UnwitnessedMode {
  static constexpr bool DispatchesWithoutOpening(bool) { return true; }
  static constexpr Tokens PreauthorizedTarget(const HoldingFacts& facts) {
    return facts.tokens;
  }
  static constexpr bool ExpiresWhenSilent() { return false; }
};

// Every attempt needs a committed opening, and a silent holder loses the tokens
// that it has not opened. This needs no trusted clock, because nothing is
// dispatched without a commit; but an entry that is cut off serves nothing.
struct ClockLeaseMode {
  static constexpr bool DispatchesWithoutOpening(bool) { return false; }
  static constexpr Tokens PreauthorizedTarget(const HoldingFacts&) { return 0; }
  static constexpr bool ExpiresWhenSilent() { return true; }
};

// Every attempt needs a committed opening while the leader is reachable. An
// entry that is cut off spends its pre-authorized amount, which is sized by
// demand and by the partition length to cover.
struct WitnessedMode {
  static constexpr bool DispatchesWithoutOpening(bool connected) {
    return !connected;
  }
  static constexpr Tokens PreauthorizedTarget(const HoldingFacts& facts) {
    const Tokens seconds = facts.partition_seconds;
    const Tokens demand =
        std::min(facts.demand_per_second, kMaxTokens / (seconds + 1));
    return std::min(facts.unopened, demand * seconds);
  }
  static constexpr bool ExpiresWhenSilent() { return false; }
};

static_assert(GrantModePolicy<UnwitnessedMode>);
static_assert(GrantModePolicy<ClockLeaseMode>);
static_assert(GrantModePolicy<WitnessedMode>);

// Calls `use` with the policy of the given grant mode.
template <typename Use>
auto WithGrantMode(wire::GrantWay way, Use use) {
  switch (way) {
    case wire::GrantWay::Unwitnessed:
      return use(UnwitnessedMode());
    case wire::GrantWay::ClockLease:
      return use(ClockLeaseMode());
    case wire::GrantWay::Witnessed:
      break;
  }
  return use(WitnessedMode());
}

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_GRANT_WAY_H_
