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

// The amounts of one budget. Invariant: purchased = settled + granted + lost +
// free.
struct BudgetAccount {
  Tokens purchased = 0;
  Tokens settled = 0;  // consumed, including wasted attempts
  Tokens billed = 0;   // of `settled`: complete responses, one per request key
  Tokens granted = 0;  // held by entries, unspent as far as control knows
  Tokens lost = 0;     // held by dead incarnations and possibly spent
  Tokens Free() const { return purchased - settled - granted - lost; }
};

// What one incarnation of an entry holds of one budget.
struct Holding {
  HostRun holder;
  Tokens tokens = 0;    // granted, not yet settled or returned
  Tokens opened = 0;    // of `tokens`: in committed, unsettled openings
  Tokens standing = 0;  // pre-authorized: may have been spent
                        // without a committed opening
  bool dead = false;    // replaced by a newer incarnation, or retired: its
                        // remaining tokens count as lost
  Tokens demand_per_second = 0;
};

// One line of a report: one team on one day.
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
  std::map<uint16_t, Refusals> refusals;  // by ErrorKind value
  // By request class: the counts of the buckets of kTimeBucketsMs, and a last
  // count for larger values.
  std::map<std::string, std::vector<uint64_t>> first_token_ms;
  std::map<std::string, std::vector<uint64_t>> total_ms;
};

// Upper bounds of the buckets of the reports' time histograms, in milliseconds.
inline constexpr int64_t kTimeBucketsMs[] = {
    50, 100, 200, 400, 700, 1000, 2000, 5000, 10000, 30000, 60000, 120000};

struct StateOptions {
  // Bills and finished claims older than this are kept only as daily totals.
  WallMs bill_retention_ms = 3 * 24 * 3600 * 1000LL;
  // Answers kept per incarnation, so that a resent command gets the same answer
  // as the first time.
  size_t max_kept_answers = 4096;
  // Request content (known by its hash) is quarantined when this many distinct
  // endpoints have died while running it; twice as many if other requests were
  // in flight at each of them.
  uint32_t quarantine_after = 3;
  WallMs quarantine_duration_ms = 600'000;
  // The first block of a prompt segment; each later one is twice as long, up to
  // the duration above.
  WallMs first_segment_block_ms = 30'000;
  // How long an entry may try a suspected segment alone: a request's prefill
  // and the beginning of its response.
  WallMs trial_lease_ms = 1'000;
  WallMs suspect_retention_ms = 3'600'000;
  // How long the request keys of compacted requests are recognised.
  WallMs expired_key_retention_ms = 30 * 24 * 3600 * 1000LL;
  // How long a plan that is not confirmed is kept.
  WallMs unconfirmed_plan_retention_ms = 24 * 3600 * 1000LL;
  // How long a repeated confirmation of a plan gets the same answer as the
  // first confirmation.
  WallMs confirmed_plan_retention_ms = 30 * 24 * 3600 * 1000LL;
  size_t max_kept_changes = 4096;  // of confirmed plans, for ChangesSince()
  WallMs lease_ms = 2'000;  // GrantWay::ClockLease: idle timeout after which
                            // unopened tokens may be granted to others
  int64_t report_retention_days = 400;  // older days are summed up
};

// Prefix of request keys that an entry generated; a caller's key may not start
// with it. No caller can resend a generated key, so it is not remembered once
// its request has been compacted.
inline constexpr char kGeneratedKeyPrefix = '~';

// The routes document that an operator's program published last; version 0 if
// there is none.
struct PublishedRoutes {
  uint64_t version = 0;
  std::string_view document;  // valid until the next Apply()
};

// The replicated state machine. Deterministic: the same batches give the same
// state, answers and snapshot bytes on every replica. It reads no clock: time
// is the stamp of the latest batch and never decreases.
class State {
 public:
  virtual ~State() = default;

  // Applies a committed batch and returns one answer per command, in order.
  virtual std::vector<wire::CommandAnswerT> Apply(
      const wire::CommandBatchT& batch) = 0;

  // Serializes and restores the complete state. Restore() throws
  // Error(kStorageDamaged) on invalid bytes and leaves the state unchanged.
  virtual std::string Snapshot() const = 0;
  virtual void Restore(std::string_view snapshot) = 0;

  // The accepted configuration, and the changes to it since an older version.
  // ChangesSince() returns an empty list if changes that old are no longer
  // kept; the full configuration has to be sent then.
  virtual const Configuration& GetConfiguration() const = 0;
  virtual std::vector<wire::ChangeT> ChangesSince(uint64_t version) const = 0;

  virtual PublishedRoutes GetPublished() const = 0;
  // The deltas from an older version to the current one, in order. An empty
  // list if deltas that old are no longer kept; the full document has to be
  // sent then.
  virtual std::vector<wire::RoutesStepT> RouteDeltasSince(
      uint64_t version) const = 0;
  // The amounts of all published totals, summed over the teams.
  virtual BudgetAccount PublishedSums() const = 0;
  // The budgets created by published totals; each has the name of its team.
  virtual std::vector<BudgetId> PublishedBudgets() const = 0;

  // Return null or an empty list if not found.
  virtual const BudgetAccount* FindAccount(const BudgetId& budget) const = 0;
  virtual std::vector<Holding> HoldingsOf(const BudgetId& budget) const = 0;
  virtual const wire::PlanT* FindPlan(const std::string& plan) const = 0;
  // Whether a top-up with this id has been applied.
  virtual bool KnowsTopUp(const std::string& top_up) const = 0;
  virtual std::vector<wire::OrderT> Orders() const = 0;
  // Quarantined contents, and prompt segments that are blocked or suspected.
  virtual std::vector<wire::SuspectAnswerT> Quarantined(WallMs now) const = 0;
  struct HostEntry {
    HostRun run;
    wire::RegisterHostT registered;
  };
  virtual std::vector<HostEntry> Hosts() const = 0;

  // The report lines of one team, or of all teams if `team` is empty, from the
  // first to the last day inclusive (in days since 1970, UTC), ordered by team
  // and day.
  virtual std::vector<TeamDay> Report(const TeamId& team, int64_t first_day,
                                      int64_t last_day) const = 0;

  // Cross-checks totals (accounts against holdings, bills against days).
  // Returns one line for each disagreement.
  virtual std::vector<std::string> Disagreements() const = 0;

  virtual WallMs LastStamp() const = 0;
};

std::unique_ptr<State> MakeState(const StateOptions& options = {});

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_STATE_H_
