#include "dotterelshift/relay/relay_server.h"

#include <sodium.h>      // for randombytes_buf, sodium_memcmp
#include <sys/socket.h>  // for connect
#include <unistd.h>      // for close

#include <algorithm>    // for count_if, max
#include <array>        // for array
#include <cerrno>       // for errno
#include <map>          // for map
#include <string_view>  // for string_view
#include <utility>      // for move
#include <vector>       // for vector

#include "dotterelshift/base/socket.h"            // for ConnectFrom
#include "dotterelshift/http/listener.h"          // for Listener
#include "dotterelshift/relay/connect_request.h"  // for ParseConnect
#include "dotterelshift/relay/tunnel.h"           // for Tunnel

namespace dotterelshift::relay {
namespace {

constexpr int kListenBacklog = 256;
constexpr size_t kTokenBytes = 32;
// How often timeouts and lost connections are checked while any is open.
constexpr Duration kCheckInterval = 50ms;

std::string NewToken() {
  std::array<unsigned char, kTokenBytes> bytes;
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kTokenBytes + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  return hex.data();
}

// Compares in constant time.
bool SameToken(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view StatusLineOf(TunnelEvent event) {
  switch (event) {
    case TunnelEvent::kOpened:
      return "200 Connection established";
    case TunnelEvent::kUnauthorised:
      return "407 Proxy Authentication Required";
    case TunnelEvent::kUnknownTarget:
    case TunnelEvent::kTargetRefused:
    case TunnelEvent::kTargetTimedOut:
      return "502 Bad Gateway";
    case TunnelEvent::kNotNow:
      return "503 Service Unavailable";
    case TunnelEvent::kBadRequest:
    case TunnelEvent::kClosed:
    case TunnelEvent::kDismissed:
      break;
  }
  return "400 Bad Request";
}

// A client's connection, from its acceptance to its end.
struct Session {
  int client = -1;  // until the tunnel owns it
  int target = -1;
  std::unique_ptr<loop::IoWatcher> watcher;
  std::string received;  // from the client, before the tunnel exists
  ConnectRequest request;
  HostId host;
  Instant deadline{};
  std::unique_ptr<Tunnel> tunnel;
  bool dismissed = false;
  bool ended = false;
};

class TcpRelayServer : public RelayServer {
 public:
  TcpRelayServer(loop::Loop& loop, RelayServerOptions options,
                 RelayCallbacks callbacks)
      : m_loop(loop),
        m_options(std::move(options)),
        m_callbacks(std::move(callbacks)),
        m_check(loop, [this] { OnCheck(); }),
        m_listener(loop, m_options.listen_address, m_options.listen_port,
                   kListenBacklog,
                   [this](int descriptor, const http::SocketAddress&) {
                     OnAccepted(descriptor);
                   }) {}

  ~TcpRelayServer() override {
    for (const auto& session : m_sessions) CloseSockets(*session);
  }

  uint16_t Port() const override { return m_listener.Port(); }

  std::string Authorise(const HostId& client) override {
    return m_tokens[client] = NewToken();
  }

  void Dismiss(const HostId& client) override {
    m_tokens.erase(client);
    for (const auto& session : m_sessions) {
      if (session->ended || session->host != client) continue;
      session->dismissed = true;
      if (session->tunnel != nullptr)
        session->tunnel->Reset();
      else
        End(*session, TunnelEvent::kDismissed);
    }
  }

  size_t BusyTunnels(Instant now) const override {
    return std::count_if(
        m_sessions.begin(), m_sessions.end(), [now](const auto& session) {
          return session->tunnel != nullptr && session->tunnel->IsBusy(now);
        });
  }

  size_t OpenTunnels() const override {
    return std::count_if(m_sessions.begin(), m_sessions.end(),
                         [](const auto& session) {
                           return session->tunnel != nullptr && !session->ended;
                         });
  }

  const RelayCounters& Counters() const override { return m_counters; }

 private:
  using SessionPtr = std::shared_ptr<Session>;

  void OnAccepted(int descriptor) {
    auto session = std::make_shared<Session>();
    session->client = descriptor;
    session->deadline = m_loop.Now() + m_options.head_timeout;
    SetNoDelay(descriptor);
    const std::weak_ptr<Session> weak = session;
    session->watcher = std::make_unique<loop::IoWatcher>(
        m_loop, descriptor, EV_READ, [this, weak](int) {
          if (const SessionPtr held = weak.lock()) OnHeadBytes(*held);
        });
    m_sessions.push_back(std::move(session));
    m_check.ArmIn(kCheckInterval);
  }

  void OnHeadBytes(Session& session) {
    std::array<char, kMaxConnectHeadBytes> buffer;
    const ssize_t count =
        ::recv(session.client, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) return End(session, TunnelEvent::kBadRequest);
    session.received.append(buffer.data(), static_cast<size_t>(count));
    switch (ParseConnect(session.received, &session.request)) {
      case ConnectParse::kIncomplete:
        return;
      case ConnectParse::kBad:
        return Refuse(session, TunnelEvent::kBadRequest);
      case ConnectParse::kComplete:
        return OnRequest(session);
    }
  }

  void OnRequest(Session& session) {
    session.watcher.reset();
    session.host = HostOf(session.request.token);
    if (session.host.empty())
      return Refuse(session, TunnelEvent::kUnauthorised);
    const std::string& target = session.request.target;
    switch (OpenTunnels() < m_options.max_tunnels ? m_callbacks.admit(target)
                                                  : Admission::kNotNow) {
      case Admission::kUnknownTarget:
        return Refuse(session, TunnelEvent::kUnknownTarget);
      case Admission::kNotNow:
        return Refuse(session, TunnelEvent::kNotNow);
      case Admission::kAllowed:
        return Connect(session);
    }
  }

  HostId HostOf(std::string_view token) const {
    for (const auto& [host, expected] : m_tokens)
      if (SameToken(token, expected)) return host;
    return {};
  }

  void Connect(Session& session) {
    session.target =
        ConnectFrom(m_options.source_address, session.request.target);
    session.deadline = m_loop.Now() + m_options.connect_timeout;
    if (session.target < 0) return OnConnectFailed(session, false);
    const std::weak_ptr<Session> weak = Find(session);
    session.watcher = std::make_unique<loop::IoWatcher>(
        m_loop, session.target, EV_WRITE, [this, weak](int) {
          if (const SessionPtr held = weak.lock()) OnConnected(*held);
        });
  }

  void OnConnected(Session& session) {
    session.watcher.reset();
    if (TakeSocketError(session.target) != 0)
      return OnConnectFailed(session, false);
    const std::string_view line = "HTTP/1.1 200 Connection established\r\n\r\n";
    // The first bytes on the connection fit into its send buffer.
    if (::send(session.client, line.data(), line.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(line.size()))
      return End(session, TunnelEvent::kClosed);
    ++m_counters.opened;
    ReportEvent(session, TunnelEvent::kOpened);
    const std::string early = session.received.substr(session.request.size);
    session.received.clear();
    const std::weak_ptr<Session> weak = Find(session);
    session.tunnel = std::make_unique<Tunnel>(
        m_loop, TunnelOptions{m_options.max_held_bytes, m_options.idle_after},
        std::exchange(session.client, -1), std::exchange(session.target, -1),
        early, m_counters.bytes, [this, weak] {
          const SessionPtr held = weak.lock();
          if (held == nullptr) return;
          End(*held,
              held->dismissed ? TunnelEvent::kDismissed : TunnelEvent::kClosed);
        });
  }

  void OnConnectFailed(Session& session, bool timed_out) {
    session.watcher.reset();
    const Duration took =
        m_options.connect_timeout -
        std::max<Duration>(0s, session.deadline - m_loop.Now());
    if (m_callbacks.on_connect_failed(session.request.target, took))
      return Refuse(session, TunnelEvent::kNotNow);
    Refuse(session, timed_out ? TunnelEvent::kTargetTimedOut
                              : TunnelEvent::kTargetRefused);
  }

  void Refuse(Session& session, TunnelEvent why) {
    ++m_counters.refused;
    const std::string head = "HTTP/1.1 " + std::string(StatusLineOf(why)) +
                             "\r\nContent-Length: 0\r\nConnection: close"
                             "\r\n\r\n";
    (void)::send(session.client, head.data(), head.size(), MSG_NOSIGNAL);
    End(session, why);
  }

  // The session is removed by the next check, as this may be a call of its own.
  void End(Session& session, TunnelEvent why) {
    if (std::exchange(session.ended, true)) return;
    CloseSockets(session);
    ReportEvent(session, why);
  }

  static void CloseSockets(Session& session) {
    session.watcher.reset();
    for (int* descriptor : {&session.client, &session.target})
      if (*descriptor >= 0) ::close(std::exchange(*descriptor, -1));
  }

  void ReportEvent(const Session& session, TunnelEvent event) {
    TunnelReport report{event, session.host, session.request.target, 0, 0};
    if (session.tunnel != nullptr) {
      report.bytes_up = session.tunnel->BytesUp();
      report.bytes_down = session.tunnel->BytesDown();
    }
    m_callbacks.on_event(report);
  }

  void OnCheck() {
    const Instant now = m_loop.Now();
    for (const SessionPtr& session : std::vector<SessionPtr>(m_sessions))
      CheckSession(*session, now);
    std::erase_if(m_sessions,
                  [](const auto& session) { return session->ended; });
    if (!m_sessions.empty()) m_check.ArmIn(kCheckInterval);
  }

  void CheckSession(Session& session, Instant now) {
    if (session.ended) return;
    if (session.tunnel != nullptr) return session.tunnel->CheckLost();
    if (now < session.deadline) return;
    if (session.target >= 0) return OnConnectFailed(session, true);
    End(session, TunnelEvent::kBadRequest);
  }

  SessionPtr Find(const Session& session) const {
    for (const SessionPtr& held : m_sessions)
      if (held.get() == &session) return held;
    return nullptr;
  }

  loop::Loop& m_loop;
  const RelayServerOptions m_options;
  const RelayCallbacks m_callbacks;
  std::map<HostId, std::string> m_tokens;
  std::vector<SessionPtr> m_sessions;
  RelayCounters m_counters;
  loop::Timer m_check;
  http::Listener m_listener;
};

}  // namespace

std::string_view NameOf(TunnelEvent event) {
  switch (event) {
    case TunnelEvent::kOpened:
      return "opened";
    case TunnelEvent::kUnauthorised:
      return "unauthorised";
    case TunnelEvent::kBadRequest:
      return "bad_request";
    case TunnelEvent::kUnknownTarget:
      return "unknown_target";
    case TunnelEvent::kNotNow:
      return "not_now";
    case TunnelEvent::kTargetRefused:
      return "target_refused";
    case TunnelEvent::kTargetTimedOut:
      return "target_timed_out";
    case TunnelEvent::kClosed:
      return "closed";
    case TunnelEvent::kDismissed:
      return "dismissed";
  }
  return "unknown";
}

std::unique_ptr<RelayServer> MakeRelayServer(loop::Loop& loop,
                                             const RelayServerOptions& options,
                                             RelayCallbacks callbacks) {
  return std::make_unique<TcpRelayServer>(loop, options, std::move(callbacks));
}

}  // namespace dotterelshift::relay
