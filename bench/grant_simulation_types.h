#ifndef DOTTERELSHIFT_BENCH_GRANT_SIMULATION_TYPES_H_
#define DOTTERELSHIFT_BENCH_GRANT_SIMULATION_TYPES_H_

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/budget/ledger.h"            // for Ledger
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

// Types of the simulation that compares grant modes.

namespace dotterelshift::bench {

// The size and load of a deployment. The rates are requests per second of each
// team, distributed over all entries.
struct Deployment {
  const char* name;
  wire::TeamPolicy policy;
  size_t entries;
  size_t cut;  // entries of one data centre, which the partition cuts off
  double large_rate;
  size_t large_teams;
  double small_rate;
  Tokens min_worst_case;
  Tokens max_worst_case;
  Duration timeout;  // maximum time that a request waits for tokens
};

// The settings that differ between the compared runs.
struct Variant {
  const char* name;
  wire::GrantWay grant_mode;
  uint32_t partition_seconds;
  bool recall;
};

struct Figures {
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t false_refusals = 0;  // enough budget was free or held somewhere
  uint64_t false_while_partitioned = 0;  // of these, at cut-off entries
  uint64_t avoidable = 0;  // of these, the leader could reach enough tokens
  Tokens overspend = 0;
  Tokens stranded = 0;  // counted as lost at the end of the run
  Tokens purchased = 0;
  Tokens consumed = 0;
  uint64_t commits_before_dispatch = 0;
  std::vector<Duration> waits;  // from arrival to dispatch
};

struct Event {
  Instant at;
  uint64_t number;
  std::function<void()> run;
  bool operator<(const Event& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

struct Request {
  size_t team = 0;
  Tokens worst_case = 0;
  Tokens spent = 0;
  Duration runs = 0s;
  Instant arrived;
  std::string key;
};

using OnAnswer = std::function<void(const wire::CommandAnswerT&)>;

struct Pending {
  wire::CommandT command;
  OnAnswer on_answer;
};

struct Entry {
  HostRun run;
  bool up = true;
  bool connected = true;
  std::unique_ptr<budget::Ledger> ledger;
  std::vector<budget::BudgetHandle> budgets;
  uint64_t sequence = 0;
  std::map<uint64_t, Pending> outbox;
  std::vector<uint64_t> pending_grant_requests;  // sequence, by team
  std::vector<Request> waiting;
  std::map<AttemptId, Request> running;
};

}  // namespace dotterelshift::bench

#endif  // DOTTERELSHIFT_BENCH_GRANT_SIMULATION_TYPES_H_
