#ifndef DOTTERELSHIFT_STATE_CONFIGURATION_H_
#define DOTTERELSHIFT_STATE_CONFIGURATION_H_

#include <array>          // for array
#include <cstdint>        // for uint64_t
#include <functional>     // for function
#include <optional>       // for optional
#include <span>           // for span
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/ids.h"                 // for TeamId
#include "dotterelshift/state/compact_table.h"      // for CompactTable
#include "dotterelshift/wire/commands_generated.h"  // for ChangeT, TeamT

namespace dotterelshift::state {

// Keyed BLAKE2b hash of a bearer key. Only hashes are stored; they are compared
// in constant time.
using KeyHash = std::array<uint8_t, 32>;

// The hash of a bearer key under the fleet's secret.
KeyHash HashKey(std::string_view bearer_key, std::string_view fleet_secret);

// Whether a team may use a model or service. kUnknown: the configuration does
// not name it; kOutOfReach: none of the team's endpoint sets allows it.
enum class Reach { kAllowed, kUnknown, kOutOfReach };

// The accepted configuration: teams, keys, budgets, endpoint sets and
// placements. All daemons use this class. The version counts the accepted plans
// and never decreases. The amounts of budgets are not part of it (see state.h).
class Configuration {
 public:
  Configuration() = default;
  Configuration(Configuration&&) = default;
  Configuration& operator=(Configuration&&) = default;

  uint64_t Version() const { return m_version; }

  // Applies the changes of a plan and raises the version to `version`. Changes
  // that do not concern the configuration (top-ups, replicas) have no other
  // effect.
  void Apply(std::span<const wire::ChangeT> changes, uint64_t version);

  // The complete configuration, as changes to an empty one. Equal
  // configurations give equal lists.
  std::vector<wire::ChangeT> AsChanges() const;

  // Return null if not found. Pointers are valid until the next Apply().
  const wire::TeamT* FindTeam(const TeamId& id) const;
  const wire::TeamT* FindTeamByKey(const KeyHash& hash) const;
  const wire::ApiKeyT* FindKey(const std::string& id) const;
  const wire::BudgetT* FindBudget(const BudgetId& id) const;
  const wire::EndpointSetT* FindEndpointSet(const std::string& id) const;
  const wire::ModelPlacementT* FindPlacement(const ModelName& model) const;

  // The ids of a team's budgets in ascending order. The first one is charged
  // unless the caller names another.
  std::vector<BudgetId> BudgetsOf(const TeamId& team) const;

  // Whether the endpoint sets of the team allow the model (or plain service). A
  // set allows the models and services that it names, on the endpoints that it
  // names; a set that names no endpoint allows every endpoint.
  Reach ReachOfModel(const TeamId& team, const ModelName& model) const;
  Reach ReachOfService(const TeamId& team, const std::string& service) const;

  // Whether the team may use this endpoint for this model or service.
  bool MayUse(const TeamId& team, const EndpointId& endpoint,
              const std::string& model_or_service) const;

  const std::unordered_map<TeamId, wire::TeamT>& Teams() const {
    return m_teams;
  }
  const CompactTable<wire::BudgetT>& Budgets() const { return m_budgets; }
  const std::unordered_map<std::string, wire::EndpointSetT>& EndpointSets()
      const {
    return m_endpoint_sets;
  }
  const std::unordered_map<ModelName, wire::ModelPlacementT>& Placements()
      const {
    return m_placements;
  }

 private:
  using Slot = uint32_t;  // of a CompactTable
  struct KeyHasher {
    size_t operator()(const KeyHash& hash) const;
  };
  // Compares in constant time.
  struct KeyEqual {
    bool operator()(const KeyHash& a, const KeyHash& b) const;
  };
  using EndpointSetPredicate = std::function<bool(const wire::EndpointSetT&)>;
  // Whether one of the team's endpoint sets satisfies the predicate.
  bool AnyEndpointSetOf(const TeamId& team,
                        const EndpointSetPredicate& test) const;
  void ApplyOne(const wire::ChangeT& change);
  void UpsertKey(const wire::ApiKeyT& key);
  void RemoveKey(const std::string& id);
  void UpsertBudget(const wire::BudgetT& budget);
  void RemoveTeam(const TeamId& id);

  uint64_t m_version = 0;
  std::unordered_map<TeamId, wire::TeamT> m_teams;
  CompactTable<wire::ApiKeyT> m_keys;
  // Slots in m_keys by key hash.
  std::unordered_map<KeyHash, Slot, KeyHasher, KeyEqual> m_key_by_hash;
  CompactTable<wire::BudgetT> m_budgets;
  // Slots in m_budgets by team, each list sorted by budget id.
  std::unordered_map<TeamId, std::vector<Slot>> m_budgets_of_team;
  std::unordered_map<std::string, wire::EndpointSetT> m_endpoint_sets;
  std::unordered_map<ModelName, wire::ModelPlacementT> m_placements;
};

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_CONFIGURATION_H_
