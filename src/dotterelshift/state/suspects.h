#ifndef DOTTERELSHIFT_SRC_STATE_SUSPECTS_H_
#define DOTTERELSHIFT_SRC_STATE_SUSPECTS_H_

#include <cstdint>  // for uint64_t

#include "dotterelshift/state/tables.h"             // for Suspect
#include "dotterelshift/wire/commands_generated.h"  // for SuspectAnswerT

namespace dotterelshift::state {

// What entries are told about a suspected content or prompt segment.
wire::SuspectAnswerT SuspectAnswerOf(uint64_t hash, const Suspect& suspect,
                                     WallMs stamp);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_SRC_STATE_SUSPECTS_H_
