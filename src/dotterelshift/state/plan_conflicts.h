#ifndef DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_
#define DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_

#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/state/tables.h"             // for Tables
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::state {

// Why a plan may not be confirmed any more.
struct PlanObstacle {
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;  // who changed what since
};

// Compares a plan with what was confirmed after its base: kPlanConflict when a
// plan of the same base touched the same objects, kPlanStale when a later one
// did or when the changes since are no longer kept.
std::optional<PlanObstacle> FindObstacle(const Tables& tables,
                                         const wire::PlanT& plan);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_
