#ifndef DOTTERELSHIFT_STATE_SNAPSHOT_H_
#define DOTTERELSHIFT_STATE_SNAPSHOT_H_

#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/state/tables.h"  // for Tables

namespace dotterelshift::state {

// The tables as bytes: equal tables give equal bytes.
std::string WriteSnapshot(const Tables& tables);

// The tables again. Throws Error(kStorageDamaged) on bytes that are not a whole
// snapshot of a known format.
Tables ReadSnapshot(std::string_view snapshot, const StateOptions& options);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_SNAPSHOT_H_
