#ifndef DOTTERELSHIFT_APP_DAEMON_H_
#define DOTTERELSHIFT_APP_DAEMON_H_

#include <memory>  // for unique_ptr

#include "dotterelshift/app/routes_control.h"  // for ControlAdapter
#include "dotterelshift/base/ids.h"            // for Incarnation
#include "dotterelshift/gateway/dialect.h"     // for Dialect
#include "dotterelshift/loop/loop.h"           // for Loop
#include "dotterelshift/settings/settings.h"   // for Settings

namespace dotterelshift::app {

// One role, wired together on a loop.
class Daemon {
 public:
  virtual ~Daemon() = default;
  virtual uint16_t PeerPort() const = 0;
  virtual uint16_t HttpPort() const = 0;
  // Begins the graceful shutdown; the loop is stopped when it is done. A second
  // call changes nothing.
  virtual void Shutdown() = 0;
  // Takes over what may change while running out of settings read again.
  virtual void Reload(const settings::Settings&) {}
};

// Throw Error(kBadSettings) and the storage kinds.
std::unique_ptr<Daemon> MakeEntry(loop::Loop& loop,
                                  const settings::Settings& settings,
                                  Incarnation incarnation);
std::unique_ptr<Daemon> MakeControl(loop::Loop& loop,
                                    const settings::Settings& settings,
                                    Incarnation incarnation,
                                    std::unique_ptr<ControlAdapter> adapter);

// An entry that serves published routes, read by an adapter's dialect.
std::unique_ptr<Daemon> MakeGatewayEntry(
    loop::Loop& loop, const settings::Settings& settings,
    Incarnation incarnation, std::unique_ptr<gateway::Dialect> dialect);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_DAEMON_H_
