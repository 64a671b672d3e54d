#ifndef DOTTERELSHIFT_GATEWAY_HELD_GRANTS_H_
#define DOTTERELSHIFT_GATEWAY_HELD_GRANTS_H_

#include <cstdint>        // for uint32_t
#include <functional>     // for function
#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for TeamId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/base/tokens.h"            // for Tokens
#include "dotterelshift/budget/ledger.h"          // for Ledger
#include "dotterelshift/gateway/routes.h"         // for RouteTable
#include "dotterelshift/gateway/spend_reports.h"  // for SpendReports
#include "dotterelshift/wire/frames_generated.h"  // for CommandT, RecallT

namespace dotterelshift::gateway {

struct HeldGrantsOptions {
  // Interval of spend reports. It is short, as whatever has not been reported
  // counts as fully spent if this process dies.
  Duration report_every = 250ms;
  // How long an entry that is cut off from control should be able to serve each
  // team. All tokens held for this are lost if the process dies.
  Duration partition = 9s;
  // Fraction of a total that all entries hold together before demand is known,
  // so that they can also serve through a partition soon after the start.
  double initial_fraction = 0.35;
  // A team's demand counts as known this long after its first request.
  Duration demand_warmup = 10s;
  // Minimum interval between borrow requests to other entries for one budget.
  Duration borrow_every = 20ms;
  // Maximum age at which control's figure for the remainder of a total is used
  // to reject requests.
  Duration remainder_max_age = 1s;
  // Below this fraction of a total, the remainder is reserved for small
  // requests and released at a rate that makes it last for `trickle_duration`.
  // Otherwise a team whose total is nearly used up would get no service at all
  // for the rest of the day.
  double trickle_threshold = 0.03;
  Duration trickle_duration = 20s;
  // Maximum number of released tokens that accumulate while none are used,
  // expressed as time at the release rate. A request that needs all of them may
  // have to wait this long.
  Duration trickle_burst = 10s;
  // Maximum age at which control's figure for the remainder is used for
  // rationing and for predicting grants.
  Duration trickle_max_age = 30s;
  // A grant is likely if the remainder covers this many requests of the same
  // size.
  int likely_requests = 10;
};

enum class BudgetDecision {
  kUnlimited,  // the team's consumption is not limited
  kReserved,   // to be settled when the request has ended
  kWait,       // more tokens were requested from control and other entries
  kKept,       // the remainder is rationed; a later attempt may succeed
  kExhausted,  // needs more than the remainder or than `trickle_burst` allows
};

// Reserves tokens for requests of teams with a published total, out of the
// grants that control gave this entry, and reports what the requests consumed.
// No request waits for a commit: grants are spent without an opening (the log
// record that an attempt is about to be sent). If this process dies, all tokens
// of its grants count as lost except those that were reported as spent.
class HeldGrants {
 public:
  using NextId = std::function<std::unique_ptr<wire::CommandIdT>()>;
  HeldGrants(const HeldGrantsOptions& options, NextId next_id);

  void OnRoutes(const RouteTable& routes, size_t entries, Instant now);
  BudgetDecision Reserve(const TeamId& team, Tokens worst_case, Instant now);
  // Whether control is reachable and recently reported a remainder large enough
  // for many requests of this size, so that its next grant is likely to cover a
  // waiting request.
  bool GrantIsLikely(const TeamId& team, Tokens worst_case, Instant now) const;
  // Ends a reservation; `answered`: the caller got a complete response.
  void Settle(const TeamId& team, Tokens reserved, Tokens spent, bool answered,
              Instant now);

  // Handles another entry's request to borrow tokens. Returns the number of
  // tokens lent, which are already deducted here; 0 if none are idle.
  Tokens OnBorrow(const wire::TokenBorrowT& borrow, const HostRun& from,
                  Instant now);
  // Adds tokens that another entry has lent.
  void OnLoan(const wire::TokenLoanT& loan, Instant now);
  std::vector<wire::TokenBorrowT> TakeBorrowRequests() {
    return std::exchange(m_borrow_requests, {});
  }

  // The figures behind a decision, for the log.
  struct Position {
    Tokens held = 0;
    Tokens reserved = 0;
    Tokens demand_per_second = 0;
    Tokens left_elsewhere = 0;  // as last reported by control
    Duration left_age = 0s;
  };
  Position PositionOf(const TeamId& team, Instant now) const;

  // Sums over all teams with a published total.
  struct Sums {
    Tokens held = 0;
    Tokens reserved = 0;
  };
  Sums HeldSums() const;

  void SetConnected(bool connected, Instant now);
  void OnRecall(const wire::RecallT& recall, Instant now);
  // Control's answer to a command sent from here. Returns true if a waiting
  // request may now be covered.
  bool OnAnswer(const wire::CommandAnswerT& answer, Instant now);

  // Commands to propose to control now.
  std::vector<wire::CommandT> TakeCommands(Instant now);
  // The same at shutdown: reports all spend and returns the unspent tokens.
  std::vector<wire::CommandT> TakeLastCommands(Instant now);
  std::vector<wire::BudgetHoldingT> Holdings(Instant now) const;

 private:
  budget::HoldingPolicy PolicyOf(const TeamId& team) const;
  void ApplyKnownDemand(Instant now);
  bool HasPendingRequest(const TeamId& team) const;
  wire::CommandT CommandOf(const budget::GrantAdjustment& wish);
  void AddReport(std::optional<wire::ReportHoldingsT> report,
                 std::vector<wire::CommandT>* commands);
  template <typename Body>
  wire::CommandT MakeCommand(Body body) {
    wire::CommandT command;
    command.id = m_next_id();
    command.body.Set(std::move(body));
    return command;
  }

  const HeldGrantsOptions m_options;
  const NextId m_next_id;
  std::unique_ptr<budget::Ledger> m_ledger;
  // Teams with a total.
  std::unordered_map<TeamId, budget::BudgetHandle> m_handles;
  SpendReports m_reports;
  // Grant requests that control has not answered, by the command's sequence
  // number.
  std::unordered_map<uint64_t, TeamId> m_pending_requests;
  // Teams whose demand is not known yet, and the time of their first request; a
  // default Instant if there was none.
  std::unordered_map<TeamId, Instant> m_demand_unknown;
  size_t m_entries = 1;
  bool m_connected = false;
  std::unordered_map<TeamId, Tokens> m_totals;
  Instant m_next_report{};
  // The remainder of a total, as last reported by control.
  struct Remainder {
    Tokens tokens = 0;
    Instant received_at{};
  };
  bool ExceedsTotal(const TeamId& team, budget::BudgetHandle handle,
                    Tokens worst_case, Instant now) const;
  void QueueBorrowRequest(const TeamId& team, budget::BudgetHandle handle,
                          Tokens worst_case, Instant now);
  // Token bucket for the last fraction of a total.
  struct Trickle {
    double accumulated = 0;
    Instant since{};
  };
  std::optional<BudgetDecision> ThrottleDecision(const TeamId& team,
                                                 budget::BudgetHandle handle,
                                                 Tokens worst_case,
                                                 Instant now);
  std::unordered_map<TeamId, Remainder> m_remainders;
  std::unordered_map<TeamId, Trickle> m_trickles;
  std::unordered_map<TeamId, Instant> m_last_borrow;
  std::vector<wire::TokenBorrowT> m_borrow_requests;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_HELD_GRANTS_H_
