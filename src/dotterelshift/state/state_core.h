#ifndef DOTTERELSHIFT_STATE_STATE_CORE_H_
#define DOTTERELSHIFT_STATE_STATE_CORE_H_

#include <memory>  // for unique_ptr

#include "dotterelshift/state/state.h"   // for State
#include "dotterelshift/state/tables.h"  // for RecoverGrant

namespace dotterelshift::state {

// Creates a state with a given rule for the grants of dead incarnations.
// MakeState() uses RecoverDeadGrant<SafetyRules>; tests may pass an unsafe
// rule.
std::unique_ptr<State> MakeStateWith(const StateOptions& options,
                                     RecoverGrant recover);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_STATE_CORE_H_
