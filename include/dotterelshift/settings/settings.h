#ifndef DOTTERELSHIFT_SETTINGS_SETTINGS_H_
#define DOTTERELSHIFT_SETTINGS_SETTINGS_H_

#include <cstdint>      // for uint16_t
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/time.h"              // for Duration
#include "dotterelshift/base/tokens.h"            // for Tokens
#include "dotterelshift/wire/frames_generated.h"  // for HostRole

namespace dotterelshift::settings {

// Settings of one daemon, read at start. Daemon::Reload() applies those that
// may change while it runs. The YAML keys are the names of the fields.
// docs/SETTINGS.md lists each with unit, default and bounds; it is generated
// from the table that validates them.
struct Settings {
  std::string host;
  std::string fleet;
  std::string data_centre;
  wire::HostRole role = wire::HostRole::Entry;
  std::string secret_file;            // the fleet's secret, one line
  std::string address = "127.0.0.1";  // IP address of the hub
  uint16_t peer_port = 0;
  std::string http_address = "127.0.0.1";
  uint16_t http_port = 0;
  std::vector<std::string> peers;  // hubs of the other daemons, IP:port
  // "IP:port"; replaces http_address and http_port unless empty.
  std::string listen;
  // A second listener, only for health checks and metrics; empty: none.
  std::string health_listen;
  uint16_t metrics_port = 0;       // a listener only for metrics; 0: none
  std::vector<std::string> seeds;  // some control daemons; only the IP is used
  Duration peer_silence = 6s;      // a daemon silent for longer is disconnected
  bool gateway = false;            // serves published routes
  std::string port_file;  // the daemon writes its ports here as JSON once it
                          // listens; empty: not written
  std::string log_level = "info";

  // control
  std::string data_folder;
  std::vector<std::string> first_members;  // hosts
  std::string operator_key_file;           // one key per line: NAME KEY
  bool found_group = false;                // the seeds are the first members
  bool self_healing = false;  // the leader adds and replaces replicas itself
  Duration leader_heartbeat = 50ms;
  Duration election_timeout = 300ms;

  // entry
  bool serve_when_cut_off = true;
  // After SIGTERM new requests are still accepted for this long.
  Duration shutdown_notice = 2s;
  Duration cut_off_after = 3s;    // since the newest answered heartbeat
  Duration shutdown_limit = 60s;  // after SIGTERM, including streams
  uint32_t max_head_bytes = 4 << 10;
  uint32_t max_body_bytes = 8 << 20;
  // Of endpoints' responses, held until they can be passed on: of one response,
  // and of all together.
  uint32_t max_response_bytes = 1 << 20;
  uint32_t max_held_response_bytes = 4 << 20;
  double retry_ratio = 0.2;  // retries per request, fleet-wide
  Duration retry_window = 10s;
  uint32_t retry_slack = 50;  // further retries per window, fleet-wide
  double link_mbit = 0;       // of the host, per second; 0: not known
  // At `address`, for other entries that cannot reach an endpoint themselves;
  // 0: the system chooses.
  uint16_t relay_port = 0;
  // Local IP address of connections to endpoints; empty: the system chooses.
  std::string source_address;
  uint32_t max_connections = 4096;
  uint32_t memory_mb = 64;  // that the process may use; 0: the machine's
  Duration receive_timeout = 10s;
  Tokens default_output_limit = 1024;
  Tokens max_output_limit = 32768;
  Duration default_deadline = 60s;
  Tokens service_charge = 1;
  uint32_t max_attempts = 3;
  uint32_t max_waiting_per_team = 256;
};

// Parses and validates YAML. Throws Error(kBadSettings) with the text
// "FILE:LINE: what is wrong (expected form)".
Settings ParseSettings(std::string_view yaml, const std::string& file);
Settings ReadSettings(const std::string& path);

// Read the secret of the fleet and the keys of the operators. Both throw
// Error(kBadSettings).
std::string ReadSecret(const std::string& path);
struct OperatorKey {
  std::string name;
  std::string key;
};
std::vector<OperatorKey> ReadOperatorKeys(const std::string& path);

// One row of docs/SETTINGS.md.
struct SettingRow {
  std::string_view name;
  std::string_view unit;
  std::string_view default_value;
  std::string_view bounds;
  std::string_view meaning;
};
std::span<const SettingRow> SettingTable();

}  // namespace dotterelshift::settings

#endif  // DOTTERELSHIFT_SETTINGS_SETTINGS_H_
