#ifndef DOTTERELSHIFT_APP_DAEMON_H_
#define DOTTERELSHIFT_APP_DAEMON_H_

#include <memory>  // for unique_ptr

#include "dotterelshift/app/routes_control.h"  // for ControlAdapter
#include "dotterelshift/base/ids.h"            // for Incarnation
#include "dotterelshift/gateway/dialect.h"     // for Dialect
#include "dotterelshift/loop/loop.h"           // for Loop
#include "dotterelshift/settings/settings.h"   // for Settings

namespace dotterelshift::app {

// A daemon in one role, running on an event loop.
class Daemon {
 public:
  virtual ~Daemon() = default;
  virtual uint16_t PeerPort() const = 0;
  virtual uint16_t HttpPort() const = 0;
  // Begins the graceful shutdown, which stops the loop when it is complete.
  // Further calls have no effect.
  virtual void Shutdown() = 0;
  // Applies those of the newly read settings that may change while running.
  virtual void Reload(const settings::Settings&) {}
};

// MakeEntry() and MakeControl() throw Error with kBadSettings or one of the
// storage error kinds.
std::unique_ptr<Daemon> MakeEntry(loop::Loop& loop,
                                  const settings::Settings& settings,
                                  Incarnation incarnation);
std::unique_ptr<Daemon> MakeControl(loop::Loop& loop,
                                    const settings::Settings& settings,
                                    Incarnation incarnation,
                                    std::unique_ptr<ControlAdapter> adapter);

// Creates an entry that serves published routes, which the adapter's dialect
// parses.
std::unique_ptr<Daemon> MakeGatewayEntry(
    loop::Loop& loop, const settings::Settings& settings,
    Incarnation incarnation, std::unique_ptr<gateway::Dialect> dialect);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_DAEMON_H_
