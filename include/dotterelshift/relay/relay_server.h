#ifndef DOTTERELSHIFT_RELAY_RELAY_SERVER_H_
#define DOTTERELSHIFT_RELAY_RELAY_SERVER_H_

#include <cstddef>     // for size_t
#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/base/ids.h"   // for HostId
#include "dotterelshift/base/time.h"  // for Duration

namespace dotterelshift::loop {
class Loop;
}

namespace dotterelshift::relay {

struct RelayServerOptions {
  std::string listen_address = "127.0.0.1";
  uint16_t listen_port = 0;    // 0: the system chooses
  std::string source_address;  // of connections to targets; empty: any
  // For the connection to the target. Shorter than the client's own limit for
  // the whole, so that it learns the result.
  Duration connect_timeout = 250ms;
  // For the head of a request after its connection was accepted.
  Duration head_timeout = 1s;
  size_t max_tunnels = 1024;
  // Bytes that are held for a side that does not read. No more is read from the
  // other side meanwhile.
  size_t max_held_bytes = 64 << 10;
  // A tunnel on which nothing was sent for this long, after a response, counts
  // as idle.
  Duration idle_after = 1s;
};

// Whether a tunnel to an address may be opened.
enum class Admission : uint8_t {
  kAllowed,
  kUnknownTarget,  // no endpoint in use has this address
  kNotNow,         // this host cannot carry it, for a reason of its own
};

// How a connection to the relay ended, or that its tunnel was opened.
enum class TunnelEvent : uint8_t {
  kOpened,
  kUnauthorised,
  kBadRequest,
  kUnknownTarget,
  kNotNow,
  kTargetRefused,   // the target reset the connection
  kTargetTimedOut,  // the target did not answer the connection request
  kClosed,          // by either side, after it was opened
  kDismissed,       // the connection to the client's host was lost
};
std::string_view NameOf(TunnelEvent event);

struct TunnelReport {
  TunnelEvent event = TunnelEvent::kOpened;
  HostId client;            // empty: not known
  std::string target;       // IP:port
  uint64_t bytes_up = 0;    // to the target
  uint64_t bytes_down = 0;  // to the client
};

struct RelayCallbacks {
  std::function<Admission(const std::string& target)> admit;
  // A connection failed after `took`. Returns whether that is due to this
  // host's own paths, so that the client is told kNotNow instead.
  std::function<bool(const std::string& target, Duration took)>
      on_connect_failed;
  std::function<void(const TunnelReport& report)> on_event;
};

struct RelayCounters {
  uint64_t opened = 0;
  uint64_t refused = 0;  // requests that did not become tunnels
  uint64_t bytes = 0;    // carried, in both directions
};

// Carries TCP connections of other daemons to endpoints that these cannot
// reach themselves: an HTTP CONNECT proxy on a port for daemons. A client needs
// a token that it got over its authenticated connection between daemons, and
// targets are limited to endpoints, so that nothing of a caller can make it
// carry. It passes bytes on unchanged, at the pace of the slower side; an
// orderly close and a reset of one side become the same on the other, so that
// a response that breaks off never looks complete and an endpoint notices that
// its caller has disconnected.
//
// Responses before the tunnel exists: 200 opened; 502 the target is not in use
// or cannot be reached; 503 this relay cannot connect to it; 407 no valid
// token. Unless it is 200, nothing was sent to the target.
class RelayServer {
 public:
  virtual ~RelayServer() = default;
  virtual uint16_t Port() const = 0;
  // Authorises a host with a new token, which replaces an earlier one.
  virtual std::string Authorise(const HostId& client) = 0;
  // Revokes the token of a host and resets its tunnels.
  virtual void Dismiss(const HostId& client) = 0;
  // Tunnels on which a response is due or bytes were sent recently.
  virtual size_t BusyTunnels(Instant now) const = 0;
  virtual size_t OpenTunnels() const = 0;
  virtual const RelayCounters& Counters() const = 0;
};

// Throws Error(kBadSettings) if the address cannot be bound.
std::unique_ptr<RelayServer> MakeRelayServer(loop::Loop& loop,
                                             const RelayServerOptions& options,
                                             RelayCallbacks callbacks);

}  // namespace dotterelshift::relay

#endif  // DOTTERELSHIFT_RELAY_RELAY_SERVER_H_
