#ifndef DOTTERELSHIFT_PLAN_EFFECTS_H_
#define DOTTERELSHIFT_PLAN_EFFECTS_H_

#include "dotterelshift/state/state.h"              // for State
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::plan {

// Fills in the effects and warnings of a plan's changes, in words.
void DescribeEffects(const state::State& state, wire::PlanT* plan);

}  // namespace dotterelshift::plan

#endif  // DOTTERELSHIFT_PLAN_EFFECTS_H_
