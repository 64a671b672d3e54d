#ifndef DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_
#define DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_

#include <functional>  // for function
#include <vector>      // for vector

#include "dotterelshift/app/departure_log.h"     // for DepartureLog
#include "dotterelshift/base/error.h"            // for ErrorKind
#include "dotterelshift/directory/departures.h"  // for Departures
#include "dotterelshift/directory/directory.h"   // for Directory
#include "dotterelshift/directory/spread.h"      // for Spread
#include "dotterelshift/http/server.h"           // for Exchange
#include "dotterelshift/loop/loop.h"             // for Timer
#include "dotterelshift/peers/hub.h"             // for Hub

namespace dotterelshift::app {

// Synchronizes this daemon's endpoint directory with those of the other daemons
// and accepts announcements from endpoints.
class DirectoryExchange {
 public:
  struct Callbacks {
    // Called when the offers of endpoints or the set of usable endpoints
    // change.
    std::function<void()> on_offer_changed;
    std::function<void(const std::vector<wire::CacheEventT>&)> on_cache_events;
  };
  DirectoryExchange(loop::Loop& loop, const HostId& self, Callbacks callbacks);
  DirectoryExchange(loop::Loop& loop, const directory::SpreadOptions& spread,
                    const directory::DirectoryOptions& directory,
                    Callbacks callbacks);

  // Set after construction: the hub's callbacks refer to this object, so that
  // the hub is created later.
  void SetHub(peers::Hub* hub) { m_hub = hub; }
  // From now on departures are kept in this log before they are confirmed or
  // acknowledged. Those that it has restored are taken over. It must outlive
  // this object.
  void SetDepartureLog(DepartureLog* log);

  // Handles POST /endpoint/v1/announce.
  void OnAnnounce(http::Exchange& exchange);
  // Takes an endpoint's announcement that an adapter has parsed. Calls back
  // when it may be acknowledged: at once, but a departure only when `holders`
  // other daemons hold it. Calls back with kNoQuorum if it must not be
  // acknowledged.
  void OnAnnounced(const wire::EndpointRecordT& record, size_t holders,
                   std::function<void(ErrorKind)> callback);
  // Another endpoint answered at its address, as this daemon (`from` empty) or
  // another one has seen. Returns false if that is not new.
  bool OnReplaced(const EndpointId& endpoint, const HostId& from);
  void OnPeerUp(const peers::PeerInfo& peer);
  void OnPeerDown(const peers::PeerInfo& peer);
  // Returns true if the frame belongs to the directory protocol.
  bool OnFrame(const peers::PeerInfo& from, const wire::FrameT& frame);

  // Whether all records of another daemon were received, see directory::Spread.
  bool IsSynced() const { return m_spread.IsSynced(); }

  directory::Directory& GetDirectory() { return m_directory; }
  const directory::Directory& GetDirectory() const { return m_directory; }

 private:
  // Calls back once the departures are kept here; at once without a log.
  void Keep(const std::vector<wire::EndpointRecordT>& departures,
            std::function<void(ErrorKind)> callback);
  void Confirm(const wire::DirectoryDeltaT& delta);
  void AwaitHolders(const wire::EndpointRecordT& record, size_t holders,
                    std::function<void(ErrorKind)> callback);
  void LogDepartures();
  void LogContradictions();
  void Send(std::vector<directory::Outgoing> all);
  void OnTimer();

  loop::Loop& m_loop;
  Callbacks m_callbacks;
  peers::Hub* m_hub = nullptr;
  directory::Directory m_directory;
  directory::Spread m_spread;
  directory::Departures m_departures;
  DepartureLog* m_departure_log = nullptr;
  uint64_t m_generation = 0;  // as of the last call of on_offer_changed
  loop::Timer m_timer;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_
