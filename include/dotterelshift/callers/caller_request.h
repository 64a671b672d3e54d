#ifndef DOTTERELSHIFT_CALLERS_CALLER_REQUEST_H_
#define DOTTERELSHIFT_CALLERS_CALLER_REQUEST_H_

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "dotterelshift/base/error.h"           // for ErrorKind
#include "dotterelshift/base/time.h"            // for Duration
#include "dotterelshift/base/tokens.h"          // for Tokens
#include "dotterelshift/http/server.h"          // for Request
#include "dotterelshift/state/configuration.h"  // for KeyHash

namespace dotterelshift::callers {

enum class RequestKind { kChat, kCompletion, kService };

// A caller's request after its checks, in the form that the cores and the
// endpoints' side need.
struct CallerRequest {
  RequestKind kind = RequestKind::kChat;
  state::KeyHash key_hash{};  // of the bearer key
  std::string claimed_team;   // header Dotterelshift-Team, or empty
  std::string
      budget;  // header Dotterelshift-Budget, or empty: the team's first
  std::string target;  // model, or name of the plain service
  std::string method = "POST";
  std::string path;  // towards the endpoint
  std::string content_type;
  std::string body;  // towards the endpoint: with the output limit, and asking
                     // for the usage
  bool stream = false;
  bool wants_usage = false;     // the caller itself asked for the usage piece
  Tokens prompt_bound = 0;      // no tokenizer makes more tokens of the prompt
  Tokens output_limit = 0;      // sent along and enforced
  std::string idempotency_key;  // empty: none
  bool idempotent = true;
  int priority = 0;        // -10 (first) to 10 (last)
  Duration deadline = 0s;  // from arrival
  uint64_t content_hash =
      0;  // of kind, target and body: what quarantine and claims compare
  std::vector<uint64_t>
      prefix_hashes;  // of the prompt's leading blocks, shortest first
};

struct CallerLimits {
  Tokens default_output_limit = 1024;
  Tokens max_output_limit = 32768;
  Duration default_deadline = 60s;
  Duration max_deadline = 600s;
  Tokens service_charge = 1;  // tokens a call of a plain service costs
  size_t prefix_block_bytes = 256;
  size_t max_prefix_blocks = 64;
};

struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

// Checks and translates a request of /v1/...; never throws for bad input.
std::variant<CallerRequest, Refusal> ParseCallerRequest(
    const http::Request& request, const CallerLimits& limits,
    const std::string& fleet_secret);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_CALLERS_CALLER_REQUEST_H_
