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

// A validated caller request, in the form used by the request cores and by the
// code that talks to endpoints.
struct CallerRequest {
  RequestKind kind = RequestKind::kChat;
  state::KeyHash key_hash{};  // hash of the bearer key
  // From the header Dotterelshift-Team; empty if absent.
  std::string claimed_team;
  // From the header Dotterelshift-Budget; empty selects the team's first
  // budget.
  std::string budget;
  std::string target;  // name of the model or of the plain service
  std::string method = "POST";
  std::string path;  // sent to the endpoint
  std::string content_type;
  // Sent to the endpoint. For a model call it contains the output limit, and a
  // stream also requests the usage.
  std::string body;
  bool stream = false;
  // Whether the caller itself requested the usage event of a stream.
  bool wants_usage = false;
  // Upper bound of the prompt's tokens, whatever the tokenizer.
  Tokens prompt_bound = 0;
  // Output limit of a model call, sent to the endpoint and enforced by the
  // entry. For a plain service, its charge.
  Tokens output_limit = 0;
  std::string idempotency_key;  // empty if absent
  bool idempotent = true;
  int priority = 0;        // -10 (most urgent) to 10 (least urgent)
  Duration deadline = 0s;  // measured from arrival
  // Hash of kind, target, path and body. Quarantine and claims compare it.
  uint64_t content_hash = 0;
  // Hashes of the prompt's leading blocks, shortest prefix first.
  std::vector<uint64_t> prefix_hashes;
};

struct CallerLimits {
  Tokens default_output_limit = 1024;
  Tokens max_output_limit = 32768;
  Duration default_deadline = 60s;
  Duration max_deadline = 600s;
  Tokens service_charge = 1;  // cost of one call of a plain service, in tokens
  size_t prefix_block_bytes = 256;
  size_t max_prefix_blocks = 64;
};

struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

// Validates a request for a path below /v1/ and converts it to the form sent to
// endpoints. Invalid input yields a Refusal; nothing is thrown.
std::variant<CallerRequest, Refusal> ParseCallerRequest(
    const http::Request& request, const CallerLimits& limits,
    const std::string& fleet_secret);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_CALLERS_CALLER_REQUEST_H_
