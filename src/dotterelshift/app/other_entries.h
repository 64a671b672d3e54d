#ifndef DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_
#define DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_

#include <cstddef>  // for size_t
#include <vector>   // for vector

#include "dotterelshift/gateway/fleet_load.h"         // for FleetLoad
#include "dotterelshift/gateway/load_update_pacer.h"  // for LoadUpdatePacer
#include "dotterelshift/gateway/stream_origins.h"     // for StreamOrigins
#include "dotterelshift/loop/loop.h"                  // for Loop, Timer
#include "dotterelshift/peers/hub.h"                  // for Hub
#include "dotterelshift/wire/frames_generated.h"      // for FrameT

namespace dotterelshift::app {

// Sends frames to the other connected entries.
class OtherEntries {
 public:
  // `hub` must outlive this object.
  OtherEntries(loop::Loop& loop, peers::Hub& hub,
               const gateway::LoadUpdatePacerOptions& notes);

  // Sends changes of the endpoints' load and the origins of new streams to all
  // of them, once the pacer permits it. Called in each event loop iteration; if
  // it must wait, a timer causes another iteration.
  void SendUpdates(gateway::FleetLoad& load, gateway::StreamOrigins& origins,
                   Instant now);
  // Sends the origins that an entry lacks whose connection was just
  // established.
  void SendOriginsTo(const HostId& host, const gateway::StreamOrigins& origins,
                     Instant now);
  // Sends a request to lend to a few entries, to different ones each time. Each
  // receiver lends what it can, so that asking more entries would yield many
  // times the tokens needed.
  void SendToNextFew(const wire::FrameT& frame);

 private:
  std::vector<HostId> Hosts() const;

  peers::Hub& m_hub;
  gateway::LoadUpdatePacer m_load_update_pacer;
  loop::Timer m_load_update_timer;
  size_t m_next_receiver = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_
