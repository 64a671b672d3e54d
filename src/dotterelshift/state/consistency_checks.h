#ifndef DOTTERELSHIFT_STATE_CONSISTENCY_CHECKS_H_
#define DOTTERELSHIFT_STATE_CONSISTENCY_CHECKS_H_

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/state/tables.h"  // for Tables

namespace dotterelshift::state {

// Cross-checks the accounts against their grants and against the daily reports.
// Returns one line for each disagreement.
std::vector<std::string> FindDisagreements(const Tables& tables);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_CONSISTENCY_CHECKS_H_
