#ifndef DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_
#define DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_

#include <functional>  // for function
#include <vector>      // for vector

#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/directory/spread.h"     // for Spread
#include "dotterelshift/http/server.h"          // for Exchange
#include "dotterelshift/loop/loop.h"            // for Timer
#include "dotterelshift/peers/hub.h"            // for Hub

namespace dotterelshift::app {

// Keeps this daemon's directory of endpoints in step with the other daemons,
// and takes announcements in.
class DirectoryExchange {
 public:
  struct Callbacks {
    // What endpoints offer, or which may be used, has changed.
    std::function<void()> on_offer_changed;
    std::function<void(const std::vector<wire::CacheEventT>&)> on_cache_events;
  };
  DirectoryExchange(loop::Loop& loop, const HostId& self, Callbacks callbacks);
  DirectoryExchange(loop::Loop& loop, const directory::SpreadOptions& spread,
                    const directory::DirectoryOptions& directory,
                    Callbacks callbacks);

  // The hub is made after this object, because its callbacks lead here.
  void SetHub(peers::Hub* hub) { m_hub = hub; }

  // POST /endpoint/v1/announce.
  void OnAnnounce(http::Exchange& exchange);
  // An endpoint's announcement that an adapter has read.
  void OnAnnounced(const wire::EndpointRecordT& record);
  void OnPeerUp(const peers::PeerInfo& peer);
  void OnPeerDown(const peers::PeerInfo& peer);
  // True when the frame was one of the directory's.
  bool OnFrame(const peers::PeerInfo& from, const wire::FrameT& frame);

  directory::Directory& GetDirectory() { return m_directory; }
  const directory::Directory& GetDirectory() const { return m_directory; }

 private:
  void OnTimer();

  loop::Loop& m_loop;
  Callbacks m_callbacks;
  peers::Hub* m_hub = nullptr;
  directory::Directory m_directory;
  directory::Spread m_spread;
  uint64_t m_generation = 0;  // as last told by on_offer_changed
  loop::Timer m_timer;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_DIRECTORY_EXCHANGE_H_
