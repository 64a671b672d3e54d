#ifndef DOTTERELSHIFT_BUDGET_LEDGER_H_
#define DOTTERELSHIFT_BUDGET_LEDGER_H_

#include <cstdint>   // for uint32_t
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"                 // for BudgetId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/wire/commands_generated.h"  // for GrantAnswerT, GrantWay

namespace dotterelshift::budget {

// A budget's place in one ledger; found once for each request, then used
// without hashing.
using BudgetHandle = uint32_t;

// How a team wants its budgets held at the entries.
struct HoldingPolicy {
  wire::TeamPolicy policy = wire::TeamPolicy::OverspendFirst;
  wire::GrantWay way = wire::GrantWay::Witnessed;
  Duration partition = 60s;  // how long a cut-off entry should go on
  Tokens least = 0;  // to be held while the budget is in use, whatever the
                     // demand has been so far
};

struct LedgerOptions {
  Tokens least_grant = 4096;
  Duration idle_return =
      10s;  // a remainder that nobody drew on for this long flows back
  Duration ask_again =
      250ms;  // an ask that has no answer is sent again, with the same id
  Duration refusal_memory = 500ms;  // how long "nothing free" is believed
                                    // before the leader is asked again
  Duration cut_off_patience =
      2s;  // refusals first: so long an interruption is waited out
  // An ask goes out when less than this part of the wanted holding is left.
  double ask_below = 0.5;
  // What is held beyond the wanted holding by this factor flows back at once;
  // 0: only what lies idle does.
  double return_above = 0;
};

enum class ReserveResult {
  kReserved,          // have the opening committed before the attempt is
                      // dispatched; whatever comes of it, end it by Settle()
                      // and a wire::Settle with the same attempt
  kReservedStanding,  // from the standing part: dispatch at once, without an
                      // opening; end it by SettleStanding() and a wire::Settle
                      // with witnessed = false
  kWait,       // more was asked for; try again when OnGrant or Settle frees
               // something
  kExhausted,  // control said that nothing is free and nothing comes back
};

// What an entry wants to tell control about one budget.
struct GrantWish {
  BudgetHandle budget = 0;
  enum class Kind { kAsk, kReturn } kind = Kind::kAsk;
  Tokens wanted = 0;   // ask: what the demand suggests; return: what flows back
  Tokens minimum = 0;  // ask: below this it does not help
  Tokens standing = 0;  // return: by how much the standing part shrinks with it
  Tokens demand_per_second = 0;
};

// What one entry holds of the budgets, and what is reserved of it. Never lets
// reserved exceed held. Part of a holding may be standing: only as much as that
// is ever spent without a committed opening, and control counts it as spent
// when this run dies.
class Ledger {
 public:
  virtual ~Ledger() = default;

  // The handle of a budget, made at the first call; the policy of its team is
  // taken over at each call.
  virtual BudgetHandle Open(const BudgetId& budget,
                            const HoldingPolicy& policy) = 0;
  // Asks for a first holding before anything is drawn on it.
  virtual void Prepare(BudgetHandle budget, Instant now) = 0;
  virtual const BudgetId& IdOf(BudgetHandle budget) const = 0;

  // Reserves the worst case of an attempt.
  virtual ReserveResult Reserve(BudgetHandle budget, Tokens worst_case,
                                Instant now) = 0;

  // Ends a reservation: `spent` leaves the holding, the rest of `reserved` can
  // be reserved again. spent <= reserved.
  virtual void Settle(BudgetHandle budget, Tokens reserved, Tokens spent,
                      Instant now) = 0;

  // The same for a reservation out of the standing part.
  virtual void SettleStanding(BudgetHandle budget, Tokens reserved,
                              Tokens spent, Instant now) = 0;

  // An opening whose commit is in doubt because the leader went out of reach:
  // true when the attempt may be dispatched all the same, as one that was
  // reserved from the standing part.
  virtual bool MoveToStanding(BudgetHandle budget, Tokens reserved,
                              Instant now) = 0;

  // Control refused the opening of an attempt: its reservation ends unspent,
  // and what is not reserved leaves the holding, because control no longer
  // counts it as this entry's.
  virtual void OnOpeningRefused(BudgetHandle budget, Tokens reserved,
                                Instant now) = 0;

  // Control's answer to an ask: tokens > 0 are held from now on.
  virtual void OnGrant(BudgetHandle budget, const wire::GrantAnswerT& answer,
                       Instant now) = 0;
  // The leader asks for idle tokens back; the return is among the next wishes.
  virtual void OnRecall(const BudgetId& budget, Tokens tokens, Instant now) = 0;

  // Hands tokens of the standing part to another entry: they have left the
  // holding when this returns. Up to the other's share by demand, and beyond it
  // what its waiting request lacks. Returns how many.
  virtual Tokens Lend(BudgetHandle budget, Tokens wanted, Tokens minimum,
                      Tokens demand_of_other, Instant now) = 0;
  // Tokens that another entry has handed over.
  virtual void Borrow(BudgetHandle budget, Tokens tokens, Instant now) = 0;

  // Whether the leader is in reach: while it is not, nothing is asked and
  // nothing flows back.
  virtual void SetConnected(bool connected, Instant now) = 0;

  // Asks and returns that are due. What is returned has left the holding when
  // this returns.
  virtual std::vector<GrantWish> TakeWishes(Instant now) = 0;
  // All that is not reserved, for the shutdown.
  virtual std::vector<GrantWish> ReturnAll(Instant now) = 0;

  virtual Tokens Held(BudgetHandle budget) const = 0;
  virtual Tokens Reserved(BudgetHandle budget) const = 0;
  virtual Tokens Standing(BudgetHandle budget) const = 0;
  virtual Tokens DemandPerSecond(BudgetHandle budget, Instant now) const = 0;
  virtual std::vector<BudgetHandle> All() const = 0;
  virtual std::optional<Instant> NextDue() const = 0;
};

std::unique_ptr<Ledger> MakeLedger(const LedgerOptions& options = {});

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_LEDGER_H_
