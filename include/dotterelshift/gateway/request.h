#ifndef DOTTERELSHIFT_GATEWAY_REQUEST_H_
#define DOTTERELSHIFT_GATEWAY_REQUEST_H_

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/base/ids.h"     // for RequestId
#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift::gateway {

// A part of a prompt that other requests may share; an engine that still holds
// it, and all parts before it, does not read it again.
struct PromptPart {
  uint64_t hash = 0;
  Tokens tokens = 0;
};

// What a request to a model engine says of its size.
struct Prompt {
  Tokens prompt_tokens = 0;
  Tokens output_limit = 0;
  std::vector<PromptPart> parts;  // in order; the last is the request's own
};

// What the gateway reads of a caller's request; the rest is passed on as it is.
struct RequestInfo {
  std::string
      caller_id;  // the caller's id of this request, echoed by endpoints
  std::string host;
  std::string path;
  std::string key;
  std::optional<Duration> patience;  // how long the caller will wait
  // Since when, as far as is known here: when its head had come in. The epoch:
  // since it is handed over.
  Instant begun{};
  bool kept_connection = false;  // it came on one that was used before
  std::string last_event_id;     // of a stream that the caller resumes
  Prompt prompt;
  uint64_t content_hash = 0;  // of path, key and body
  size_t body_bytes = 0;
  size_t onward_bytes = 0;  // of all that is passed on, its head with it
};

// What the head of an endpoint's answer says, besides what is passed on.
struct AnswerMarks {
  std::string echoed_id;  // of the request that it answers
  bool genuine = false;   // bears the endpoint's proof that the body is its own
  bool not_run = false;   // the endpoint says that it did not run the request
  bool other_endpoint = false;  // another endpoint has the address now
  bool event_stream = false;
  bool encoded = false;  // in a way that nobody asked for
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_REQUEST_H_
