#include <sys/socket.h>  // for send, shutdown

#include <cerrno>   // for errno
#include <utility>  // for exchange

#include "dotterelshift/http/epoll_server.h"     // for EpollServer
#include "dotterelshift/http/response_writer.h"  // for MakeResponseHead

namespace dotterelshift::http {
namespace {

using Phase = Connection::Phase;

// A connection that ends is read for a while, so that its caller can read the
// last response: a close with unread bytes would reset the connection.
constexpr Duration kDiscardTime = 1s;
constexpr size_t kMaxDiscardedBodyFactor = 4;

// Most bytes of a response's body that are handed to the system at once.
constexpr size_t kWriteBlockBytes = 32 << 10;

}  // namespace

void EpollServer::RefuseClosedCaller(Connection& connection) {
  Refuse(connection, ServerRefusal::kCallerClosed);
}

void EpollServer::Reject(Connection& connection, Malformed why) {
  if (m_options.on_malformed) m_options.on_malformed(NameOf(why));
  Refuse(connection, ServerRefusal::kMalformed);
}

std::pair<int, std::string> EpollServer::RefusalOf(
    ServerRefusal refusal) const {
  if (m_options.refusal) return m_options.refusal(refusal);
  return {DefaultStatusOf(refusal), ""};
}

void EpollServer::Refuse(Connection& connection, ServerRefusal refusal) {
  const auto [status, body] = RefusalOf(refusal);
  Headers headers = {{"Content-Type", "application/json"},
                     {"Dotterelshift-Ran", "no"}};
  const bool may_return = refusal != ServerRefusal::kMalformed &&
                          refusal != ServerRefusal::kHeadTooLarge &&
                          refusal != ServerRefusal::kBodyTooLarge;
  if (may_return) headers.emplace_back("Retry-After", "1");
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

void EpollServer::BeginDiscarding(Connection& connection) {
  connection.phase = Phase::kDiscarding;
  connection.discarded_bytes = 0;
  FreeText(connection.in);
  ReleaseRequest(connection);
  m_deadlines.Set(connection, m_loop.Now() + kDiscardTime);
  if (connection.readable) Queue(connection);
}

void EpollServer::Discard(Connection& connection, size_t bytes) {
  connection.discarded_bytes += bytes;
  if (connection.discarded_bytes >
      m_options.max_body_bytes * kMaxDiscardedBodyFactor)
    Close(connection);
}

void EpollServer::Write(Connection& connection) {
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

bool EpollServer::Fill(Connection& connection) {
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

bool EpollServer::MayKeepIdle() const {
  return m_options.memory == nullptr ||
         m_options.memory->MayHold(memory::Claim::kIdleConnection, 0);
}

void EpollServer::OnResponseWritten(Connection& connection) {
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

void EpollServer::OnLastWritten(Connection& connection) {
  if (!std::exchange(connection.write_ended, true))
    ::shutdown(connection.descriptor, SHUT_WR);
  const bool is_received =
      connection.head_complete && connection.body.IsComplete();
  const bool may_come = !is_received && !connection.caller_closed;
  if (!may_come && !HasUnread(connection)) Close(connection);
}

void EpollServer::EndExchange(Connection& connection, bool whole,
                              bool stalled) {
  if (!connection.exchange) return;
  if (connection.complete && !whole) ReportUnanswered(connection, stalled);
  --m_open;
  connection.complete = false;
  connection.handed_over = false;
  std::exchange(connection.exchange, nullptr)->Detach(whole);
}

void EpollServer::ReportUnanswered(const Connection& connection,
                                   bool stalled) const {
  if (!m_options.on_unanswered) return;
  m_options.on_unanswered({.request = connection.exchange->GetRequest(),
                           .cause = CauseOf(connection, m_stopping, stalled),
                           .handed_over = connection.handed_over});
}

}  // namespace dotterelshift::http
