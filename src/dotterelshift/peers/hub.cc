#include "dotterelshift/peers/hub.h"

#include <sys/socket.h>  // for connect
#include <unistd.h>      // for close

#include <algorithm>      // for min
#include <array>          // for array
#include <cerrno>         // for errno
#include <map>            // for map
#include <random>         // for mt19937_64
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/base/address.h"        // for ParseAddress
#include "dotterelshift/base/error.h"          // for Error
#include "dotterelshift/base/socket.h"         // for SetNoDelay
#include "dotterelshift/loop/loop.h"           // for Loop
#include "dotterelshift/peers/connection.h"    // for Connection
#include "dotterelshift/peers/dial_target.h"   // for DialTarget
#include "dotterelshift/peers/frame_buffer.h"  // for FrameWriter

namespace dotterelshift::peers {
namespace {

constexpr size_t kReadBytes = 256 << 10;
constexpr int kListenBacklog = 512;

class TcpHub : public Hub {
 public:
  TcpHub(loop::Loop& loop, const HubOptions& options, HubCallbacks callbacks)
      : m_loop(loop),
        m_options(options),
        m_callbacks(std::move(callbacks)),
        m_random(options.seed),
        m_listener(NewTcpSocket()),
        m_timer(loop, [this] { OnTimer(); }),
        m_prepare(
            loop, [this] { FlushAll(); }, EV_MINPRI) {
    Listen();
    for (const std::string& address : options.dial) Dial(address);
    m_timer.ArmIn(0ms);
  }

  bool Send(const HostId& host, const wire::FrameT& frame) override {
    const auto found = m_by_host.find(host);
    if (found == m_by_host.end()) return false;
    SendOn(*found->second, frame);
    return !found->second->closed;
  }

  size_t Backlog(const HostId& host) const override {
    const auto found = m_by_host.find(host);
    return found == m_by_host.end() ? 0 : found->second->Unsent();
  }

  HubBacklog Backlogs() const override {
    HubBacklog backlog;
    for (const auto& [host, connection] : m_by_host) {
      backlog.bytes += connection->Unsent();
      backlog.most = std::max(backlog.most, connection->Unsent());
    }
    return backlog;
  }

  std::vector<PeerInfo> Peers() const override {
    std::vector<PeerInfo> peers;
    for (const auto& [host, connection] : m_by_host)
      peers.push_back(connection->peer);
    return peers;
  }

  void Dial(const std::string& address) override {
    if (address == m_options.self.address) return;
    if (!ParseAddress(address))
      throw Error(ErrorKind::kBadSettings,
                  "not an IPv4 address and port: " + address);
    const bool known = std::ranges::any_of(
        m_targets, [&](const DialTarget& t) { return t.address == address; });
    if (!known)
      m_targets.push_back(
          {address, {}, {}, m_options.min_reconnect_delay, m_loop.Now()});
  }

  void HangUp(const std::string& address) override {
    const auto target =
        std::ranges::find(m_targets, address, &DialTarget::address);
    if (target == m_targets.end()) return;
    const std::vector<ConnectionPtr> connections = target->connections;
    m_targets.erase(target);
    for (const ConnectionPtr& connection : connections) Close(connection);
  }

  uint16_t Port() const override { return m_port; }
  const HubCounters& Counters() const override { return m_counters; }

 private:
  void Listen();
  void OnAcceptable();
  void OnTimer();
  void DialIfDue(DialTarget& target, Instant now);
  void SupersedeOthers(const ConnectionPtr& connection);
  void CheckTimeouts(const ConnectionPtr& connection, Instant now);
  ConnectionPtr AddConnection(int descriptor, bool dialled);
  void OnEvents(const ConnectionPtr& connection, int events);
  void OnConnected(const ConnectionPtr& connection);
  void ReadFrom(const ConnectionPtr& connection);
  bool OnFrame(const ConnectionPtr& connection, wire::FrameT frame);
  bool OnHandshakeFrame(const ConnectionPtr& connection,
                        const wire::FrameT& frame);
  bool OnAuthenticated(const ConnectionPtr& connection);
  bool Supersedes(const Connection& fresh, const Connection& existing) const;
  void SendOn(Connection& connection, const wire::FrameT& frame);
  void Flush(Connection& connection);
  void FlushAll();
  void Close(const ConnectionPtr& connection);
  void ReportDial(const Connection& connection, DialResult result) const;

  loop::Loop& m_loop;
  HubOptions m_options;
  HubCallbacks m_callbacks;
  HubCounters m_counters;
  std::mt19937_64 m_random;
  Socket m_listener;
  uint16_t m_port = 0;
  std::unique_ptr<loop::IoWatcher> m_accept_watcher;
  loop::Timer m_timer;
  // Has the lowest priority, so that frames queued by the other watchers are
  // flushed in the same iteration of the loop.
  loop::PrepareWatcher m_prepare;
  FrameWriter m_writer;
  std::vector<ConnectionPtr> m_connections;
  std::unordered_map<HostId, ConnectionPtr> m_by_host;
  std::vector<DialTarget> m_targets;
  std::array<char, kReadBytes> m_read_buffer;
};

void TcpHub::Listen() {
  const auto address =
      MakeAddress(m_options.listen_address, m_options.listen_port);
  if (!address)
    throw Error(ErrorKind::kBadSettings,
                "not an IPv4 address: " + m_options.listen_address);
  const int on = 1;
  setsockopt(m_listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in bound{};
  socklen_t length = sizeof bound;
  const auto* wanted = reinterpret_cast<const sockaddr*>(&*address);
  if (bind(m_listener.Get(), wanted, sizeof *address) != 0 ||
      listen(m_listener.Get(), kListenBacklog) != 0 ||
      getsockname(m_listener.Get(), reinterpret_cast<sockaddr*>(&bound),
                  &length) != 0) {
    throw Error(ErrorKind::kBadSettings,
                "cannot listen on " + m_options.listen_address + ":" +
                    std::to_string(m_options.listen_port));
  }
  m_port = ntohs(bound.sin_port);
  m_options.self.address =
      m_options.listen_address + ":" + std::to_string(m_port);
  m_accept_watcher = std::make_unique<loop::IoWatcher>(
      m_loop, m_listener.Get(), EV_READ, [this](int) { OnAcceptable(); });
}

void TcpHub::OnAcceptable() {
  while (true) {
    const int descriptor = accept4(m_listener.Get(), nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    AddConnection(descriptor, false);
  }
}

ConnectionPtr TcpHub::AddConnection(int descriptor, bool dialled) {
  SetNoDelay(descriptor);
  auto connection =
      std::make_shared<Connection>(descriptor, dialled, m_options);
  connection->opened = m_loop.Now();
  connection->last_received = connection->opened;
  connection->last_sent = connection->opened;
  ++m_counters.connections;
  const std::weak_ptr<Connection> weak = connection;
  connection->watcher = std::make_unique<loop::IoWatcher>(
      m_loop, descriptor, EV_READ, [this, weak](int events) {
        if (const ConnectionPtr held = weak.lock()) OnEvents(held, events);
      });
  m_connections.push_back(connection);
  wire::FrameT hello;
  hello.body.Set(wire::HelloT(connection->handshake.Hello()));
  SendOn(*connection, hello);
  return connection;
}

void TcpHub::DialIfDue(DialTarget& target, Instant now) {
  target.DropClosed(m_options, m_random, now);
  if (!target.MayRequest(m_options, now)) return;
  // The other side may already have connected to us.
  if (!target.host.empty() && m_by_host.contains(target.host)) return;
  for (const auto& [host, connection] : m_by_host) {
    if (connection->peer.address == target.address) return;
  }
  const auto address = ParseAddress(target.address);
  ++target.attempts;
  const int descriptor = NewTcpSocket();
  const int result =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&*address),
              sizeof *address);
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    target.Delay(m_options, m_random, now);
    if (m_callbacks.on_dial_ended)
      m_callbacks.on_dial_ended(
          {target.address, DialResult::kRefused, target.attempts, {}, {}});
    return;
  }
  const ConnectionPtr connection = AddConnection(descriptor, true);
  connection->dial_address = target.address;
  connection->attempt = target.attempts;
  connection->watching_writes = true;
  connection->watcher->SetEvents(EV_READ | EV_WRITE);
  target.connections.push_back(connection);
}

// The first connection request that is answered replaces the others to the
// same address, so that one handshake takes place.
void TcpHub::SupersedeOthers(const ConnectionPtr& connection) {
  for (const DialTarget& target : m_targets) {
    if (!target.Holds(connection)) continue;
    for (const ConnectionPtr& other : target.connections) {
      if (other == connection) continue;
      other->superseded = true;
      Close(other);
    }
  }
}

// Does nothing for connections that the peer dialled, or that another one
// replaced.
void TcpHub::ReportDial(const Connection& connection, DialResult result) const {
  if (!connection.dialled || connection.superseded) return;
  if (!m_callbacks.on_dial_ended) return;
  const Instant connected = connection.connected_at.value_or(connection.opened);
  m_callbacks.on_dial_ended(
      {connection.dial_address, result, connection.attempt,
       m_loop.Now() - connection.opened, connected - connection.opened});
}

void TcpHub::OnTimer() {
  const Instant now = m_loop.Now();
  for (const ConnectionPtr& connection :
       std::vector<ConnectionPtr>(m_connections))
    CheckTimeouts(connection, now);
  std::erase_if(m_connections, [](const ConnectionPtr& connection) {
    return connection->closed;
  });
  for (DialTarget& target : m_targets) DialIfDue(target, now);
  m_timer.ArmIn(m_options.min_reconnect_delay / 2);
}

void TcpHub::CheckTimeouts(const ConnectionPtr& connection, Instant now) {
  if (connection->closed) return;
  const bool handshake_timed_out =
      !connection->up &&
      now - connection->connected_at.value_or(connection->opened) >
          m_options.hello_timeout;
  const bool silent = connection->up && now - connection->last_received >
                                            m_options.silence_timeout;
  if (handshake_timed_out || silent) {
    connection->timed_out = handshake_timed_out;
    Close(connection);
    return;
  }
  if (connection->up &&
      now - connection->last_sent > m_options.silence_timeout / 4) {
    FrameWriter::AppendKeepAlive(&connection->out);
    connection->last_sent = now;
  }
}

void TcpHub::OnEvents(const ConnectionPtr& connection, int events) {
  if ((events & EV_WRITE) != 0) {
    if (connection->IsConnecting()) OnConnected(connection);
    if (!connection->closed) Flush(*connection);
    if (connection->closed) Close(connection);
  }
  if ((events & EV_READ) != 0 && !connection->closed) ReadFrom(connection);
}

void TcpHub::OnConnected(const ConnectionPtr& connection) {
  if (TakeSocketError(connection->socket.Get()) != 0) {
    Close(connection);
    return;
  }
  connection->connected_at = m_loop.Now();
  SupersedeOthers(connection);
}

void TcpHub::ReadFrom(const ConnectionPtr& connection) {
  const ssize_t count = recv(connection->socket.Get(), m_read_buffer.data(),
                             m_read_buffer.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    Close(connection);
    return;
  }
  m_counters.bytes_in += count;
  connection->last_received = m_loop.Now();
  const std::string_view bytes(m_read_buffer.data(), count);
  const ReadResult result =
      connection->reader.Read(bytes, [&](wire::FrameT frame) {
        return OnFrame(connection, std::move(frame));
      });
  if (result == ReadResult::kOversized) ++m_counters.oversized_frames;
  if (result == ReadResult::kBad) ++m_counters.bad_frames;
  if (result != ReadResult::kOk) Close(connection);
}

bool TcpHub::OnFrame(const ConnectionPtr& connection, wire::FrameT frame) {
  ++m_counters.frames_in;
  if (!connection->up) {
    if (OnHandshakeFrame(connection, frame)) return true;
    ++m_counters.refused_hellos;
    Close(connection);
    return false;
  }
  if (m_callbacks.on_frame)
    m_callbacks.on_frame(connection->peer, std::move(frame));
  return !connection->closed;
}

bool TcpHub::OnHandshakeFrame(const ConnectionPtr& connection,
                              const wire::FrameT& frame) {
  Handshake& handshake = connection->handshake;
  if (const wire::HelloT* hello = frame.body.AsHello()) {
    if (!handshake.AcceptHello(*hello)) return false;
    wire::FrameT answer;
    answer.body.Set(handshake.Proof());
    SendOn(*connection, answer);
    return true;
  }
  const wire::HelloProofT* proof = frame.body.AsHelloProof();
  if (proof == nullptr || !handshake.HasPeer() || !handshake.Proves(*proof))
    return false;
  return OnAuthenticated(connection);
}

// Decides which of two connections between the same hosts is kept, so that both
// sides keep the same one.
bool TcpHub::Supersedes(const Connection& fresh,
                        const Connection& existing) const {
  if (fresh.peer.run.incarnation != existing.peer.run.incarnation) {
    return fresh.peer.run.incarnation > existing.peer.run.incarnation;
  }
  // The same side has connected again, so it saw the existing connection end
  // before we did.
  if (fresh.dialled == existing.dialled) return true;
  const bool prefer_own_dial = m_options.self.run.host < fresh.peer.run.host;
  return fresh.dialled == prefer_own_dial;
}

bool TcpHub::OnAuthenticated(const ConnectionPtr& connection) {
  connection->peer = connection->handshake.Peer();
  for (DialTarget& target : m_targets) {
    if (!target.Holds(connection)) continue;
    target.host = connection->peer.run.host;
    target.delay = m_options.min_reconnect_delay;
    target.attempts = 0;
  }
  const auto existing = m_by_host.find(connection->peer.run.host);
  if (existing != m_by_host.end()) {
    const ConnectionPtr old = existing->second;
    if (!Supersedes(*connection, *old)) {
      Close(connection);
      return false;
    }
    Close(old);
  }
  connection->up = true;
  ReportDial(*connection, DialResult::kUp);
  m_by_host[connection->peer.run.host] = connection;
  if (m_callbacks.on_up) m_callbacks.on_up(connection->peer);
  return !connection->closed;
}

void TcpHub::SendOn(Connection& connection, const wire::FrameT& frame) {
  if (connection.closed) return;
  const size_t before = connection.out.size();
  m_writer.Append(frame, &connection.out);
  ++m_counters.frames_out;
  m_counters.bytes_out_by_body[frame.body.type] +=
      connection.out.size() - before;
}

// Sends queued bytes. On failure only marks the connection as closed; it is
// torn down later, by FlushAll() or OnEvents(), not inside a loop of the
// caller.
void TcpHub::Flush(Connection& connection) {
  while (connection.Unsent() > 0) {
    const char* data = connection.out.data() + connection.out_sent;
    const ssize_t count =
        send(connection.socket.Get(), data, connection.Unsent(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && errno != EAGAIN) connection.closed = true;
    if (count <= 0) break;
    connection.out_sent += count;
    m_counters.bytes_out += count;
    connection.last_sent = m_loop.Now();
  }
  if (connection.Unsent() == 0) {
    connection.out.clear();
    connection.out_sent = 0;
  } else if (connection.out_sent > kReadBytes) {
    connection.out.erase(0, connection.out_sent);
    connection.out_sent = 0;
  }
  const bool wants_writes = connection.Unsent() > 0;
  if (wants_writes != connection.watching_writes) {
    connection.watching_writes = wants_writes;
    connection.watcher->SetEvents(wants_writes ? EV_READ | EV_WRITE : EV_READ);
  }
}

void TcpHub::FlushAll() {
  for (size_t i = 0; i < m_connections.size(); ++i) {
    const ConnectionPtr connection = m_connections[i];
    const bool lost_before =
        connection->closed && connection->watcher == nullptr;
    if (lost_before || connection->IsConnecting()) continue;
    if (!connection->closed && connection->Unsent() > 0 &&
        !connection->watching_writes)
      Flush(*connection);
    if (connection->closed ||
        connection->Unsent() > m_options.max_backlog_bytes)
      Close(connection);
  }
}

void TcpHub::Close(const ConnectionPtr& connection) {
  if (connection->watcher == nullptr) return;
  connection->closed = true;
  connection->watcher.reset();
  if (!connection->up) ReportDial(*connection, FailureOf(*connection));
  shutdown(connection->socket.Get(), SHUT_RDWR);
  const auto existing = m_by_host.find(connection->peer.run.host);
  if (connection->up && existing != m_by_host.end() &&
      existing->second == connection) {
    m_by_host.erase(existing);
    if (m_callbacks.on_down) m_callbacks.on_down(connection->peer);
  }
}

}  // namespace

std::unique_ptr<Hub> MakeHub(loop::Loop& loop, const HubOptions& options,
                             HubCallbacks callbacks) {
  return std::make_unique<TcpHub>(loop, options, std::move(callbacks));
}

}  // namespace dotterelshift::peers
