#include "dotterelshift/plan/intent.h"

#include <array>  // for array
#include <map>    // for map
#include <set>    // for set

#include "dotterelshift/base/address.h"      // for ParseAddress
#include "dotterelshift/base/yaml_reader.h"  // for YamlMap

namespace dotterelshift::plan {
namespace {

using Fields = std::span<const std::string_view>;

constexpr std::array<std::string_view, 2> kPolicies = {"overspend_first",
                                                       "refusals_first"};
constexpr std::array<std::string_view, 3> kGrantModes = {
    "unwitnessed", "clock_lease", "witnessed"};

constexpr std::array<std::string_view, 9> kIntentFields = {
    "teams",      "keys",   "budgets",        "top_ups",     "endpoint_sets",
    "placements", "remove", "retire_holders", "add_replicas"};

// Default of a team's `partition`, the time for which an entry that is cut off
// from control should be able to keep serving the team. This value gave the
// fewest false refusals; see docs/decisions/grants.md.
constexpr uint32_t kDefaultPartitionSeconds = 15;

constexpr std::array<std::string_view, 7> kTeamFields = {
    "id",     "policy", "grant_way",    "partition",
    "weight", "class",  "endpoint_sets"};
constexpr std::array<std::string_view, 3> kKeyFields = {"id", "team", "key"};
constexpr std::array<std::string_view, 2> kBudgetFields = {"id", "team"};
constexpr std::array<std::string_view, 3> kTopUpFields = {"id", "budget",
                                                          "tokens"};
constexpr std::array<std::string_view, 4> kSetFields = {"id", "endpoints",
                                                        "models", "services"};
constexpr std::array<std::string_view, 5> kPlacementFields = {
    "model", "version", "adapters", "endpoints", "role"};
constexpr std::array<std::string_view, 5> kRemoveFields = {
    "teams", "keys", "endpoint_sets", "placements", "replicas"};
constexpr std::array<std::string_view, 2> kHolderFields = {"host",
                                                           "incarnation"};
constexpr std::array<std::string_view, 3> kReplicaFields = {"host", "address",
                                                            "replica"};

constexpr Duration kMaxPartition = 7 * 24 * 3600s;
constexpr int64_t kMaxWeight = 1000;
constexpr size_t kMinKeySize = 16;
constexpr size_t kMaxKeySize = 512;

// Reads an intent; each Read method handles one of its lists.
class IntentReader {
 public:
  IntentReader(const YamlSource& source, const KeyHasher& hash_key)
      : m_source(source), m_hash_key(hash_key) {}

  Intent Read(const YAML::Node& root) {
    const YamlMap map(m_source, root, "the intent", kIntentFields);
    ReadTeams(map);
    ReadKeys(map);
    ReadBudgets(map);
    ReadTopUps(map);
    ReadEndpointSets(map);
    ReadPlacements(map);
    ReadRemovals(map);
    ReadRetirements(map);
    ReadReplicas(map);
    return std::move(m_intent);
  }

 private:
  // Calls `read` for each item of the list `field`, as a map with the given
  // fields.
  template <typename Read>
  void ForEach(const YamlMap& map, std::string_view field, Fields fields,
               Read read) {
    if (!map.Has(field)) return;
    const std::string list(field);
    for (const YAML::Node& item : m_source.Items(map.At(field), list))
      read(YamlMap(m_source, item, "an item of " + list, fields));
  }

  std::string NameAt(const YamlMap& map, std::string_view field) const {
    return m_source.Name(map.At(field), map.Label(field));
  }
  std::string NameOr(const YamlMap& map, std::string_view field,
                     const std::string& fallback) const {
    return map.Has(field) ? NameAt(map, field) : fallback;
  }
  std::vector<std::string> NamesOr(const YamlMap& map,
                                   std::string_view field) const {
    if (!map.Has(field)) return {};
    return m_source.Names(map.At(field), map.Label(field));
  }

  // Reads the name of a new item. Names must be unique within their list.
  std::string UniqueNameAt(const YamlMap& map, std::string_view list,
                           std::string_view field) {
    std::string name = NameAt(map, field);
    if (!m_names[std::string(list)].insert(name).second) {
      m_source.Refuse(map.At(field),
                      std::string(list) + " name '" + name + "' twice",
                      "each name once");
    }
    return name;
  }

  void ReadTeams(const YamlMap& map) {
    ForEach(map, "teams", kTeamFields, [this](const YamlMap& item) {
      wire::TeamT team;
      team.id = UniqueNameAt(item, "teams", "id");
      if (item.Has("policy"))
        team.policy = static_cast<wire::TeamPolicy>(
            m_source.Word(item.At("policy"), item.Label("policy"), kPolicies));
      if (item.Has("grant_way"))
        team.grant_way = static_cast<wire::GrantWay>(m_source.Word(
            item.At("grant_way"), item.Label("grant_way"), kGrantModes));
      team.partition_seconds =
          item.Has("partition") ? Partition(item) : kDefaultPartitionSeconds;
      if (item.Has("weight"))
        team.weight = static_cast<uint32_t>(m_source.Number(
            item.At("weight"), item.Label("weight"), 1, kMaxWeight, false));
      team.request_class = NameOr(item, "class", "default");
      team.endpoint_sets = NamesOr(item, "endpoint_sets");
      m_intent.teams.push_back(std::move(team));
    });
  }

  uint32_t Partition(const YamlMap& item) const {
    const YAML::Node node = item.At("partition");
    const Duration time =
        m_source.Time(node, item.Label("partition"), 0s, kMaxPartition);
    if (time % 1s != 0s)
      m_source.Refuse(node, item.Label("partition") + " is not in seconds",
                      "whole seconds, like 60s");
    return static_cast<uint32_t>(time / 1s);
  }

  void ReadKeys(const YamlMap& map) {
    ForEach(map, "keys", kKeyFields, [this](const YamlMap& item) {
      wire::ApiKeyT key;
      key.id = UniqueNameAt(item, "keys", "id");
      key.team = NameAt(item, "team");
      const state::KeyHash hash = m_hash_key(BearerKey(item));
      key.hash.assign(hash.begin(), hash.end());
      if (!m_key_hashes.insert(key.hash).second)
        m_source.Refuse(item.At("key"), "the same key stands twice",
                        "a key of its own for each id");
      m_intent.keys.push_back(std::move(key));
    });
  }

  // Reads a bearer key. Error messages never contain the key.
  std::string BearerKey(const YamlMap& item) const {
    const YAML::Node node = item.At("key");
    std::string key = m_source.Text(node, item.Label("key"));
    bool good = key.size() >= kMinKeySize && key.size() <= kMaxKeySize;
    for (char c : key) good = good && c > ' ' && c <= '~';
    if (!good)
      m_source.Refuse(node, item.Label("key") + " is not a bearer key",
                      "16 to 512 visible ASCII characters without spaces");
    return key;
  }

  void ReadBudgets(const YamlMap& map) {
    ForEach(map, "budgets", kBudgetFields, [this](const YamlMap& item) {
      wire::BudgetT budget;
      budget.id = UniqueNameAt(item, "budgets", "id");
      budget.team = NameAt(item, "team");
      m_intent.budgets.push_back(std::move(budget));
    });
  }

  void ReadTopUps(const YamlMap& map) {
    ForEach(map, "top_ups", kTopUpFields, [this](const YamlMap& item) {
      wire::TopUpT top_up;
      top_up.id = UniqueNameAt(item, "top_ups", "id");
      top_up.budget = NameAt(item, "budget");
      top_up.tokens = m_source.Number(item.At("tokens"), item.Label("tokens"),
                                      1, kMaxTokens, true);
      m_intent.top_ups.push_back(std::move(top_up));
    });
  }

  void ReadEndpointSets(const YamlMap& map) {
    ForEach(map, "endpoint_sets", kSetFields, [this](const YamlMap& item) {
      wire::EndpointSetT set;
      set.id = UniqueNameAt(item, "endpoint_sets", "id");
      set.endpoints = NamesOr(item, "endpoints");
      set.models = NamesOr(item, "models");
      set.services = NamesOr(item, "services");
      m_intent.endpoint_sets.push_back(std::move(set));
    });
  }

  void ReadPlacements(const YamlMap& map) {
    ForEach(map, "placements", kPlacementFields, [this](const YamlMap& item) {
      wire::ModelPlacementT placement;
      placement.model = UniqueNameAt(item, "placements", "model");
      placement.version = NameOr(item, "version", "");
      placement.adapters = NamesOr(item, "adapters");
      placement.endpoints = NamesOr(item, "endpoints");
      placement.role = NameOr(item, "role", "");
      m_intent.placements.push_back(std::move(placement));
    });
  }

  void ReadRemovals(const YamlMap& map) {
    if (!map.Has("remove")) return;
    const YamlMap remove(m_source, map.At("remove"), "remove", kRemoveFields);
    Remove<wire::RemoveTeamT>(remove, "teams");
    Remove<wire::RemoveKeyT>(remove, "keys");
    Remove<wire::RemoveEndpointSetT>(remove, "endpoint_sets");
    for (const std::string& model : RemovedNames(remove, "placements")) {
      wire::RemovePlacementT body;
      body.model = model;
      AddChange(std::move(body));
    }
    if (!remove.Has("replicas")) return;
    for (const YAML::Node& item :
         m_source.Items(remove.At("replicas"), "remove's replicas")) {
      wire::RemoveReplicaT body;
      body.replica = PositiveNumber(item, "a replica to remove");
      AddChange(body);
    }
  }

  template <typename Body>
  void Remove(const YamlMap& remove, std::string_view field) {
    for (const std::string& id : RemovedNames(remove, field)) {
      Body body;
      body.id = id;
      AddChange(std::move(body));
    }
  }

  // Reads a list of names to remove. Rejects names that the same intent also
  // sets.
  std::vector<std::string> RemovedNames(const YamlMap& remove,
                                        std::string_view field) {
    std::vector<std::string> names = NamesOr(remove, field);
    for (const std::string& name : names) {
      if (m_names[std::string(field)].contains(name)) {
        m_source.Refuse(remove.At(field),
                        "'" + name + "' is both set and removed",
                        "one of the two");
      }
    }
    return names;
  }

  void ReadRetirements(const YamlMap& map) {
    std::set<std::pair<std::string, uint64_t>> seen;
    ForEach(map, "retire_holders", kHolderFields, [&](const YamlMap& item) {
      wire::RetireHolderT body;
      body.host = NameAt(item, "host");
      body.incarnation =
          PositiveNumber(item.At("incarnation"), item.Label("incarnation"));
      if (!seen.emplace(body.host, body.incarnation).second)
        m_source.Refuse(item.At("host"), "the same holder stands twice",
                        "each holder once");
      AddChange(std::move(body));
    });
  }

  void ReadReplicas(const YamlMap& map) {
    ForEach(map, "add_replicas", kReplicaFields, [this](const YamlMap& item) {
      wire::AddReplicaT replica;
      replica.host = UniqueNameAt(item, "add_replicas", "host");
      replica.address = NameAt(item, "address");
      if (!ParseAddress(replica.address)) {
        m_source.Refuse(item.At("address"),
                        item.Label("address") + " is not an address",
                        "IP:port, like 10.0.0.7:7400");
      }
      replica.replica =
          PositiveNumber(item.At("replica"), item.Label("replica"));
      m_intent.add_replicas.push_back(std::move(replica));
    });
  }

  uint64_t PositiveNumber(const YAML::Node& node,
                          const std::string& what) const {
    return m_source.Number(node, what, 1, INT64_MAX, false);
  }

  template <typename Body>
  void AddChange(Body body) {
    wire::ChangeT change;
    change.body.Set(std::move(body));
    m_intent.removals.push_back(std::move(change));
  }

  const YamlSource& m_source;
  const KeyHasher& m_hash_key;
  Intent m_intent;
  std::map<std::string, std::set<std::string>> m_names;
  std::set<std::vector<uint8_t>> m_key_hashes;
};

}  // namespace

Intent ParseIntent(std::string_view yaml, const std::string& file,
                   const KeyHasher& hash_key) {
  const YamlSource source(file, ErrorKind::kBadIntent);
  return IntentReader(source, hash_key).Read(source.Parse(yaml));
}

}  // namespace dotterelshift::plan
