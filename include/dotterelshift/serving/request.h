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

// The processing state of a request.
enum class Stage {
  kArrived,            // being processed; not in any list
  kQueued,             // in the fair queue, waiting for an endpoint
  kAwaitingTokens,     // waiting for tokens
  kAwaitingIsolation,  // suspect content, waiting until it may run alone
  kClaiming,           // waiting for the commit of its claim
  kOpening,            // waiting for the commit of its attempt's opening
  kRunning,            // sent to an endpoint
  kReporting,  // its endpoint died; waiting for the commit of the report
  kSettling,   // the response is complete; waiting for its settlement
};

// One attempt to run a request on one endpoint.
struct Attempt {
  AttemptId id = 0;
  EndpointId endpoint;
  uint64_t incarnation = 0;
  std::string address;
  Tokens reserved = 0;
  bool alone = false;         // runs alone because its content is suspect
  bool opening = false;       // its opening was proposed and not refused
  bool standing = false;      // uses pre-authorized tokens: needs no opening
  bool dispatched = false;    // handed over for sending to the endpoint
  Instant started{};          // time of the dispatch
  Tokens counted_output = 0;  // output tokens counted by this entry
  bool has_chunk = false;
  bool has_usage = false;
  Tokens usage_prompt = 0;
  Tokens usage_output = 0;
};

// A caller's request, from its arrival to its end.
struct Request {
  RequestId id = 0;
  callers::CallerRequest caller;
  TeamId team;
  std::string request_class;
  uint32_t weight = 1;
  BudgetId budget_id;
  budget::BudgetHandle budget = 0;
  bool refusals_first = false;  // the team's policy
  std::string key;              // identifies its bill
  Stage stage = Stage::kArrived;
  Instant arrived{};
  Instant deadline{};
  std::optional<Instant> due;                // when its timer expires
  std::optional<Instant> budget_wait_until;  // end of its wait for tokens
  Tokens reserved = 0;                       // until an attempt takes it over
  bool standing = false;                     // `reserved` is pre-authorized
  int refused_openings = 0;  // openings refused by control so far
  std::optional<Attempt> attempt;
  int attempts = 0;
  bool retry_wanted = false;         // whether a retry follows kReporting
  std::vector<EndpointId> excluded;  // endpoints already tried
  bool may_have_run = false;         // an endpoint may have run part of it
  bool forwarded = false;            // a chunk was forwarded to the caller
  bool claim_open = false;           // its claim is granted and not settled
  AttemptId claimed_by = 0;          // the attempt named in the claim
  uint64_t awaited = 0;  // sequence of the command it is waiting for
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
