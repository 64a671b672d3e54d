#ifndef DOTTERELSHIFT_PEERS_HUB_H_
#define DOTTERELSHIFT_PEERS_HUB_H_

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/base/time.h"              // for Duration
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::loop {
class Loop;
}

namespace dotterelshift::peers {

// What a peer said of itself and proved in its hello.
struct PeerInfo {
  HostRun run;
  wire::HostRole role = wire::HostRole::Entry;
  DataCentreId data_centre;
  std::string address;       // of its hub, IP:port
  std::string http_address;  // of its HTTP server, IP:port
};

struct HubOptions {
  std::string fleet;
  std::string secret;  // shared by all daemons of the fleet
  PeerInfo self;       // its address is filled in by the hub
  std::string listen_address = "127.0.0.1";
  uint16_t listen_port = 0;           // 0: the system chooses
  std::vector<std::string> dial;      // addresses to keep connected to, IP:port
  size_t max_frame_bytes = 16 << 20;  // a larger frame closes the connection
  size_t max_backlog_bytes =
      64 << 20;  // a peer that takes no more than this is cut off
  Duration hello_timeout = 5s;
  Duration min_reconnect_delay =
      50ms;  // doubled with jitter after each failure
  Duration max_reconnect_delay = 2s;
  Duration silence_timeout =
      6s;             // a peer that has sent nothing for this long is cut off
  uint64_t seed = 0;  // of the jitter
};

struct HubCallbacks {
  std::function<void(const PeerInfo& peer)> on_up;
  std::function<void(const PeerInfo& peer)> on_down;
  std::function<void(const PeerInfo& peer, wire::FrameT frame)> on_frame;
};

// What went wrong on connections, for the metrics.
struct HubCounters {
  uint64_t connections = 0;
  uint64_t refused_hellos = 0;
  uint64_t bad_frames = 0;
  uint64_t oversized_frames = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t frames_in = 0;
  uint64_t frames_out = 0;
  // Of frames that were handed over to be sent, by what they carry.
  std::map<wire::FrameBody, uint64_t> bytes_out_by_body;
};

// What connections have not taken yet.
struct HubBacklog {
  size_t bytes = 0;  // of all connections
  size_t most = 0;   // of one
};

// All connections of one daemon to the others: length-framed FlatBuffers over
// TCP, one connection for each pair of hosts, each side proved by a keyed hash
// before anything else is read. Frames to one peer keep their order; a lost
// connection loses what was under way, and the layers above resend.
class Hub {
 public:
  virtual ~Hub() = default;
  // False when there is no connection to the host; the frame is then dropped.
  virtual bool Send(const HostId& host, const wire::FrameT& frame) = 0;
  // Bytes to the host that its connection has not taken yet; 0 without one.
  virtual size_t Backlog(const HostId& host) const = 0;
  // Of all connections that are up.
  virtual HubBacklog Backlogs() const { return {}; }
  virtual std::vector<PeerInfo> Peers() const = 0;
  // Keeps a connection to one more address from now on.
  virtual void Dial(const std::string& address) = 0;
  virtual uint16_t Port() const = 0;
  virtual const HubCounters& Counters() const = 0;
};

// Throws Error(kBadSettings) when the address cannot be bound.
std::unique_ptr<Hub> MakeHub(loop::Loop& loop, const HubOptions& options,
                             HubCallbacks callbacks);

// A frame around one body.
template <typename Body>
wire::FrameT MakeFrame(Body body) {
  wire::FrameT frame;
  frame.body.Set(std::move(body));
  return frame;
}

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_PEERS_HUB_H_
