#ifndef DOTTERELSHIFT_SRC_APP_ENTRY_PEERS_H_
#define DOTTERELSHIFT_SRC_APP_ENTRY_PEERS_H_

#include <functional>  // for function
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/app/directory_exchange.h"  // for DirectoryExchange
#include "dotterelshift/app/endpoint_relays.h"     // for EndpointRelays
#include "dotterelshift/app/gateway_traffic.h"     // for GatewayTraffic
#include "dotterelshift/app/origin_exchange.h"     // for OriginExchange
#include "dotterelshift/app/other_entries.h"       // for OtherEntries
#include "dotterelshift/app/version_tracker.h"     // for VersionTracker
#include "dotterelshift/gateway/core.h"            // for Core
#include "dotterelshift/gateway/fleet_load.h"      // for FleetLoad
#include "dotterelshift/gateway/held_grants.h"     // for HeldGrants
#include "dotterelshift/origins/origin_lookup.h"   // for DistantEntry
#include "dotterelshift/peers/hub.h"               // for Hub

namespace dotterelshift::app {

// What an entry exchanges with the other entries: load, origins of streams,
// tokens, relays, and permits for endpoints that name limits.
class EntryPeers {
 public:
  struct Parts {
    peers::Hub* hub = nullptr;
    gateway::Core* core = nullptr;
    gateway::FleetLoad* load = nullptr;
    gateway::HeldGrants* budgets = nullptr;
    VersionTracker* versions = nullptr;
    OriginExchange* exchange = nullptr;
    DirectoryExchange* directory = nullptr;
    EndpointRelays* relays = nullptr;
    GatewayTraffic* traffic = nullptr;
    gateway::FleetLimits* limits = nullptr;
    // Whether tokens may be lent to other entries.
    std::function<bool()> may_lend;
  };

  EntryPeers(loop::Loop& loop, const DataCentreId& data_centre,
             const gateway::LoadUpdatePacerOptions& pacer, Parts parts);

  // Entries of other data centres that can be asked for origins, as named by
  // control. If there are any, load and origins are sent within the own data
  // centre only.
  void SetDistantEntries(const std::vector<origins::DistantEntry>& entries);
  // Addresses that are connected to for other reasons than to ask there.
  void SetEntryAddresses(const std::vector<std::string>& addresses) {
    m_addresses = addresses;
  }
  void OnUp(const peers::PeerInfo& entry);
  void OnDown(const peers::PeerInfo& entry);
  void OnFrame(const peers::PeerInfo& peer, const wire::FrameT& frame);
  // Sends what is due. To be called at the end of each event loop iteration.
  void Send(Instant now);

 private:
  void OnLoadNotes(const peers::PeerInfo& peer, const wire::LoadNotesT& notes);
  // Callers have resumed streams at another entry, which has told so, or has
  // asked for the streams' origins from another data centre.
  void OnTakeovers(const peers::PeerInfo& peer,
                   const std::vector<wire::StreamTakeover>& takeovers);
  void OnQuestion(const peers::PeerInfo& peer,
                  const wire::OriginQuestionT& question);
  void LogTrouble(const peers::PeerInfo& peer,
                  const wire::TroubleNote& note) const;
  // Tells the directory, and once it was new the other entries, of endpoints at
  // whose address another one answered here.
  void TakeReplaced();
  // Another endpoint answered at its address: here (`from` empty) or at another
  // entry. Returns false if that is not new.
  bool OnReplaced(EndpointKey endpoint, const HostId& from);
  // What another entry has noticed of an endpoint's process.
  void OnProcessNote(const wire::ProcessNote& note);
  void OnBorrow(const peers::PeerInfo& peer, const wire::TokenBorrowT& borrow);
  void SendForLimits(Instant now);
  bool MayHangUp(const std::string& address) const;

  loop::Loop& m_loop;
  const DataCentreId m_data_centre;
  const Parts m_parts;
  OtherEntries m_others;
  std::vector<EndpointKey> m_replaced;  // to be told to the others
  std::vector<std::string> m_addresses;
  loop::Timer m_limits_timer;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENTRY_PEERS_H_
