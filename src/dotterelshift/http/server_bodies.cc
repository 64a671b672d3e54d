#include <algorithm>  // for max
#include <utility>    // for exchange

#include "dotterelshift/http/epoll_server.h"  // for EpollServer

namespace dotterelshift::http {
namespace {

using Phase = Connection::Phase;

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

}  // namespace

void EpollServer::AdmitBody(Connection& connection, bool expects_continue) {
  const uint64_t length = connection.body.Left();
  const bool is_large = length > kSmallBodyBytes;
  connection.awaits_continue = expects_continue;
  if (MayHold(is_large ? memory::Claim::kLargeRequest : memory::Claim::kRequest,
              length))
    return BeginBody(connection);
  if (is_large && MayHold(memory::Claim::kRequest, kUnreadBytes))
    return PutOffBody(connection);
  Refuse(connection, ServerRefusal::kNoMemory);
}

bool EpollServer::MayHold(memory::Claim claim, size_t bytes) const {
  return m_options.memory == nullptr ||
         m_options.memory->MakeRoom(claim, bytes);
}

void EpollServer::PutOffBody(Connection& connection) {
  connection.phase = Phase::kBodyWaits;
  connection.unread_bytes.Set(kUnreadBytes);
  m_deadlines.Set(connection, m_loop.Now() + kMaxBodyWait);
  m_body_waits.push_back(&connection);
}

void EpollServer::BeginBody(Connection& connection) {
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

void EpollServer::GrantBodies() {
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

void EpollServer::RefuseStalledBody() {
  const Instant now = m_loop.Now();
  if (now - m_stalled_checked < kStalledCheckInterval) return;
  m_stalled_checked = now;
  Connection* const stalled = FindStalledBody();
  if (stalled != nullptr) Refuse(*stalled, ServerRefusal::kSlowCaller);
}

Connection* EpollServer::FindStalledBody() const {
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

void EpollServer::TakeBody(Connection& connection, std::string_view bytes) {
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

bool EpollServer::GrowBody(Connection& connection, size_t bytes) const {
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

void EpollServer::OnRequestComplete(Connection& connection) {
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

}  // namespace dotterelshift::http
