#include "dotterelshift/http/server.h"

#include <netinet/tcp.h>  // for TCP_NODELAY
#include <sys/epoll.h>    // for epoll_create1
#include <sys/socket.h>   // for recv, send, shutdown
#include <unistd.h>       // for close

#include <algorithm>      // for max
#include <array>          // for array
#include <cerrno>         // for errno
#include <deque>          // for deque
#include <list>           // for list
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/http/connection.h"   // for Connection
#include "dotterelshift/http/deadlines.h"    // for Deadlines
#include "dotterelshift/http/exchange.h"     // for ServerExchange
#include "dotterelshift/http/field_rules.h"  // for EqualsIgnoringCase
#include "dotterelshift/http/listener.h"     // for Listener
#include "dotterelshift/loop/loop.h"         // for Loop

namespace dotterelshift::http {
namespace {

using Phase = Connection::Phase;

// Connections above max_connections that are accepted only to send them a
// refusal response.
constexpr size_t kRefusalConnections = 64;

// Of max_connections, so many may be idle: the others, and their descriptors,
// are left to requests.
constexpr double kMaxIdleShare = 0.75;

// A connection that ends is read for a while, so that its caller can read the
// last response: a close with unread bytes would reset the connection.
constexpr Duration kDiscardTime = 1s;
constexpr size_t kMaxDiscardedBodyFactor = 4;

// Most bytes of one read, and of one connection in one turn of the loop.
constexpr size_t kHeadReadBytes = 8 << 10;
constexpr size_t kBodyReadBytes = 64 << 10;
constexpr int kMaxReadsInTurn = 16;

// Most bytes of a response's body that are handed to the system at once.
constexpr size_t kWriteBlockBytes = 32 << 10;

// Memory of a connection, and of a request besides its head and body: with what
// the handler keeps of it.
constexpr size_t kConnectionBytes = 1 << 10;
constexpr size_t kRequestBytes = 4 << 10;

// A head is held twice, as received and as read.
constexpr size_t kHeadCopies = 2;

// Raw bytes of a head, as a multiple of max_head_bytes: white space and line
// ends do not count as the head's.
constexpr size_t kRawHeadFactor = 2;

// The head of an ordinary request that has arrived in part is smaller.
constexpr size_t kLargeHeadBytes = 4 << 10;

// A body up to this size is part of an ordinary request.
constexpr size_t kSmallBodyBytes = 16 << 10;

// What memory for a chunked body grows by at least.
constexpr size_t kChunkedBodyStep = 64 << 10;

// How long a large body may wait for memory, and what its connection holds
// meanwhile of bytes that have arrived. Callers leave after a second without a
// sign that they are read.
constexpr Duration kMaxBodyWait = 500ms;
constexpr size_t kUnreadBytes = 16 << 10;

// Without a byte for so long, a large body yields its memory to those that
// wait.
constexpr Duration kStalledBody = 1s;
constexpr Duration kStalledCheckInterval = 20ms;

// Empties a text and returns its memory, which an assignment would keep.
void Free(std::string& text) { std::string().swap(text); }

// For all servers, as each read is handled before the next one.
std::array<char, kBodyReadBytes>& ReadBuffer() {
  static std::array<char, kBodyReadBytes> buffer;
  return buffer;
}

class EpollServer : public Server, public memory::IdleConnections {
 public:
  EpollServer(loop::Loop& loop, const ServerOptions& options, Handler handler)
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

  ~EpollServer() override {
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

  uint16_t Port() const override { return m_listener->Port(); }

  size_t OpenExchanges() const override { return m_open; }
  size_t OpenConnections() const override { return m_connections.size(); }
  uint64_t BytesReceived() const override { return m_bytes_received; }

  void StopAccepting() override { m_listener->Pause(); }
  bool ResumeAccepting() override { return m_listener->Resume(); }

  void SetRejectConnections(bool on) override { m_reject_connections = on; }

  void SetCallerTimes(const CallerTimes& times) override { m_times = times; }

  void CloseIdle() override {
    while (!m_idle.empty()) CloseOldestIdle();
  }

  std::optional<Instant> OldestIdle() const override {
    if (m_idle.empty()) return std::nullopt;
    return m_idle.front()->idle_since;
  }

  void CloseOldestIdle() override {
    Connection& connection = *m_idle.front();
    EndIdle(connection);
    // The next request may have arrived. It is served, and the connection
    // closed after its response.
    connection.close_after_response =
        !connection.in.empty() || HasUnread(connection);
    if (!connection.close_after_response) Close(connection);
  }

 private:
  // Connections.

  void AddConnection(int descriptor) {
    memory::Account* const account = m_options.memory;
    const bool has_memory =
        account == nullptr ||
        account->MakeRoom(memory::Claim::kNewConnection, kConnectionBytes);
    const bool too_many =
        m_connections.size() >= m_options.max_connections + kRefusalConnections;
    if (m_reject_connections || !has_memory || too_many) {
      ::close(descriptor);
      if (m_options.connections.on_rejected)
        m_options.connections.on_rejected();
      return;
    }
    Begin(descriptor);
    TrimIdle();
  }

  void Begin(int descriptor) {
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

  // Ends the connection. Its object lives until the end of the turn, as callers
  // of this function may still hold it.
  void Close(Connection& connection, bool stalled = false) {
    if (std::exchange(connection.closed, true)) return;
    EndExchange(connection, false, stalled);
    EndIdle(connection);
    std::erase(m_body_waits, &connection);
    if (connection.queued) std::erase(m_queued, &connection);
    m_deadlines.Remove(connection);
    ::close(std::exchange(connection.descriptor, -1));
    if (!connection.any_handed_over && m_options.connections.on_closed_unused)
      m_options.connections.on_closed_unused();
    ReleaseMemory(connection);
    const auto found = m_connections.find(&connection);
    m_closed.push_back(std::move(found->second));
    m_connections.erase(found);
    RequestRun();
  }

  static void ReleaseMemory(Connection& connection) {
    connection.itself.Set(0);
    connection.head_bytes.Set(0);
    connection.body_bytes.Set(0);
    connection.unread_bytes.Set(0);
  }

  // Ends the connection with a reset: nothing else would tell its caller that
  // the response is not complete.
  void Reset(Connection& connection) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof at_once);
    Close(connection);
  }

  // Events of the connections.

  // Handles all connections that are ready in this iteration of the loop: an
  // exchange in flight ends at once when its caller closes its sending side,
  // because requests are sent in the next iteration.
  void HandleEvents() {
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

  void HandleEvent(Connection& connection, uint32_t events) {
    constexpr uint32_t kEnd = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    if ((events & kEnd) != 0) OnCallerClosed(connection);
    if ((events & (EPOLLIN | kEnd)) != 0) {
      connection.readable = true;
      Read(connection);
    }
    // A write tells why a connection has failed.
    if ((events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) Write(connection);
  }

  void OnCallerClosed(Connection& connection) {
    connection.caller_closed = true;
    if (connection.closed || connection.phase != Phase::kResponse) return;
    // Keeps the exchange alive during its callbacks.
    const std::shared_ptr<ServerExchange> exchange = connection.exchange;
    // A response that is ready is still written.
    if (exchange->IsWhole()) return;
    exchange->CallerGone();
    Close(connection);
  }

  // Runs what was put off until just before the loop waits: responses are
  // written at once for all that was added in one iteration.
  void RunQueued() {
    m_run_requested = false;
    for (Connection* const connection : std::exchange(m_queued, {})) {
      connection->queued = false;
      Write(*connection);
      Read(*connection);
    }
    GrantBodies();
    m_closed.clear();
  }

  void Queue(Connection& connection) {
    if (std::exchange(connection.queued, true)) return;
    m_queued.push_back(&connection);
    RequestRun();
  }

  // Makes the loop not wait before the next run.
  void RequestRun() {
    if (!std::exchange(m_run_requested, true)) m_timer.ArmIn(0s);
  }

  // Receiving.

  static bool WantsBytes(const Connection& connection) {
    return !connection.closed && connection.readable &&
           connection.phase != Phase::kBodyWaits &&
           connection.phase != Phase::kResponse;
  }

  void Read(Connection& connection) {
    for (int i = 0; i < kMaxReadsInTurn && WantsBytes(connection); ++i)
      ReadOnce(connection);
    if (WantsBytes(connection)) Queue(connection);
  }

  void ReadOnce(Connection& connection) {
    const size_t room =
        connection.phase == Phase::kHead ? kHeadReadBytes : kBodyReadBytes;
    const ssize_t size =
        ::recv(connection.descriptor, ReadBuffer().data(), room, MSG_DONTWAIT);
    if (size < 0 && errno == EINTR) return;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      connection.readable = false;
      return;
    }
    if (size <= 0) return OnReadEnd(connection);
    const std::string_view bytes(ReadBuffer().data(),
                                 static_cast<size_t>(size));
    // Less than asked for: nothing is left, but maybe the end.
    if (bytes.size() < room && !connection.caller_closed)
      connection.readable = false;
    connection.last_received = m_loop.Now();
    Take(connection, bytes);
  }

  // The end of what the caller sends. No response follows to a request that is
  // not complete.
  void OnReadEnd(Connection& connection) {
    connection.readable = false;
    connection.caller_closed = true;
    const bool has_last_words = connection.phase == Phase::kDiscarding &&
                                connection.written < connection.out.size();
    if (!has_last_words) Close(connection);
  }

  void Take(Connection& connection, std::string_view bytes) {
    switch (connection.phase) {
      case Phase::kHead:
        connection.in.append(bytes);
        return TakeHeads(connection);
      case Phase::kBody:
        return TakeBody(connection, bytes);
      case Phase::kDiscarding:
        return Discard(connection, bytes.size());
      case Phase::kBodyWaits:
      case Phase::kResponse:
        return;
    }
  }

  void TakeHeads(Connection& connection) {
    if (connection.in.empty()) return;
    const HeadScanner::State state = connection.scanner.Scan(connection.in);
    connection.head_bytes.Set(connection.in.capacity());
    if (!connection.head_begun && connection.scanner.HasBegun())
      BeginHead(connection);
    switch (state) {
      case HeadScanner::State::kMalformed:
        return Reject(connection, connection.scanner.Why());
      case HeadScanner::State::kComplete:
        return TakeHead(connection);
      case HeadScanner::State::kMore:
        break;
    }
    if (connection.in.size() > kRawHeadFactor * m_options.max_head_bytes)
      return Refuse(connection, ServerRefusal::kHeadTooLarge);
    const bool is_large = connection.in.size() > kLargeHeadBytes;
    if (is_large && !MayHold(memory::Claim::kLargeRequest, 0))
      Refuse(connection, ServerRefusal::kNoMemory);
  }

  void BeginHead(Connection& connection) {
    connection.head_begun = true;
    EndIdle(connection);
    m_deadlines.Set(connection, m_loop.Now() + m_times.head);
  }

  void TakeHead(Connection& connection) {
    const size_t size = connection.scanner.Size();
    HeadResult read = ReadHead(std::string_view(connection.in).substr(0, size));
    if (read.malformed != Malformed::kNone)
      return Reject(connection, read.malformed);
    connection.in.erase(0, size);
    OnHead(connection, std::move(read.head));
  }

  void OnHead(Connection& connection, RequestHead head) {
    connection.head_complete = true;
    connection.body = BodyReader(head);
    // What follows may be meant as its body.
    if (MayLackFraming(head)) connection.close_after_response = true;
    if (connection.over_limit)
      return Refuse(connection, ServerRefusal::kTooManyConnections);
    const ResponseTerms terms = {.http_1_0 = head.http_1_0,
                                 .head_only = head.method == "HEAD",
                                 .keep_alive = head.keep_alive};
    connection.exchange = std::make_shared<ServerExchange>(
        m_options.memory, terms, [this, &connection] { Queue(connection); });
    ++m_open;
    Request& request = connection.exchange->MutableRequest();
    request.begun = m_loop.Now();
    request.kept = connection.used;
    const size_t head_bytes = head.target.size() + BytesOf(head.headers);
    m_bytes_received += head_bytes;
    const size_t mark = head.target.find('?');
    request.method = std::move(head.method);
    request.path = head.target.substr(0, mark);
    if (mark != std::string::npos) request.query = head.target.substr(mark + 1);
    request.headers = std::move(head.headers);
    if (head_bytes > m_options.max_head_bytes)
      return Refuse(connection, ServerRefusal::kHeadTooLarge);
    if (head.length.value_or(0) > m_options.max_body_bytes)
      return Refuse(connection, ServerRefusal::kBodyTooLarge);
    connection.head_bytes.Set(connection.in.capacity() + kRequestBytes +
                              kHeadCopies * head_bytes);
    m_deadlines.Set(connection, m_loop.Now() + m_options.receive_timeout);
    AdmitBody(connection, head.expects_continue);
  }

  // Bodies.

  // Decides whether there is memory for the request and its body now, later or
  // not at all.
  void AdmitBody(Connection& connection, bool expects_continue) {
    const uint64_t length = connection.body.Left();
    const bool is_large = length > kSmallBodyBytes;
    connection.awaits_continue = expects_continue;
    if (MayHold(
            is_large ? memory::Claim::kLargeRequest : memory::Claim::kRequest,
            length))
      return BeginBody(connection);
    if (is_large && MayHold(memory::Claim::kRequest, kUnreadBytes))
      return PutOffBody(connection);
    Refuse(connection, ServerRefusal::kNoMemory);
  }

  bool MayHold(memory::Claim claim, size_t bytes) const {
    return m_options.memory == nullptr ||
           m_options.memory->MakeRoom(claim, bytes);
  }

  void PutOffBody(Connection& connection) {
    connection.phase = Phase::kBodyWaits;
    connection.unread_bytes.Set(kUnreadBytes);
    m_deadlines.Set(connection, m_loop.Now() + kMaxBodyWait);
    m_body_waits.push_back(&connection);
  }

  void BeginBody(Connection& connection) {
    connection.phase = Phase::kBody;
    connection.unread_bytes.Set(0);
    connection.last_received = m_loop.Now();
    const uint64_t length = connection.body.Left();
    connection.body_bytes.Set(length);
    connection.exchange->MutableRequest().body.reserve(length);
    // What has arrived already needs no invitation.
    if (connection.awaits_continue && !connection.body.IsComplete() &&
        connection.in.empty()) {
      connection.out = "HTTP/1.1 100 Continue\r\n\r\n";
      Write(connection);
    }
    if (connection.closed) return;
    const std::string received = std::exchange(connection.in, {});
    TakeBody(connection, received);
  }

  // Lets bodies that wait for memory be read, in the order of their arrival.
  void GrantBodies() {
    while (!m_body_waits.empty()) {
      Connection& first = *m_body_waits.front();
      if (!MayHold(memory::Claim::kLargeRequest, first.body.Left()))
        return RefuseStalledBody();
      m_body_waits.pop_front();
      m_deadlines.Set(first, m_loop.Now() + m_options.receive_timeout);
      BeginBody(first);
      Read(first);
    }
  }

  // Ends the request whose body has stalled for longest, so that those that
  // wait get its memory.
  void RefuseStalledBody() {
    const Instant now = m_loop.Now();
    if (now - m_stalled_checked < kStalledCheckInterval) return;
    m_stalled_checked = now;
    Connection* const stalled = FindStalledBody();
    if (stalled != nullptr) Refuse(*stalled, ServerRefusal::kSlowCaller);
  }

  Connection* FindStalledBody() const {
    Connection* found = nullptr;
    Instant earliest = m_loop.Now() - kStalledBody;
    for (const auto& [connection, owned] : m_connections) {
      const bool is_large = connection->phase == Phase::kBody &&
                            connection->body_bytes.Bytes() > kSmallBodyBytes;
      if (!is_large || connection->last_received > earliest) continue;
      earliest = connection->last_received;
      found = connection;
    }
    return found;
  }

  void TakeBody(Connection& connection, std::string_view bytes) {
    std::string& body = connection.exchange->MutableRequest().body;
    const size_t before = body.size();
    const size_t taken = connection.body.Take(bytes, &body);
    m_bytes_received += body.size() - before;
    if (connection.body.IsMalformed())
      return Reject(connection, connection.body.Why());
    if (body.size() > m_options.max_body_bytes)
      return Refuse(connection, ServerRefusal::kBodyTooLarge);
    if (!GrowBody(connection, body.size()))
      return Refuse(connection, ServerRefusal::kNoMemory);
    if (!connection.body.IsComplete()) return;
    connection.in = bytes.substr(taken);
    OnRequestComplete(connection);
  }

  // Memory for a body whose length was not stated.
  bool GrowBody(Connection& connection, size_t bytes) const {
    const size_t held = connection.body_bytes.Bytes();
    if (bytes <= held) return true;
    const size_t wanted = std::max(bytes, 2 * held);
    const bool is_large = wanted > kSmallBodyBytes;
    const size_t more =
        is_large ? std::max(wanted - held, kChunkedBodyStep) : wanted - held;
    if (!MayHold(
            is_large ? memory::Claim::kLargeRequest : memory::Claim::kRequest,
            more))
      return false;
    connection.body_bytes.Set(held + more);
    return true;
  }

  void OnRequestComplete(Connection& connection) {
    m_deadlines.Remove(connection);
    connection.complete = true;
    if (connection.caller_closed) return RefuseClosedCaller(connection);
    connection.phase = Phase::kResponse;
    const std::shared_ptr<ServerExchange> exchange = connection.exchange;
    if (connection.close_after_response) exchange->CloseAfterResponse();
    connection.handed_over = true;
    connection.any_handed_over = true;
    m_handler(exchange);
  }

  // Refusals of the server itself.

  // A caller that closes its sending side is taken for gone: its full close
  // looks the same until something is written. One that still reads learns that
  // nothing ran.
  void RefuseClosedCaller(Connection& connection) {
    Refuse(connection, ServerRefusal::kCallerClosed);
  }

  void Reject(Connection& connection, Malformed why) {
    if (m_options.on_malformed) m_options.on_malformed(NameOf(why));
    Refuse(connection, ServerRefusal::kMalformed);
  }

  std::pair<int, std::string> RefusalOf(ServerRefusal refusal) const {
    if (m_options.refusal) return m_options.refusal(refusal);
    return {DefaultStatusOf(refusal), ""};
  }

  // Sends the refusal and ends the connection. Nothing behind the request is
  // read.
  void Refuse(Connection& connection, ServerRefusal refusal) {
    const auto [status, body] = RefusalOf(refusal);
    Headers headers = {{"Content-Type", "application/json"},
                       {"Dotterelshift-Ran", "no"}};
    const bool may_return = refusal != ServerRefusal::kMalformed &&
                            refusal != ServerRefusal::kHeadTooLarge &&
                            refusal != ServerRefusal::kBodyTooLarge;
    if (may_return) headers.emplace_back("Retry-After", "1");
    connection.expects_more =
        !connection.head_complete || !connection.body.IsComplete();
    EndExchange(connection, false, false);
    EndIdle(connection);
    std::erase(m_body_waits, &connection);
    connection.out = MakeResponseHead(status, headers, ResponseFraming::kLength,
                                      body.size(), true, {}) +
                     body;
    connection.written = 0;
    BeginDiscarding(connection);
    Write(connection);
  }

  void BeginDiscarding(Connection& connection) {
    connection.phase = Phase::kDiscarding;
    connection.discarded_bytes = 0;
    Free(connection.in);
    ReleaseMemory(connection);
    connection.itself.Set(kConnectionBytes);
    m_deadlines.Set(connection, m_loop.Now() + kDiscardTime);
    if (connection.readable) Queue(connection);
  }

  void Discard(Connection& connection, size_t bytes) {
    connection.discarded_bytes += bytes;
    if (connection.discarded_bytes >
        m_options.max_body_bytes * kMaxDiscardedBodyFactor)
      Close(connection);
  }

  // Sending.

  void Write(Connection& connection) {
    while (!connection.closed) {
      if (connection.written == connection.out.size() && !Fill(connection))
        return;
      const ssize_t size = ::send(connection.descriptor,
                                  connection.out.data() + connection.written,
                                  connection.out.size() - connection.written,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size < 0 && errno == EINTR) continue;
      if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        // The deadline counts from the last byte that the caller has taken.
        if (connection.phase == Phase::kResponse && !connection.has_deadline)
          m_deadlines.Set(connection, m_loop.Now() + m_options.receive_timeout);
        return;
      }
      if (size < 0) return Close(connection);
      connection.written += static_cast<size_t>(size);
      if (connection.phase == Phase::kResponse) m_deadlines.Remove(connection);
    }
  }

  // Gets the next bytes to be written. Returns false if there are none now, and
  // ends the request, or the connection, if none will come.
  bool Fill(Connection& connection) {
    connection.out.clear();
    connection.written = 0;
    if (connection.phase == Phase::kDiscarding) {
      OnLastWritten(connection);
      return false;
    }
    if (connection.phase != Phase::kResponse) return false;
    // Keeps the exchange alive during its callbacks.
    const std::shared_ptr<ServerExchange> exchange = connection.exchange;
    if (!MayKeepIdle()) exchange->CloseAfterResponse();
    exchange->Produce(kWriteBlockBytes, &connection.out);
    if (!connection.out.empty()) return true;
    if (exchange->IsProduced()) {
      OnResponseWritten(connection);
    } else if (exchange->IsCut()) {
      exchange->EndsWithConnection() ? Reset(connection) : Close(connection);
    }
    return false;
  }

  // Whether there is memory for connections that wait for their next request.
  // Their callers are told otherwise, before the last response.
  bool MayKeepIdle() const {
    return m_options.memory == nullptr ||
           m_options.memory->MayHold(memory::Claim::kIdleConnection, 0);
  }

  void OnResponseWritten(Connection& connection) {
    const bool keeps = !connection.exchange->ClosesConnection();
    EndExchange(connection, true, false);
    connection.used = true;
    if (!keeps) {
      BeginDiscarding(connection);
      return OnLastWritten(connection);
    }
    BeginIdle(connection);
    TakeHeads(connection);
    if (WantsBytes(connection)) Queue(connection);
    TrimIdle();
  }

  // Nothing more is written. The connection is closed at once unless bytes of
  // its caller are still to come or to be read.
  void OnLastWritten(Connection& connection) {
    if (!std::exchange(connection.write_ended, true))
      ::shutdown(connection.descriptor, SHUT_WR);
    const bool may_come = connection.expects_more && !connection.caller_closed;
    if (!may_come && !HasUnread(connection)) Close(connection);
  }

  void EndExchange(Connection& connection, bool whole, bool stalled) {
    if (!connection.exchange) return;
    if (connection.complete && !whole) ReportUnanswered(connection, stalled);
    --m_open;
    connection.complete = false;
    connection.handed_over = false;
    std::exchange(connection.exchange, nullptr)->Detach(whole);
  }

  void ReportUnanswered(const Connection& connection, bool stalled) const {
    if (!m_options.on_unanswered) return;
    m_options.on_unanswered({.request = connection.exchange->GetRequest(),
                             .cause = CauseOf(connection, m_stopping, stalled),
                             .handed_over = connection.handed_over});
  }

  // Idle connections and deadlines.

  void BeginIdle(Connection& connection) {
    connection.phase = Phase::kHead;
    connection.scanner = {};
    connection.head_begun = false;
    connection.head_complete = false;
    connection.extended = false;
    connection.idle_since = m_loop.Now();
    Free(connection.out);
    connection.in.shrink_to_fit();
    connection.head_bytes.Set(connection.in.capacity());
    connection.body_bytes.Set(0);
    m_deadlines.Set(connection, connection.idle_since + m_times.idle);
    if (connection.close_after_response) return;
    m_idle.push_back(&connection);
    connection.idle_place = std::prev(m_idle.end());
  }

  void EndIdle(Connection& connection) {
    if (connection.idle_place) m_idle.erase(*connection.idle_place);
    connection.idle_place.reset();
  }

  void TrimIdle() {
    const auto most = static_cast<size_t>(
        kMaxIdleShare * static_cast<double>(m_options.max_connections));
    while (m_idle.size() > std::max<size_t>(most, 1)) CloseOldestIdle();
    if (m_options.memory != nullptr) m_options.memory->TrimIdle();
  }

  void OnDeadline(Connection& slow) {
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

  void OnHeadDeadline(Connection& slow, Instant now) {
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

  loop::Loop& m_loop;
  const ServerOptions m_options;
  const Handler m_handler;
  int m_events = -1;
  bool m_run_requested = false;
  bool m_reject_connections = false;
  bool m_stopping = false;
  size_t m_open = 0;
  uint64_t m_bytes_received = 0;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> m_connections;
  // Ended in this turn of the loop.
  std::vector<std::unique_ptr<Connection>> m_closed;
  std::vector<Connection*> m_queued;
  std::list<Connection*> m_idle;  // the one that is idle for longest first
  std::deque<Connection*> m_body_waits;
  Instant m_stalled_checked{};
  CallerTimes m_times;
  Deadlines m_deadlines;
  std::unique_ptr<Listener> m_listener;
  std::unique_ptr<loop::IoWatcher> m_events_watcher;
  loop::Timer m_timer;
  loop::PrepareWatcher m_prepare;
};

}  // namespace

std::unique_ptr<Server> MakeServer(loop::Loop& loop,
                                   const ServerOptions& options,
                                   Handler handler) {
  return std::make_unique<EpollServer>(loop, options, std::move(handler));
}

}  // namespace dotterelshift::http
