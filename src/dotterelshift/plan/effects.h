#ifndef DOTTERELSHIFT_PLAN_EFFECTS_H_
#define DOTTERELSHIFT_PLAN_EFFECTS_H_

#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::plan {

// Adds descriptions of the plan's changes to its effects and warnings.
void DescribeEffects(const state::State& state, wire::PlanT* plan);

}  // namespace dotterelshift::plan

#endif  // DOTTERELSHIFT_PLAN_EFFECTS_H_
