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

// Settings of one daemon, read once at its start. YAML names are the fields'
// names; docs/SETTINGS.md lists each with unit, default and bounds, made from
// the same table that checks them.
struct Settings {
  std::string host;
  std::string fleet;
  std::string data_centre;
  wire::HostRole role = wire::HostRole::Entry;
  std::string secret_file;            // the fleet's secret, one line
  std::string address = "127.0.0.1";  // IP number of the hub
  uint16_t peer_port = 0;
  std::string http_address = "127.0.0.1";
  uint16_t http_port = 0;
  std::vector<std::string> peers;  // hubs of the other daemons, IP:port
  std::string port_file;  // where the daemon writes its ports as JSON once it
                          // listens; empty: nowhere
  std::string log_level = "info";

  // control
  std::string data_folder;
  std::vector<std::string> first_members;  // hosts
  std::string operator_key_file;           // one key a line: NAME KEY

  // entry
  bool serve_when_cut_off = true;
  Duration shutdown_notice =
      2s;  // after SIGTERM new requests still run for this long
  Duration cut_off_after = 3s;  // without a confirmed leader's beat
  uint32_t max_body_bytes = 8 << 20;
  uint32_t max_connections = 4096;
  Duration receive_timeout = 10s;
  Tokens default_output_limit = 1024;
  Tokens max_output_limit = 32768;
  Duration default_deadline = 60s;
  Tokens service_charge = 1;
  uint32_t max_attempts = 3;
  uint32_t max_waiting_per_team = 256;
};

// Reads and checks YAML. Throws Error(kBadSettings) with "FILE:LINE: what is
// wrong (expected form)".
Settings ParseSettings(std::string_view yaml, const std::string& file);
Settings ReadSettings(const std::string& path);

// The fleet's secret, and the operators' keys by name; throws
// Error(kBadSettings).
std::string ReadSecret(const std::string& path);
struct OperatorKey {
  std::string name;
  std::string key;
};
std::vector<OperatorKey> ReadOperatorKeys(const std::string& path);

// One setting as its page lists it.
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
