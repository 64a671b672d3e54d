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
  // How often spend is reported. What is not reported yet counts as spent in
  // full when this process dies, so it is short.
  Duration report_every = 250ms;
  // How long an entry without control should go on serving each team. All of it
  // is lost when the process dies.
  Duration partition = 9s;
  // Before demand is known, all entries together hold this part of a total, so
  // that a cut soon after the start is borne, too.
  double first_part = 0.35;
  // So long after a team's first request is its demand taken as known.
  Duration demand_known_after = 10s;
  // How often the other entries are asked for the same budget.
  Duration borrow_every = 20ms;
  // How long control's word on what is left of a total is believed.
  Duration remainder_memory = 1s;
  // The last part of a total is kept for requests that it covers many of, at
  // such a rate that it lasts for `trickle_over`: without it a team whose total
  // is nearly used up is not served at all for the rest of the day.
  double trickle_below = 0.03;
  Duration trickle_over = 20s;
  // A small request may wait for so much of the trickle to gather.
  Duration trickle_gathers = 10s;
  Duration trickle_memory = 30s;  // how long the word on what is left serves
  // A grant is likely while so many requests of the size are left.
  int likely_requests = 10;
};

enum class BudgetAnswer {
  kNoTotal,    // the team's consumption is not limited
  kReserved,   // settle it when the request has ended
  kWait,       // more was asked for, of control and of the other entries
  kKept,       // the last of the total is spread over time; later, perhaps
  kExhausted,  // what is left, or what is open to one request, is too little
};

// Reserves requests of teams with a published total out of what control granted
// this entry, and reports what they consumed. Nothing waits for a commit: a
// grant is all spent unseen, and lost with this process but for what it
// reported.
class HeldGrants {
 public:
  using NextId = std::function<std::unique_ptr<wire::CommandIdT>()>;
  HeldGrants(const HeldGrantsOptions& options, NextId next_id);

  void OnRoutes(const RouteTable& routes, size_t entries, Instant now);
  BudgetAnswer Reserve(const TeamId& team, Tokens worst_case, Instant now);
  // Whether control is in reach and said lately that the total has tokens for
  // many requests of this size, so that its next grant covers one that waits.
  bool GrantIsLikely(const TeamId& team, Tokens worst_case, Instant now) const;
  // Ends a reservation; `answered`: the caller got a whole answer.
  void Settle(const TeamId& team, Tokens reserved, Tokens spent, bool answered,
              Instant now);

  // Other entries' borrow requests and loans. A loan has left this entry when
  // OnBorrow returns: 0 when nothing can be spared.
  Tokens OnBorrow(const wire::TokenBorrowT& borrow, const HostRun& from,
                  Instant now);
  void OnLoan(const wire::TokenLoanT& loan, Instant now);
  std::vector<wire::TokenBorrowT> TakeBorrows() {
    return std::exchange(m_borrows, {});
  }

  // What the desk decides from, for the log.
  struct Position {
    Tokens held = 0;
    Tokens reserved = 0;
    Tokens demand_per_second = 0;
    Tokens left_elsewhere = 0;  // as control said last
    Duration left_age = 0s;
  };
  Position PositionOf(const TeamId& team, Instant now) const;

  // Over all teams with a published total.
  struct Sums {
    Tokens held = 0;
    Tokens reserved = 0;
  };
  Sums HeldSums() const;

  void SetConnected(bool connected, Instant now);
  void OnRecall(const wire::RecallT& recall, Instant now);
  // Control's answer to a command of this desk. True when a waiting request may
  // now be covered.
  bool OnAnswer(const wire::CommandAnswerT& answer, Instant now);

  // What is to be proposed to control now.
  std::vector<wire::CommandT> TakeCommands(Instant now);
  // The same at shutdown: reports everything and returns what is left.
  std::vector<wire::CommandT> TakeLastCommands(Instant now);
  std::vector<wire::BudgetHoldingT> Holdings(Instant now) const;

 private:
  budget::HoldingPolicy PolicyOf(const TeamId& team) const;
  void LearnDemand(Instant now);
  bool IsAsking(const TeamId& team) const;
  wire::CommandT CommandOf(const budget::GrantWish& wish);
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
  std::unordered_map<TeamId, budget::BudgetHandle> m_handles;  // with a total
  SpendReports m_reports;
  // Asks that control has not answered, by the command's sequence.
  std::unordered_map<uint64_t, TeamId> m_asks;
  // Teams whose demand is not known yet, and since when they draw; the epoch:
  // not at all.
  std::unordered_map<TeamId, Instant> m_unknown;
  size_t m_entries = 1;
  bool m_connected = false;
  std::unordered_map<TeamId, Tokens> m_totals;
  Instant m_next_report{};
  // What is left of a total, as control said last.
  struct Remainder {
    Tokens tokens = 0;
    Instant heard{};
  };
  bool IsBeyondTotal(const TeamId& team, budget::BudgetHandle handle,
                     Tokens worst_case, Instant now) const;
  void AskToBorrow(const TeamId& team, budget::BudgetHandle handle,
                   Tokens worst_case, Instant now);
  // What an entry may spend by now of the last part of a total.
  struct Trickle {
    double gathered = 0;
    Instant since{};
  };
  std::optional<BudgetAnswer> KeptAnswer(const TeamId& team,
                                         budget::BudgetHandle handle,
                                         Tokens worst_case, Instant now);
  std::unordered_map<TeamId, Remainder> m_remainders;
  std::unordered_map<TeamId, Trickle> m_trickles;
  std::unordered_map<TeamId, Instant> m_last_borrow;
  std::vector<wire::TokenBorrowT> m_borrows;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_HELD_GRANTS_H_
