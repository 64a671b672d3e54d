#ifndef DOTTERELSHIFT_STATE_STATE_H_
#define DOTTERELSHIFT_STATE_STATE_H_

#include <map>          // for map
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"                 // for HostRun
#include "dotterelshift/base/time.h"                // for WallMs
#include "dotterelshift/base/tokens.h"              // for Tokens
#include "dotterelshift/state/configuration.h"      // for Configuration
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::state {

// The amounts of one budget. purchased = settled + granted + lost + free,
// always.
struct BudgetAccount {
  Tokens purchased = 0;
  Tokens settled = 0;  // consumed, wasted attempts included
  Tokens billed =
      0;  // of the settled: answered whole, once for each request key
  Tokens granted = 0;  // held by entries, unspent as far as control knows
  Tokens lost = 0;     // in grants of runs that are dead or gone and cannot be
                       // shown unspent: stranded
  Tokens Free() const { return purchased - settled - granted - lost; }
};

// What one run of an entry holds of one budget.
struct Holding {
  HostRun holder;
  Tokens tokens = 0;    // granted, not yet settled or returned
  Tokens opened = 0;    // of it: committed openings without a settlement
  Tokens standing = 0;  // how much may have been spent without an opening
  bool dead = false;    // a newer run or a retirement proved it gone: what is
                        // left counts as lost
  Tokens demand_per_second = 0;
};

// One line of a report: a team's day.
struct TeamDay {
  TeamId team;
  int64_t day = 0;  // days since 1970, UTC
  uint64_t requests = 0;
  uint64_t answered = 0;
  Tokens spent = 0;
  Tokens billed = 0;
  struct Refusals {
    uint64_t with_budget_left = 0;
    uint64_t without_budget_left = 0;
  };
  std::map<uint16_t, Refusals> refusals;  // by number of the ErrorKind
  std::map<std::string, std::vector<uint64_t>>
      first_token_ms;  // by class: counts by kTimeBucketsMs, one more for above
  std::map<std::string, std::vector<uint64_t>> total_ms;
};

// Upper bounds of the buckets of the reports' time histograms, in milliseconds.
inline constexpr int64_t kTimeBucketsMs[] = {
    50, 100, 200, 400, 700, 1000, 2000, 5000, 10000, 30000, 60000, 120000};

struct StateOptions {
  WallMs bill_age_out_ms =
      3 * 24 * 3600 *
      1000LL;  // bills and finished claims older than this become daily sums
  size_t answers_kept =
      4096;  // per run: how far back a resend gets its first answer
  uint32_t quarantine_after = 3;  // distinct endpoints that died on a content
  WallMs quarantine_ms = 600'000;
  WallMs suspect_memory_ms = 3'600'000;
  WallMs expired_key_ms = 30 * 24 * 3600 * 1000LL;  // how long the keys of aged
                                                    // requests are recognised
  WallMs plan_age_out_ms = 24 * 3600 * 1000LL;      // plans never confirmed
  WallMs confirmed_plan_ms = 30 * 24 * 3600 * 1000LL;  // first answers of
                                                       // confirmed plans
  size_t changes_kept = 4096;  // of confirmed plans, for ChangesSince()
  WallMs lease_ms = 2'000;     // GrantWay::ClockLease: silence after which the
                               // unopened part may be given to others
  int64_t days_kept = 400;     // of the reports
};

// A request key that an entry made up itself begins with this; a caller's key
// may not. Nobody can send such a key again later, so it is not remembered
// once its request has aged out.
inline constexpr char kGeneratedKeyPrefix = '~';

// What an operator's program published last; version 0: nothing yet.
struct PublishedRoutes {
  uint64_t version = 0;
  std::string_view document;  // good until the next command is applied
};

// The state that the log's commands make. Deterministic: the same batches give
// the same state, answers and snapshot bytes on every replica. Knows no clock;
// time comes as the stamp of a batch and never falls.
class State {
 public:
  virtual ~State() = default;

  // Carries out a committed batch and returns an answer to each command, in
  // order.
  virtual std::vector<wire::CommandAnswerT> Apply(
      const wire::CommandBatchT& batch) = 0;

  // The whole state as bytes, and back. Restore throws Error(kStorageDamaged)
  // and changes nothing on bad bytes.
  virtual std::string Snapshot() const = 0;
  virtual void Restore(std::string_view snapshot) = 0;

  // What is accepted; the changes from an older version on (empty: that old is
  // not kept, send the whole).
  virtual const Configuration& GetConfiguration() const = 0;
  virtual std::vector<wire::ChangeT> ChangesSince(uint64_t version) const = 0;

  virtual PublishedRoutes GetPublished() const = 0;
  // The steps from an older version to the one in force, in order; empty: that
  // old is not kept, send the whole.
  virtual std::vector<wire::RoutesStepT> RoutesSince(
      uint64_t version) const = 0;
  // Where every token of the published totals is, summed over the teams.
  virtual BudgetAccount PublishedSums() const = 0;
  // The budgets that published totals made, each named like its team.
  virtual std::vector<BudgetId> PublishedBudgets() const = 0;

  // Null or empty when there is no such thing.
  virtual const BudgetAccount* FindAccount(const BudgetId& budget) const = 0;
  virtual std::vector<Holding> HoldingsOf(const BudgetId& budget) const = 0;
  virtual const wire::PlanT* FindPlan(const std::string& plan) const = 0;
  // Whether a top-up of this id was counted before.
  virtual bool KnowsTopUp(const std::string& top_up) const = 0;
  virtual std::vector<wire::OrderT> Orders() const = 0;
  virtual std::vector<wire::SuspectAnswerT> Quarantined(WallMs now) const = 0;
  struct HostEntry {
    HostRun run;
    wire::RegisterHostT registered;
  };
  virtual std::vector<HostEntry> Hosts() const = 0;

  // The days between two days (both included) of one team, or of all when
  // `team` is empty, in order.
  virtual std::vector<TeamDay> Report(const TeamId& team, int64_t first_day,
                                      int64_t last_day) const = 0;

  // Cross-checks totals (accounts against holdings, bills against days); each
  // line is a disagreement.
  virtual std::vector<std::string> Disagreements() const = 0;

  virtual WallMs LastStamp() const = 0;
};

std::unique_ptr<State> MakeState(const StateOptions& options = {});

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_STATE_H_
