#ifndef DOTTERELSHIFT_BUDGET_RECALL_CORE_H_
#define DOTTERELSHIFT_BUDGET_RECALL_CORE_H_

#include <map>      // for map
#include <utility>  // for pair
#include <vector>   // for vector

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/state/state.h"            // for Holding
#include "dotterelshift/wire/frames_generated.h"  // for EntryBeatT, RecallT

namespace dotterelshift::budget {

struct RecallOptions {
  Duration beat_memory = 3s;  // an entry's report of what it holds is believed
                              // for so long
  Duration repeat = 250ms;    // the same holder is not asked more often
};

// A recall, and the entry that it goes to.
struct RecallMessage {
  HostId host;
  wire::RecallT recall;
};

// Decides on the leader which holders give back idle tokens when a request for
// a grant could not be satisfied. Each holder keeps its share of the budget by
// demand; the largest surplus is asked for first, and shares are cut into only
// for what a waiting request lacks. Soft state: a new leader
// starts empty and learns from the beats.
class RecallCore {
 public:
  explicit RecallCore(const RecallOptions& options = {}) : m_options(options) {}

  // An entry's beat: `held` says what it holds of each budget and has not
  // reserved.
  void OnBeat(const HostId& entry, const wire::EntryBeatT& beat, Instant now);

  // A grant came out smaller than its minimum, or empty, although others hold
  // tokens; `holdings` are all of the budget's.
  std::vector<RecallMessage> OnShortage(
      const HostRun& asker, const wire::RequestGrantT& ask,
      const std::vector<state::Holding>& holdings, Instant now);

 private:
  struct Report {
    Tokens idle = 0;
    Instant heard;
  };
  struct Surplus {
    HostId host;
    Tokens tokens = 0;  // idle beyond its share
    Tokens idle = 0;
  };
  using Key = std::pair<HostId, BudgetId>;

  Tokens IdleOf(const state::Holding& holding, const BudgetId& budget,
                Instant now) const;
  std::vector<Surplus> SurplusesOf(const HostRun& asker,
                                   const wire::RequestGrantT& ask,
                                   const std::vector<state::Holding>& holdings,
                                   Instant now) const;
  void Forget(Instant now);

  RecallOptions m_options;
  std::map<Key, Report> m_reports;
  std::map<Key, Instant> m_asked;
};

}  // namespace dotterelshift::budget

#endif  // DOTTERELSHIFT_BUDGET_RECALL_CORE_H_
