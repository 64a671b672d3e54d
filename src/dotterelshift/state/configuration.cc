#include "dotterelshift/state/configuration.h"

#include <sodium.h>  // for crypto_generichash

#include <algorithm>  // for find, sort
#include <cstring>    // for memcpy
#include <memory>     // for unique_ptr
#include <utility>    // for move

namespace dotterelshift::state {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

bool Includes(const wire::EndpointSetT& set, const std::string& name) {
  return Contains(set.models, name) || Contains(set.services, name);
}

template <typename Map>
const typename Map::mapped_type* Find(const Map& map, const std::string& id) {
  const auto found = map.find(id);
  return found == map.end() ? nullptr : &found->second;
}

// The sorted keys of a map, so that equal content is serialized to equal bytes.
template <typename Map>
std::vector<const std::string*> SortedKeys(const Map& map) {
  std::vector<const std::string*> keys;
  keys.reserve(map.size());
  for (const auto& [key, value] : map) keys.push_back(&key);
  std::sort(keys.begin(), keys.end(),
            [](const auto* a, const auto* b) { return *a < *b; });
  return keys;
}

// Wraps an object of the configuration in the change that creates it.
template <typename Body, typename Part>
wire::ChangeT ChangeOf(const Part& part, std::unique_ptr<Part> Body::*member) {
  Body body;
  body.*member = std::make_unique<Part>(part);
  wire::ChangeT change;
  change.body.Set(std::move(body));
  return change;
}

// Whether any endpoint set has the name in the given list.
template <typename Sets>
bool AnySetIncludes(const Sets& sets,
                    std::vector<std::string> wire::EndpointSetT::*list,
                    const std::string& name) {
  return std::any_of(sets.begin(), sets.end(), [&](const auto& entry) {
    return Contains(entry.second.*list, name);
  });
}

}  // namespace

KeyHash HashKey(std::string_view bearer_key, std::string_view fleet_secret) {
  // The secret may have any length, but keys of libsodium may not, so the
  // secret is hashed to a key first.
  std::array<uint8_t, crypto_generichash_KEYBYTES> key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const uint8_t*>(fleet_secret.data()),
                     fleet_secret.size(), nullptr, 0);
  KeyHash hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const uint8_t*>(bearer_key.data()),
                     bearer_key.size(), key.data(), key.size());
  return hash;
}

size_t Configuration::KeyHasher::operator()(const KeyHash& hash) const {
  size_t value = 0;
  std::memcpy(&value, hash.data(), sizeof(value));
  return value;
}

bool Configuration::KeyEqual::operator()(const KeyHash& a,
                                         const KeyHash& b) const {
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

void Configuration::Apply(std::span<const wire::ChangeT> changes,
                          uint64_t version) {
  for (const wire::ChangeT& change : changes) ApplyOne(change);
  m_version = std::max(m_version, version);
}

void Configuration::ApplyOne(const wire::ChangeT& change) {
  switch (change.body.type) {
    case wire::ChangeBody::UpsertTeam: {
      const wire::TeamT& team = *change.body.AsUpsertTeam()->team;
      m_teams[team.id] = team;
      break;
    }
    case wire::ChangeBody::RemoveTeam:
      RemoveTeam(change.body.AsRemoveTeam()->id);
      break;
    case wire::ChangeBody::UpsertKey:
      UpsertKey(*change.body.AsUpsertKey()->key);
      break;
    case wire::ChangeBody::RemoveKey:
      RemoveKey(change.body.AsRemoveKey()->id);
      break;
    case wire::ChangeBody::UpsertBudget:
      UpsertBudget(*change.body.AsUpsertBudget()->budget);
      break;
    case wire::ChangeBody::UpsertEndpointSet: {
      const auto& set = *change.body.AsUpsertEndpointSet()->endpoint_set;
      m_endpoint_sets[set.id] = set;
      break;
    }
    case wire::ChangeBody::RemoveEndpointSet:
      m_endpoint_sets.erase(change.body.AsRemoveEndpointSet()->id);
      break;
    case wire::ChangeBody::UpsertPlacement: {
      const auto& placement = *change.body.AsUpsertPlacement()->placement;
      m_placements[placement.model] = placement;
      break;
    }
    case wire::ChangeBody::RemovePlacement:
      m_placements.erase(change.body.AsRemovePlacement()->model);
      break;
    default:
      break;  // amounts, holders and replicas are not stored here
  }
}

void Configuration::UpsertKey(const wire::ApiKeyT& key) {
  RemoveKey(key.id);
  KeyHash hash{};
  if (key.hash.size() != hash.size() || key.id.empty()) return;
  std::copy(key.hash.begin(), key.hash.end(), hash.begin());
  const Slot slot = m_keys.FindOrAdd(key.id).first;
  m_keys.At(slot) = key;
  m_key_by_hash[hash] = slot;
}

void Configuration::RemoveKey(const std::string& id) {
  const wire::ApiKeyT* key = m_keys.Find(id);
  if (key == nullptr) return;
  KeyHash hash{};
  std::copy(key->hash.begin(), key->hash.end(), hash.begin());
  const auto by_hash = m_key_by_hash.find(hash);
  // The bearer key may since have been stored under a second id.
  const bool own =
      by_hash != m_key_by_hash.end() && &m_keys.At(by_hash->second) == key;
  if (own) m_key_by_hash.erase(by_hash);
  m_keys.Erase(id);
}

void Configuration::UpsertBudget(const wire::BudgetT& budget) {
  if (budget.id.empty()) return;
  const auto [slot, fresh] = m_budgets.FindOrAdd(budget.id);
  wire::BudgetT& row = m_budgets.At(slot);
  if (!fresh) {
    if (row.team == budget.team) return;
    std::erase(m_budgets_of_team[row.team], slot);
  }
  row = budget;
  std::vector<Slot>& budgets = m_budgets_of_team[budget.team];
  const auto at = std::lower_bound(budgets.begin(), budgets.end(), budget.id,
                                   [this](Slot position, const BudgetId& id) {
                                     return m_budgets.At(position).id < id;
                                   });
  budgets.insert(at, slot);
}

// Also removes the keys and budgets of the team. The budgets' accounts stay in
// the state for the reports.
void Configuration::RemoveTeam(const TeamId& id) {
  m_teams.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key_id, key] : m_keys)
    if (key.team == id) keys.push_back(key_id);
  for (const std::string& key : keys) RemoveKey(key);
  const auto budgets = m_budgets_of_team.find(id);
  if (budgets == m_budgets_of_team.end()) return;
  for (const BudgetId& budget : BudgetsOf(id)) m_budgets.Erase(budget);
  m_budgets_of_team.erase(budgets);
}

std::vector<wire::ChangeT> Configuration::AsChanges() const {
  std::vector<wire::ChangeT> changes;
  for (const auto* id : SortedKeys(m_endpoint_sets))
    changes.push_back(ChangeOf(m_endpoint_sets.at(*id),
                               &wire::UpsertEndpointSetT::endpoint_set));
  for (const auto* id : SortedKeys(m_teams))
    changes.push_back(ChangeOf(m_teams.at(*id), &wire::UpsertTeamT::team));
  for (const auto* id : SortedKeys(m_keys))
    changes.push_back(ChangeOf(*m_keys.Find(*id), &wire::UpsertKeyT::key));
  for (const auto* id : SortedKeys(m_budgets))
    changes.push_back(
        ChangeOf(*m_budgets.Find(*id), &wire::UpsertBudgetT::budget));
  for (const auto* id : SortedKeys(m_placements))
    changes.push_back(
        ChangeOf(m_placements.at(*id), &wire::UpsertPlacementT::placement));
  return changes;
}

const wire::TeamT* Configuration::FindTeam(const TeamId& id) const {
  return Find(m_teams, id);
}

const wire::TeamT* Configuration::FindTeamByKey(const KeyHash& hash) const {
  const auto found = m_key_by_hash.find(hash);
  if (found == m_key_by_hash.end()) return nullptr;
  return FindTeam(m_keys.At(found->second).team);
}

const wire::ApiKeyT* Configuration::FindKey(const std::string& id) const {
  return m_keys.Find(id);
}

const wire::BudgetT* Configuration::FindBudget(const BudgetId& id) const {
  return m_budgets.Find(id);
}

const wire::EndpointSetT* Configuration::FindEndpointSet(
    const std::string& id) const {
  return Find(m_endpoint_sets, id);
}

const wire::ModelPlacementT* Configuration::FindPlacement(
    const ModelName& model) const {
  return Find(m_placements, model);
}

std::vector<BudgetId> Configuration::BudgetsOf(const TeamId& team) const {
  std::vector<BudgetId> ids;
  const auto* budgets = Find(m_budgets_of_team, team);
  if (budgets == nullptr) return ids;
  ids.reserve(budgets->size());
  for (const Slot slot : *budgets) ids.push_back(m_budgets.At(slot).id);
  return ids;
}

bool Configuration::AnyEndpointSetOf(const TeamId& team,
                                     const EndpointSetPredicate& test) const {
  const wire::TeamT* found = FindTeam(team);
  if (found == nullptr) return false;
  return std::any_of(found->endpoint_sets.begin(), found->endpoint_sets.end(),
                     [&](const std::string& id) {
                       const wire::EndpointSetT* set = FindEndpointSet(id);
                       return set != nullptr && test(*set);
                     });
}

Reach Configuration::ReachOfModel(const TeamId& team,
                                  const ModelName& model) const {
  const bool allowed =
      AnyEndpointSetOf(team, [&](const wire::EndpointSetT& set) {
        return Contains(set.models, model);
      });
  if (allowed) return Reach::kAllowed;
  const bool known =
      FindPlacement(model) != nullptr ||
      AnySetIncludes(m_endpoint_sets, &wire::EndpointSetT::models, model);
  return known ? Reach::kOutOfReach : Reach::kUnknown;
}

Reach Configuration::ReachOfService(const TeamId& team,
                                    const std::string& service) const {
  const bool allowed =
      AnyEndpointSetOf(team, [&](const wire::EndpointSetT& set) {
        return Contains(set.services, service);
      });
  if (allowed) return Reach::kAllowed;
  return AnySetIncludes(m_endpoint_sets, &wire::EndpointSetT::services, service)
             ? Reach::kOutOfReach
             : Reach::kUnknown;
}

bool Configuration::MayUse(const TeamId& team, const EndpointId& endpoint,
                           const std::string& model_or_service) const {
  return AnyEndpointSetOf(team, [&](const wire::EndpointSetT& set) {
    if (!Includes(set, model_or_service)) return false;
    return set.endpoints.empty() || Contains(set.endpoints, endpoint);
  });
}

}  // namespace dotterelshift::state
