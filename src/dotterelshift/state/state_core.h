#ifndef DOTTERELSHIFT_STATE_STATE_CORE_H_
#define DOTTERELSHIFT_STATE_STATE_CORE_H_

#include <memory>  // for unique_ptr

#include "dotterelshift/state/state.h"   // for State
#include "dotterelshift/state/tables.h"  // for RecoverGrant

namespace dotterelshift::state {

// The state under a given rule for dead runs' grants. MakeState() takes
// RecoverDead<SoundRules>; tests may take a broken one.
std::unique_ptr<State> MakeStateWith(const StateOptions& options,
                                     RecoverGrant recover);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_STATE_CORE_H_
