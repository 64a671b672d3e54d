#ifndef DOTTERELSHIFT_SRC_APP_DEPARTURE_LOG_H_
#define DOTTERELSHIFT_SRC_APP_DEPARTURE_LOG_H_

#include <functional>     // for function
#include <memory>         // for unique_ptr
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/loop/loop.h"                // for Loop, Timer
#include "dotterelshift/storage/departure_store.h"  // for DepartureStore
#include "dotterelshift/wire/frames_generated.h"    // for EndpointRecordT

namespace dotterelshift::app {

// Keeps departures of endpoints on disk, so that a promise about one outlives
// the loss of all control daemons at once.
//
// Load pattern: half of the endpoints of a service leave within seconds, and
// each departure is confirmed by a majority of control. Those that arrive in
// one iteration of the loop share a sync.
class DepartureLog {
 public:
  // `folder` is the daemon's data folder.
  DepartureLog(loop::Loop& loop, const std::string& folder);
  DepartureLog(loop::Loop& loop, std::unique_ptr<storage::DepartureStore> store,
               const std::vector<storage::StoredDeparture>& kept);

  // The departures that were kept when the daemon started, with their age.
  std::vector<wire::EndpointRecordT> TakeRestored();

  // Calls back, in a later iteration of the loop, once the departures are
  // durable, or with the error because of which they are not.
  void Keep(const std::vector<wire::EndpointRecordT>& records,
            std::function<void(ErrorKind)> callback);

  // How many departures are not stored again if they are announced again.
  size_t Remembered() const { return m_durable.size(); }

 private:
  void Restore(const std::vector<storage::StoredDeparture>& kept);
  void Write();
  void Remember(const std::vector<uint64_t>& keys);
  ErrorKind Store(const std::vector<std::string>& records);

  loop::Loop& m_loop;
  std::unique_ptr<storage::DepartureStore> m_store;
  std::vector<wire::EndpointRecordT> m_restored;
  // When those that are durable were stored, by DepartureKey().
  std::unordered_map<uint64_t, WallMs> m_durable;
  std::vector<uint64_t> m_waiting_keys;
  std::vector<std::string> m_waiting;
  std::vector<std::function<void(ErrorKind)>> m_callbacks;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_DEPARTURE_LOG_H_
