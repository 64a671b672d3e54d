#ifndef DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_
#define DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_

#include <cstdint>        // for uint64_t
#include <limits>         // for numeric_limits
#include <map>            // for map
#include <optional>       // for optional
#include <set>            // for set
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <utility>        // for exchange
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                  // for EndpointId
#include "dotterelshift/base/service_ids.h"          // for EndpointKey
#include "dotterelshift/base/time.h"                 // for Instant
#include "dotterelshift/directory/directory.h"       // for Directory
#include "dotterelshift/gateway/request.h"           // for Prompt
#include "dotterelshift/gateway/routes.h"            // for RouteTable
#include "dotterelshift/gateway/segment_cache.h"     // for SegmentCache
#include "dotterelshift/origins/endpoint_contact.h"  // for EndpointContact
#include "dotterelshift/wire/frames_generated.h"     // for LoadNote

namespace dotterelshift::gateway {

struct FleetLoadOptions {
  // Endpoints in this data centre are cheaper to reach.
  DataCentreId data_centre;
  // Prompt tokens that an engine prefills per millisecond while it also serves
  // streams. An engine that only prefills reaches 93; the difference is used
  // for generating the tokens of its streams.
  double prefill_tokens_per_ms = 75;
  // Cost in milliseconds per request that already runs at the endpoint, as each
  // slows token generation: a decoding step of 3.3 ms is shared by a batch.
  double per_running_ms = 1.0;
  // Cost in milliseconds of leaving the data centre: the round trip and the
  // bytes.
  double other_data_centre_ms = 6;
  // Replaces `other_data_centre_ms` in a fleet of more than
  // `max_observed_fleet` entries. Load updates then stay within a data centre,
  // so that the load of other entries on remote endpoints is not known.
  double unobserved_data_centre_ms = 120;
  size_t max_observed_fleet = 16;  // entries
  // Fraction of an engine's memory that counts as prompt cache; running
  // requests use the rest.
  double cache_fraction = 0.7;
  // Most that it may cost in milliseconds more to begin a stream at a software
  // version that stays: some running requests, but neither a wait for a slot
  // nor another prefill of a long prompt.
  double max_staying_extra_ms = 20;
  // An endpoint that failed is avoided for the minimum time, doubled with each
  // consecutive failure up to the maximum.
  Duration min_avoid_time = 300ms;
  Duration max_avoid_time = 5s;
  // Consecutive failures before an endpoint that still answers other requests
  // is avoided.
  int failure_threshold = 2;
  // Time for which an endpoint is skipped after it refused for lack of
  // capacity.
  Duration full_for = 60ms;
  // Time for which it then also costs as much more, doubled with each further
  // refusal up to the maximum. A request that it serves when as much time has
  // passed again halves the number of refusals that count. An endpoint that
  // refuses has little load, and would otherwise be the cheapest one again and
  // again.
  Duration min_last_choice_time = 250ms;
  Duration max_last_choice_time = 5s;
  // Time in which the number of requests that an endpoint with a limit on
  // refusals is believed to
  // have room for rises by one, after a refusal has lowered it.
  Duration room_rise_interval = 1s;
};

// Where a request would go, and when its prefill could start there.
struct Placement {
  EndpointKey endpoint = 0;
  Duration wait = 0s;  // until the prompts queued before it are prefilled
  Duration read = 0s;  // to prefill what is not cached there
  Tokens tokens_to_prefill = 0;
};

// Which endpoints a request may be sent to.
struct ChoiceLimits {
  std::vector<EndpointKey> excluded;
  std::optional<SoftwareKey> software;  // nullopt: any
  std::vector<SoftwareKey> barred_software;
  bool idle = false;  // only endpoints without requests
  // Prefers software versions with at least `kStayingEndpoints` usable
  // endpoints, where that is not dear: a stream that is broken off can be
  // resumed only at its version.
  bool prefers_staying = false;
};

// A version with one endpoint less may be gone with the next one that leaves.
inline constexpr size_t kStayingEndpoints = 2;

// How many endpoints of a service this entry knows as usable, and how many of
// these it does not use now.
struct EndpointCounts {
  size_t usable = 0;
  size_t avoided = 0;  // after failures
  size_t full = 0;     // after a refusal for lack of capacity
};

// The load of all endpoints by the requests of all entries. Other entries
// report their requests within milliseconds by load updates. An engine that
// prefills two long prompts at once delays their first tokens and stalls all
// its streams for longer than callers tolerate. Each request is therefore
// queued for prefill behind the earlier ones.
class FleetLoad {
 public:
  static constexpr size_t kAllUpdates = std::numeric_limits<size_t>::max();

  explicit FleetLoad(const FleetLoadOptions& options) : m_options(options) {}

  // Sets the number of entries in the fleet.
  void SetEntries(size_t entries) {
    m_observes_all = entries <= m_options.max_observed_fleet;
  }
  void OnDirectory(const directory::Directory& directory);
  // Usable endpoints that were not known before the last OnDirectory().
  std::vector<EndpointKey> TakeArrivals() {
    return std::exchange(m_arrivals, {});
  }
  void OnRoutes(const RouteTable& routes);

  // Returns the best endpoint of a service for a prompt; none if no endpoint
  // within the limits is usable.
  std::optional<Placement> Choose(const ServiceName& service,
                                  const Prompt& prompt,
                                  const ChoiceLimits& limits,
                                  Instant now) const;
  // The endpoints of a service that serve, whether or not they are avoided or
  // full now.
  std::vector<EndpointKey> UsableEndpoints(const ServiceName& service) const;
  // Whether any endpoint of the service is usable.
  bool HasEndpoint(const ServiceName& service, Instant now) const;

  // Record, in this order: a request was assigned to an endpoint and its prompt
  // queued for prefill; its prefill ended; the request ended, with or without a
  // response.
  void OnAssigned(const Placement& placement, const Prompt& prompt,
                  Instant now);
  // The request that was assigned last is not sent after all.
  void OnNotSent(const Placement& placement, Instant now);
  void OnPrefilled(EndpointKey endpoint, Instant now);
  void OnEnded(EndpointKey endpoint);

  EndpointCounts CountOf(const ServiceName& service, Instant now) const;
  std::map<ServiceName, EndpointCounts> CountByService(Instant now) const;
  // How long the endpoint is still avoided; 0: it is not.
  Duration AvoidedFor(EndpointKey endpoint, Instant now) const;

  // Outcome of an attempt at the endpoint.
  void OnSucceeded(EndpointKey endpoint, Instant now);
  void OnFailed(EndpointKey endpoint, Instant now);
  // A request noticed that the endpoint has been silent since then. One silence
  // counts no more often than it takes to avoid the endpoint once.
  void OnSilent(EndpointKey endpoint, Instant since, Instant now);
  void OnUnreachable(EndpointKey endpoint, Instant now);
  // It does not end its responses, which is no fault of a moment: it is avoided
  // for long at once.
  void OnEndlessResponse(EndpointKey endpoint, Instant now);
  // The endpoint's failures were due to the path to it, which has changed.
  void OnPathChanged(EndpointKey endpoint);
  void OnOverloaded(EndpointKey endpoint, Instant now);
  // Sets how many requests the endpoint may refuse in a second, of all entries,
  // before it fails; nullopt: it has no such limit. The endpoint then gets no
  // request beyond its slots, nor beyond what it had room for at its last
  // refusal.
  void SetRefusalLimit(EndpointKey endpoint, std::optional<uint32_t> limit);

  // Load updates for the other entries since the last call. If there are more
  // than the given number, the oldest prompt segments are dropped, but no sums:
  // without a segment other entries only choose endpoints less well, while
  // without a sum their counts would stay wrong.
  std::vector<wire::LoadNote> TakeLoadUpdates(size_t most = kAllUpdates);
  bool HasLoadUpdates() const {
    return !m_changes.empty() || !m_segment_updates.empty() ||
           !m_trouble_changes.empty();
  }
  // Endpoints that have begun or ceased to refuse requests, or not to end their
  // responses, for the other entries since the last call. Each entry would
  // otherwise lose requests of its own to learn the same.
  std::vector<wire::TroubleNote> TakeTroubleChanges(Instant now);
  // All endpoints that are chosen last, for an entry that has just connected.
  std::vector<wire::TroubleNote> Troubles(Instant now) const;
  void OnLoadUpdates(const HostId& from, const wire::LoadNotesT& notes,
                     Instant now);
  // An entry has left; its requests are removed from the load.
  void OnEntryGone(const HostId& entry);

  // Whether the endpoint announced that it leaves, or this incarnation is gone.
  // An endpoint that is only silent or unreachable is not leaving.
  bool IsLeaving(EndpointKey endpoint) const;
  const origins::EndpointContact* Find(EndpointKey endpoint) const;
  // Requests of all entries that run there.
  uint32_t Running(EndpointKey endpoint) const;

 private:
  struct Load {
    origins::EndpointContact contact;
    std::vector<ServiceName> services;
    uint32_t slots = 1;
    bool usable = false;
    bool leaving = false;
    uint32_t own = 0;
    uint32_t others = 0;
    Instant prefill_until{};  // when all assigned prompts are prefilled
    SegmentCache cache;
    int failures = 0;  // consecutive
    Instant avoid_until{};
    Instant silence_counted{};  // when a silence last counted as a failure
    Instant full_until{};
    int refusals = 0;  // consecutive
    Instant last_choice_until{};
    std::optional<uint32_t> refusal_limit;
    // Requests that it had room for at the last refusal; nullopt: none so far.
    std::optional<uint32_t> room;
    Instant refused_at{};
  };

  bool MayUse(const Load& load, Instant now) const;
  // The software versions among these endpoints that stay.
  std::vector<SoftwareKey> StayingAmong(
      const std::vector<EndpointKey>& keys) const;
  uint32_t RoomAt(const Load& load, Instant now) const;
  void LowerRoom(Load& load, Instant now) const;
  double CostOf(const Load& load, const Placement& placement,
                Instant now) const;
  Duration LastChoiceTime(const Load& load) const;
  Placement PlaceAt(EndpointKey key, const Load& load, const Prompt& prompt,
                    Instant now) const;
  // Records a change at an endpoint for the next load updates.
  void RecordChange(EndpointKey endpoint, Tokens prompt_tokens, int requests);
  void QueuePrefill(Load& load, Tokens tokens, Instant now);
  static wire::TroubleNote TroubleOf(EndpointKey endpoint, const Load& load,
                                     Instant now);
  void OnTrouble(const wire::TroubleNote& note, Instant now);
  static void ChangeOthers(Load& load, int change);
  void SetCapacity(Load& load) const;
  uint32_t RunningAt(const Load& load) const { return load.own + load.others; }

  const FleetLoadOptions m_options;
  bool m_observes_all = true;
  std::unordered_map<EndpointKey, Load> m_loads;
  std::vector<EndpointKey> m_arrivals;
  std::unordered_map<ServiceName, std::vector<EndpointKey>> m_by_service;
  std::unordered_map<ServiceName, EngineCapacity> m_engines;
  // Changes to send to the other entries: sums per endpoint, and prompt
  // segments that are now cached there.
  struct Change {
    int32_t prompt_tokens = 0;
    int32_t requests = 0;
  };
  std::map<EndpointKey, Change> m_changes;
  std::vector<wire::LoadNote> m_segment_updates;
  std::set<EndpointKey> m_trouble_changes;
  // Requests of other entries, subtracted from the load when an entry leaves.
  std::map<HostId, std::unordered_map<EndpointKey, int>> m_requests_by_entry;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_
