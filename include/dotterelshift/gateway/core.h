#ifndef DOTTERELSHIFT_GATEWAY_CORE_H_
#define DOTTERELSHIFT_GATEWAY_CORE_H_

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <memory>       // for unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <variant>      // for variant
#include <vector>       // for vector

#include "dotterelshift/base/error.h"                // for ErrorKind
#include "dotterelshift/base/ids.h"                  // for RequestId, AttemptId
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/gateway/crash_suspects.h"    // for SuspectReport
#include "dotterelshift/gateway/drain.h"             // for DrainSchedule
#include "dotterelshift/gateway/endpoint_paths.h"    // for EndpointPaths
#include "dotterelshift/gateway/fleet_limits.h"      // for FleetLimits
#include "dotterelshift/gateway/fleet_load.h"        // for FleetLoad
#include "dotterelshift/gateway/held_grants.h"       // for HeldGrants
#include "dotterelshift/gateway/request.h"           // for RequestInfo
#include "dotterelshift/gateway/retry_share.h"       // for RetryShare
#include "dotterelshift/gateway/routes.h"            // for RouteTable
#include "dotterelshift/gateway/send_pacer.h"        // for SendPacer
#include "dotterelshift/http/client.h"               // for TransferEnd
#include "dotterelshift/origins/origin_lookup.h"     // for OriginLookup
#include "dotterelshift/origins/restart_suspects.h"  // for RestartSuspects
#include "dotterelshift/origins/stream_origins.h"    // for StreamOrigins
#include "dotterelshift/quarantine/blocklist.h"      // for Blocklist
#include "dotterelshift/serving/request_core.h"      // for RequestSummary

namespace dotterelshift::gateway {

struct CoreOptions {
  // A request is sent this long before its prefill start, to cover the network
  // latency to the endpoint.
  Duration send_lead = 2ms;
  // Time to a stream's first event in addition to waiting and prefill: the
  // first decoding step and the network round trip. 15 to 30 ms without load.
  Duration first_event_overhead = 30ms;
  // How long a request may wait for tokens that were requested from control and
  // from the other entries: a few round trips and a commit.
  Duration budget_wait = 100ms;
  // Replaces `budget_wait` while control is reachable and has reported enough
  // free tokens. A grant is then likely, but a saturated link or a busy leader
  // can delay it by up to 600 ms in a fleet of 86 entries.
  Duration grant_wait = 600ms;
  // `grant_wait` is capped at the caller's timeout divided by this.
  int grant_wait_divisor = 8;
  // Interval at which a waiting request asks for the tokens again, each time
  // from other entries.
  Duration budget_retry_interval = 20ms;
  // A request that has to wait for its prefill is still accepted if its first
  // event is expected later than the route's target time, but within this
  // fraction of the request's timeout.
  double max_wait_fraction = 0.35;
  // Timeout of a caller that gives none.
  Duration default_caller_timeout = 60s;
  // Idle timeout of a response: an attempt is abandoned when its endpoint has
  // sent nothing for this long and the request goes on elsewhere at once.
  Duration response_idle_timeout = 1500ms;
  // Minimum retry delay sent to a caller when this entry's outbound link is
  // saturated. It is short, as the links of other entries have capacity.
  Duration min_link_retry_after = 50ms;
  // A request that resumes a stream waits for this long at an entry that has
  // just started, until the endpoints of the stream's version are known, and at
  // any entry for a leader to confirm that there is one version only.
  Duration max_directory_wait = 300ms;
  // Minimum retry delay sent to a caller when no endpoint can run its request
  // in time.
  Duration min_retry_after = 500ms;
  // How long a request with a suspected segment may wait for the permission to
  // be tried: a few round trips to control and a commit.
  Duration trial_wait = 150ms;
  // How long it may take until a broken attempt's endpoint is known to have
  // ended: a connection to it is refused, and others are heard from.
  Duration crash_decision_time = 500ms;
  // A stream and its caller's attempts to resume it take at most this many
  // times the route's timeout.
  int stream_life_timeouts = 2;
  // Random seed of the split by weight and of the jitter of retry delays.
  uint64_t seed = 1;
};

// ---- Actions that the core requests

struct StartAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  origins::EndpointContact endpoint;
  std::optional<RelayContact> relay;  // nullopt: a direct connection
  Duration time_left = 0s;            // for the complete response
  TeamId team;                        // empty: the route is open to all
  std::string last_event_id;  // a stream resumes after this event; empty: none
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
// Requested when the endpoint is leaving. If no byte of the attempt has been
// handed to a connection, the attempt is withdrawn and OnWithdrawn() is called;
// otherwise the attempt continues.
struct WithdrawAttempt {
  AttemptId attempt = 0;
};
// Sends an error response that the gateway generates itself. A kind that means
// "the request did not run" is used only if no endpoint can have run it.
struct Refuse {
  RequestId request = 0;
  ErrorKind kind = ErrorKind::kInternal;
  Duration retry_after = 0s;  // 0: the default of the kind
};
// The response of an attempt is complete and is passed on to the caller.
struct RelayResponse {
  RequestId request = 0;
  AttemptId attempt = 0;
};
// Starts the caller's stream with the response head of this attempt.
struct RelayHead {
  RequestId request = 0;
  AttemptId attempt = 0;
};
struct RelayChunk {
  RequestId request = 0;
  std::string bytes;
};
struct FinishStream {
  RequestId request = 0;
};
// Ends a stream early, in a way that lets the caller detect that it is
// incomplete.
struct AbortStream {
  RequestId request = 0;
};
// A log line: a decision about a request, and the inputs of the decision.
struct Decision {
  std::string_view event;
  std::string caller_id;
  std::vector<std::pair<std::string_view, std::string>> inputs;
  // The attempt whose connection details are logged with it; 0: none.
  AttemptId attempt = 0;
};

using Action = std::variant<StartAttempt, CancelAttempt, WithdrawAttempt,
                            Refuse, RelayResponse, RelayHead, RelayChunk,
                            FinishStream, AbortStream, Decision>;

// Requests that are queued for the outbound link.
struct LinkQueue {
  size_t requests = 0;
  uint64_t bytes = 0;
  uint64_t refused = 0;  // since the start, because the wait was too long
};

// A caller has resumed a stream, at this entry or another one.
struct StreamTakeover {
  origins::StreamKey stream = 0;
  uint64_t after_event = 0;  // the last one that the caller has; 0: none
  Instant at{};
};

// Streams that callers wanted to resume, since the start.
struct ResumptionCounts {
  uint64_t accepted = 0;  // sent to an endpoint of the stream's version
  uint64_t refused = 0;   // for all reasons
  std::map<std::string_view, uint64_t> refused_for;  // by reason
  // Accepted, and ended without an event: by outcome.
  std::map<std::string, uint64_t> failed_for;
  // Earlier runs that were ended, as their callers resumed the streams.
  uint64_t taken_over = 0;
  // Streams that began at endpoints which may have started again before.
  uint64_t begun_in_doubt = 0;
};

// Handles requests under the published routes from arrival to the last byte:
// access, choice of the endpoint and the time of sending, retries and refusals.
// Does no I/O and reads no clock. After each event the caller carries out the
// actions from TakeActions() in order.
class Core {
 public:
  virtual ~Core() = default;

  virtual void OnRoutes(std::shared_ptr<const RouteTable> routes,
                        size_t entries, Instant now) = 0;
  virtual void OnEndpointsChanged(const directory::Directory& directory,
                                  Instant now) = 0;
  // The entry is shutting down at the given times.
  virtual void StartDraining(const DrainSchedule& times) = 0;
  // The process exits: ends all open requests, telling each caller whether its
  // request may have run, and refuses new ones.
  virtual void AbortOpenRequests(Instant now) = 0;

  virtual void OnRequest(RequestId request, RequestInfo info, Instant now) = 0;
  virtual void OnCallerGone(RequestId request, Instant now) = 0;

  // Whether a response that arrives on a connection which was used before
  // answers the attempt. If not, the next one may.
  virtual bool IsDue(AttemptId attempt, int status,
                     const ResponseInfo& response_info) const = 0;
  // A response on the attempt's connection was skipped, as it answers another
  // request. The attempt may not have been sent yet.
  virtual void OnSkipped(AttemptId attempt, int status,
                         const ResponseInfo& response_info) = 0;
  virtual void OnHead(AttemptId attempt, int status,
                      const ResponseInfo& response_info, Instant now) = 0;
  virtual void OnChunk(AttemptId attempt, std::string_view bytes,
                       Instant now) = 0;
  virtual void OnEnd(AttemptId attempt, http::TransferEnd end, Instant now) = 0;
  // The response is larger than may be held until it is complete.
  virtual void OnTooLarge(AttemptId attempt, Instant now) = 0;
  // Nothing is read from the endpoint for now, as the caller is slow, or it is
  // read from again.
  virtual void OnCallerSlow(RequestId request, bool slow, Instant now) = 0;
  // A new connection was established for the attempt.
  virtual void OnConnected(AttemptId attempt, Instant now) = 0;
  // Bytes of the attempt, which has no response yet, stay unacknowledged.
  virtual void OnUnacknowledged(AttemptId attempt, Instant now) = 0;
  // The attempt was withdrawn: no byte of it was sent, and none will be.
  virtual void OnWithdrawn(AttemptId attempt, Instant now) = 0;

  // Requests for permits were answered, or limits have changed.
  virtual void OnPermits(Instant now) = 0;
  // Paths to endpoints may have changed.
  virtual void OnPathsChanged(Instant now) = 0;
  // Another entry has offered to relay.
  virtual void OnRelayOffered(Instant now) = 0;
  // A team may have more tokens available.
  virtual void OnBudgetChanged(Instant now) = 0;
  // Since when this entry has known of all endpoints; nullopt: it may not know
  // of all of them now.
  virtual void OnViewComplete(std::optional<Instant> since) = 0;
  // A leader has answered a question that was sent at this time: this entry was
  // then not cut off, and has been told what came before.
  virtual void OnViewConfirmed(Instant asked_at, Instant now) = 0;
  // Since when a request has waited for such an answer to a later question.
  virtual std::optional<Instant> AwaitsConfirmationSince() const = 0;
  // Origins of streams were looked up at other entries.
  virtual void OnOriginsLookedUp(
      const std::vector<origins::EndedLookup>& lookups, Instant now) = 0;
  // A caller has resumed a stream at another entry: earlier runs of it here
  // end, also if their callers' connections seem to be open.
  virtual void OnTakenOver(const StreamTakeover& takeover, const HostId& by,
                           Instant now) = 0;
  virtual void OnTimer(Instant now) = 0;
  virtual Instant NextTimer() const = 0;

  virtual std::vector<Action> TakeActions() = 0;
  // Streams that callers have resumed here since the last call, for the other
  // entries.
  virtual std::vector<StreamTakeover> TakeTakeovers() = 0;
  // Requests that ended since the last call, for the metrics.
  virtual std::vector<serving::RequestSummary> TakeFinished() = 0;
  virtual std::vector<SuspectReport> TakeSuspectReports() = 0;
  // Endpoints at whose address another one answered, since the last call.
  virtual std::vector<EndpointKey> TakeReplaced() = 0;
  virtual size_t OpenRequests() const = 0;
  // Bytes of the attempt's response that are held: of an event that is not
  // complete.
  virtual size_t HeldBytes(AttemptId attempt) const = 0;
  virtual LinkQueue WaitingForLink() const = 0;
  virtual const ResumptionCounts& Resumptions() const = 0;
  // Requests refused for a suspected segment, since the start.
  virtual uint64_t SuspectRefusals() const = 0;
  // Requests refused as all endpoints of their service name limits that are
  // used up, since the start.
  virtual uint64_t LimitRefusals() const = 0;
  // Responses that bore the id of another request than the one that was due, or
  // none, since the start, by service.
  virtual const std::map<ServiceName, uint64_t>& ResponsesToOthers() const = 0;
};

struct CoreDependencies {
  FleetLoad* load = nullptr;
  HeldGrants* budgets = nullptr;
  RetryShare* retries = nullptr;
  const quarantine::Blocklist* blocklist = nullptr;
  SendPacer* pacer = nullptr;      // null: sending is not paced
  EndpointPaths* paths = nullptr;  // null: endpoints are never relayed
  origins::ServiceVersions* versions = nullptr;
  origins::StreamOrigins* origins = nullptr;
  origins::RestartSuspects* restarts = nullptr;
  origins::OriginLookup* lookup = nullptr;  // null: no other entry is asked
  CrashSuspects* suspects = nullptr;        // null: segments are not suspected
  FleetLimits* limits = nullptr;  // null: limits of endpoints are ignored
};

std::unique_ptr<Core> MakeCore(const CoreOptions& options,
                               const CoreDependencies& parts);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_CORE_H_
