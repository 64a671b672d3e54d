#ifndef DOTTERELSHIFT_SRC_APP_COMMAND_ID_H_
#define DOTTERELSHIFT_SRC_APP_COMMAND_ID_H_

#include <cstdint>  // for uint64_t
#include <memory>   // for unique_ptr

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/wire/frames_generated.h"  // for CommandIdT

namespace dotterelshift::app {

// The id of a command that this run of a daemon proposes; `sequence` is unique
// within the run.
inline std::unique_ptr<wire::CommandIdT> MakeCommandId(const HostRun& run,
                                                       uint64_t sequence) {
  auto id = std::make_unique<wire::CommandIdT>();
  id->host = run.host;
  id->incarnation = run.incarnation;
  id->sequence = sequence;
  return id;
}

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_COMMAND_ID_H_
