#ifndef DOTTERELSHIFT_PEERS_HUB_H_
#define DOTTERELSHIFT_PEERS_HUB_H_

#include <cstdint>      // for uint16_t
#include <functional>   // for function
#include <map>          // for map
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "dotterelshift/base/ids.h"               // for HostRun
#include "dotterelshift/base/time.h"              // for Duration
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::loop {
class Loop;
}

namespace dotterelshift::peers {

// The identity of a peer, authenticated in the handshake.
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
  uint16_t listen_port = 0;       // 0: the system chooses
  std::vector<std::string> dial;  // addresses to keep a connection to, IP:port
  size_t max_frame_bytes = 16 << 20;  // a larger frame closes the connection
  // A peer with more unsent bytes is disconnected.
  size_t max_backlog_bytes = 64 << 20;
  // For the connection to be established, and again for the handshake.
  Duration hello_timeout = 5s;
  // A connection request that is unanswered for this long gets another one
  // beside it, up to `max_connect_requests`: the system repeats a lost request
  // only after 1 s, then 3 s, which delays the return from a partition.
  Duration connect_retry = 250ms;
  size_t max_connect_requests = 4;
  Duration min_reconnect_delay =
      50ms;  // doubled with jitter after each failure
  Duration max_reconnect_delay = 2s;
  // A peer that sends nothing for this long is disconnected.
  Duration silence_timeout = 6s;
  uint64_t seed = 0;  // of the jitter
};

// How an attempt to connect to an address ended.
enum class DialResult : uint8_t {
  kUp,              // the peer is authenticated
  kRefused,         // no connection was established
  kConnectTimeout,  // no answer to the connection request in time
  kHelloTimeout,    // connected, but not authenticated in time
  kClosed,  // closed during the handshake, by the peer or as a duplicate
};
// As it is written in logs.
std::string_view NameOf(DialResult result);

struct DialReport {
  std::string address;
  DialResult result = DialResult::kUp;
  uint32_t attempt = 1;        // since the address was last up
  Duration took{};             // from the connection request to this result
  Duration connected_after{};  // until the connection was established; 0: never
};

struct HubCallbacks {
  std::function<void(const PeerInfo& peer)> on_up;
  std::function<void(const PeerInfo& peer)> on_down;
  std::function<void(const PeerInfo& peer, wire::FrameT frame)> on_frame;
  std::function<void(const DialReport& report)> on_dial_ended;
};

// Traffic and failures of connections, for the metrics.
struct HubCounters {
  uint64_t connections = 0;
  uint64_t refused_hellos = 0;
  uint64_t bad_frames = 0;
  uint64_t oversized_frames = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t frames_in = 0;
  uint64_t frames_out = 0;
  // Bytes of the frames queued for sending, by type of body.
  std::map<wire::FrameBody, uint64_t> bytes_out_by_body;
};

// Bytes queued on connections and not sent yet.
struct HubBacklog {
  size_t bytes = 0;  // of all connections
  size_t most = 0;   // of the connection with the largest backlog
};

// The connections of one daemon to the others: length-prefixed FlatBuffers over
// TCP, one connection per pair of hosts. Each side authenticates with a keyed
// hash before anything else is read. Frames to one peer keep their order. When
// a connection is lost, so are the frames in flight; the layers above resend.
class Hub {
 public:
  virtual ~Hub() = default;
  // Returns false and drops the frame when there is no connection to the host.
  virtual bool Send(const HostId& host, const wire::FrameT& frame) = 0;
  // Bytes queued for the host and not sent yet; 0 without a connection.
  virtual size_t Backlog(const HostId& host) const = 0;
  // The backlog of all connections that are up.
  virtual HubBacklog Backlogs() const { return {}; }
  virtual std::vector<PeerInfo> Peers() const = 0;
  // Adds an address to keep a connection to. Throws Error(kBadSettings) when it
  // is not IP:port.
  virtual void Dial(const std::string& address) = 0;
  // Ends the connection to an address that Dial() was called for, and dials it
  // no more. A connection that the peer has established stays.
  virtual void HangUp(const std::string& /*address*/) {}
  virtual uint16_t Port() const = 0;
  virtual const HubCounters& Counters() const = 0;
};

// Throws Error(kBadSettings) when the address cannot be bound.
std::unique_ptr<Hub> MakeHub(loop::Loop& loop, const HubOptions& options,
                             HubCallbacks callbacks);

// Wraps a body in a frame.
template <typename Body>
wire::FrameT MakeFrame(Body body) {
  wire::FrameT frame;
  frame.body.Set(std::move(body));
  return frame;
}

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_PEERS_HUB_H_
