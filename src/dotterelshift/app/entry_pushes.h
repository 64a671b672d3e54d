#ifndef DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_
#define DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/app/control_replica.h"  // for ControlReplica
#include "dotterelshift/base/ids.h"             // for HostId
#include "dotterelshift/base/time.h"            // for Instant
#include "dotterelshift/peers/hub.h"            // for Hub

namespace dotterelshift::app {

// Where the replicas of a group can be reached.
std::vector<std::string> ReplicaAddresses(const replication::Node& node);

// What control tells the entries that are connected to it: configuration,
// published routes, quarantined contents, and who the others are. Only a leader
// that a quorum has just confirmed pushes.
class EntryPushes {
 public:
  EntryPushes(peers::Hub& hub, const ControlReplica& replica)
      : m_hub(hub), m_replica(replica) {}

  void OnUp(const peers::PeerInfo& entry);
  void OnDown(const HostId& entry) { m_entries.erase(entry); }
  // The entry told which versions it has. False when it is not connected.
  bool OnHeartbeat(const HostId& entry, const wire::EntryBeatT& beat,
                   Instant now);

  // Answers a beat, once a quorum has confirmed that this replica leads. What
  // the entry lacks is left to PushPending().
  void AnswerHeartbeat(const HostId& entry, uint64_t sequence, WallMs stamp);
  // Tells entries what they lack, as many as one turn of the loop bears, in
  // turns; true when there are more.
  bool PushPending(Instant now);
  void PushQuarantine(const HostId& entry, WallMs now);
  void PushQuarantineToAll(WallMs now);

  size_t Entries() const { return m_entries.size(); }
  // What was sent of published routes since the start.
  struct RoutesSentTotals {
    uint64_t wholes = 0;  // documents by themselves
    uint64_t steps = 0;   // sent as steps from the version that is held
    uint64_t bytes = 0;
  };
  const RoutesSentTotals& Sent() const { return m_sent; }

 private:
  // The version of something that an entry has, or that is on its way to it.
  struct PushedVersion {
    uint64_t version = 0;
    Instant at{};  // when it was sent
    bool whole = false;
  };
  struct Entry {
    peers::PeerInfo info;
    PushedVersion configuration;
    PushedVersion routes;
  };
  // How one version of the routes goes out, for a line about it.
  struct Rollout {
    uint64_t version = 0;
    Instant started_at{};
    RoutesSentTotals sent_before;
    bool logged = true;
  };
  // `wants_full`: what was sent is of no use to the entry.
  static void OnReportedVersion(PushedVersion& pushed, uint64_t version,
                                bool wants_full, Instant now);
  // Give the bytes that were sent, about.
  size_t Push(Entry& entry, Instant now);
  size_t PushConfiguration(Entry& entry, Instant now);
  size_t PushRoutes(Entry& entry, Instant now);
  // The document by itself; packed once for all entries that need it.
  const wire::RoutesStepT& FullRoutes(const state::PublishedRoutes& published);
  void TrackRollout(Instant now);
  void LogRollout(Instant now);

  peers::Hub& m_hub;
  const ControlReplica& m_replica;
  std::map<HostId, Entry> m_entries;
  HostId m_last_pushed;
  wire::RoutesStepT m_full_routes;
  RoutesSentTotals m_sent;
  Rollout m_rollout;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_
