#ifndef DOTTERELSHIFT_PLAN_INTENT_H_
#define DOTTERELSHIFT_PLAN_INTENT_H_

#include <functional>   // for function
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/state/configuration.h"      // for KeyHash
#include "dotterelshift/wire/commands_generated.h"  // for TeamT, ChangeT

namespace dotterelshift::plan {

// The desired configuration that an operator submits. Only the items that an
// intent names are changed; items to remove are listed under `remove`.
struct Intent {
  std::vector<wire::TeamT> teams;
  std::vector<wire::ApiKeyT> keys;  // hashed while parsing
  std::vector<wire::BudgetT> budgets;
  std::vector<wire::TopUpT> top_ups;
  std::vector<wire::EndpointSetT> endpoint_sets;
  std::vector<wire::ModelPlacementT> placements;
  // Changes of type Remove..., RetireHolder and RemoveReplica.
  std::vector<wire::ChangeT> removals;
  std::vector<wire::AddReplicaT> add_replicas;
};

using KeyHasher = std::function<state::KeyHash(std::string_view bearer_key)>;

// Parses an intent from YAML. Throws Error(kBadIntent) for unknown fields,
// wrong units, negative amounts, overflow and duplicate names. The error text
// is "FILE:LINE: what is wrong (expected form)"; `file` is only used for that
// text.
Intent ParseIntent(std::string_view yaml, const std::string& file,
                   const KeyHasher& hash_key);

}  // namespace dotterelshift::plan

#endif  // DOTTERELSHIFT_PLAN_INTENT_H_
