#ifndef DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_
#define DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_

#include <cstddef>  // for size_t
#include <vector>   // for vector

#include "dotterelshift/base/tokens.h"                // for Tokens
#include "dotterelshift/gateway/core.h"               // for StreamTakeover
#include "dotterelshift/gateway/fleet_load.h"         // for FleetLoad
#include "dotterelshift/gateway/load_update_pacer.h"  // for LoadUpdatePacer
#include "dotterelshift/loop/loop.h"                  // for Loop, Timer
#include "dotterelshift/origins/restart_suspects.h"   // for RestartSuspects
#include "dotterelshift/origins/stream_origins.h"     // for StreamOrigins
#include "dotterelshift/peers/hub.h"                  // for Hub
#include "dotterelshift/wire/frames_generated.h"      // for FrameT

namespace dotterelshift::app {

// Sends frames to the other connected entries: in a large fleet, to those of
// the own data centre.
class OtherEntries {
 public:
  // `hub` must outlive this object.
  OtherEntries(loop::Loop& loop, peers::Hub& hub,
               const DataCentreId& data_centre,
               const gateway::LoadUpdatePacerOptions& notes);

  // Whether the entries of other data centres are left out. Load updates are
  // changes: what such entries have sent before is then subtracted, as they
  // will not send that it has ended.
  void SetOwnDataCentreOnly(bool only, gateway::FleetLoad& load);
  // Takes over the load updates of another entry, unless it is left out.
  void OnLoadUpdates(const peers::PeerInfo& from, const wire::LoadNotesT& notes,
                     gateway::FleetLoad& load, Instant now) const;

  // Sends changes of the endpoints' load, the origins of new streams, and the
  // endpoints at whose address another one answered or that may have started
  // again to all of them, once the pacer permits it. Called in each event loop
  // iteration; if it must wait, a timer causes another iteration.
  void SendUpdates(gateway::FleetLoad& load, origins::StreamOrigins& origins,
                   origins::RestartSuspects& restarts,
                   std::vector<EndpointKey>* replaced, Instant now);
  // Tells all of them at once that callers have resumed streams here.
  void SendTakeovers(const std::vector<gateway::StreamTakeover>& takeovers,
                     Instant now);
  // Sends what an entry lacks whose connection was just established: origins
  // of streams, endpoints in trouble, and those that may have started again.
  void SendKnowledgeTo(const peers::PeerInfo& entry,
                       const gateway::FleetLoad& load,
                       const origins::StreamOrigins& origins,
                       const origins::RestartSuspects& restarts, Instant now);
  // Answers another entry's request to lend; 0 tokens: none can be lent.
  void SendLoan(const HostId& to, const wire::TokenBorrowT& borrow,
                Tokens lent);
  // Sends a request to lend to a few entries, to different ones each time. Each
  // receiver lends what it can, so that asking more entries would yield many
  // times the tokens needed.
  void SendToNextFew(const wire::FrameT& frame);

 private:
  bool IsServed(const peers::PeerInfo& peer) const;
  std::vector<HostId> Hosts() const;

  peers::Hub& m_hub;
  const DataCentreId m_data_centre;
  bool m_own_only = false;
  gateway::LoadUpdatePacer m_load_update_pacer;
  loop::Timer m_load_update_timer;
  size_t m_next_receiver = 0;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_OTHER_ENTRIES_H_
