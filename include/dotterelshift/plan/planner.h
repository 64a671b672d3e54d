#ifndef DOTTERELSHIFT_PLAN_PLANNER_H_
#define DOTTERELSHIFT_PLAN_PLANNER_H_

#include <string>  // for string

#include "dotterelshift/plan/intent.h"              // for Intent
#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::plan {

// Works out what an intent changes: only differences become changes; the
// effects say in words who gains or loses reach, which budgets grow, which
// orders go out in which sequence; the warnings what an operator may regret.
// Nothing is changed by it. Throws Error(kBadIntent) for a reference to
// something that neither exists nor is made by the intent.
wire::PlanT MakePlan(const Intent& intent, const state::State& state,
                     const std::string& plan_id, const std::string& author);

}  // namespace dotterelshift::plan

#endif  // DOTTERELSHIFT_PLAN_PLANNER_H_
