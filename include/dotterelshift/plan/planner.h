#ifndef DOTTERELSHIFT_PLAN_PLANNER_H_
#define DOTTERELSHIFT_PLAN_PLANNER_H_

#include <string>  // for string

#include "dotterelshift/plan/intent.h"              // for Intent
#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::plan {

// Computes the changes that an intent makes to the current state, without
// applying them. The plan contains only differences. Its effects describe which
// teams gain or lose access to models and services, which budgets grow, and
// which orders are sent in which sequence; its warnings point out effects that
// the operator may not intend. Throws Error(kBadIntent) for a reference to
// something that neither exists nor is created by the intent.
wire::PlanT MakePlan(const Intent& intent, const state::State& state,
                     const std::string& plan_id, const std::string& author);

}  // namespace dotterelshift::plan

#endif  // DOTTERELSHIFT_PLAN_PLANNER_H_
