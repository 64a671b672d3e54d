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

// What the core wants done. The adapters carry actions out in order.
struct StartAttempt {
  AttemptId attempt = 0;
  RequestId request = 0;
  EndpointId endpoint;
  std::string address;      // IP:port
  Duration time_left = 0s;  // until the deadline
};
// Close the attempt's connection; whatever still comes of it is dropped and
// counted.
struct CancelAttempt {
  AttemptId attempt = 0;
};
// The answer is whole and its bill recorded: release its last piece.
struct FinishAnswer {
  RequestId request = 0;
};
// Refuse; or, when pieces have gone out already, end the stream in a visible
// error.
struct FailAnswer {
  RequestId request = 0;
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  int retry_after_seconds = 0;
};
// Have a command committed; the answer comes back by OnAnswer(). Its id's
// sequence is set by the core.
struct ProposeCommand {
  wire::CommandT command;
};
// Keep a settlement on any control replica in reach until it can be proposed;
// the answer comes by OnSpooled().
struct SpoolCommand {
  wire::CommandT command;
};
using Action = std::variant<StartAttempt, CancelAttempt, FinishAnswer,
                            FailAnswer, ProposeCommand, SpoolCommand>;

// What the endpoints' side saw in the bytes of one piece of an answer.
struct Piece {
  Tokens tokens = 0;       // the entry's own count of output tokens in it
  bool has_usage = false;  // the engine's own report, cumulative
  Tokens usage_prompt = 0;
  Tokens usage_output = 0;
};
enum class PieceVerdict {
  kForward,
  kDrop,  // the attempt was given up, or the piece is not for the caller
  kCut,   // over the output limit: the core has asked to cancel
};
enum class AttemptEnd {
  kWhole,             // the protocol's end mark was seen
  kNotSent,           // no byte left this host
  kRefusedBeforeRun,  // the endpoint said that it did not run it (503 with
                      // Dotterelshift-Ran: no, 429)
  kCallerError,  // the endpoint answered 4xx: the answer goes to the caller as
                 // it is
  kDied,         // the connection broke, before or after the head
  kTimedOut,
};

// How far this entry can trust that control follows.
enum class ControlReach {
  kNever,      // no current configuration yet: refuse as not ready
  kConnected,  // a leader that proved it leads answers
  kCutOff,
};

struct RequestCoreOptions {
  HostRun self;
  std::string default_class = "default";
  int max_attempts = 3;
  double retry_ratio =
      0.1;  // retries per answered request, over the last while
  int retry_burst = 10;
  Duration witness_patience =
      1s;  // how long an opening may wait for its commit
  Duration settle_patience =
      2s;  // how long the last piece waits for its bill, then it is spooled
  bool serve_when_cut_off =
      true;  // setting: go on with standing grants, or refuse
  // How long a request waits for tokens that may still come, by its team's
  // policy, within its deadline.
  Duration budget_wait_overspend_first = 2s;
  Duration budget_wait_refusals_first = 15s;
};

// What the core works with; all outlive it.
struct RequestCoreParts {
  const state::Configuration* configuration = nullptr;
  const directory::Directory* directory = nullptr;
  budget::Ledger* ledger = nullptr;
  routing::Router* router = nullptr;
  admission::FairQueue* queue = nullptr;
};

// Times and counts of one finished request, for the metrics.
struct RequestSummary {
  RequestId request = 0;
  TeamId team;
  std::string request_class;
  ErrorKind error = ErrorKind::kNone;
  Duration queue_wait = 0s;
  Duration first_token = 0s;
  Duration total = 0s;
  Tokens spent = 0;
  Tokens usage_difference =
      0;  // between the engine's report and the entry's own count
  int attempts = 0;
};

// Counts of what never reached a caller, and other rare things.
struct ServingCounters {
  uint64_t late_pieces_dropped = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t false_refusals = 0;  // refused although budget remained somewhere
  uint64_t unwitnessed_attempts = 0;
  uint64_t spooled_settlements = 0;
};

// All requests of one entry, from arrival to the last piece: identity and
// reach, queue, reservation, claim, opening, choice of endpoint, attempts,
// settlement. Knows no clock, socket or log.
class RequestCore {
 public:
  virtual ~RequestCore() = default;

  virtual void OnRequest(RequestId request,
                         callers::CallerRequest caller_request,
                         Instant now) = 0;
  virtual void OnCallerGone(RequestId request, Instant now) = 0;

  virtual void OnAttemptHead(AttemptId attempt, int status, Instant now) = 0;
  virtual PieceVerdict OnPiece(AttemptId attempt, const Piece& piece,
                               Instant now) = 0;
  virtual void OnAttemptEnd(AttemptId attempt, AttemptEnd end, Instant now) = 0;

  virtual void OnAnswer(const wire::CommandAnswerT& answer, Instant now) = 0;
  virtual void OnSpooled(const wire::CommandIdT& id, Instant now) = 0;
  virtual void OnControlReach(ControlReach reach, Instant now) = 0;
  virtual void OnRecall(const wire::RecallT& recall, Instant now) = 0;
  virtual void OnQuarantine(const wire::QuarantinePushT& push, Instant now) = 0;
  // How many entries there are, and this one's place among them from 0.
  virtual void OnEntries(size_t place, size_t count) = 0;
  // The configuration or the directory has changed.
  virtual void OnRefresh(Instant now) = 0;

  // New requests are refused from now on; those taken go on to their end.
  virtual void StartDraining(Instant now) = 0;
  // True when nothing is open and everything owed to control has been
  // acknowledged or spooled.
  virtual bool Drained() const = 0;

  virtual void OnTimer(Instant now) = 0;
  virtual std::optional<Instant> NextTimer() const = 0;

  // The request behind an attempt, while it lasts; null when it was given up.
  // For the adapters.
  virtual const callers::CallerRequest* RequestOf(AttemptId attempt) const = 0;

  virtual std::vector<Action> TakeActions() = 0;
  virtual std::vector<RequestSummary> TakeSummaries() = 0;
  virtual const ServingCounters& Counters() const = 0;
  virtual size_t OpenRequests() const = 0;
};

std::unique_ptr<RequestCore> MakeRequestCore(const RequestCoreOptions& options,
                                             const RequestCoreParts& parts);

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_REQUEST_CORE_H_
