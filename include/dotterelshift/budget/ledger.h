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

// Index of a budget in one ledger. Looked up once per request, so that later
// calls need no hashing.
using BudgetHandle = uint32_t;

// How a team's budgets are held at the entries.
struct HoldingPolicy {
  wire::TeamPolicy policy = wire::TeamPolicy::OverspendFirst;
  wire::GrantWay way = wire::GrantWay::Witnessed;
  // How long a cut-off entry should keep serving.
  Duration partition = 60s;
  // Minimum holding while the budget is in use, even if the measured demand is
  // lower.
  Tokens min_holding = 0;
};

struct LedgerOptions {
  // Minimum target holding of a budget in use.
  Tokens min_grant = 4096;
  // Tokens unused for this long are returned.
  Duration idle_return_after = 10s;
  // An unanswered request is sent again after this time, with the same id.
  Duration retry_request_after = 250ms;
  // After the answer "nothing free", the leader is not asked again for this
  // long.
  Duration refusal_ttl = 500ms;
  // Requests of teams with RefusalsFirst wait, instead of being refused, during
  // a disconnection shorter than this.
  Duration disconnect_grace = 2s;
  // More tokens are requested when less than this fraction of the target
  // holding is left.
  double request_below_fraction = 0.5;
  // Tokens above the target holding are returned at once when the holding
  // exceeds the target by this factor; 0: only idle tokens are returned.
  double return_above_factor = 0;
};

enum class ReserveResult {
  // Reserved. Commit an opening before dispatching the attempt; in any case end
  // it by Settle() and a wire::Settle with the same attempt.
  kReserved,
  // Reserved from the pre-authorized amount. Dispatch at once, without an
  // opening; end it by SettlePreauthorized() and a wire::Settle whose
  // `witnessed` is false.
  kReservedPreauthorized,
  // More tokens were requested. Try again after OnGrant() or Settle().
  kWait,
  // Control reported that nothing is free and that no tokens held elsewhere can
  // be returned.
  kExhausted,
};

// A change to the holding of one budget that the entry has to send to control:
// a request for more tokens, or a return of tokens.
struct GrantAdjustment {
  BudgetHandle budget = 0;
  enum class Kind { kRequestGrant, kReturn } kind = Kind::kRequestGrant;
  Tokens wanted = 0;    // request: amount by demand; return: amount returned
  Tokens minimum = 0;   // request: a smaller grant does not help
  Tokens standing = 0;  // return: decrease of the pre-authorized amount
  Tokens demand_per_second = 0;
};

// The tokens that one entry holds of each budget, and how many of them are
// reserved; never more than are held. Part of a holding may be pre-authorized:
// it can be spent without a committed opening. When this incarnation dies,
// control counts the pre-authorized tokens as lost: they may have been spent.
class Ledger {
 public:
  virtual ~Ledger() = default;

  // Returns the handle of a budget, creating it on the first call. Each call
  // updates the policy of the budget's team.
  virtual BudgetHandle Open(const BudgetId& budget,
                            const HoldingPolicy& policy) = 0;
  // Requests a first holding before any token is reserved.
  virtual void Prepare(BudgetHandle budget, Instant now) = 0;
  virtual const BudgetId& IdOf(BudgetHandle budget) const = 0;

  // Reserves the tokens that an attempt may consume at most.
  virtual ReserveResult Reserve(BudgetHandle budget, Tokens worst_case,
                                Instant now) = 0;

  // Ends a reservation: `spent` is deducted from the holding, the rest of
  // `reserved` can be reserved again. Requires spent <= reserved.
  virtual void Settle(BudgetHandle budget, Tokens reserved, Tokens spent,
                      Instant now) = 0;

  // The same for a reservation from the pre-authorized amount.
  virtual void SettlePreauthorized(BudgetHandle budget, Tokens reserved,
                                   Tokens spent, Instant now) = 0;

  // For an opening whose commit is uncertain because the leader became
  // unreachable. Returns true when the reservation could be moved to the
  // pre-authorized amount, so that the attempt may be dispatched anyway.
  virtual bool MoveToPreauthorized(BudgetHandle budget, Tokens reserved,
                                   Instant now) = 0;

  // Control refused the opening of an attempt because it counts fewer tokens
  // for this entry than the entry itself does. The reservation ends with
  // nothing spent, and all unreserved tokens are returned, which brings both
  // counts into agreement.
  virtual void OnOpeningRefused(BudgetHandle budget, Tokens reserved,
                                Instant now) = 0;

  // Control's answer to a request: adds the granted tokens, if any.
  virtual void OnGrant(BudgetHandle budget, const wire::GrantAnswerT& answer,
                       Instant now) = 0;
  // The leader recalls idle tokens; the next TakeAdjustments() returns them.
  virtual void OnRecall(const BudgetId& budget, Tokens tokens, Instant now) = 0;

  // Gives pre-authorized tokens to another entry and returns how many; they are
  // deducted from the holding. Gives at most the larger of two amounts: the
  // other entry's share by demand, and the minimum for its waiting request.
  virtual Tokens Lend(BudgetHandle budget, Tokens wanted, Tokens minimum,
                      Tokens demand_of_other, Instant now) = 0;
  // Adds tokens that another entry has lent.
  virtual void Borrow(BudgetHandle budget, Tokens tokens, Instant now) = 0;

  // Whether the leader is reachable. While it is not, no tokens are requested
  // or returned.
  virtual void SetConnected(bool connected, Instant now) = 0;

  // Returns the requests and returns that are due. Tokens to be returned are
  // already deducted from the holding.
  virtual std::vector<GrantAdjustment> TakeAdjustments(Instant now) = 0;
  // Returns all unreserved tokens, for shutdown.
  virtual std::vector<GrantAdjustment> ReturnAll(Instant now) = 0;

  virtual Tokens Held(BudgetHandle budget) const = 0;
  virtual Tokens Reserved(BudgetHandle budget) const = 0;
  virtual Tokens Preauthorized(BudgetHandle budget) const = 0;
  virtual Tokens DemandPerSecond(BudgetHandle budget, Instant now) const = 0;
  virtual std::vector<BudgetHandle> All() const = 0;
  virtual std::optional<Instant> NextDue() const = 0;
};

std::unique_ptr<Ledger> MakeLedger(const LedgerOptions& options = {});

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_LEDGER_H_
