#ifndef DOTTERELSHIFT_SRC_APP_ENDPOINT_RELAYS_H_
#define DOTTERELSHIFT_SRC_APP_ENDPOINT_RELAYS_H_

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/app/connect_probes.h"      // for ConnectProbes
#include "dotterelshift/directory/directory.h"     // for Directory
#include "dotterelshift/gateway/core.h"            // for Core
#include "dotterelshift/gateway/endpoint_paths.h"  // for EndpointPaths
#include "dotterelshift/peers/hub.h"               // for Hub
#include "dotterelshift/relay/relay_server.h"      // for RelayServer
#include "dotterelshift/settings/settings.h"       // for Settings
#include "dotterelshift/telemetry/metrics.h"       // for Metrics

namespace dotterelshift::app {

// Connects an entry's decisions on paths with the network: exchanges offers to
// relay with the other entries, probes direct paths, and relays for entries
// that cannot reach an endpoint.
class EndpointRelays {
 public:
  struct Parts {
    gateway::EndpointPaths* paths = nullptr;
    const directory::Directory* directory = nullptr;
    gateway::Core* core = nullptr;
    peers::Hub* hub = nullptr;
    // Whether the host's link has room for other entries' connections.
    std::function<bool()> has_room;
    // Called after the core got an event.
    std::function<void()> pump;
  };

  EndpointRelays(loop::Loop& loop, const settings::Settings& settings,
                 Parts parts);

  // Connections to other entries.
  void OnEntryUp(const peers::PeerInfo& entry);
  void OnEntryDown(const HostId& host);
  void OnOffer(const peers::PeerInfo& entry, const wire::RelayOfferT& offer);
  // Probes, evidence from announcements, and changed offers. To be called
  // regularly.
  void OnTick();
  // Starts the probes that are due. To be called in each loop iteration, as
  // requests wait for the outcome of some.
  void StartProbes();
  // The entry shuts down: it relays what is open, but nothing new.
  void Withdraw();
  bool IsBusy() const;
  // Whether any connection is relayed, here or through another entry.
  bool IsInUse() const;
  // Bytes carried for other entries, since the start.
  uint64_t Bytes() const { return m_server->Counters().bytes; }
  void SetMetrics(telemetry::Metrics& metrics) const;

 private:
  relay::RelayCallbacks Callbacks();
  relay::Admission Admit(const std::string& target) const;
  bool OnConnectFailed(const std::string& target, Duration took);
  void SendOffer(const HostId& host, const std::string& token) const;

  loop::Loop& m_loop;
  const Parts m_parts;
  const std::string m_address;
  std::unique_ptr<relay::RelayServer> m_server;
  ConnectProbes m_probes;
  std::map<HostId, std::string> m_tokens;  // of the entries that may use this
  std::vector<ServiceName> m_unreachable;  // as last offered
  bool m_withdrawn = false;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENDPOINT_RELAYS_H_
