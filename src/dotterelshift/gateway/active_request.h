#ifndef DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_
#define DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_

#include <memory>       // for shared_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/gateway/core.h"              // for RequestInfo
#include "dotterelshift/gateway/event_scanner.h"     // for EventScanner
#include "dotterelshift/gateway/response_verdict.h"  // for ResponseVerdict
#include "dotterelshift/origins/origin_lookup.h"     // for EndedLookup

namespace dotterelshift::gateway {

// Maximum number of times that one request is sent to an endpoint, including
// attempts that were refused, withdrawn or failed to connect.
inline constexpr uint32_t kMaxSends = 4;

enum class Stage : uint8_t {
  kWaitsForOrigin,     // others are asked for its stream's origin
  kWaitsForDirectory,  // the endpoints of its stream's version are not known
                       // yet
  kWaitsForBudget,
  kWaitsForTrial,     // a segment is suspected; control decides on a trial
  kWaitsForEndpoint,  // all endpoints are full
  kWaitsForPermit,    // the chosen endpoint names a limit
  kWaitsForLink,      // an endpoint is free, but the outbound link is saturated
  kSlotReserved,      // has a slot reserved; is sent at its prefill start, once
                      // the outbound link has capacity
  kRunning,           // sent; the response has not begun to be relayed
  kAnswering,
};

// Whether an endpoint has started again since a request was sent to it, or
// before without being noticed.
enum class NextIncarnation : uint8_t {
  kUnknown,  // there may be none
  kSameVersion,
  kOtherVersion,
};

// What was received of a response while it was in doubt whether its endpoint
// has started again.
struct Withheld {
  std::string bytes;
  bool whole = false;   // the response is complete
  bool logged = false;  // that it is withheld
};

// One attempt to run a request at one endpoint.
struct Attempt {
  AttemptId id = 0;
  Placement placement;
  origins::EndpointContact endpoint;
  HostId relay;  // the entry through which it is sent; empty: directly
  bool unacknowledged = false;  // its bytes were not acknowledged in time
  Instant sent{};
  Instant last_received{};  // when bytes were last received
  // Its silence is looked at again then; the epoch: it was not yet looked at.
  Instant kept_until{};
  // `last_received` of the silence that was logged, and of the one that was
  // counted as a failure of the endpoint.
  Instant kept_logged{};
  Instant silence_booked{};
  bool new_connection = false;  // made for it
  bool head_received = false;
  Instant head_at{};   // when the response began
  bool bound = false;  // to the endpoint's version, when it was sent
  NextIncarnation next = NextIncarnation::kUnknown;  // of its endpoint
  std::optional<Withheld> withheld;                  // nullopt: nothing is
  int status = 0;
  ResponseInfo response_info;
  ResponseVerdict verdict = ResponseVerdict::kOfAnother;  // of its head
  uint64_t events = 0;  // passed on to the caller
};

// What a request that waits for a permit was chosen for.
struct PermitWait {
  Placement placement;
  PermitDemand demand;
  Instant asked{};  // the epoch: not asked
};

// How this entry knows which software version a stream is bound to.
enum class BindingSource : uint8_t {
  kOwn,         // it passed the first event on, in this response or before
  kTold,        // by another entry
  kAsked,       // another entry has answered a question
  kOneVersion,  // it is proven that there is no other version
  kInDoubt,     // its endpoint may have started again before it began
};

std::string_view NameOf(BindingSource source);

// Why a stream is not resumed.
enum class ResumptionRefusal : uint8_t {
  kOriginUnknown,      // several versions or services may have begun it
  kOriginUnclear,      // two streams have its id
  kVersionGone,        // no endpoint of its version serves
  kServiceNotAllowed,  // its route no longer leads to the service
  kViewIncomplete,     // there may be versions that are not known here
  kViewUnconfirmed,    // no leader has confirmed the view since it arrived
};
std::string_view NameOf(ResumptionRefusal why);

// No software has this key. A stream that is bound to it is not resumed.
inline constexpr SoftwareKey kUnknownSoftware = 0;

// The software version that a stream is bound to: that of its first event.
struct StreamBinding {
  SoftwareKey software = 0;
  BindingSource source = BindingSource::kOwn;
  Duration age = 0s;  // since the origin became known here
};

inline StreamBinding BindingInDoubt() {
  return {kUnknownSoftware, BindingSource::kInDoubt, 0s};
}

// Sort key of the requests that are queued for the outbound link.
struct LinkRank {
  int priority = 0;
  Instant target{};
  RequestId id = 0;
  auto operator<=>(const LinkRank&) const = default;
};

// State of one request from its arrival to its end.
struct ActiveRequest {
  RequestId id = 0;
  RequestInfo info;
  std::shared_ptr<const RouteTable> routes;  // in force at its arrival
  const Route* route = nullptr;
  ServiceName service;
  TeamId team;
  int priority = 0;
  Instant arrived{};
  Instant deadline{};        // the earlier one of the caller's and the route's
  Instant target{};          // for a stream's first event, or for the response
  Instant wait_until{};      // end of the wait for tokens or for an endpoint
  Instant link_queued_at{};  // queued for the link since then; the epoch: not
                             // queued
  Instant link_deadline{};   // end of this attempt's wait for the outbound link
  Duration link_wait = 0s;   // wait for the link so far, of this attempt
  Instant due{};             // when its timer expires
  Stage stage = Stage::kWaitsForBudget;
  std::optional<origins::EndedLookup> lookup;  // of its stream's origin
  // In kWaitsForDirectory: a leader's answer ends the wait, and not the
  // endpoints that become known.
  bool awaits_confirmation = false;
  Tokens reserved = 0;
  bool has_reservation = false;
  bool may_have_run = false;  // an endpoint may have run it
  bool prefilled = false;     // an endpoint has prefilled its prompt
  uint32_t sends = 0;
  uint32_t runs = 0;  // attempts that may have run
  // `runs` when the last retry was granted; nullopt: none was.
  std::optional<uint32_t> retry_granted_at;
  Instant send_at{};
  Attempt attempt;
  PermitWait permit;
  uint32_t permit_requests = 0;  // permits that it asked for
  std::vector<EndpointKey> tried;
  uint32_t lost_connections = 0;  // not established, or broken
  bool trial = false;             // tried alone with a suspected segment
  // Software versions that it must not be sent to.
  std::vector<SoftwareKey> barred_software;
  std::vector<EndpointKey> relay_failed;  // endpoints that a relay did not try
  bool head_relayed = false;
  bool caller_slow = false;  // nothing is read from its endpoint for now
  std::optional<StreamBinding> binding;  // nullopt: no event was passed on yet
  Instant first_event{};
  EventScanner scanner;

  // Whether its caller resumes a stream of which it has events.
  bool Resumes() const {
    return route->kind == RouteKind::kStream && !info.last_event_id.empty() &&
           info.last_event_id != "0";
  }

  // Whether an attempt is under way.
  bool IsSent() const {
    return stage == Stage::kRunning || stage == Stage::kAnswering;
  }

  LinkRank Rank() const { return {priority, target, id}; }

  bool MayRepeat() const {
    return route->kind == RouteKind::kIdempotent ||
           (route->kind == RouteKind::kStream && route->resumable);
  }
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_
