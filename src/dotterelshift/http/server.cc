#include "dotterelshift/http/server.h"

#include <netinet/tcp.h>  // for TCP_NODELAY
#include <sys/epoll.h>    // for epoll_create1
#include <sys/socket.h>   // for setsockopt
#include <unistd.h>       // for close

#include <algorithm>  // for max
#include <array>      // for array
#include <iterator>   // for prev
#include <utility>    // for move, exchange

#include "dotterelshift/http/epoll_server.h"  // for EpollServer

namespace dotterelshift::http {
namespace {

using Phase = Connection::Phase;

// Connections above max_connections that are accepted only to send them a
// refusal response.
constexpr size_t kRefusalConnections = 64;

// Of max_connections, so many may be idle: the others, and their descriptors,
// are left to requests.
constexpr double kMaxIdleShare = 0.75;

// Memory of a connection besides its request.
constexpr size_t kConnectionBytes = 1 << 10;

}  // namespace

EpollServer::EpollServer(loop::Loop& loop, const ServerOptions& options,
                         Handler handler)
    : m_loop(loop),
      m_options(options),
      m_handler(std::move(handler)),
      m_times{options.receive_timeout, options.receive_timeout},
      m_deadlines(loop, [this](Connection& slow) { OnDeadline(slow); }),
      m_timer(loop, [] {}),
      m_prepare(loop, [this] { RunQueued(); }) {
  m_events = epoll_create1(EPOLL_CLOEXEC);
  m_events_watcher = std::make_unique<loop::IoWatcher>(
      m_loop, m_events, EV_READ, [this](int) { HandleEvents(); });
  m_listener = std::make_unique<Listener>(
      loop, m_options.address, m_options.port, m_options.listen_backlog,
      [this](int descriptor, const SocketAddress&) {
        AddConnection(descriptor);
      });
  if (m_options.memory != nullptr) m_options.memory->Register(this);
}

EpollServer::~EpollServer() {
  m_stopping = true;
  if (m_options.memory != nullptr) m_options.memory->Unregister(this);
  m_listener.reset();
  m_events_watcher.reset();
  while (!m_connections.empty()) {
    Connection& connection = *m_connections.begin()->second;
    if (connection.exchange) connection.exchange->OnGone(nullptr);
    Close(connection);
  }
  ::close(m_events);
}

void EpollServer::CloseIdle() {
  while (!m_idle.empty()) CloseOldestIdle();
}

std::optional<Instant> EpollServer::OldestIdle() const {
  if (m_idle.empty()) return std::nullopt;
  return m_idle.front()->idle_since;
}

void EpollServer::CloseOldestIdle() {
  Connection& connection = *m_idle.front();
  EndIdle(connection);
  // The next request may have arrived. It is served, and the connection
  // closed after its response.
  connection.close_after_response =
      !connection.in.empty() || HasUnread(connection);
  if (!connection.close_after_response) Close(connection);
}

void EpollServer::AddConnection(int descriptor) {
  memory::Account* const account = m_options.memory;
  const bool has_memory =
      account == nullptr ||
      account->MakeRoom(memory::Claim::kNewConnection, kConnectionBytes);
  const bool too_many =
      m_connections.size() >= m_options.max_connections + kRefusalConnections;
  if (m_reject_connections || !has_memory || too_many) {
    ::close(descriptor);
    if (m_options.connections.on_rejected) m_options.connections.on_rejected();
    return;
  }
  Begin(descriptor);
  TrimIdle();
}

void EpollServer::Begin(int descriptor) {
  auto owned = std::make_unique<Connection>(m_options.memory, descriptor);
  Connection& connection = *owned;
  connection.over_limit = m_connections.size() >= m_options.max_connections;
  connection.itself.Set(kConnectionBytes);
  m_connections.emplace(&connection, std::move(owned));
  if (m_options.connections.on_accepted) m_options.connections.on_accepted();
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  connection.idle_since = m_loop.Now();
  m_deadlines.Set(connection,
                  connection.idle_since + m_options.receive_timeout);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &connection;
  epoll_ctl(m_events, EPOLL_CTL_ADD, descriptor, &event);
}

void EpollServer::Close(Connection& connection, bool stalled) {
  if (std::exchange(connection.closed, true)) return;
  EndExchange(connection, false, stalled);
  EndIdle(connection);
  std::erase(m_body_waits, &connection);
  if (connection.queued) std::erase(m_queued, &connection);
  m_deadlines.Remove(connection);
  ::close(std::exchange(connection.descriptor, -1));
  if (!connection.any_handed_over && m_options.connections.on_closed_unused)
    m_options.connections.on_closed_unused();
  connection.itself.Set(0);
  ReleaseRequest(connection);
  const auto found = m_connections.find(&connection);
  m_closed.push_back(std::move(found->second));
  m_connections.erase(found);
  RequestRun();
}

void EpollServer::ReleaseRequest(Connection& connection) {
  connection.head_bytes.Set(0);
  connection.body_bytes.Set(0);
  connection.unread_bytes.Set(0);
}

void EpollServer::Reset(Connection& connection) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
  Close(connection);
}

void EpollServer::HandleEvents() {
  std::array<epoll_event, 64> events;
  size_t count = 0;
  do {
    count = static_cast<size_t>(
        std::max(0, epoll_wait(m_events, events.data(),
                               static_cast<int>(events.size()), 0)));
    for (size_t i = 0; i < count; ++i) {
      const epoll_event& event = events.at(i);
      HandleEvent(*static_cast<Connection*>(event.data.ptr), event.events);
    }
  } while (count == events.size());
}

void EpollServer::HandleEvent(Connection& connection, uint32_t events) {
  constexpr uint32_t kEnd = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  if ((events & kEnd) != 0) OnCallerClosed(connection);
  if ((events & (EPOLLIN | kEnd)) != 0) {
    connection.readable = true;
    Read(connection);
  }
  // A write tells why a connection has failed.
  if ((events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) Write(connection);
}

void EpollServer::OnCallerClosed(Connection& connection) {
  connection.caller_closed = true;
  if (connection.closed || connection.phase != Phase::kResponse) return;
  // Keeps the exchange alive during its callbacks.
  const std::shared_ptr<ServerExchange> exchange = connection.exchange;
  // A response that is ready is still written.
  if (exchange->IsWhole()) return;
  exchange->CallerGone();
  Close(connection);
}

void EpollServer::RunQueued() {
  m_run_requested = false;
  for (Connection* const connection : std::exchange(m_queued, {})) {
    connection->queued = false;
    Write(*connection);
    Read(*connection);
  }
  GrantBodies();
  m_closed.clear();
}

void EpollServer::Queue(Connection& connection) {
  if (std::exchange(connection.queued, true)) return;
  m_queued.push_back(&connection);
  RequestRun();
}

void EpollServer::RequestRun() {
  if (!std::exchange(m_run_requested, true)) m_timer.ArmIn(0s);
}

void EpollServer::BeginIdle(Connection& connection) {
  connection.phase = Phase::kHead;
  connection.scanner = {};
  connection.head_begun = false;
  connection.head_complete = false;
  connection.extended = false;
  connection.idle_since = m_loop.Now();
  FreeText(connection.out);
  connection.in.shrink_to_fit();
  connection.head_bytes.Set(connection.in.capacity());
  connection.body_bytes.Set(0);
  m_deadlines.Set(connection, connection.idle_since + m_times.idle);
  if (connection.close_after_response) return;
  m_idle.push_back(&connection);
  connection.idle_place = std::prev(m_idle.end());
}

void EpollServer::EndIdle(Connection& connection) {
  if (connection.idle_place) m_idle.erase(*connection.idle_place);
  connection.idle_place.reset();
}

void EpollServer::TrimIdle() {
  const auto most = static_cast<size_t>(
      kMaxIdleShare * static_cast<double>(m_options.max_connections));
  while (m_idle.size() > std::max<size_t>(most, 1)) CloseOldestIdle();
  if (m_options.memory != nullptr) m_options.memory->TrimIdle();
}

void EpollServer::OnDeadline(Connection& slow) {
  const Instant now = m_loop.Now();
  switch (slow.phase) {
    case Phase::kHead:
      return OnHeadDeadline(slow, now);
    case Phase::kBody:
      return Refuse(slow, ServerRefusal::kSlowCaller);
    case Phase::kBodyWaits:
      return Refuse(slow, ServerRefusal::kNoMemory);
    case Phase::kResponse:
      return Close(slow, true);
    case Phase::kDiscarding:
      return Close(slow);
  }
}

void EpollServer::OnHeadDeadline(Connection& slow, Instant now) {
  const Instant idle_end = slow.idle_since + m_times.idle;
  // An idle connection whose time was raised meanwhile stays open.
  if (slow.used && !slow.head_begun && idle_end > now)
    return m_deadlines.Set(slow, idle_end);
  // The next request may have arrived without having been read, at the
  // deadline of an idle connection or after the loop was held up. It gets the
  // time of any request, once.
  const bool may_extend = !slow.head_begun && HasUnread(slow);
  if (may_extend && !std::exchange(slow.extended, true))
    return m_deadlines.Set(slow, now + m_times.head);
  if (slow.head_begun) return Refuse(slow, ServerRefusal::kSlowCaller);
  Close(slow);
}

std::unique_ptr<Server> MakeServer(loop::Loop& loop,
                                   const ServerOptions& options,
                                   Handler handler) {
  return std::make_unique<EpollServer>(loop, options, std::move(handler));
}

}  // namespace dotterelshift::http
