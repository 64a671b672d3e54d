#ifndef DOTTERELSHIFT_GATEWAY_FLEET_LIMITS_H_
#define DOTTERELSHIFT_GATEWAY_FLEET_LIMITS_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint64_t
#include <map>            // for map
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange, pair
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                 // for HostId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/gateway/fleet_load.h"       // for FleetLoad
#include "dotterelshift/gateway/granter_lease.h"    // for GranterLease
#include "dotterelshift/gateway/named_limits.h"     // for NamedLimits
#include "dotterelshift/gateway/permit_schedule.h"  // for PermitSchedule
#include "dotterelshift/wire/frames_generated.h"    // for LimitExchangeT

namespace dotterelshift::gateway {

struct FleetLimitsOptions {
  HostId self;
  DataCentreId data_centre;
  // In a larger fleet, entries of other data centres are not connected to each
  // other. Each data centre then grants permits for its own endpoints, and only
  // its entries send to these while they name a limit.
  size_t max_connected_fleet = 16;  // entries
  // A permit is used within this time after it was granted.
  Duration permit_time = 100ms;
  // An answer to a request for a permit takes at most this long beyond its
  // wait.
  Duration answer_timeout = 250ms;
  // How long an endpoint is left alone while nobody grants permits.
  Duration vacant_retry_after = 500ms;
};

// The entries that control counts.
struct FleetCount {
  size_t entries = 1;
  size_t in_data_centre = 0;  // of this entry; 0: control does not say
  Duration counted_for = 0s;  // this entry, in earlier runs too
  Instant confirmed{};        // when the heartbeat was sent that it answers
};

// What an entry's request asks for before it is sent to an endpoint.
struct PermitDemand {
  RequestId request = 0;
  EndpointKey endpoint = 0;
  Duration max_wait = 0s;
  Duration time_left = 0s;
  int priority = 0;
};

enum class PermitState : uint8_t {
  kNotNeeded,  // the endpoint names no limit
  kGranted,    // to be used at once
  kAsked,      // the answer comes with TakeAnswers()
  kDenied,
};

// A change in what is known or decided, for the log.
struct LimitEvent {
  std::string_view what;
  std::vector<std::pair<std::string_view, std::string>> inputs;
};

// Since the start.
struct LimitCounts {
  uint64_t asked = 0;
  uint64_t granted = 0;
  uint64_t denied = 0;
  uint64_t unanswered = 0;
  uint64_t granted_to_others = 0;
  uint64_t denied_to_others = 0;
};

// Keeps all entries of a fleet together to the limits that endpoints name.
// Every request to such an endpoint needs a permit at its sending; one entry
// grants them, which holds the lease on that (GranterLease), by the schedule of
// PermitSchedule. What an entry learns of limits it tells the others. Nothing
// is sent or asked while no endpoint names a limit.
class FleetLimits {
 public:
  FleetLimits(FleetLimitsOptions options, const FleetLoad& load,
              Instant started);

  // Other entries that are connected. A connection that is up again may be to
  // another run.
  void OnEntryUp(const HostId& host, const DataCentreId& data_centre,
                 Instant now);
  void OnEntryDown(const HostId& host);
  void OnCount(const FleetCount& count, Instant now);
  // A response of the endpoint names these limits.
  void OnResponse(EndpointKey endpoint, const EndpointLimits& limits,
                  Instant now);
  // An incarnation of an endpoint has become known. Until it responds itself,
  // what the one before it named is taken to hold.
  void OnArrival(EndpointKey endpoint, const EndpointId& id, Instant now);
  // Control tells of limits that other entries have reported.
  void OnNotes(const std::vector<wire::LimitNote>& notes,
               std::string_view source, Instant now);
  void OnMessage(const HostId& from, const wire::LimitExchangeT& message,
                 Instant now);
  // This entry shuts down: it gives its lease back.
  void Retire(Instant now);

  // Whether the request may be sent now. If not known yet, asks for a permit.
  PermitState Ask(const PermitDemand& demand, Instant now);
  // The request is sent now, with the permit that it has, if it needs one.
  void Use(RequestId request);
  // The request is not sent there, or the outcome of its attempt is known.
  void OnOutcome(RequestId request, bool refused, Instant now);
  // Requests whose permit was granted or denied.
  std::vector<RequestId> TakeAnswers() { return std::exchange(m_answered, {}); }

  bool IsLimited(EndpointKey endpoint) const;
  std::string LimitText(EndpointKey endpoint) const {
    return TextOf(m_named.Of(endpoint));
  }
  // Endpoints that name a limit.
  const std::vector<EndpointKey>& Limited() const { return m_limited; }
  // When a request of this priority may ask for a permit; in the past: now.
  Instant OpenFrom(EndpointKey endpoint, int priority, Instant now) const;

  void OnTimer(Instant now);
  Instant NextTimer(Instant now) const;
  std::vector<std::pair<HostId, wire::LimitExchangeT>> TakeMessages();
  std::vector<LimitEvent> TakeEvents() { return std::exchange(m_events, {}); }
  // What this entry learned itself since then, for control.
  std::vector<wire::LimitNote> OwnNotes(Duration since, Instant now) const;

  const LimitCounts& Counts() const { return m_counts; }
  bool Grants(Instant now) const { return m_lease.IsHeld(now); }
  size_t Waiting() const { return m_schedule.Waiting(); }

 private:
  struct Asked {
    EndpointKey endpoint = 0;
    uint64_t id = 0;
    HostId granter;
    Instant at{};
    Instant answer_by{};
    int priority = 0;
    std::optional<Instant> granted_at;
    bool denied = false;
  };
  struct Closed {
    Instant until{};
    int priority = 0;
  };

  bool IsOfGroup(const HostId& host) const;
  bool IsOfGroup(EndpointKey endpoint) const;
  void UpdatePeers();
  void Forget(Instant now);
  void InheritFor(EndpointKey endpoint, EndpointIdKey id, Instant now);
  // What permits for the endpoint are scheduled by. A limit outlives an
  // incarnation, so that an endpoint that starts again gets none extra.
  EndpointIdKey ScheduledAs(EndpointKey endpoint) const;
  // What the newest incarnation of the endpoint names.
  EndpointLimits NewestLimits(EndpointKey endpoint) const;
  void OnChanged(EndpointKey endpoint, std::string_view source, Instant now);
  wire::LimitExchangeT& MessageTo(const HostId& host);
  void Queue(const GranterLease::Requests& requests);
  void UpdateLease(Instant now);
  void SendDecisions(Instant now);
  // Returns whether somebody was asked.
  bool AskGranter(const PermitDemand& demand, Instant now);
  void OnPermitAsk(const HostId& from, const wire::PermitAsk& ask, Instant now);
  void OnPermitOutcome(const HostId& from, const wire::PermitOutcome& outcome,
                       Instant now);
  void OnPermitAnswer(const HostId& from, const wire::PermitAnswer& answer,
                      Instant now);
  void Close(EndpointKey endpoint, Duration time, int priority, Instant now);
  void Log(std::string_view what,
           std::vector<std::pair<std::string_view, std::string>> inputs) {
    m_events.push_back({what, std::move(inputs)});
  }

  const FleetLimitsOptions m_options;
  const FleetLoad& m_load;
  NamedLimits m_named;
  std::vector<EndpointKey> m_limited;
  std::map<EndpointKey, Instant> m_learned;  // from own responses
  // The newest incarnation of each endpoint that was usable.
  std::map<EndpointIdKey, EndpointKey> m_incarnations;
  GranterLease m_lease;
  PermitSchedule m_schedule;
  Instant m_counted{};  // the newest count's heartbeat
  Instant m_next_forget{};
  bool m_granting = false;
  Instant m_granting_since{};
  HostId m_granter;  // as last logged
  bool m_whole_fleet = true;
  std::map<HostId, DataCentreId> m_entries;  // connected
  uint64_t m_last_id = 0;
  std::unordered_map<RequestId, Asked> m_asked;
  // Permits in use at endpoints that limit refusals.
  std::unordered_map<RequestId, Asked> m_at_risk;
  std::unordered_map<EndpointKey, Closed> m_closed;
  std::vector<RequestId> m_answered;
  std::map<HostId, wire::LimitExchangeT> m_messages;
  std::vector<LimitEvent> m_events;
  LimitCounts m_counts;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_FLEET_LIMITS_H_
