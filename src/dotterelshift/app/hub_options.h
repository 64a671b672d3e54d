#ifndef DOTTERELSHIFT_APP_HUB_OPTIONS_H_
#define DOTTERELSHIFT_APP_HUB_OPTIONS_H_

#include <string>  // for string

#include "dotterelshift/base/ids.h"           // for Incarnation
#include "dotterelshift/peers/hub.h"          // for HubOptions
#include "dotterelshift/settings/settings.h"  // for Settings

namespace dotterelshift::app {

// The hub's options that both roles take from their settings. `http_port` is
// the one that the daemon listens on.
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
  options.self.http_address =
      settings.http_address + ":" + std::to_string(http_port);
  options.listen_address = settings.address;
  options.listen_port = settings.peer_port;
  options.dial = settings.peers;
  options.seed = incarnation;
  return options;
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_HUB_OPTIONS_H_
