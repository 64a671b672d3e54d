#ifndef DOTTERELSHIFT_STATE_TABLES_H_
#define DOTTERELSHIFT_STATE_TABLES_H_

#include <cstdint>        // for uint32_t
#include <deque>          // for deque
#include <map>            // for map
#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/state/compact_table.h"      // for CompactTable
#include "dotterelshift/state/configuration.h"      // for Configuration
#include "dotterelshift/state/state.h"              // for BudgetAccount
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

// The data behind the state, and what the commands do to it. Internal to the
// package: each command has a file apply_*.cc.
namespace dotterelshift::state {

// Numbers a run in the list of all runs.
using RunNumber = uint32_t;

struct Opening {
  uint64_t attempt = 0;
  Tokens reserved = 0;
};

// What one run holds of one budget. Of a dead run, `tokens` is what may have
// been spent and is not settled yet: it is part of the account's `lost`.
struct Grant {
  RunNumber run = 0;
  bool dead = false;
  Tokens tokens = 0;
  Tokens standing = 0;
  Tokens demand_per_second = 0;
  std::vector<Opening> openings;

  Tokens Opened() const;
};

// Kept small: there is one for each budget that ever was.
struct Account {
  BudgetId id;
  BudgetAccount amounts;
  uint32_t team = 0;  // its place in Tables::teams

  const std::vector<Grant>& Grants() const;
  std::vector<Grant>& MutableGrants();
  void DropGrantsIfEmpty();

 private:
  std::unique_ptr<std::vector<Grant>> m_grants;  // null: none
};

// A team that ever had a budget.
struct TeamName {
  TeamId id;
};

// One run of a host that ever sent a command.
struct Run {
  HostRun id;
  bool dead = false;
  bool retired = false;  // its remainder was written off by an operator
  WallMs heard = 0;      // stamp of its newest command
};

// An answer as it is kept for resends; what does not fit is in long_answers.
struct KeptAnswer {
  uint64_t sequence = 0;
  uint16_t error = 0;
  uint8_t type = 0;   // wire::AnswerBody
  uint8_t value = 0;  // first_bill, or the claim's state
};

// The newest run of a host, with the answers that its resends get.
struct Host {
  RunNumber run = 0;
  wire::RegisterHostT registered;
  uint64_t floor = 0;  // answers below this sequence have been dropped
  std::deque<KeptAnswer> answers;  // by sequence
  std::map<uint64_t, wire::CommandAnswerT> long_answers;
};

// The digest of (team, request key).
struct RequestDigest {
  uint64_t low = 0;
  uint64_t high = 0;
  auto operator<=>(const RequestDigest&) const = default;
};
struct RequestDigestHasher {
  size_t operator()(const RequestDigest& digest) const noexcept {
    return digest.low;
  }
};

// An attempt that was settled under a request key.
struct SettledAttempt {
  uint64_t attempt = 0;
  RunNumber run = 0;
  bool billed = false;  // this one made the request's bill
};

enum class ClaimProgress : uint8_t { kRunning, kRan, kUnknown };

struct ClaimEntry {
  uint64_t body_hash = 0;
  uint64_t attempt = 0;
  RunNumber run = 0;
  ClaimProgress progress = ClaimProgress::kRunning;
};

// The requests whose first command fell into one period; they age out together.
struct RequestPeriod {
  WallMs start = 0;
  // The first settled attempt of a key, and the further ones of those few that
  // have more.
  std::unordered_map<RequestDigest, SettledAttempt, RequestDigestHasher>
      settled;
  std::map<RequestDigest, std::vector<SettledAttempt>> settled_again;
  std::unordered_map<RequestDigest, ClaimEntry, RequestDigestHasher> claims;
  // Digests (their low half) of callers' keys; those of an aged period are
  // sorted and are all that is left of it.
  std::vector<uint64_t> caller_keys;
  bool aged = false;
};

struct Suspect {
  std::set<EndpointId> endpoints;  // distinct ones that died on the content
  bool alone = false;              // at least once nothing else was in flight
  WallMs last = 0;
  WallMs quarantined_until = 0;
};

struct StoredPlan {
  wire::PlanT plan;
  WallMs stored = 0;
  WallMs confirmed = 0;
  uint64_t version = 0;  // that it made; 0: not confirmed
  bool has_body = true;  // its changes are still kept
};

inline constexpr WallMs kDayMs = 86'400'000;

// The day that days beyond the reports' reach are added up in.
inline constexpr int64_t kFoldedDay = -1;

// The routes that an operator's program published whole, and what each team may
// consume in all under them.
struct Published {
  uint64_t version = 0;
  std::string document;
  std::map<TeamId, Tokens> totals;
  // The newest of the steps that led here, each on from the one before it. Not
  // in snapshots: who needs older ones takes the document.
  std::deque<wire::RoutesStepT> steps;
};

struct Tables {
  StateOptions options;
  WallMs last_stamp = 0;
  uint64_t commands_applied = 0;
  Configuration configuration;
  CompactTable<TeamName> teams;
  CompactTable<Account> accounts;
  // Settled beyond purchased, by a faulty holder or a retirement in error.
  std::map<BudgetId, Tokens> overdrawn;
  std::vector<Run> runs;
  std::map<HostRun, RunNumber> run_numbers;
  std::map<HostId, Host> hosts;
  std::deque<RequestPeriod> requests;  // oldest first
  std::map<uint64_t, Suspect> suspects;
  std::map<std::string, StoredPlan> plans;
  std::map<uint64_t, std::string> plan_by_version;
  std::set<std::string> top_ups;
  std::vector<wire::OrderT> orders;
  std::map<std::pair<TeamId, int64_t>, TeamDay> days;
  Published published;

  TeamDay& DayOf(const TeamId& team, WallMs when);
  // The number of a run that is known; none otherwise.
  std::optional<RunNumber> FindRun(const HostRun& run) const;
};

// What a dead run's grant comes to.
struct Recovery {
  Tokens freed = 0;
  Tokens lost = 0;
};
using RecoverGrant = Recovery (*)(const Grant&);

// What a command is carried out with, besides its body.
struct Context {
  Tables& tables;
  const wire::CommandIdT& id;
  RunNumber run = 0;
  WallMs stamp = 0;
  RecoverGrant recover = nullptr;
};

// Gives an answer its body, or its error.
template <typename Body>
void Answer(wire::CommandAnswerT& answer, Body body) {
  answer.body.Set(std::move(body));
}
inline void Refuse(wire::CommandAnswerT& answer, ErrorKind kind,
                   std::string detail) {
  answer.error = static_cast<uint16_t>(kind);
  answer.detail = std::move(detail);
}

// Whether an amount from outside may be reckoned with.
inline bool IsAmount(Tokens tokens) {
  return tokens >= 0 && tokens <= kMaxTokens;
}

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_TABLES_H_
