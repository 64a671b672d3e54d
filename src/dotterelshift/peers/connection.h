#ifndef DOTTERELSHIFT_SRC_PEERS_CONNECTION_H_
#define DOTTERELSHIFT_SRC_PEERS_CONNECTION_H_

#include <unistd.h>  // for close

#include <cstdint>   // for uint32_t
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/base/time.h"           // for Instant
#include "dotterelshift/loop/loop.h"           // for IoWatcher
#include "dotterelshift/peers/frame_buffer.h"  // for FrameReader
#include "dotterelshift/peers/handshake.h"     // for Handshake
#include "dotterelshift/peers/hub.h"           // for HubOptions

namespace dotterelshift::peers {

// Owns a socket descriptor.
class Socket {
 public:
  explicit Socket(int descriptor) : m_descriptor(descriptor) {}
  ~Socket() { close(m_descriptor); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int Get() const { return m_descriptor; }

 private:
  int m_descriptor;
};

// Throws Error(kInternal) when the system has no socket left.
int NewTcpSocket();

// One connection, including its handshake.
struct Connection {
  Connection(int descriptor, bool dialled, const HubOptions& options)
      : socket(descriptor),
        dialled(dialled),
        reader(options.max_frame_bytes),
        handshake(options.fleet, options.secret, options.self) {}

  Socket socket;
  bool dialled;              // by this side
  std::string dial_address;  // when dialled
  bool up = false;           // the peer is authenticated
  bool closed = false;
  bool timed_out = false;   // before the peer was authenticated
  bool superseded = false;  // another request to the address was answered first
  uint32_t attempt = 0;     // to dial this address since it was last up
  std::optional<Instant> connected_at;  // when dialled; unset until then
  FrameReader reader;
  Handshake handshake;
  std::string out;
  size_t out_sent = 0;
  bool watching_writes = false;
  Instant opened;
  Instant last_received;
  Instant last_sent;
  PeerInfo peer;
  std::unique_ptr<loop::IoWatcher> watcher;

  bool IsConnecting() const { return dialled && !connected_at; }
  size_t Unsent() const { return out.size() - out_sent; }
};
using ConnectionPtr = std::shared_ptr<Connection>;

// Why a dialled connection ended before the peer was authenticated.
DialResult FailureOf(const Connection& connection);

}  // namespace dotterelshift::peers

#endif  // DOTTERELSHIFT_SRC_PEERS_CONNECTION_H_
