#include "dotterelshift/state/plan_conflicts.h"

#include <algorithm>  // for min
#include <map>        // for map
#include <vector>     // for vector

namespace dotterelshift::state {
namespace {

// How a change accesses an object. Two plans may both read or both add to an
// object. They conflict if both write or remove it, and if one removes what the
// other accesses in any way.
enum Access : uint8_t { kRead = 1, kAdd = 2, kWrite = 4, kRemove = 8 };
using AccessMap = std::map<std::string, uint8_t>;

void AddBodyAccess(const wire::UpsertTeamT& body, AccessMap& accesses) {
  accesses["team " + body.team->id] |= kWrite;
  for (const std::string& set : body.team->endpoint_sets)
    accesses["endpoint set " + set] |= kRead;
}
void AddBodyAccess(const wire::RemoveTeamT& body, AccessMap& accesses) {
  accesses["team " + body.id] |= kRemove;
}
void AddBodyAccess(const wire::UpsertKeyT& body, AccessMap& accesses) {
  accesses["key " + body.key->id] |= kWrite;
  accesses["team " + body.key->team] |= kRead;
}
void AddBodyAccess(const wire::RemoveKeyT& body, AccessMap& accesses) {
  accesses["key " + body.id] |= kRemove;
}
void AddBodyAccess(const wire::UpsertBudgetT& body, AccessMap& accesses) {
  accesses["budget " + body.budget->id] |= kWrite;
  accesses["team " + body.budget->team] |= kRead;
}
void AddBodyAccess(const wire::TopUpT& body, AccessMap& accesses) {
  accesses["budget " + body.budget] |= kAdd;
}
void AddBodyAccess(const wire::UpsertEndpointSetT& body, AccessMap& accesses) {
  accesses["endpoint set " + body.endpoint_set->id] |= kWrite;
}
void AddBodyAccess(const wire::RemoveEndpointSetT& body, AccessMap& accesses) {
  accesses["endpoint set " + body.id] |= kRemove;
}
void AddBodyAccess(const wire::UpsertPlacementT& body, AccessMap& accesses) {
  accesses["placement " + body.placement->model] |= kWrite;
}
void AddBodyAccess(const wire::RemovePlacementT& body, AccessMap& accesses) {
  accesses["placement " + body.model] |= kRemove;
}
void AddBodyAccess(const wire::RetireHolderT& body, AccessMap& accesses) {
  accesses["holder " + body.host] |= kWrite;
}
// All changes of replicas conflict: replicas are replaced one at a time.
void AddBodyAccess(const wire::AddReplicaT&, AccessMap& accesses) {
  accesses["replicas"] |= kWrite;
}
void AddBodyAccess(const wire::RemoveReplicaT&, AccessMap& accesses) {
  accesses["replicas"] |= kWrite;
}

void AddChangeAccess(const wire::ChangeBodyUnion& body, AccessMap& accesses) {
  using wire::ChangeBody;
  switch (body.type) {
    case ChangeBody::UpsertTeam:
      return AddBodyAccess(*body.AsUpsertTeam(), accesses);
    case ChangeBody::RemoveTeam:
      return AddBodyAccess(*body.AsRemoveTeam(), accesses);
    case ChangeBody::UpsertKey:
      return AddBodyAccess(*body.AsUpsertKey(), accesses);
    case ChangeBody::RemoveKey:
      return AddBodyAccess(*body.AsRemoveKey(), accesses);
    case ChangeBody::UpsertBudget:
      return AddBodyAccess(*body.AsUpsertBudget(), accesses);
    case ChangeBody::TopUp:
      return AddBodyAccess(*body.AsTopUp(), accesses);
    case ChangeBody::UpsertEndpointSet:
      return AddBodyAccess(*body.AsUpsertEndpointSet(), accesses);
    case ChangeBody::RemoveEndpointSet:
      return AddBodyAccess(*body.AsRemoveEndpointSet(), accesses);
    case ChangeBody::UpsertPlacement:
      return AddBodyAccess(*body.AsUpsertPlacement(), accesses);
    case ChangeBody::RemovePlacement:
      return AddBodyAccess(*body.AsRemovePlacement(), accesses);
    case ChangeBody::RetireHolder:
      return AddBodyAccess(*body.AsRetireHolder(), accesses);
    case ChangeBody::AddReplica:
      return AddBodyAccess(*body.AsAddReplica(), accesses);
    case ChangeBody::RemoveReplica:
      return AddBodyAccess(*body.AsRemoveReplica(), accesses);
    case ChangeBody::NONE:
      return;
  }
}

AccessMap AccessesOf(const wire::PlanT& plan) {
  AccessMap accesses;
  for (const auto& change : plan.changes)
    AddChangeAccess(change->body, accesses);
  return accesses;
}

bool Conflicts(uint8_t one, uint8_t other) {
  const auto changes = [](uint8_t access) {
    return (access & (kWrite | kRemove)) != 0;
  };
  if (changes(one) && changes(other)) return true;
  return ((one & kRemove) != 0 && other != 0) ||
         ((other & kRemove) != 0 && one != 0);
}

std::string ConflictingObjects(const AccessMap& mine,
                               const wire::PlanT& other) {
  std::string objects;
  for (const auto& [object, access] : AccessesOf(other)) {
    const auto found = mine.find(object);
    if (found == mine.end() || !Conflicts(found->second, access)) continue;
    if (!objects.empty()) objects += ", ";
    objects += object;
  }
  return objects;
}

}  // namespace

std::optional<PlanRejection> FindPlanRejection(const Tables& tables,
                                               const wire::PlanT& plan) {
  const AccessMap mine = AccessesOf(plan);
  PlanRejection rejection;
  const uint64_t newest = tables.configuration.Version();
  if (plan.base_version > newest)
    return PlanRejection{ErrorKind::kPlanStale, "its base is not known here"};
  for (uint64_t version = plan.base_version + 1; version <= newest; ++version) {
    const auto id = tables.plan_by_version.find(version);
    const StoredPlan* other = id == tables.plan_by_version.end()
                                  ? nullptr
                                  : &tables.plans.at(id->second);
    if (other == nullptr || !other->has_body)
      return PlanRejection{ErrorKind::kPlanStale,
                           "its base is too old to compare; plan again"};
    const std::string objects = ConflictingObjects(mine, other->plan);
    if (objects.empty()) continue;
    const bool equal_base = other->plan.base_version == plan.base_version;
    const bool first = rejection.kind == ErrorKind::kNone;
    if (first)
      rejection.kind =
          equal_base ? ErrorKind::kPlanConflict : ErrorKind::kPlanStale;
    rejection.detail += (first ? "" : "; ") + objects + " changed by " +
                        other->plan.author + " (plan " + other->plan.id +
                        ", version " + std::to_string(version) + ")";
  }
  if (rejection.kind == ErrorKind::kNone) return std::nullopt;
  return rejection;
}

}  // namespace dotterelshift::state
