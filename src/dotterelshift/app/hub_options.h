#ifndef DOTTERELSHIFT_APP_HUB_OPTIONS_H_
#define DOTTERELSHIFT_APP_HUB_OPTIONS_H_

#include <algorithm>  // for min
#include <string>     // for string

#include "dotterelshift/base/ids.h"           // for Incarnation
#include "dotterelshift/peers/hub.h"          // for HubOptions
#include "dotterelshift/settings/settings.h"  // for Settings

namespace dotterelshift::app {

// Address at which the daemon on a seed's host accepts other daemons.
inline std::string PeerAddressOf(const std::string& seed, uint16_t peer_port) {
  return seed.substr(0, seed.find(':')) + ":" + std::to_string(peer_port);
}

// Address of this daemon's HTTP interface, as advertised to the other daemons.
inline std::string HttpAddressOf(const settings::Settings& settings,
                                 uint16_t http_port) {
  const std::string address =
      settings.listen.empty()
          ? settings.http_address
          : settings.listen.substr(0, settings.listen.find(':'));
  return address + ":" + std::to_string(http_port);
}

// Hub options that both roles derive from their settings. `http_port` is the
// port on which the daemon listens for HTTP.
inline peers::HubOptions MakeHubOptions(const settings::Settings& settings,
                                        const std::string& secret,
                                        Incarnation incarnation,
                                        uint16_t http_port) {
  peers::HubOptions options;
  options.fleet = settings.fleet;
  options.secret = secret;
  options.self.run = {settings.host, incarnation};
  options.self.role = settings.role;
  options.self.data_centre = settings.data_centre;
  options.self.http_address = HttpAddressOf(settings, http_port);
  options.listen_address = settings.address;
  options.listen_port = settings.peer_port;
  options.dial = settings.peers;
  for (const std::string& seed : settings.seeds)
    options.dial.push_back(PeerAddressOf(seed, settings.peer_port));
  options.silence_timeout = settings.peer_silence;
  options.hello_timeout =
      std::min(options.hello_timeout, settings.peer_silence);
  options.max_reconnect_delay =
      std::min(options.max_reconnect_delay, settings.peer_silence / 4);
  options.seed = incarnation;
  return options;
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_HUB_OPTIONS_H_
