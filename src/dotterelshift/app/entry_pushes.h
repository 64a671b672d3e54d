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
  bool OnBeat(const HostId& entry, const wire::EntryBeatT& beat, Instant now);

  // Answers a beat, once a quorum has confirmed that this replica leads. What
  // the entry lacks is left to PushSome().
  void AnswerBeat(const HostId& entry, uint64_t sequence, WallMs stamp);
  // Tells entries what they lack, as many as one turn of the loop bears, in
  // turns; true when there are more.
  bool PushSome(Instant now);
  void PushQuarantine(const HostId& entry, WallMs now);
  void PushQuarantineToAll(WallMs now);

  size_t Entries() const { return m_entries.size(); }

 private:
  // The version of something that an entry has, or that is on its way to it.
  struct Pushed {
    uint64_t version = 0;
    Instant at{};  // when it was sent
  };
  struct Entry {
    peers::PeerInfo info;
    Pushed configuration;
    Pushed routes;
  };
  static void OnHas(Pushed& pushed, uint64_t version, Instant now);
  // Give the bytes that were sent, about.
  size_t Push(Entry& entry, Instant now);
  size_t PushConfiguration(Entry& entry, Instant now);
  size_t PushRoutes(Entry& entry, Instant now);

  peers::Hub& m_hub;
  const ControlReplica& m_replica;
  std::map<HostId, Entry> m_entries;
  HostId m_pushed_last;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENTRY_PUSHES_H_
