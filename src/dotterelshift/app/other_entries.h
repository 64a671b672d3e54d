#ifndef DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_
#define DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_

#include <cstddef>  // for size_t
#include <vector>   // for vector

#include "dotterelshift/gateway/fleet_load.h"       // for FleetLoad
#include "dotterelshift/gateway/load_note_pacer.h"  // for LoadUpdatePacer
#include "dotterelshift/loop/loop.h"                // for Loop, Timer
#include "dotterelshift/peers/hub.h"                // for Hub
#include "dotterelshift/wire/frames_generated.h"    // for FrameT

namespace dotterelshift::app {

// Frames to the other entries that are connected.
class OtherEntries {
 public:
  // `hub` outlives this.
  OtherEntries(loop::Loop& loop, peers::Hub& hub,
               const gateway::LoadUpdatePacerOptions& notes);

  // Tells all of them what has changed at endpoints, once there is room for it.
  // Called in each turn of the loop; has the loop turn again where it must
  // wait.
  void SendLoadUpdates(gateway::FleetLoad& load, Instant now);
  // To a few at a time, each time to others: whoever is asked to lend lends, so
  // that more would lend many times what is needed.
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
