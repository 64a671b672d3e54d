#include "dotterelshift/app/control_replica.h"

#include "dotterelshift/app/replica.h"  // for Replica

namespace dotterelshift::app {
namespace {

// Uses the daemon's event loop, log store and state.
struct LiveRuntime {
  using Loop = loop::Loop;
  using Timer = loop::Timer;
  static std::pair<std::unique_ptr<storage::LogStore>, storage::OpenedStore>
  OpenStore(Loop&, const storage::LogStoreOptions& options) {
    return storage::OpenLogStore(options);
  }
  static std::unique_ptr<state::State> MakeState(
      Loop&, const state::StateOptions& options) {
    return state::MakeState(options);
  }
};

}  // namespace

std::unique_ptr<ControlReplica> MakeControlReplica(
    loop::Loop& loop, const ControlReplicaOptions& options,
    ControlReplicaCallbacks callbacks) {
  return std::make_unique<Replica<LiveRuntime>>(loop, options,
                                                std::move(callbacks));
}

}  // namespace dotterelshift::app
