#include "dotterelshift/settings/settings.h"

#include <algorithm>  // for find_if
#include <array>      // for array
#include <deque>      // for deque
#include <fstream>    // for ifstream
#include <sstream>    // for ostringstream
#include <variant>    // for variant, visit

#include "dotterelshift/base/address.h"      // for ParseAddress
#include "dotterelshift/base/error.h"        // for Error
#include "dotterelshift/base/yaml_reader.h"  // for YamlMap

namespace dotterelshift::settings {
namespace {

constexpr std::array<std::string_view, 2> kRoles = {"entry", "control"};
constexpr std::array<std::string_view, 3> kLevels = {"info", "warning",
                                                     "error"};
constexpr size_t kMinSecretLength = 16;
constexpr size_t kMinOperatorKeyLength = 16;

// The required form of a text setting.
enum class Form { kName, kPath, kIpNumber, kLevel, kAddress };

struct TextRule {
  std::string Settings::*field;
  Form form;
};
struct RoleRule {
  wire::HostRole Settings::*field;
};
struct AddressesRule {
  std::vector<std::string> Settings::*field;
};
struct NamesRule {
  std::vector<std::string> Settings::*field;
};
struct BoolRule {
  bool Settings::*field;
};
struct PortRule {
  uint16_t Settings::*field;
};
struct CountRule {
  uint32_t Settings::*field;
  uint32_t min;
  uint32_t max;
};
struct TokensRule {
  Tokens Settings::*field;
  Tokens min;
  Tokens max;
};
struct FractionRule {
  double Settings::*field;
  double min;
  double max;
};
struct TimeRule {
  Duration Settings::*field;
  Duration min;
  Duration max;
};

// How a setting is validated and documented.
struct Rule {
  std::string_view name;
  std::string_view unit;
  std::variant<TextRule, RoleRule, AddressesRule, NamesRule, BoolRule, PortRule,
               CountRule, TokensRule, TimeRule, FractionRule>
      check;
  bool required;
  std::string_view meaning;
};

using S = Settings;

const std::array kRules = {
    Rule{"host", "name", TextRule{&S::host, Form::kName}, true,
         "Name of this host, unique in the fleet for each daemon."},
    Rule{"fleet", "name", TextRule{&S::fleet, Form::kName}, true,
         "Name of the fleet; daemons of another fleet are not let in."},
    Rule{"data_centre", "name", TextRule{&S::data_centre, Form::kName}, true,
         "Data centre of this host; endpoints of the same one are preferred."},
    Rule{"role", "word", RoleRule{&S::role}, true,
         "What this daemon does: entry serves callers, control keeps a replica "
         "of the state."},
    Rule{"secret_file", "path", TextRule{&S::secret_file, Form::kPath}, true,
         "File with the fleet's secret in one line, the same on every daemon."},
    Rule{"address", "IP number", TextRule{&S::address, Form::kIpNumber}, false,
         "Where the other daemons connect to."},
    Rule{"peer_port", "port", PortRule{&S::peer_port}, false,
         "Port for the other daemons; 0 lets the system choose."},
    Rule{"http_address", "IP number",
         TextRule{&S::http_address, Form::kIpNumber}, false,
         "Where callers, endpoints, operators and the platform connect to."},
    Rule{"http_port", "port", PortRule{&S::http_port}, false,
         "Port of the HTTP interfaces; 0 lets the system choose."},
    Rule{"peers", "IP:port list", AddressesRule{&S::peers}, false,
         "Other daemons to keep connected to; the control daemons at least."},
    Rule{"listen", "IP:port", TextRule{&S::listen, Form::kAddress}, false,
         "Address of the HTTP interfaces, instead of http_address and "
         "http_port."},
    Rule{"health_listen", "IP:port",
         TextRule{&S::health_listen, Form::kAddress}, false,
         "A second address that answers health checks and metrics alone; "
         "empty: none."},
    Rule{"metrics_port", "port", PortRule{&S::metrics_port}, false,
         "A port of its own for the metrics, at `address`; 0: none."},
    Rule{"seeds", "IP:port list", AddressesRule{&S::seeds}, false,
         "Some control daemons through which the others are found; their "
         "peer port is this daemon's own."},
    Rule{"peer_silence", "time", TimeRule{&S::peer_silence, 100ms, 600s}, false,
         "Another daemon that was not heard for this long is cut off and "
         "dialled again."},
    Rule{"gateway", "yes or no", BoolRule{&S::gateway}, false,
         "Whether requests go by published routes, by host and path (true), "
         "or by the own interface under /v1 (false)."},
    Rule{"port_file", "path", TextRule{&S::port_file, Form::kPath}, false,
         "File to which the daemon writes its ports as JSON once it listens; "
         "empty: none."},
    Rule{"log_level", "word", TextRule{&S::log_level, Form::kLevel}, false,
         "Least level of the lines that are logged."},
    Rule{"data_folder", "path", TextRule{&S::data_folder, Form::kPath}, false,
         "Folder of the replica's files; control needs one, on a disk."},
    Rule{"first_members", "name list", NamesRule{&S::first_members}, false,
         "Hosts of the first control replicas, this one among them; read only "
         "while the data folder is fresh. Empty: join a group as a replica "
         "that an operator adds."},
    Rule{"operator_key_file", "path",
         TextRule{&S::operator_key_file, Form::kPath}, false,
         "File with the operators' keys, one NAME KEY a line. Control without "
         "it takes no operator."},
    Rule{"found_group", "yes or no", BoolRule{&S::found_group}, false,
         "Whether the seeds are the first members of a new group; read only "
         "while the data folder is fresh."},
    Rule{"self_healing", "yes or no", BoolRule{&S::self_healing}, false,
         "Whether the leader adds waiting replicas and replaces lost ones "
         "without an operator's plan."},
    Rule{"leader_heartbeat", "time", TimeRule{&S::leader_heartbeat, 5ms, 10s},
         false, "How often the leader of the log tells that it leads."},
    Rule{"election_timeout", "time", TimeRule{&S::election_timeout, 20ms, 60s},
         false,
         "Least silence of the leader after which another replica stands for "
         "election; above leader_heartbeat."},
    Rule{"serve_when_cut_off", "yes or no", BoolRule{&S::serve_when_cut_off},
         false,
         "Whether an entry without a leader goes on serving from what it "
         "holds (true) or refuses new requests (false)."},
    Rule{"shutdown_notice", "time", TimeRule{&S::shutdown_notice, 0s, 600s},
         false,
         "How long new requests still run after SIGTERM, while the balancer "
         "looks away."},
    Rule{"cut_off_after", "time", TimeRule{&S::cut_off_after, 500ms, 600s},
         false,
         "Without a confirmed leader's beat for this long, an entry counts as "
         "cut off."},
    Rule{"shutdown_limit", "time", TimeRule{&S::shutdown_limit, 100ms, 600s},
         false,
         "How long after SIGTERM open requests may still run; then the daemon "
         "exits."},
    Rule{"retry_ratio", "fraction", FractionRule{&S::retry_ratio, 0, 1}, false,
         "Repeats that the whole fleet may send to a service, as a part of "
         "its requests in a window."},
    Rule{"retry_window", "time", TimeRule{&S::retry_window, 100ms, 600s}, false,
         "The window of retry_ratio and retry_slack."},
    Rule{"retry_slack", "requests", CountRule{&S::retry_slack, 0, 1'000'000},
         false,
         "Repeats that the whole fleet may send to a service in a window "
         "besides those of retry_ratio."},
    Rule{"link_mbit", "megabits a second",
         FractionRule{&S::link_mbit, 0, 100'000}, false,
         "What the host's link carries; 0: not known. An entry whose link "
         "callers' requests fill answers the balancer \"not ready\" for a "
         "while."},
    Rule{"relay_port", "port", PortRule{&S::relay_port}, false,
         "Port, at `address`, where other entries connect that cannot reach an "
         "endpoint themselves; 0 lets the system choose."},
    Rule{"source_address", "IP number",
         TextRule{&S::source_address, Form::kIpNumber}, false,
         "Local address of connections to endpoints, on a host with several; "
         "empty: the system chooses."},
    Rule{"max_head_bytes", "bytes",
         CountRule{&S::max_head_bytes, 1024, 1 << 20}, false,
         "Largest head of a caller's request."},
    Rule{"max_response_bytes", "bytes",
         CountRule{&S::max_response_bytes, 1024, 1U << 30}, false,
         "Most of one endpoint's response that an entry under published "
         "routes holds until it can pass it on."},
    Rule{"max_held_response_bytes", "bytes",
         CountRule{&S::max_held_response_bytes, 1024, 1U << 30}, false,
         "Most of all such responses together."},
    Rule{"max_body_bytes", "bytes",
         CountRule{&S::max_body_bytes, 1024, 1U << 30}, false,
         "Largest body of a caller's request."},
    Rule{"max_connections", "connections",
         CountRule{&S::max_connections, 1, 1'000'000}, false,
         "Most open HTTP connections."},
    Rule{"memory_mb", "megabytes", CountRule{&S::memory_mb, 0, 1'000'000},
         false,
         "Memory that the process may use; 0, or more than the machine has: "
         "all of it. Callers' connections and requests yield before it is "
         "reached. The command line may replace it."},
    Rule{"receive_timeout", "time", TimeRule{&S::receive_timeout, 100ms, 600s},
         false,
         "Time for a head, once begun, for a body, and for idle connections; "
         "published `limits` replace the first and the last, with 1 s added."},
    Rule{"default_output_limit", "tokens",
         TokensRule{&S::default_output_limit, 1, kMaxTokens}, false,
         "Output limit of a request that names none."},
    Rule{"max_output_limit", "tokens",
         TokensRule{&S::max_output_limit, 1, kMaxTokens}, false,
         "Largest output limit a request may name."},
    Rule{"default_deadline", "time",
         TimeRule{&S::default_deadline, 100ms, 600s}, false,
         "Deadline of a request that names none."},
    Rule{"service_charge", "tokens",
         TokensRule{&S::service_charge, 0, kMaxTokens}, false,
         "What one call of a plain service costs."},
    Rule{"max_attempts", "attempts", CountRule{&S::max_attempts, 1, 10}, false,
         "Most attempts of one idempotent request."},
    Rule{"max_waiting_per_team", "requests",
         CountRule{&S::max_waiting_per_team, 1, 100'000}, false,
         "Most requests of one team that wait at this entry."},
};

std::string FormatFraction(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

// Stores the values of a YAML map in Settings.
class Reader {
 public:
  Reader(const YamlSource& source, const YamlMap& map, Settings* settings)
      : m_source(source), m_map(map), m_settings(*settings) {}

  void Read(const Rule& rule) {
    if (!rule.required && !m_map.Has(rule.name)) return;
    m_node = m_map.At(rule.name);
    m_what = std::string(rule.name);
    std::visit([this](const auto& check) { Take(check); }, rule.check);
  }

 private:
  void Take(const TextRule& rule) {
    m_settings.*rule.field = TextOf(rule.form);
  }
  void Take(const RoleRule& rule) {
    m_settings.*rule.field =
        static_cast<wire::HostRole>(m_source.Word(m_node, m_what, kRoles));
  }
  void Take(const AddressesRule& rule) {
    std::vector<std::string> addresses;
    for (const YAML::Node& item : m_source.Items(m_node, m_what))
      addresses.push_back(AddressOf(item));
    m_settings.*rule.field = std::move(addresses);
  }
  void Take(const NamesRule& rule) {
    m_settings.*rule.field = m_source.Names(m_node, m_what);
  }
  void Take(const BoolRule& rule) {
    m_settings.*rule.field = m_source.Bool(m_node, m_what);
  }
  void Take(const PortRule& rule) {
    m_settings.*rule.field = static_cast<uint16_t>(
        m_source.Number(m_node, m_what, 0, UINT16_MAX, false));
  }
  void Take(const CountRule& rule) {
    m_settings.*rule.field = static_cast<uint32_t>(
        m_source.Number(m_node, m_what, rule.min, rule.max, true));
  }
  void Take(const TokensRule& rule) {
    m_settings.*rule.field =
        m_source.Number(m_node, m_what, rule.min, rule.max, true);
  }
  void Take(const TimeRule& rule) {
    m_settings.*rule.field = m_source.Time(m_node, m_what, rule.min, rule.max);
  }

  void Take(const FractionRule& rule) {
    m_settings.*rule.field =
        m_source.Fraction(m_node, m_what, rule.min, rule.max);
  }

  std::string TextOf(Form form) const {
    if (form == Form::kAddress) return AddressOf(m_node);
    if (form == Form::kName) return m_source.Name(m_node, m_what);
    if (form == Form::kLevel)
      return std::string(kLevels.at(m_source.Word(m_node, m_what, kLevels)));
    std::string text = m_source.Text(m_node, m_what);
    if (form == Form::kIpNumber && !MakeAddress(text, 0))
      m_source.Refuse(m_node, m_what + " '" + text + "' is not an IP number",
                      "an IP number, like 10.0.0.7");
    return text;
  }

  std::string AddressOf(const YAML::Node& item) const {
    std::string text = m_source.Text(item, m_what);
    if (!ParseAddress(text)) {
      m_source.Refuse(item, m_what + " '" + text + "' is not an address",
                      "IP:port, like 10.0.0.7:7400");
    }
    return text;
  }

  const YamlSource& m_source;
  const YamlMap& m_map;
  Settings& m_settings;
  YAML::Node m_node;
  std::string m_what;
};

// Validates rules that involve more than one setting.
void CheckConsistency(const Settings& settings, const YamlSource& source,
                      const YAML::Node& root) {
  if (settings.role == wire::HostRole::Control && settings.data_folder.empty())
    source.Refuse(root, "control has no data_folder", "data_folder: PATH");
  const auto& members = settings.first_members;
  const bool member =
      std::find(members.begin(), members.end(), settings.host) != members.end();
  if (!members.empty() && !member) {
    source.Refuse(root["first_members"],
                  "first_members does not name this host",
                  "'" + settings.host + "' among them, or none");
  }
  if (settings.election_timeout <= settings.leader_heartbeat)
    source.Refuse(root, "election_timeout is not above leader_heartbeat",
                  "more than " + FormatTime(settings.leader_heartbeat));
  if (settings.default_output_limit > settings.max_output_limit)
    source.Refuse(root, "default_output_limit is above max_output_limit",
                  "at most " + std::to_string(settings.max_output_limit));
}

// The generated texts of a row of docs/SETTINGS.md.
struct RowTexts {
  std::string default_value;
  std::string bounds;
};

RowTexts TextsOf(const Rule& rule) {
  const Settings defaults;
  const auto number = [](int64_t value) { return std::to_string(value); };
  struct Describe {
    const Settings& defaults;
    const decltype(number)& text;
    RowTexts operator()(const TextRule& rule) const {
      constexpr std::array<std::string_view, 5> kBounds = {
          "letters, digits and ._:/@+-", "a path", "IPv4 number",
          "info, warning, error", "IP:port"};
      return {defaults.*rule.field,
              std::string(kBounds.at(static_cast<size_t>(rule.form)))};
    }
    RowTexts operator()(const RoleRule&) const {
      return {"", "entry, control"};
    }
    RowTexts operator()(const AddressesRule&) const {
      return {"[]", "IP:port"};
    }
    RowTexts operator()(const NamesRule&) const { return {"[]", "names"}; }
    RowTexts operator()(const BoolRule& rule) const {
      return {defaults.*rule.field ? "true" : "false", "true, false"};
    }
    RowTexts operator()(const PortRule& rule) const {
      return {text(defaults.*rule.field), "0 to 65535"};
    }
    RowTexts operator()(const CountRule& rule) const {
      return {text(defaults.*rule.field),
              text(rule.min) + " to " + text(rule.max)};
    }
    RowTexts operator()(const TokensRule& rule) const {
      return {text(defaults.*rule.field),
              text(rule.min) + " to " + text(rule.max)};
    }
    RowTexts operator()(const FractionRule& rule) const {
      return {FormatFraction(defaults.*rule.field),
              FormatFraction(rule.min) + " to " + FormatFraction(rule.max)};
    }
    RowTexts operator()(const TimeRule& rule) const {
      return {FormatTime(defaults.*rule.field),
              FormatTime(rule.min) + " to " + FormatTime(rule.max)};
    }
  };
  RowTexts texts = std::visit(Describe{defaults, number}, rule.check);
  if (rule.required) texts.default_value = "required";
  if (texts.default_value.empty()) texts.default_value = "empty";
  return texts;
}

std::string ReadFile(const std::string& path, const std::string& what) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file.is_open() || file.bad())
    throw Error(ErrorKind::kBadSettings,
                path + ":1: " + what + " cannot be read (expected a file)");
  return content.str();
}

[[noreturn]] void RefuseAtLine(const std::string& path, size_t line,
                               const std::string& what) {
  throw Error(ErrorKind::kBadSettings,
              path + ":" + std::to_string(line) + ": " + what);
}

}  // namespace

Settings ParseSettings(std::string_view yaml, const std::string& file) {
  const YamlSource source(file, ErrorKind::kBadSettings);
  std::vector<std::string_view> names;
  names.reserve(kRules.size());
  for (const Rule& rule : kRules) names.push_back(rule.name);
  const YAML::Node root = source.Parse(yaml);
  const YamlMap map(source, root, "the settings", names);
  Settings settings;
  Reader reader(source, map, &settings);
  for (const Rule& rule : kRules) reader.Read(rule);
  CheckConsistency(settings, source, root);
  return settings;
}

Settings ReadSettings(const std::string& path) {
  return ParseSettings(ReadFile(path, "the settings file"), path);
}

std::string ReadSecret(const std::string& path) {
  std::istringstream content(ReadFile(path, "the secret file"));
  std::string secret;
  std::string more;
  content >> secret;
  if (secret.size() < kMinSecretLength) {
    RefuseAtLine(path, 1,
                 "the secret is too short (expected one line of at least 16 "
                 "characters)");
  }
  if (content >> more)
    RefuseAtLine(path, 1, "more than one word (expected one line, one word)");
  return secret;
}

std::vector<OperatorKey> ReadOperatorKeys(const std::string& path) {
  std::istringstream content(ReadFile(path, "the operator key file"));
  std::vector<OperatorKey> keys;
  std::string line;
  for (size_t number = 1; std::getline(content, line); ++number) {
    std::istringstream words(line);
    OperatorKey key;
    std::string more;
    if (!(words >> key.name) || key.name[0] == '#') continue;
    if (!(words >> key.key) || words >> more)
      RefuseAtLine(path, number, "malformed key line (expected NAME KEY)");
    if (key.key.size() < kMinOperatorKeyLength)
      RefuseAtLine(path, number,
                   "the key is too short (expected at least 16 characters)");
    for (const OperatorKey& other : keys) {
      if (other.name == key.name || other.key == key.key)
        RefuseAtLine(path, number,
                     "duplicate name or key (expected each once)");
    }
    keys.push_back(std::move(key));
  }
  if (keys.empty())
    RefuseAtLine(path, 1, "there is no key (expected NAME KEY lines)");
  return keys;
}

std::span<const SettingRow> SettingTable() {
  // A deque, so that string views into its elements stay valid as it grows.
  static const auto* const all_texts = [] {
    auto* texts = new std::deque<RowTexts>;
    for (const Rule& rule : kRules) texts->push_back(TextsOf(rule));
    return texts;
  }();
  static const auto* const all_rows = [] {
    auto* rows = new std::vector<SettingRow>;
    for (size_t i = 0; i < kRules.size(); ++i) {
      const Rule& rule = kRules.at(i);
      const RowTexts& texts = all_texts->at(i);
      rows->push_back({rule.name, rule.unit, texts.default_value, texts.bounds,
                       rule.meaning});
    }
    return rows;
  }();
  return *all_rows;
}

}  // namespace dotterelshift::settings
