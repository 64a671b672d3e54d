#ifndef DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_
#define DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_

#include <memory>  // for shared_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/gateway/core.h"           // for RequestInfo
#include "dotterelshift/gateway/event_scanner.h"  // for EventScanner

namespace dotterelshift::gateway {

// Endpoints that a request is sent to at the most, refusals, failed connections
// and what was withdrawn included.
inline constexpr uint32_t kMostSends = 4;

enum class Stage : uint8_t {
  kWaitsForBudget,
  kWaitsForPlace,  // all endpoints are full just now
  kWaitsForLink,   // there is an endpoint, but no room on the way out
  kBooked,         // has its endpoint, and is sent when its reading time comes
                   // and the way out has room
  kRunning,        // sent; no head of an answer yet
  kAnswering,
};

// One try at one endpoint.
struct Attempt {
  AttemptId id = 0;
  Placement placement;
  EndpointContact endpoint;
  Instant sent{};
  Instant heard{};  // when anything came last
  bool head_seen = false;
  int status = 0;
  AnswerMarks marks;
  uint64_t events = 0;  // passed on to the caller
};

// The place of a request among those that wait for the way out.
struct LinkRank {
  int priority = 0;
  Instant target{};
  RequestId id = 0;
  auto operator<=>(const LinkRank&) const = default;
};

// One request from its arrival to its end.
struct ActiveRequest {
  RequestId id = 0;
  RequestInfo info;
  std::shared_ptr<const RouteTable> routes;  // under which it came in
  const Route* route = nullptr;
  ServiceName service;
  TeamId team;
  int priority = 0;
  Instant arrived{};
  Instant deadline{};    // the caller's or the route's, the earlier one
  Instant target{};      // for the first event, or for the answer
  Instant wait_until{};  // for tokens, or for a place
  Instant link_since{};  // it waits for the way out; the epoch: it does not
  Instant link_until{};  // for the way out, of this attempt
  Duration link_waited = 0s;  // of this attempt
  Instant due{};              // when its timer runs out
  Stage stage = Stage::kWaitsForBudget;
  Tokens reserved = 0;
  bool has_reservation = false;
  bool may_have_run = false;  // some endpoint may have run it
  bool prompt_read = false;   // some endpoint has read its prompt
  uint32_t sends = 0;
  uint32_t runs = 0;  // attempts that may have run
  Instant send_at{};
  Attempt attempt;
  std::vector<EndpointKey> tried;
  bool head_relayed = false;
  Instant first_event{};
  EventScanner scanner;

  LinkRank Rank() const { return {priority, target, id}; }

  bool MayRepeat() const {
    return route->kind == RouteKind::kIdempotent ||
           (route->kind == RouteKind::kStream && route->resumable);
  }
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_ACTIVE_REQUEST_H_
