#ifndef DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_
#define DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_

#include <cstdint>        // for uint64_t
#include <limits>         // for numeric_limits
#include <map>            // for map
#include <optional>       // for optional
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"               // for EndpointId
#include "dotterelshift/base/time.h"              // for Instant
#include "dotterelshift/directory/directory.h"    // for Directory
#include "dotterelshift/gateway/part_cache.h"     // for PartCache
#include "dotterelshift/gateway/request.h"        // for Prompt
#include "dotterelshift/gateway/routes.h"         // for RouteTable
#include "dotterelshift/wire/frames_generated.h"  // for LoadNote

namespace dotterelshift::gateway {

// Names one run of an endpoint; the same on every entry.
using EndpointKey = uint64_t;

struct FleetLoadOptions {
  DataCentreId data_centre;  // endpoints of the same one cost less to reach
  // Prompt tokens that an engine reads in a millisecond while it also serves
  // streams. Engines that read alone do 93; the rest is kept for their streams.
  double read_tokens_per_ms = 75;
  // What a request costs besides, by each one that runs there already: its
  // tokens come later. Milliseconds, from a step of 3.3 ms shared by a batch.
  double per_running_ms = 1.0;
  // What it costs to leave the data centre: two ways, and the bytes.
  double other_centre_ms = 6;
  // The same in a fleet so large that load notes stay within a data centre:
  // what other entries do at endpoints elsewhere is not seen.
  double unseen_centre_ms = 120;
  size_t largest_seen_fleet = 16;  // entries
  // Part of an engine's memory that is taken for its cache; the rest is used by
  // the requests that run.
  double cache_part = 0.7;
  // An endpoint that failed is avoided for so long, doubled at each failure in
  // a row.
  Duration avoid_least = 300ms;
  Duration avoid_most = 5s;
  // Failures in a row before an endpoint that answers others is avoided.
  int failures_borne = 2;
  // An endpoint that refused for want of room is passed over for so long.
  Duration full_for = 60ms;
};

// Where a request would go, and when its prompt could begin to be read there.
struct Placement {
  EndpointKey endpoint = 0;
  Duration wait = 0s;  // until the prompts given before are read
  Duration read = 0s;  // to read what is not cached there
  Tokens tokens_to_read = 0;
};

// What an entry needs of an endpoint to send to it.
struct EndpointContact {
  EndpointId id;
  uint64_t incarnation = 0;
  std::string address;
  DataCentreId data_centre;
};

// The load of all endpoints as the whole fleet makes it: what this entry has
// under way there, and what the other entries tell of theirs by notes within
// milliseconds. Two long prompts that an engine reads at the same time stop
// each other's tokens and those of all streams there for longer than callers
// bear; so each request books its reading time behind those before it.
class FleetLoad {
 public:
  static constexpr size_t kAllNotes = std::numeric_limits<size_t>::max();

  explicit FleetLoad(const FleetLoadOptions& options) : m_options(options) {}

  // How many entries the fleet has.
  void SetEntries(size_t entries) {
    m_sees_all = entries <= m_options.largest_seen_fleet;
  }
  void OnDirectory(const directory::Directory& directory);
  void OnRoutes(const RouteTable& routes);

  // The best endpoint of a service for a prompt, of those not in `not_these`;
  // none when no endpoint may be used.
  std::optional<Placement> Choose(const ServiceName& service,
                                  const Prompt& prompt,
                                  const std::vector<EndpointKey>& not_these,
                                  Instant now) const;
  // Whether any endpoint of the service may be used.
  bool HasEndpoint(const ServiceName& service, Instant now) const;

  // A request was given to an endpoint, its prompt booked behind the others;
  // its reading ended; it ended, for whatever reason.
  void OnGiven(const Placement& placement, const Prompt& prompt, Instant now);
  void OnRead(EndpointKey endpoint, Instant now);
  void OnEnded(EndpointKey endpoint);

  // How it went there.
  void OnGood(EndpointKey endpoint);
  void OnFailed(EndpointKey endpoint, Instant now);
  void OnUnreachable(EndpointKey endpoint, Instant now);
  void OnFull(EndpointKey endpoint, Instant now);

  // What is to be told to the other entries since the last call. Of more than
  // `most` notes prompt parts are left out, the oldest first: without them the
  // others choose worse, without the sums they would be wrong for good.
  std::vector<wire::LoadNote> TakeNotes(size_t most = kAllNotes);
  bool HasNotes() const { return !m_changes.empty() || !m_part_notes.empty(); }
  void OnNotes(const HostId& from, const wire::LoadNotesT& notes, Instant now);
  // An entry is gone: what it had under way is over.
  void OnEntryGone(const HostId& entry);

  // It said that it leaves, or this run of it is gone. An endpoint that is only
  // silent or out of reach does not leave.
  bool IsLeaving(EndpointKey endpoint) const;
  const EndpointContact* Find(EndpointKey endpoint) const;
  // Requests of this entry and of the others there.
  uint32_t Running(EndpointKey endpoint) const;

 private:
  struct Load {
    EndpointContact contact;
    std::vector<ServiceName> services;
    uint32_t slots = 1;
    bool usable = false;
    bool leaving = false;
    uint32_t own = 0;
    uint32_t others = 0;
    Instant read_until{};  // when the prompts given so far are read
    PartCache cache;
    int failures = 0;  // in a row
    Instant avoid_until{};
    Instant full_until{};
  };

  bool MayUse(const Load& load, Instant now) const;
  double CostOf(const Load& load, const Placement& placement) const;
  Placement PlaceAt(EndpointKey key, const Load& load, const Prompt& prompt,
                    Instant now) const;
  // Notes what has changed at an endpoint for the other entries.
  void NoteChange(EndpointKey endpoint, Tokens prompt_tokens, int requests);
  void Book(Load& load, Tokens tokens, Instant now);
  static void ChangeOthers(Load& load, int change);
  void SetCapacity(Load& load) const;
  uint32_t RunningAt(const Load& load) const { return load.own + load.others; }

  const FleetLoadOptions m_options;
  bool m_sees_all = true;
  std::unordered_map<EndpointKey, Load> m_loads;
  std::unordered_map<ServiceName, std::vector<EndpointKey>> m_by_service;
  std::unordered_map<ServiceName, EngineSize> m_engines;
  // Not told to the other entries yet: sums by endpoint, and prompt parts that
  // are cached there now.
  struct Change {
    int32_t prompt_tokens = 0;
    int32_t requests = 0;
  };
  std::map<EndpointKey, Change> m_changes;
  std::vector<wire::LoadNote> m_part_notes;
  // What other entries have under way, to be taken back when they go.
  std::map<HostId, std::unordered_map<EndpointKey, int>> m_of_entries;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_GATEWAY_FLEET_LOAD_H_
