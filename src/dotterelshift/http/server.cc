#include "dotterelshift/http/server.h"

#include <microhttpd.h>  // for MHD_start_daemon
#include <sys/epoll.h>   // for epoll_create1
#include <sys/socket.h>  // for shutdown
#include <unistd.h>      // for close

#include <algorithm>      // for max
#include <array>          // for array
#include <cctype>         // for tolower
#include <charconv>       // for from_chars
#include <cstring>        // for strlen
#include <unordered_set>  // for unordered_set
#include <utility>        // for move

#include "dotterelshift/base/error.h"              // for Error
#include "dotterelshift/http/connection.h"         // for Connection
#include "dotterelshift/http/exchange.h"           // for MhdExchange
#include "dotterelshift/http/listener.h"           // for Listener
#include "dotterelshift/http/receive_deadlines.h"  // for ReceiveDeadlines
#include "dotterelshift/loop/loop.h"               // for Loop

namespace dotterelshift::http {
namespace {

// Memory of a connection in the library, as a multiple of max_head_bytes. It
// limits the head and the block of a response that is written at once. Heads
// above max_head_bytes get the server's refusal response; heads that exceed
// this memory are refused by the library itself.
constexpr size_t kMemoryHeaderFactor = 2;

// Connections above max_connections that are accepted only to send them a
// refusal response.
constexpr size_t kRefusalConnections = 64;

// A body above max_body_bytes is read and discarded up to this multiple of the
// limit, so that its caller can read the refusal.
constexpr size_t kMaxDiscardedBodyFactor = 4;

MHD_Result AddHeader(void* headers, MHD_ValueKind, const char* name,
                     const char* value) {
  std::string lower(name);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  static_cast<Headers*>(headers)->emplace_back(std::move(lower),
                                               value == nullptr ? "" : value);
  return MHD_YES;
}

// Leaves percent-encoding in the path, because the endpoint decodes it.
size_t KeepPercentEncoding(void*, MHD_Connection*, char* text) {
  return std::strlen(text);
}

class MhdServer : public Server {
 public:
  MhdServer(loop::Loop& loop, const ServerOptions& options, Handler handler)
      : m_loop(loop),
        m_options(options),
        m_handler(std::move(handler)),
        m_times{options.receive_timeout, options.receive_timeout},
        m_receiving(loop, [this](Connection& slow) { OnDeadline(slow); }),
        m_timer(loop, [this] { m_run_requested = true; }),
        m_prepare(loop, [this] { RunDaemon(); }) {
    m_listener = std::make_unique<Listener>(
        loop, m_options.address, m_options.port, m_options.listen_backlog,
        [this](int descriptor, const SocketAddress& peer) {
          AddConnection(descriptor, peer);
        });
    StartDaemon();
    m_ends = epoll_create1(EPOLL_CLOEXEC);
    const int ready =
        MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_daemon_watcher = std::make_unique<loop::IoWatcher>(
        m_loop, ready, EV_READ, [this](int) { m_run_requested = true; });
    m_ends_watcher = std::make_unique<loop::IoWatcher>(
        m_loop, m_ends, EV_READ, [this](int) { HandleClosedCallers(); });
  }

  ~MhdServer() override {
    m_stopping = true;
    m_listener.reset();
    m_daemon_watcher.reset();
    m_ends_watcher.reset();
    for (Connection* connection : m_connections) {
      // Aborting resumes suspended connections, which MHD_stop_daemon()
      // requires.
      if (connection->exchange) {
        connection->exchange->OnGone(nullptr);
        connection->exchange->Abort();
      }
    }
    MHD_stop_daemon(m_daemon);
    if (m_ends >= 0) ::close(m_ends);
  }

  uint16_t Port() const override { return m_listener->Port(); }

  size_t OpenExchanges() const override { return m_open; }
  size_t OpenConnections() const override { return m_connections.size(); }
  uint64_t BytesReceived() const override { return m_bytes_received; }

  void StopAccepting() override { m_listener->Pause(); }
  bool ResumeAccepting() override { return m_listener->Resume(); }

  void SetRejectConnections(bool on) override { m_reject_connections = on; }

  void SetCallerTimes(const CallerTimes& times) override { m_times = times; }

  void CloseIdle() override {
    for (const auto& [deadline, connection] : m_receiving) {
      const bool idle = connection->used && !connection->head_begun &&
                        !connection->close_after_response;
      if (!idle) continue;
      // The next request may have arrived without having been read. It is
      // served, and the connection closed after its response.
      connection->close_after_response = HasUnread(*connection);
      if (!connection->close_after_response)
        ShutDown(*connection, UnansweredCause::kIdleClose);
    }
    RequestRun();
  }

 private:
  void StartDaemon() {
    // Connections come from the listener, so the library opens no socket.
    constexpr unsigned kFlags =
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET;
    m_daemon = MHD_start_daemon(
        kFlags, 0, nullptr, nullptr, OnAccess, this,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(m_options.max_connections + kRefusalConnections),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        kMemoryHeaderFactor * m_options.max_head_bytes,
        MHD_OPTION_CONNECTION_TIMEOUT,
        LibraryTimeout(m_options.receive_timeout), MHD_OPTION_NOTIFY_CONNECTION,
        OnConnection, this, MHD_OPTION_NOTIFY_COMPLETED, OnCompleted, this,
        MHD_OPTION_URI_LOG_CALLBACK, OnUri, this, MHD_OPTION_UNESCAPE_CALLBACK,
        KeepPercentEncoding, nullptr, MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1,
        MHD_OPTION_END);
    if (m_daemon == nullptr)
      throw Error(ErrorKind::kInternal, "libmicrohttpd failed to start");
  }

  // The library closes the descriptor if it does not accept the connection.
  void AddConnection(int descriptor, const SocketAddress& peer) {
    if (m_reject_connections) {
      ::close(descriptor);
      const auto& on_rejected = m_options.connections.on_rejected;
      if (on_rejected) on_rejected();
      return;
    }
    const socklen_t size =
        peer.any.sa_family == AF_INET6 ? sizeof peer.v6 : sizeof peer.v4;
    MHD_add_connection(m_daemon, descriptor, &peer.any, size);
    RequestRun();
  }

  // Schedules a run of the library before the loop waits, in this iteration or
  // the next one.
  void RequestRun() {
    if (!std::exchange(m_run_requested, true)) m_timer.ArmIn(0s);
  }

  // Runs the library if a run is scheduled, just before the loop waits.
  void RunDaemon() {
    if (!std::exchange(m_run_requested, false)) return;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (MHD_get_timeout(m_daemon, &wait_ms) == MHD_YES) {
      m_timer.ArmIn(std::chrono::milliseconds(wait_ms));
    } else {
      m_timer.Cancel();
    }
  }

  static Connection* Of(MHD_Connection* handle) {
    const auto* info =
        MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr
                           : static_cast<Connection*>(info->socket_context);
  }

  static void OnConnection(void* self, MHD_Connection* handle, void** context,
                           MHD_ConnectionNotificationCode code) {
    auto& server = *static_cast<MhdServer*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      *context = server.Begin(handle);
    } else {
      server.End(static_cast<Connection*>(*context));
      *context = nullptr;
    }
  }

  Connection* Begin(MHD_Connection* handle) {
    auto* connection = new Connection;
    connection->handle = handle;
    connection->descriptor =
        MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    connection->over_limit = m_connections.size() >= m_options.max_connections;
    m_connections.insert(connection);
    const auto& on_accepted = m_options.connections.on_accepted;
    if (on_accepted) on_accepted();
    StartReceiving(*connection);
    // Watch only for the end of the caller's sending side, edge-triggered. The
    // library watches for data.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = connection;
    epoll_ctl(m_ends, EPOLL_CTL_ADD, connection->descriptor, &event);
    return connection;
  }

  void End(Connection* connection) {
    m_receiving.Remove(*connection);
    epoll_ctl(m_ends, EPOLL_CTL_DEL, connection->descriptor, nullptr);
    m_connections.erase(connection);
    const auto& on_closed_unused = m_options.connections.on_closed_unused;
    if (!connection->any_handed_over && on_closed_unused) on_closed_unused();
    delete connection;
  }

  // Handles callers that have closed their sending side: an exchange in flight
  // ends at once, even if the library is not reading its connection. All of
  // them are handled in this iteration of the loop, because requests are sent
  // in the next one.
  void HandleClosedCallers() {
    std::array<epoll_event, 64> events;
    size_t count = 0;
    do {
      count = static_cast<size_t>(
          std::max(0, epoll_wait(m_ends, events.data(),
                                 static_cast<int>(events.size()), 0)));
      for (size_t i = 0; i < count; ++i)
        HandleClosedCaller(*static_cast<Connection*>(events.at(i).data.ptr));
    } while (count == events.size());
    m_run_requested = true;
  }

  static void HandleClosedCaller(Connection& connection) {
    connection.caller_closed = true;
    // Keeps the exchange alive during its callbacks.
    const std::shared_ptr<MhdExchange> exchange = connection.exchange;
    if (exchange && !connection.receiving) exchange->CallerGone();
  }

  static void* OnUri(void* self, const char* uri, MHD_Connection* handle) {
    auto& server = *static_cast<MhdServer*>(self);
    Connection* connection = Of(handle);
    if (connection->receiving) {
      server.m_receiving.Set(*connection,
                             server.m_loop.Now() + server.m_times.head);
    }
    connection->uri = uri;
    connection->head_begun = true;
    return nullptr;
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* handle, const char*,
                             const char* method, const char*, const char* data,
                             size_t* size, void** context) {
    auto& server = *static_cast<MhdServer*>(self);
    Connection& connection = *Of(handle);
    if (*context == nullptr) {
      *context = &connection;
      return server.OnHead(connection, method);
    }
    if (*size > 0) {
      const size_t taken = std::exchange(*size, 0);
      return server.OnBody(connection, std::string_view(data, taken));
    }
    if (connection.receiving) return server.OnRequestComplete(connection);
    // A request that exceeded the receive timeout is not handed over.
    if (!connection.handed_over) {
      connection.complete = !connection.refused_as_slow;
      return MHD_NO;
    }
    return connection.exchange->Continue();
  }

  MHD_Result OnHead(Connection& connection, const char* method) {
    if (connection.over_limit)
      return Refuse(connection, ServerRefusal::kTooManyConnections);
    connection.exchange = std::make_shared<MhdExchange>(
        connection.handle, [this] { RequestRun(); });
    ++m_open;
    Request& request = connection.exchange->MutableRequest();
    request.method = method;
    request.begun = m_loop.Now();
    request.kept = connection.used;
    const size_t mark = connection.uri.find('?');
    request.path = connection.uri.substr(0, mark);
    if (mark != std::string::npos)
      request.query = connection.uri.substr(mark + 1);
    MHD_get_connection_values(connection.handle, MHD_HEADER_KIND, AddHeader,
                              &request.headers);
    const size_t head_bytes = connection.uri.size() + BytesOf(request.headers);
    m_bytes_received += head_bytes;
    if (head_bytes > m_options.max_head_bytes)
      return Refuse(connection, ServerRefusal::kHeadTooLarge);
    const std::string_view length = request.Header("content-length");
    size_t announced = 0;
    std::from_chars(length.data(), length.data() + length.size(), announced);
    if (announced > m_options.max_body_bytes)
      return Refuse(connection, ServerRefusal::kBodyTooLarge);
    request.body.reserve(announced);
    m_receiving.Set(connection, m_loop.Now() + m_options.receive_timeout);
    return MHD_YES;
  }

  MHD_Result OnBody(Connection& connection, std::string_view data) {
    connection.body_bytes += data.size();
    m_bytes_received += data.size();
    if (connection.body_bytes <= m_options.max_body_bytes) {
      connection.exchange->MutableRequest().body.append(data);
      return MHD_YES;
    }
    connection.exchange->MutableRequest().body.clear();
    const bool hopeless = connection.body_bytes >
                          m_options.max_body_bytes * kMaxDiscardedBodyFactor;
    return hopeless ? MHD_NO : MHD_YES;
  }

  MHD_Result OnRequestComplete(Connection& connection) {
    m_receiving.Remove(connection);
    if (connection.body_bytes > m_options.max_body_bytes)
      return Refuse(connection, ServerRefusal::kBodyTooLarge);
    const std::shared_ptr<MhdExchange> exchange = connection.exchange;
    connection.complete = true;
    // No response can be written after the server's own close.
    if (connection.own_close) return MHD_NO;
    if (connection.caller_closed) return RefuseClosedCaller(connection);
    if (connection.close_after_response) exchange->CloseAfterResponse();
    connection.handed_over = true;
    connection.any_handed_over = true;
    m_handler(exchange);
    return exchange->Continue();
  }

  static void OnCompleted(void* self, MHD_Connection* handle, void** context,
                          MHD_RequestTerminationCode code) {
    if (*context == nullptr) return;
    *context = nullptr;
    static_cast<MhdServer*>(self)->Complete(*Of(handle), code);
  }

  void Complete(Connection& connection, MHD_RequestTerminationCode code) {
    const bool whole = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    if (connection.complete && !whole) ReportUnanswered(connection, code);
    if (connection.exchange) {
      --m_open;
      std::exchange(connection.exchange, nullptr)->Detach(whole);
    }
    connection.used = true;
    connection.uri.clear();
    connection.head_begun = false;
    connection.refused = false;
    connection.complete = false;
    connection.extended = false;
    connection.handed_over = false;
    connection.body_bytes = 0;
    StartReceiving(connection);
  }

  // A caller that closes its sending side is taken for gone: its full close
  // looks the same until something is written. One that still reads learns that
  // nothing ran.
  MHD_Result RefuseClosedCaller(Connection& connection) {
    ReportUnanswered(connection, MHD_REQUEST_TERMINATED_CLIENT_ABORT);
    connection.complete = false;
    return Refuse(connection, ServerRefusal::kCallerClosed);
  }

  void ReportUnanswered(const Connection& connection,
                        MHD_RequestTerminationCode code) const {
    if (!m_options.on_unanswered) return;
    m_options.on_unanswered({.request = connection.exchange->GetRequest(),
                             .cause = CauseOf(connection, code, m_stopping),
                             .handed_over = connection.handed_over});
  }

  std::pair<int, std::string> RefusalOf(ServerRefusal refusal) const {
    if (m_options.refusal) return m_options.refusal(refusal);
    return {DefaultStatusOf(refusal), ""};
  }

  // Sends one of the server's own refusals and closes the connection.
  MHD_Result Refuse(Connection& connection, ServerRefusal refusal) {
    connection.refused = true;
    auto [status, body] = RefusalOf(refusal);
    MHD_Response* response = MHD_create_response_from_buffer(
        body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, "Connection", "close");
    MHD_add_response_header(response, "Dotterelshift-Ran", "no");
    if (refusal == ServerRefusal::kTooManyConnections ||
        refusal == ServerRefusal::kCallerClosed)
      MHD_add_response_header(response, "Retry-After", "1");
    const MHD_Result queued = MHD_queue_response(
        connection.handle, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return queued;
  }

  // A connection is receiving from its start, or from the end of a request,
  // until the next request is complete. The library's own timeout must not end
  // it sooner.
  void StartReceiving(Connection& connection) {
    const Duration wait =
        connection.used ? m_times.idle : m_options.receive_timeout;
    if (wait > m_options.receive_timeout) {
      MHD_set_connection_option(connection.handle,
                                MHD_CONNECTION_OPTION_TIMEOUT,
                                LibraryTimeout(wait));
    }
    connection.idle_since = m_loop.Now();
    m_receiving.Set(connection, connection.idle_since + wait);
  }

  // In whole seconds, later than the server's own timeout.
  static unsigned LibraryTimeout(Duration timeout) {
    return static_cast<unsigned>(
        std::chrono::ceil<std::chrono::seconds>(timeout).count() + 1);
  }

  // An idle connection whose time was raised meanwhile stays open.
  void OnDeadline(Connection& slow) {
    const Instant idle_end = slow.idle_since + m_times.idle;
    if (slow.used && !slow.head_begun && idle_end > m_loop.Now())
      m_receiving.Set(slow, idle_end);
    else if (MayExtend(slow))
      m_receiving.Set(slow, m_loop.Now() + m_times.head);
    else
      RefuseSlowConnection(slow);
  }

  // At the deadline of an idle connection, or after the loop was held up, the
  // next request may have arrived without having been read. It gets the time of
  // any request, once.
  static bool MayExtend(Connection& slow) {
    if (slow.head_begun || !HasUnread(slow)) return false;
    return !std::exchange(slow.extended, true);
  }

  // The library cannot respond to an incomplete request, so the refusal is
  // written directly to the socket, which is then shut down.
  void RefuseSlowConnection(Connection& slow) {
    if (slow.head_begun && !slow.refused) {
      slow.refused_as_slow = true;
      const auto [status, body] = RefusalOf(ServerRefusal::kSlowCaller);
      WriteTimeoutRefusal(slow, status, body);
    }
    ShutDown(slow, UnansweredCause::kReceiveDeadline);
    m_run_requested = true;
  }

  static void ShutDown(Connection& connection, UnansweredCause cause) {
    connection.own_close = cause;
    ::shutdown(connection.descriptor, SHUT_RDWR);
  }

  loop::Loop& m_loop;
  const ServerOptions m_options;
  const Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  int m_ends = -1;
  bool m_run_requested = true;
  bool m_reject_connections = false;
  bool m_stopping = false;
  size_t m_open = 0;
  uint64_t m_bytes_received = 0;
  std::unordered_set<Connection*> m_connections;
  CallerTimes m_times;
  ReceiveDeadlines m_receiving;
  std::unique_ptr<Listener> m_listener;
  std::unique_ptr<loop::IoWatcher> m_daemon_watcher;
  std::unique_ptr<loop::IoWatcher> m_ends_watcher;
  loop::Timer m_timer;
  loop::PrepareWatcher m_prepare;
};

}  // namespace

std::unique_ptr<Server> MakeServer(loop::Loop& loop,
                                   const ServerOptions& options,
                                   Handler handler) {
  return std::make_unique<MhdServer>(loop, options, std::move(handler));
}

}  // namespace dotterelshift::http
