#ifndef DOTTERELSHIFT_SRC_RELAY_TUNNEL_H_
#define DOTTERELSHIFT_SRC_RELAY_TUNNEL_H_

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"           // for IoWatcher
#include "dotterelshift/relay/relay_server.h"  // for TunnelEvent

namespace dotterelshift::relay {

// One socket of a tunnel, and the bytes to be written to it.
class TunnelSide {
 public:
  explicit TunnelSide(int descriptor) : m_descriptor(descriptor) {}
  ~TunnelSide() { Close(); }
  TunnelSide(const TunnelSide&) = delete;
  TunnelSide& operator=(const TunnelSide&) = delete;

  int Descriptor() const { return m_descriptor; }
  bool IsOpen() const { return m_descriptor >= 0; }
  // Replaces the descriptor of a side that has none yet.
  void Open(int descriptor) { m_descriptor = descriptor; }
  void Watch(loop::Loop& loop, loop::IoWatcher::Callback callback);
  void SetEvents(int events);

  void Hold(std::string_view bytes) { m_held.append(bytes); }
  size_t Held() const { return m_held.size() - m_written; }
  // Writes what the system takes now. Returns false if the connection is lost.
  bool Flush(uint64_t* written);
  // Ends the direction towards this socket's peer once all bytes are written.
  void EndAfterFlush() { m_ending = true; }
  // Whether the connection was reset by its peer, also while it is not read.
  bool IsLost() const;
  // Whether the peer sees a reset when the socket is closed, also by the end of
  // this process, or an orderly close.
  void SetResetOnClose(bool reset) const;
  void Close();

 private:
  int m_descriptor;
  int m_events = -1;
  std::unique_ptr<loop::IoWatcher> m_watcher;
  std::string m_held;
  size_t m_written = 0;  // of m_held
  bool m_ending = false;
  bool m_ended = false;
};

struct TunnelOptions {
  size_t max_held_bytes = 64 << 10;
  Duration idle_after = 1s;
};

// Passes bytes between the sockets of a client and a target until one side has
// closed its connection and the other one has all its bytes, or one is lost.
// Unless the close was orderly, both sides see a reset: the end of a connection
// can be the only sign that a response is complete.
class Tunnel {
 public:
  using OnEnd = std::function<void()>;

  // Takes over both descriptors. `early` are bytes that the client sent before
  // the tunnel existed. The bytes that are passed on are added to `carried`,
  // which must outlive the tunnel. `on_end` is called once, not from the
  // constructor; the tunnel may then be destroyed, but not within the call.
  Tunnel(loop::Loop& loop, const TunnelOptions& options, int client, int target,
         std::string_view early, uint64_t& carried, OnEnd on_end);

  // Ends the tunnel if a side that is not being read was reset meanwhile.
  void CheckLost();
  // Resets both sides.
  void Reset();
  bool IsBusy(Instant now) const;
  uint64_t BytesUp() const { return m_bytes_up; }
  uint64_t BytesDown() const { return m_bytes_down; }

 private:
  void OnEvents(TunnelSide& from, TunnelSide& to, int events);
  void Read(TunnelSide& from, TunnelSide& to);
  bool Write(TunnelSide& side);
  void UpdateEvents();
  void CloseOrderly();
  void End();

  loop::Loop& m_loop;
  const TunnelOptions m_options;
  TunnelSide m_client;
  TunnelSide m_target;
  bool m_client_ended = false;  // has sent its last byte
  bool m_target_ended = false;
  bool m_ended = false;
  bool m_response_due = false;  // the client was the last one to send
  Instant m_last_bytes;
  uint64_t m_bytes_up = 0;
  uint64_t m_bytes_down = 0;
  uint64_t& m_carried;
  OnEnd m_on_end;
};

}  // namespace dotterelshift::relay

#endif  // DOTTERELSHIFT_SRC_RELAY_TUNNEL_H_
