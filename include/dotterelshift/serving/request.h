#ifndef DOTTERELSHIFT_SERVING_REQUEST_H_
#define DOTTERELSHIFT_SERVING_REQUEST_H_

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/error.h"              // for ErrorKind
#include "dotterelshift/base/ids.h"                // for RequestId
#include "dotterelshift/base/time.h"               // for Instant
#include "dotterelshift/base/tokens.h"             // for Tokens
#include "dotterelshift/budget/ledger.h"           // for BudgetHandle
#include "dotterelshift/callers/caller_request.h"  // for CallerRequest

namespace dotterelshift::serving {

// Where a request stands on its way.
enum class Stage {
  kArrived,    // being looked at; in no list
  kQueued,     // in the fair queue, waits for an endpoint
  kBudget,     // waits for tokens
  kApart,      // a suspect that waits until it may run alone
  kClaiming,   // waits for the commit of its claim
  kOpening,    // waits for the commit of its attempt's opening
  kRunning,    // handed to an endpoint
  kReporting,  // its endpoint died; waits for the commit of the report
  kSettling,   // the answer is whole, its bill is on the way
};

// One try of a request at one endpoint.
struct Attempt {
  AttemptId id = 0;
  EndpointId endpoint;
  uint64_t incarnation = 0;
  std::string address;
  Tokens reserved = 0;
  bool alone = false;       // of a suspect content
  bool opened = false;      // its opening is committed
  bool standing = false;    // reserved from the standing part: needs no opening
  bool dispatched = false;  // given to the endpoint's side
  Instant started{};        // when it was given
  Tokens counted = 0;       // output tokens by the entry's own count
  bool has_piece = false;
  bool has_usage = false;
  Tokens usage_prompt = 0;
  Tokens usage_output = 0;
};

// One caller's request from arrival to its end.
struct Request {
  RequestId id = 0;
  callers::CallerRequest caller;
  TeamId team;
  std::string request_class;
  uint32_t weight = 1;
  BudgetId budget_id;
  budget::BudgetHandle budget = 0;
  bool refusals_first = false;  // the team's policy
  std::string key;              // of its bill
  Stage stage = Stage::kArrived;
  Instant arrived{};
  Instant deadline{};
  std::optional<Instant> due;           // of its timer
  std::optional<Instant> budget_until;  // how long it waits for tokens
  Tokens reserved = 0;                  // held before an attempt takes it over
  bool standing = false;                // of `reserved`: see Attempt
  std::optional<Attempt> attempt;
  int attempts = 0;
  bool retry_wanted = false;         // of kReporting: what follows it
  std::vector<EndpointId> excluded;  // tried before
  bool handed = false;               // an endpoint may have run something of it
  bool forwarded = false;            // a piece has gone to the caller
  bool claim_open = false;           // its claim is granted and not finished
  AttemptId claimed_by = 0;          // the attempt that the claim names
  uint64_t awaited = 0;  // sequence of the command that it waits for
  bool caller_gone = false;
  ErrorKind last_failure = ErrorKind::kNone;
  Duration queue_wait = 0s;
  Duration first_token = 0s;
  Tokens spent = 0;
  Tokens usage_difference = 0;

  Tokens WorstCase() const { return caller.prompt_bound + caller.output_limit; }
  bool IsService() const {
    return caller.kind == callers::RequestKind::kService;
  }
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_REQUEST_H_
