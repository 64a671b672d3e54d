#ifndef DOTTERELSHIFT_STATE_SNAPSHOT_H_
#define DOTTERELSHIFT_STATE_SNAPSHOT_H_

#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/state/tables.h"  // for Tables

namespace dotterelshift::state {

// Serializes the tables. Equal tables give equal bytes.
std::string WriteSnapshot(const Tables& tables);

// Reads the tables back. Throws Error(kStorageDamaged) if the bytes are not a
// complete snapshot of a known format.
Tables ReadSnapshot(std::string_view snapshot, const StateOptions& options);

}  // namespace dotterelshift::state

#endif  // DOTTERELSHIFT_STATE_SNAPSHOT_H_
