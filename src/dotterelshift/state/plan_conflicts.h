#ifndef DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_
#define DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_

#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/state/tables.h"             // for Tables
#include "dotterelshift/wire/commands_generated.h"  // for PlanT

namespace dotterelshift::state {

// Why a plan can no longer be confirmed.
struct PlanRejection {
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;  // who changed which objects since
};

// Checks a plan against the plans confirmed since its base version. Returns
// kPlanConflict if a plan with the same base changed the same objects, and
// kPlanStale if one with another base did, or if the changes since the base are
// no longer kept. Empty if the plan may be confirmed.
std::optional<PlanRejection> FindPlanRejection(const Tables& tables,
                                               const wire::PlanT& plan);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_PLAN_CONFLICTS_H_
