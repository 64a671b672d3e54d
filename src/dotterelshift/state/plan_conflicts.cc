#include "dotterelshift/state/plan_conflicts.h"

#include <algorithm>  // for min
#include <map>        // for map
#include <vector>     // for vector

namespace dotterelshift::state {
namespace {

// How a change accesses an object. Two plans may both read or both add to an
// object. They conflict if both write or remove it, and if one removes what the
// other accesses in any way.
enum Use : uint8_t { kRead = 1, kAdd = 2, kWrite = 4, kRemove = 8 };
using Uses = std::map<std::string, uint8_t>;

void UseBody(const wire::UpsertTeamT& body, Uses& uses) {
  uses["team " + body.team->id] |= kWrite;
  for (const std::string& set : body.team->endpoint_sets)
    uses["endpoint set " + set] |= kRead;
}
void UseBody(const wire::RemoveTeamT& body, Uses& uses) {
  uses["team " + body.id] |= kRemove;
}
void UseBody(const wire::UpsertKeyT& body, Uses& uses) {
  uses["key " + body.key->id] |= kWrite;
  uses["team " + body.key->team] |= kRead;
}
void UseBody(const wire::RemoveKeyT& body, Uses& uses) {
  uses["key " + body.id] |= kRemove;
}
void UseBody(const wire::UpsertBudgetT& body, Uses& uses) {
  uses["budget " + body.budget->id] |= kWrite;
  uses["team " + body.budget->team] |= kRead;
}
void UseBody(const wire::TopUpT& body, Uses& uses) {
  uses["budget " + body.budget] |= kAdd;
}
void UseBody(const wire::UpsertEndpointSetT& body, Uses& uses) {
  uses["endpoint set " + body.endpoint_set->id] |= kWrite;
}
void UseBody(const wire::RemoveEndpointSetT& body, Uses& uses) {
  uses["endpoint set " + body.id] |= kRemove;
}
void UseBody(const wire::UpsertPlacementT& body, Uses& uses) {
  uses["placement " + body.placement->model] |= kWrite;
}
void UseBody(const wire::RemovePlacementT& body, Uses& uses) {
  uses["placement " + body.model] |= kRemove;
}
void UseBody(const wire::RetireHolderT& body, Uses& uses) {
  uses["holder " + body.host] |= kWrite;
}
// All changes of replicas conflict: replicas are replaced one at a time.
void UseBody(const wire::AddReplicaT&, Uses& uses) {
  uses["replicas"] |= kWrite;
}
void UseBody(const wire::RemoveReplicaT&, Uses& uses) {
  uses["replicas"] |= kWrite;
}

void UseChange(const wire::ChangeBodyUnion& body, Uses& uses) {
  using wire::ChangeBody;
  switch (body.type) {
    case ChangeBody::UpsertTeam:
      return UseBody(*body.AsUpsertTeam(), uses);
    case ChangeBody::RemoveTeam:
      return UseBody(*body.AsRemoveTeam(), uses);
    case ChangeBody::UpsertKey:
      return UseBody(*body.AsUpsertKey(), uses);
    case ChangeBody::RemoveKey:
      return UseBody(*body.AsRemoveKey(), uses);
    case ChangeBody::UpsertBudget:
      return UseBody(*body.AsUpsertBudget(), uses);
    case ChangeBody::TopUp:
      return UseBody(*body.AsTopUp(), uses);
    case ChangeBody::UpsertEndpointSet:
      return UseBody(*body.AsUpsertEndpointSet(), uses);
    case ChangeBody::RemoveEndpointSet:
      return UseBody(*body.AsRemoveEndpointSet(), uses);
    case ChangeBody::UpsertPlacement:
      return UseBody(*body.AsUpsertPlacement(), uses);
    case ChangeBody::RemovePlacement:
      return UseBody(*body.AsRemovePlacement(), uses);
    case ChangeBody::RetireHolder:
      return UseBody(*body.AsRetireHolder(), uses);
    case ChangeBody::AddReplica:
      return UseBody(*body.AsAddReplica(), uses);
    case ChangeBody::RemoveReplica:
      return UseBody(*body.AsRemoveReplica(), uses);
    case ChangeBody::NONE:
      return;
  }
}

Uses UsesOf(const wire::PlanT& plan) {
  Uses uses;
  for (const auto& change : plan.changes) UseChange(change->body, uses);
  return uses;
}

bool Clash(uint8_t one, uint8_t other) {
  const auto changes = [](uint8_t use) {
    return (use & (kWrite | kRemove)) != 0;
  };
  if (changes(one) && changes(other)) return true;
  return ((one & kRemove) != 0 && other != 0) ||
         ((other & kRemove) != 0 && one != 0);
}

std::string ClashesOf(const Uses& mine, const wire::PlanT& other) {
  std::string objects;
  for (const auto& [object, use] : UsesOf(other)) {
    const auto found = mine.find(object);
    if (found == mine.end() || !Clash(found->second, use)) continue;
    if (!objects.empty()) objects += ", ";
    objects += object;
  }
  return objects;
}

}  // namespace

std::optional<PlanObstacle> FindObstacle(const Tables& tables,
                                         const wire::PlanT& plan) {
  const Uses mine = UsesOf(plan);
  PlanObstacle obstacle;
  const uint64_t newest = tables.configuration.Version();
  if (plan.base_version > newest)
    return PlanObstacle{ErrorKind::kPlanStale, "its base is not known here"};
  for (uint64_t version = plan.base_version + 1; version <= newest; ++version) {
    const auto id = tables.plan_by_version.find(version);
    const StoredPlan* other = id == tables.plan_by_version.end()
                                  ? nullptr
                                  : &tables.plans.at(id->second);
    if (other == nullptr || !other->has_body)
      return PlanObstacle{ErrorKind::kPlanStale,
                          "its base is too old to compare; plan again"};
    const std::string objects = ClashesOf(mine, other->plan);
    if (objects.empty()) continue;
    const bool equal_base = other->plan.base_version == plan.base_version;
    const bool first = obstacle.kind == ErrorKind::kNone;
    if (first)
      obstacle.kind =
          equal_base ? ErrorKind::kPlanConflict : ErrorKind::kPlanStale;
    obstacle.detail += (first ? "" : "; ") + objects + " changed by " +
                       other->plan.author + " (plan " + other->plan.id +
                       ", version " + std::to_string(version) + ")";
  }
  if (obstacle.kind == ErrorKind::kNone) return std::nullopt;
  return obstacle;
}

}  // namespace dotterelshift::state
