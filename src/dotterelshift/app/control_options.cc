#include "dotterelshift/app/control_options.h"

#include <algorithm>  // for find
#include <string>     // for string

#include "dotterelshift/app/hub_options.h"  // for PeerAddressOf

namespace dotterelshift::app {
namespace {

// Passes on each heartbeat of endpoints, as it proves to entries which software
// version is at the other end of their connections.
constexpr Duration kMinPulseInterval = 500ms;

// The members that the group begins with; empty: this daemon founds none.
std::vector<HostId> FirstMembersOf(const settings::Settings& settings) {
  if (!settings.found_group) return settings.first_members;
  const std::vector<HostId> members = SeedPeersOf(settings);
  const bool own =
      std::find(members.begin(), members.end(), settings.host) != members.end();
  return own ? members : std::vector<HostId>{};
}

// A leader's lease ends before any replica may start an election.
Duration LeaseOf(Duration election_timeout) {
  constexpr int kLeaseDivisor = 6;
  return election_timeout / kLeaseDivisor * (kLeaseDivisor - 1);
}

}  // namespace

std::vector<std::string> SeedPeersOf(const settings::Settings& settings) {
  std::vector<std::string> peers;
  for (const std::string& seed : settings.seeds)
    peers.push_back(PeerAddressOf(seed, settings.peer_port));
  return peers;
}

ControlReplicaOptions ReplicaOptionsOf(const settings::Settings& settings,
                                       Incarnation incarnation,
                                       uint16_t peer_port) {
  ControlReplicaOptions options;
  options.node.seed = incarnation;
  options.store.folder = settings.data_folder;
  options.first_members = FirstMembersOf(settings);
  options.self = settings.host;
  options.self_address = settings.address + ":" + std::to_string(peer_port);
  options.self_healing = settings.self_healing;
  options.node.heartbeat = settings.leader_heartbeat;
  options.node.min_election_timeout = settings.election_timeout;
  options.node.lease = LeaseOf(settings.election_timeout);
  return options;
}

directory::SpreadOptions ControlSpreadOptionsOf(
    const settings::Settings& settings) {
  constexpr size_t kAll = 1000;
  directory::SpreadOptions options;
  options.min_pulse_interval = kMinPulseInterval;
  options.self = settings.host;
  if (settings.gateway) options.fan_out = kAll;
  return options;
}

}  // namespace dotterelshift::app
