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
#include "dotterelshift/quarantine/evidence.h"      // for CrashedRuns
#include "dotterelshift/state/compact_table.h"      // for CompactTable
#include "dotterelshift/state/configuration.h"      // for Configuration
#include "dotterelshift/state/state.h"              // for BudgetAccount
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

// The tables of the state. Internal to the package; the commands that change
// them are applied in the files apply_*.cc.
namespace dotterelshift::state {

// Index of an incarnation in Tables::runs, the list of all incarnations.
using IncarnationIndex = uint32_t;

struct Opening {
  uint64_t attempt = 0;
  Tokens reserved = 0;
};

// What one incarnation holds of one budget. For a dead incarnation, `tokens` is
// what may have been spent and is not settled yet; it is included in the
// account's `lost`.
struct Grant {
  IncarnationIndex run = 0;
  bool dead = false;
  Tokens tokens = 0;
  Tokens standing = 0;
  Tokens demand_per_second = 0;
  std::vector<Opening> openings;

  Tokens OpenedTokens() const;
};

// Kept small, as there is one for each budget that ever existed.
struct Account {
  BudgetId id;
  BudgetAccount amounts;
  uint32_t team = 0;  // slot in Tables::teams

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

// One incarnation of a host that has sent a command.
struct HostIncarnation {
  HostRun id;
  bool dead = false;
  bool retired = false;     // by an operator, who freed its remaining tokens
  WallMs last_command = 0;  // stamp of its newest command
};

// The compact form of an answer that is kept for resends. An answer that does
// not fit is also in Host::long_answers.
struct KeptAnswer {
  uint64_t sequence = 0;
  uint16_t error = 0;
  uint8_t type = 0;   // wire::AnswerBody
  uint8_t value = 0;  // first_bill of a SettleAnswer
};

// The newest incarnation of a host, and the answers kept for its resends.
struct Host {
  IncarnationIndex run = 0;
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
  IncarnationIndex run = 0;
  bool billed = false;  // the request was billed for this attempt
};

enum class ClaimProgress : uint8_t { kRunning, kRan, kUnknown };

struct ClaimEntry {
  uint64_t body_hash = 0;
  uint64_t attempt = 0;
  IncarnationIndex run = 0;
  ClaimProgress progress = ClaimProgress::kRunning;
};

// The requests whose first command fell into one period. They are compacted
// together.
struct RequestPeriod {
  WallMs start = 0;
  // The first settled attempt of each key, and the further attempts of the few
  // keys that have more than one.
  std::unordered_map<RequestDigest, SettledAttempt, RequestDigestHasher>
      settled;
  std::map<RequestDigest, std::vector<SettledAttempt>> settled_again;
  std::unordered_map<RequestDigest, ClaimEntry, RequestDigestHasher> claims;
  // The low halves of the digests of callers' keys. In a compacted period they
  // are sorted, and nothing else is left.
  std::vector<uint64_t> caller_keys;
  bool aged = false;
};

// A content, or a prompt segment that requests share, in whose responses
// endpoints died.
struct Suspect {
  quarantine::CrashedRuns runs;  // of a content: endpoints, whatever run
  bool alone = false;            // was the only request in flight at least once
  bool shared = false;           // a prompt segment
  WallMs last = 0;
  WallMs quarantined_until = 0;
  uint32_t blocks = 0;  // times that the segment was blocked
  // The entry that may send a request with the segment, until then.
  IncarnationIndex trial_run = 0;
  WallMs trial_until = 0;
};

struct StoredPlan {
  wire::PlanT plan;
  WallMs stored = 0;
  WallMs confirmed = 0;
  uint64_t version = 0;  // configuration that it created; 0: not confirmed
  bool has_body = true;  // its changes are still kept
};

inline constexpr WallMs kDayMs = 86'400'000;

// The day number of the line that sums up all days that are too old for the
// reports.
inline constexpr int64_t kAggregatedDay = -1;

// The routes document that an operator's program published, and how many tokens
// each team may consume in total under it.
struct Published {
  uint64_t version = 0;
  std::string document;
  std::map<TeamId, Tokens> totals;
  // The latest deltas that lead to this version, each based on the version of
  // the one before. They are not part of snapshots: an entry that needs an
  // older delta gets the full document.
  std::deque<wire::RoutesStepT> steps;
};

struct Tables {
  StateOptions options;
  WallMs last_stamp = 0;
  uint64_t commands_applied = 0;
  Configuration configuration;
  CompactTable<TeamName> teams;
  CompactTable<Account> accounts;
  // Tokens settled beyond what was purchased, by a faulty holder or after a
  // mistaken retirement.
  std::map<BudgetId, Tokens> overdrawn;
  std::vector<HostIncarnation> runs;
  std::map<HostRun, IncarnationIndex> incarnation_indexes;
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
  // The index of an incarnation; empty if it is not known.
  std::optional<IncarnationIndex> FindIncarnation(const HostRun& run) const;
};

// How the grant of a dead incarnation is split.
struct Recovery {
  Tokens freed = 0;
  Tokens lost = 0;
};
using RecoverGrant = Recovery (*)(const Grant&);

// The context in which the body of a command is applied.
struct Context {
  Tables& tables;
  const wire::CommandIdT& id;
  IncarnationIndex run = 0;
  WallMs stamp = 0;
  RecoverGrant recover = nullptr;
};

// Sets the body of an answer, or its error.
template <typename Body>
void Answer(wire::CommandAnswerT& answer, Body body) {
  answer.body.Set(std::move(body));
}
inline void Refuse(wire::CommandAnswerT& answer, ErrorKind kind,
                   std::string detail) {
  answer.error = static_cast<uint16_t>(kind);
  answer.detail = std::move(detail);
}

// Whether an amount from another process is in the valid range.
inline bool IsValidAmount(Tokens tokens) {
  return tokens >= 0 && tokens <= kMaxTokens;
}

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_TABLES_H_
