#ifndef DOTTERELSHIFT_SRC_APP_ENTRY_SHUTDOWN_H_
#define DOTTERELSHIFT_SRC_APP_ENTRY_SHUTDOWN_H_

#include <optional>  // for optional

#include "dotterelshift/app/control_link.h"     // for ControlLink
#include "dotterelshift/app/endpoint_relays.h"  // for EndpointRelays
#include "dotterelshift/app/gateway_traffic.h"  // for GatewayTraffic
#include "dotterelshift/gateway/core.h"         // for Core
#include "dotterelshift/gateway/drain.h"        // for DrainSchedule
#include "dotterelshift/gateway/held_grants.h"  // for HeldGrants
#include "dotterelshift/http/server.h"          // for Server
#include "dotterelshift/loop/loop.h"            // for Loop

namespace dotterelshift::app {

// The shutdown of an entry under published routes: new requests are accepted
// for a notice period, open ones are ended at the response deadline, then the
// holdings are returned to control and the loop is stopped.
class EntryShutdown {
 public:
  struct Parts {
    gateway::Core* core = nullptr;
    GatewayTraffic* traffic = nullptr;
    http::Server* server = nullptr;
    EndpointRelays* relays = nullptr;
    ControlLink* link = nullptr;
    gateway::HeldGrants* budgets = nullptr;
    gateway::FleetLimits* limits = nullptr;
  };

  EntryShutdown(loop::Loop& loop, const Parts& parts)
      : m_loop(loop), m_parts(parts) {}

  // Does nothing if the shutdown has begun.
  void Begin(Duration notice, Duration limit);
  bool HasBegun() const { return m_drain.has_value(); }
  // Whether holdings are being returned to control, so that none may be used.
  bool IsReturning() const { return m_returning_since.has_value(); }
  // Proceeds to the next phase when it is due. To be called regularly.
  void Check();
  // Also returns grants and loans that arrive during the shutdown; they would
  // otherwise be permanently lost to their team.
  void ReturnHoldings();

 private:
  bool HasOpen() const;
  void EndOpenRequests(bool drained);

  loop::Loop& m_loop;
  const Parts m_parts;
  std::optional<gateway::DrainSchedule> m_drain;
  std::optional<Instant> m_returning_since;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_ENTRY_SHUTDOWN_H_
