#ifndef DOTTERELSHIFT_STATE_PLAN_ORDERS_H_
#define DOTTERELSHIFT_STATE_PLAN_ORDERS_H_

#include "dotterelshift/state/tables.h"             // for Context
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::state {

// The orders that take endpoints from one placement of a model to another;
// either may be null. AddOrders() sets the fencing number and the id.
std::vector<wire::OrderT> OrdersBetween(const wire::ModelPlacementT* before,
                                        const wire::ModelPlacementT* after);

// Adds the orders of a plan that is about to be confirmed.
void AddOrders(Context& context, const wire::PlanT& plan);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_PLAN_ORDERS_H_
