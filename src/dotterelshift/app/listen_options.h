#ifndef DOTTERELSHIFT_SRC_APP_LISTEN_OPTIONS_H_
#define DOTTERELSHIFT_SRC_APP_LISTEN_OPTIONS_H_

#include <string>       // for stoi, to_string
#include <string_view>  // for string_view

#include "dotterelshift/gateway/routes.h"     // for CallerLimits
#include "dotterelshift/http/server.h"        // for ServerOptions
#include "dotterelshift/memory/account.h"     // for Account
#include "dotterelshift/settings/settings.h"  // for Settings
#include "dotterelshift/telemetry/log.h"      // for LogDecision

namespace dotterelshift::app {

// Makes a server count in the daemon's account, and log what it rejects.
// `listener` names it in log lines.
inline void SetAccount(http::ServerOptions& options, memory::Account& account,
                       const std::string& listener) {
  options.memory = &account;
  options.on_malformed = [listener](std::string_view why) {
    telemetry::LogDecision("request_malformed", "",
                           {{"listener", listener}, {"why", std::string(why)}});
  };
}

// Options of an HTTP server of this daemon. `listen` is an "IP:port" address
// that has been validated with the settings.
inline http::ServerOptions ListenOptionsAt(const settings::Settings& settings,
                                           const std::string& listen,
                                           memory::Account& account) {
  http::ServerOptions options;
  SetAccount(options, account, listen);
  const size_t colon = listen.find(':');
  options.address = listen.substr(0, colon);
  options.port = static_cast<uint16_t>(std::stoi(listen.substr(colon + 1)));
  options.max_head_bytes = settings.max_head_bytes;
  options.max_body_bytes = settings.max_body_bytes;
  options.max_connections = settings.max_connections;
  options.receive_timeout = settings.receive_timeout;
  return options;
}

// The address that serves metrics alone.
inline std::string MetricsListenOf(const settings::Settings& settings) {
  return settings.address + ":" + std::to_string(settings.metrics_port);
}

// How long callers may take under published limits. Their bytes may wait for a
// saturated link on the way here, and responses on the way back.
inline http::CallerTimes CallerTimesOf(const gateway::CallerLimits& limits) {
  constexpr Duration kWaitForLink = 1s;
  return {limits.head_timeout + kWaitForLink,
          limits.idle_timeout + kWaitForLink};
}

// Options of the daemon's main HTTP interface.
inline http::ServerOptions ListenOptions(const settings::Settings& settings,
                                         memory::Account& account) {
  if (!settings.listen.empty())
    return ListenOptionsAt(settings, settings.listen, account);
  return ListenOptionsAt(
      settings,
      settings.http_address + ":" + std::to_string(settings.http_port),
      account);
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_LISTEN_OPTIONS_H_
