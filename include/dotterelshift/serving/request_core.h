#ifndef DOTTERELSHIFT_SERVING_REQUEST_CORE_H_
#define DOTTERELSHIFT_SERVING_REQUEST_CORE_H_

#include <cstdint>   // for uint64_t
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "dotterelshift/admission/fair_queue.h"     // for FairQueue
#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/base/ids.h"                 // for RequestId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/budget/ledger.h"            // for Ledger
#include "dotterelshift/callers/caller_request.h"   // for CallerRequest
#include "dotterelshift/directory/directory.h"      // for Directory
#include "dotterelshift/routing/router.h"           // for Router
#include "dotterelshift/state/configuration.h"      // for Configuration
#include "dotterelshift/wire/commands_generated.h"  // for CommandT

namespace dotterelshift::serving {

// Actions requested by the core. The adapters execute them in order.
struct StartAttempt {
  AttemptId attempt = 0;
  RequestId request = 0;
  EndpointId endpoint;
  std::string address;      // IP:port
  Duration time_left = 0s;  // until the deadline
};
// Close the attempt's connection. Chunks that still arrive are dropped and
// counted.
struct CancelAttempt {
  AttemptId attempt = 0;
};
// The response is complete and its bill recorded: send the last chunk, which
// was withheld until now.
struct FinishResponse {
  RequestId request = 0;
};
// Refuse the request or, if chunks were already sent, end the stream with an
// error that the caller can see.
struct FailResponse {
  RequestId request = 0;
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  int retry_after_seconds = 0;
};
// Have a command committed. Its answer is delivered by OnAnswer(). The core
// sets the sequence in the command's id.
struct ProposeCommand {
  wire::CommandT command;
};
// Store a settlement on any reachable control replica until it can be proposed.
// The confirmation is delivered by OnSpooled().
struct SpoolCommand {
  wire::CommandT command;
};
using Action = std::variant<StartAttempt, CancelAttempt, FinishResponse,
                            FailResponse, ProposeCommand, SpoolCommand>;

// What the endpoint adapter found in the bytes of one chunk of a response.
struct Chunk {
  Tokens tokens = 0;       // output tokens in it, counted by the entry
  bool has_usage = false;  // contains the engine's usage report (cumulative)
  Tokens usage_prompt = 0;
  Tokens usage_output = 0;
};
enum class ChunkVerdict {
  kForward,
  kDrop,  // the attempt was abandoned, or the caller has left
  kCut,   // over the output limit; the core has requested a cancellation
};
enum class AttemptEnd {
  kWhole,             // the response ended with the protocol's end marker
  kNotSent,           // no byte was sent
  kRefusedBeforeRun,  // the endpoint reported that it did not run the request
                      // (503 with Dotterelshift-Ran: no, 429)
  kCallerError,       // the endpoint answered 4xx; its response is forwarded
                      // unchanged
  kDied,              // the connection broke, before or after the head
  kTimedOut,
};

// Whether control is reachable from this entry.
enum class ControlReach {
  kNever,      // no current configuration yet: requests are refused as not
               // ready
  kConnected,  // a leader that has proven its leadership answers
  kCutOff,     // no leader is reachable
};

struct RequestCoreOptions {
  HostRun self;
  std::string default_class = "default";
  int max_attempts = 3;
  // Retries allowed per answered request, with bursts of up to retry_burst.
  double retry_ratio = 0.1;
  int retry_burst = 10;
  // How long a claim, an opening or a report of a death may wait for its
  // commit.
  Duration commit_timeout = 1s;
  // How long the last chunk waits for the commit of its bill; after that the
  // bill is spooled.
  Duration settle_timeout = 2s;
  // Setting: serve with pre-authorized tokens while cut off, or refuse.
  bool serve_when_cut_off = true;
  // How long a request waits for tokens that may still become available, by its
  // team's policy and at most until its deadline.
  Duration budget_wait_overspend_first = 2s;
  Duration budget_wait_refusals_first = 15s;
};

// Dependencies of the core; all must outlive it.
struct RequestCoreDependencies {
  const state::Configuration* configuration = nullptr;
  const directory::Directory* directory = nullptr;
  budget::Ledger* ledger = nullptr;
  routing::Router* router = nullptr;
  admission::FairQueue* queue = nullptr;
};

// Durations and counts of one finished request, for the metrics.
struct RequestSummary {
  RequestId request = 0;
  TeamId team;
  std::string request_class;
  ErrorKind error = ErrorKind::kNone;
  Duration queue_wait = 0s;
  Duration first_token = 0s;
  Duration total = 0s;
  Tokens spent = 0;
  Tokens usage_difference = 0;  // between the engine's report and the entry's
                                // own count
  int attempts = 0;
};

// Counters of dropped chunks, retries and other rare events.
struct ServingCounters {
  uint64_t late_chunks_dropped = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t false_refusals = 0;  // refused although some budget remained
  uint64_t attempts_without_opening = 0;
  uint64_t spooled_settlements = 0;
};

// Handles all requests of one entry from arrival to the last chunk:
// authorization, queue, choice of endpoint, reservation, claim, opening,
// attempts and settlement. Does no I/O and reads no clock.
class RequestCore {
 public:
  virtual ~RequestCore() = default;

  virtual void OnRequest(RequestId request,
                         callers::CallerRequest caller_request,
                         Instant now) = 0;
  virtual void OnCallerGone(RequestId request, Instant now) = 0;

  virtual void OnAttemptHead(AttemptId attempt, int status, Instant now) = 0;
  virtual ChunkVerdict OnChunk(AttemptId attempt, const Chunk& chunk,
                               Instant now) = 0;
  virtual void OnAttemptEnd(AttemptId attempt, AttemptEnd end, Instant now) = 0;

  virtual void OnAnswer(const wire::CommandAnswerT& answer, Instant now) = 0;
  virtual void OnSpooled(const wire::CommandIdT& id, Instant now) = 0;
  virtual void OnControlReach(ControlReach reach, Instant now) = 0;
  virtual void OnRecall(const wire::RecallT& recall, Instant now) = 0;
  virtual void OnQuarantine(const wire::QuarantinePushT& push, Instant now) = 0;
  // Sets the number of entries and the zero-based index of this one.
  virtual void OnEntriesChanged(size_t place, size_t count) = 0;
  // The configuration or the directory may have changed.
  virtual void OnRefresh(Instant now) = 0;

  // Refuses new requests from now on; accepted requests continue to their end.
  virtual void StartDraining(Instant now) = 0;
  // True when no request is open and all commands to control have been
  // acknowledged or spooled.
  virtual bool Drained() const = 0;

  virtual void OnTimer(Instant now) = 0;
  virtual std::optional<Instant> NextTimer() const = 0;

  // The request of a current attempt; null when the attempt has ended. For the
  // adapters.
  virtual const callers::CallerRequest* RequestOf(AttemptId attempt) const = 0;

  virtual std::vector<Action> TakeActions() = 0;
  virtual std::vector<RequestSummary> TakeSummaries() = 0;
  virtual const ServingCounters& Counters() const = 0;
  virtual size_t OpenRequests() const = 0;
};

std::unique_ptr<RequestCore> MakeRequestCore(
    const RequestCoreOptions& options,
    const RequestCoreDependencies& dependencies);

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_REQUEST_CORE_H_
