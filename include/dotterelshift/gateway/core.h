#ifndef DOTTERELSHIFT_GATEWAY_CORE_H_
#define DOTTERELSHIFT_GATEWAY_CORE_H_

#include <cstdint>   // for uint64_t
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <utility>   // for pair
#include <variant>   // for variant
#include <vector>    // for vector

#include "dotterelshift/base/error.h"            // for ErrorKind
#include "dotterelshift/base/ids.h"              // for RequestId, AttemptId
#include "dotterelshift/base/time.h"             // for Instant
#include "dotterelshift/gateway/drain.h"         // for DrainTimes
#include "dotterelshift/gateway/fleet_load.h"    // for FleetLoad
#include "dotterelshift/gateway/held_grants.h"   // for HeldGrants
#include "dotterelshift/gateway/request.h"       // for RequestInfo
#include "dotterelshift/gateway/retry_share.h"   // for RetryShare
#include "dotterelshift/gateway/routes.h"        // for RouteTable
#include "dotterelshift/gateway/send_pacer.h"    // for SendPacer
#include "dotterelshift/http/client.h"           // for TransferEnd
#include "dotterelshift/quarantine/blocklist.h"  // for Blocklist
#include "dotterelshift/serving/request_core.h"  // for RequestSummary

namespace dotterelshift::gateway {

struct CoreOptions {
  // A request leaves this long before its reading time, for the way there.
  Duration lead = 2ms;
  // Time to a stream's first event besides waiting and reading: the first step
  // and the ways. From a calm run: 15 to 30 ms.
  Duration first_event_overhead = 30ms;
  // How long a request may wait for tokens that control and the other entries
  // were asked for: some ways there and back, and a commit.
  Duration budget_wait = 100ms;
  // The same while control is in reach and says that plenty is left: its answer
  // comes, but behind what a full link or a busy leader holds up, for up to
  // 600 ms in a fleet of 86 entries.
  Duration grant_wait = 600ms;
  // No longer than this part of the caller's patience.
  int grant_wait_part = 8;
  // How often it asks again meanwhile, each time other entries.
  Duration budget_again = 20ms;
  // A request whose first event would come after its target is still taken when
  // it would come within this part of the caller's patience.
  double late_part = 0.35;
  // Patience of a caller that names none.
  Duration default_patience = 60s;
  // An endpoint that has sent nothing of an answer for so long, while the
  // request may run again elsewhere, is given up on.
  Duration silence_borne = 1500ms;
  // What a caller is told to wait, at the least, when the way out is full here:
  // the links of other entries are free.
  Duration link_retry_after = 50ms;
  // What a caller is told to wait, at the least, when the fleet is full.
  Duration least_retry_after = 500ms;
  uint64_t seed = 1;  // of the split by weight and the spread of returns
};

// ---- what the core wants done

struct StartAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  EndpointContact endpoint;
  Duration time_left = 0s;    // for the whole answer
  TeamId team;                // empty: the route is open to all
  std::string last_event_id;  // a stream goes on after this event; empty: whole
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
// The endpoint leaves. If none of the attempt has been handed to a connection
// yet, it is taken back, and OnWithdrawn() says so; else it goes on.
struct WithdrawAttempt {
  AttemptId attempt = 0;
};
// Answers in the system's own name. What is said to be not run has not run.
struct Refuse {
  RequestId request = 0;
  ErrorKind kind = ErrorKind::kInternal;
  Duration retry_after = 0s;  // 0: as the kind says
};
// The answer of an attempt is whole and goes to the caller.
struct RelayWhole {
  RequestId request = 0;
  AttemptId attempt = 0;
};
// A stream begins with the head of this attempt.
struct RelayHead {
  RequestId request = 0;
  AttemptId attempt = 0;
};
struct RelayPiece {
  RequestId request = 0;
  std::string bytes;
};
struct FinishStream {
  RequestId request = 0;
};
// The caller must see that the stream is not whole.
struct AbortStream {
  RequestId request = 0;
};
// A line for the log: what was decided on a request, and from what.
struct Decision {
  std::string_view event;
  std::string caller_id;
  std::vector<std::pair<std::string_view, std::string>> inputs;
  // Whose way to its endpoint is part of it; 0: none.
  AttemptId attempt = 0;
};

using Action = std::variant<StartAttempt, CancelAttempt, WithdrawAttempt,
                            Refuse, RelayWhole, RelayHead, RelayPiece,
                            FinishStream, AbortStream, Decision>;

// An endpoint broke off while it ran a content, or a content that was suspected
// before was answered whole; for control, which counts over the whole fleet.
struct Suspicion {
  uint64_t content_hash = 0;
  EndpointId endpoint;  // empty: the content is cleared
  uint64_t incarnation = 0;
  bool alone = false;  // nothing else of the fleet ran there
};

// Requests that wait for the way out.
struct LinkQueue {
  size_t requests = 0;
  uint64_t bytes = 0;
  uint64_t refused = 0;  // since the start, as they would have waited too long
};

// Decides on requests under published routes, from arrival to the last byte:
// who may, where it goes and when, what is tried again, what is refused. A
// core: no I/O, no clock. After each event its actions are to be carried out in
// order.
class Core {
 public:
  virtual ~Core() = default;

  virtual void OnRoutes(std::shared_ptr<const RouteTable> routes,
                        size_t entries, Instant now) = 0;
  virtual void OnEndpointsChanged(const directory::Directory& directory,
                                  Instant now) = 0;
  // The entry has been told to stop, and ends at the times given.
  virtual void StartDraining(const DrainTimes& times) = 0;
  // The process ends: what is open is ended, each caller told what is known of
  // its request; new ones are refused.
  virtual void CutOpen(Instant now) = 0;

  virtual void OnRequest(RequestId request, RequestInfo info, Instant now) = 0;
  virtual void OnCallerGone(RequestId request, Instant now) = 0;

  virtual void OnHead(AttemptId attempt, int status, const AnswerMarks& marks,
                      Instant now) = 0;
  virtual void OnPiece(AttemptId attempt, std::string_view bytes,
                       Instant now) = 0;
  virtual void OnEnd(AttemptId attempt, http::TransferEnd end, Instant now) = 0;
  // Nothing of the attempt left this host, and nothing will.
  virtual void OnWithdrawn(AttemptId attempt, Instant now) = 0;

  // More of a team's total may be there.
  virtual void OnBudgetChanged(Instant now) = 0;
  virtual void OnTimer(Instant now) = 0;
  virtual Instant NextTimer() const = 0;

  virtual std::vector<Action> TakeActions() = 0;
  // Requests that have ended, for the metrics.
  virtual std::vector<serving::RequestSummary> TakeFinished() = 0;
  virtual std::vector<Suspicion> TakeSuspicions() = 0;
  virtual size_t OpenRequests() const = 0;
  virtual LinkQueue WaitingForLink() const = 0;
};

struct CoreParts {
  FleetLoad* load = nullptr;
  HeldGrants* budgets = nullptr;
  RetryShare* retries = nullptr;
  const quarantine::Blocklist* blocklist = nullptr;
  SendPacer* pacer = nullptr;  // none: the link holds nothing back
};

std::unique_ptr<Core> MakeCore(const CoreOptions& options,
                               const CoreParts& parts);

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_CORE_H_
