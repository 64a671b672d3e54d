#ifndef DOTTERELSHIFT_BUDGET_RECALL_CORE_H_
#define DOTTERELSHIFT_BUDGET_RECALL_CORE_H_

#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/state/state.h"            // for Holding
#include "dotterelshift/wire/frames_generated.h"  // for EntryBeatT, RecallT

namespace dotterelshift::budget {

struct RecallOptions {
  // Lifetime of an entry's report of its holdings.
  Duration report_ttl = 3s;
  // Minimum interval between two recalls from the same holder, and between two
  // evaluations of top-ups for the same budget.
  Duration min_repeat_interval = 250ms;
  // Interval between removals of expired reports on budgets without a shortage.
  Duration sweep_interval = 30s;
};

// A recall and the entry that receives it.
struct RecallMessage {
  HostId host;
  wire::RecallT recall;
};

// Runs on the leader and decides which holders must return idle tokens when a
// grant request could not be satisfied. Each holder keeps its share of the
// budget by demand. The largest surplus is recalled first; tokens within a
// holder's share are recalled only as far as a waiting request needs them. Soft
// state: a new leader starts empty and is filled by the entries' heartbeats.
//
// When many entries are short of many budgets at the same time, each shortage
// examines only the holders of its own budget, and top-ups are evaluated at
// most once per repeat interval: examining all reports took 58% of a leader's
// processor time with 86 entries and 24 budgets (perf, 12 s).
class RecallCore {
 public:
  explicit RecallCore(const RecallOptions& options = {}) : m_options(options) {}

  // Processes an entry's heartbeat; `held` contains the unreserved tokens that
  // it holds of each budget.
  void OnHeartbeat(const HostId& entry, const wire::EntryBeatT& beat,
                   Instant now);

  // Whether to evaluate a shortage now. A shortage for which a request waits is
  // always evaluated. A top-up within `min_repeat_interval` after another one
  // is evaluated only if its requester has a larger demand.
  bool IsDue(const wire::RequestGrantT& grant_request, Instant now) const;

  // To be called when a grant was empty or below its minimum although other
  // entries hold tokens. `holdings` are all holdings of the budget.
  std::vector<RecallMessage> OnShortage(
      const HostRun& requester, const wire::RequestGrantT& grant_request,
      const std::vector<state::Holding>& holdings, Instant now);

 private:
  struct Report {
    Tokens idle = 0;
    Instant received;
  };
  // What is known about the holders of one budget.
  struct Budget {
    std::unordered_map<HostId, Report> reports;
    std::unordered_map<HostId, Instant> last_recalled;
    Instant next_top_up{};
    Tokens last_top_up_demand = 0;  // of the last evaluated requester
  };
  struct Surplus {
    HostId host;
    Tokens tokens = 0;  // idle tokens above the holder's share
    Tokens idle = 0;
  };

  Tokens IdleOf(const Budget& budget, const state::Holding& holding,
                Instant now) const;
  std::vector<Surplus> SurplusesOf(const Budget& budget,
                                   const HostRun& requester,
                                   const wire::RequestGrantT& grant_request,
                                   const std::vector<state::Holding>& holdings,
                                   Instant now) const;
  void Forget(Budget& budget, Instant now) const;
  void Sweep(Instant now);

  RecallOptions m_options;
  std::unordered_map<BudgetId, Budget> m_budgets;
  Instant m_next_sweep{};
};

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_RECALL_CORE_H_
