#ifndef DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_
#define DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "dotterelshift/app/control_replica.h"      // for ControlReplica
#include "dotterelshift/base/ids.h"                 // for HostId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/gateway/entry_roster.h"     // for EntryRoster
#include "dotterelshift/gateway/named_limits.h"     // for NamedLimits
#include "dotterelshift/origins/askable_entries.h"  // for AskableFor
#include "dotterelshift/origins/origin_lookup.h"    // for DistantEntry
#include "dotterelshift/peers/hub.h"                // for Hub

namespace dotterelshift::app {

// Addresses at which the replicas of a group can be reached.
std::vector<std::string> ReplicaAddresses(const replication::Node& node);

// Pushes configuration, published routes, quarantined contents and the
// addresses of other entries to the connected entries. Only a leader that a
// quorum has just confirmed pushes.
class EntryPushes {
 public:
  // An entry is counted for `memory` after its connection is lost.
  EntryPushes(peers::Hub& hub, const ControlReplica& replica, Duration memory)
      : m_hub(hub), m_replica(replica), m_roster(memory) {}

  void OnUp(const peers::PeerInfo& entry);
  // Ignores hosts that are not connected entries.
  void OnDown(const HostId& host, Instant now);
  // Records the versions that the entry reports. Returns false if the entry is
  // not connected.
  bool OnHeartbeat(const HostId& entry, const wire::EntryBeatT& beat,
                   Instant now);

  // Answers a heartbeat; to be called once a quorum has confirmed that this
  // replica leads. Missing versions are sent by PushPending().
  void AnswerHeartbeat(const HostId& entry, uint64_t sequence, Instant now,
                       WallMs stamp);
  // Sends missing versions to the entries in round-robin order, up to the byte
  // limit of one loop iteration, and the quarantined contents once per
  // connection and term. Returns true if entries remain.
  bool PushPending(Instant now, WallMs wall);
  void PushQuarantine(const HostId& entry, WallMs now);
  // Sends changes of quarantined contents and suspected segments to all.
  void PushSuspects(const std::vector<wire::SuspectAnswerT>& changes);

  size_t Entries() const { return m_entries.size(); }
  // Totals of published routes sent since the start.
  struct RoutesSentTotals {
    uint64_t wholes = 0;  // pushes of a full document
    uint64_t steps = 0;   // pushes of deltas from the version held
    uint64_t bytes = 0;
  };
  const RoutesSentTotals& Sent() const { return m_sent; }

 private:
  // The version that an entry holds or that is in transit to it.
  struct PushedVersion {
    uint64_t version = 0;
    Instant at{};  // when it was sent
    bool whole = false;
  };
  struct Entry {
    peers::PeerInfo info;
    PushedVersion configuration;
    PushedVersion routes;
    bool reported = false;  // the versions it holds are known
    bool wants_relays = false;
    bool answers_questions = false;
    // Of the entries that can be asked for origins, as last sent. Another
    // leader may have sent others since an earlier term.
    struct Askable {
      uint64_t term = 0;
      uint64_t members_version = 0;
      std::vector<origins::DistantEntry> entries;  // none: told so
    };
    std::optional<Askable> askable;  // nullopt: not told yet
    // The term in which the quarantined contents were last sent to it.
    std::optional<uint64_t> quarantine_term;
  };
  // Progress of one routes version to the entries, for the log.
  struct Rollout {
    uint64_t version = 0;
    Instant started_at{};
    RoutesSentTotals sent_before;
    bool logged = true;
  };
  // `wants_full` is true if the entry could not apply the delta sent to it.
  static void OnReportedVersion(PushedVersion& pushed, uint64_t version,
                                bool wants_full, Instant now);
  // Addresses of entries of other data centres that can relay for an entry at
  // this place, which spreads the entries over them.
  void AddDistantEntries(const DataCentreId& data_centre, size_t place,
                         std::vector<std::string>& addresses) const;
  void OnMembersChanged();
  // The entries that this one may ask for origins of streams, unless they were
  // sent on this connection before.
  std::unique_ptr<wire::DistantEntriesT> DistantEntriesFor(Entry& entry,
                                                           Instant now) const;
  // Return the approximate number of bytes sent.
  size_t Push(Entry& entry, Instant now, WallMs wall);
  size_t PushConfiguration(Entry& entry, Instant now);
  size_t PushRoutes(Entry& entry, Instant now);
  // The full document in a RoutesStep; packed once for all entries that need
  // it.
  const wire::RoutesStepT& FullRoutes(const state::PublishedRoutes& published);
  // Another replica may have led when the entry connected, or when the contents
  // were quarantined.
  void PushQuarantineOfTerm(const Entry& entry, WallMs now);
  void TrackRollout(Instant now);
  void LogRollout(Instant now);

  peers::Hub& m_hub;
  const ControlReplica& m_replica;
  std::map<HostId, Entry> m_entries;    // connected
  origins::EntryAddresses m_addresses;  // of these
  uint64_t m_members_version = 1;
  gateway::EntryRoster m_roster;
  // Limits that endpoints have named to entries lately, for entries that start
  // and for those of other data centres.
  gateway::NamedLimits m_limits;
  // Since when this replica has had a directory, or somewhat later.
  std::optional<Instant> m_directory_since;
  HostId m_last_pushed;
  wire::RoutesStepT m_full_routes;
  RoutesSentTotals m_sent;
  Rollout m_rollout;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_
