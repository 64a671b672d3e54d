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

// A segment of a prompt that other requests may share. An engine that still has
// it and all segments before it cached does not prefill it again.
struct PromptSegment {
  uint64_t hash = 0;
  Tokens tokens = 0;
  std::string id;  // as the caller wrote it, shortened; for the log
};

// The size of a request to a model engine.
struct Prompt {
  Tokens prompt_tokens = 0;
  Tokens output_limit = 0;
  std::vector<PromptSegment> parts;  // in order; the last one is not shared
};

// What the gateway reads from a caller's request; the rest is passed on
// unchanged.
struct RequestInfo {
  std::string
      caller_id;  // the caller's id of this request, echoed by endpoints
  std::string host;
  std::string path;
  std::string key;
  std::optional<Duration> timeout;  // how long the caller waits
  // When the request's head was received. The epoch: unknown; the time at which
  // the request is handed to the core counts instead.
  Instant begun{};
  bool reused_connection = false;  // not the first request on its connection
  // Of a stream that the caller resumes: the id of the last event that it has,
  // and of its request whose response brought the first event.
  std::string last_event_id;
  std::string first_caller_id;
  Prompt prompt;
  uint64_t content_hash = 0;  // of path, key and body
  size_t body_bytes = 0;
  size_t onward_bytes = 0;  // of all that is passed on, including the head
};

// What an endpoint takes from all entries together, as its responses name it.
struct EndpointLimits {
  std::optional<double> requests_per_second;
  // Refusals in a second after which it fails.
  std::optional<uint32_t> refusals_per_second;

  bool Any() const { return requests_per_second || refusals_per_second; }
  bool operator==(const EndpointLimits&) const = default;
};

// What the gateway reads from the head of an endpoint's response.
struct ResponseInfo {
  std::string echoed_id;   // id of the request that it responds to
  bool has_proof = false;  // carries the endpoint's proof of origin of the body
  bool not_run = false;  // the endpoint states that it did not run the request
  bool address_reassigned =
      false;  // the address belongs to another endpoint now
  EndpointLimits limits;
  bool event_stream = false;
  bool encoded = false;  // has a content encoding that was not requested
  // Its length is known or it comes in chunks. Otherwise it ends with its
  // connection, and a crash of the endpoint looks like its end.
  bool framed = false;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_REQUEST_H_
