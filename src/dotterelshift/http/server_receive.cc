#include <sys/socket.h>  // for recv

#include <array>    // for array
#include <cerrno>   // for errno
#include <utility>  // for move

#include "dotterelshift/http/epoll_server.h"  // for EpollServer

namespace dotterelshift::http {
namespace {

using Phase = Connection::Phase;

// Most bytes of one read, and of one connection in one turn of the loop.
constexpr size_t kHeadReadBytes = 8 << 10;
constexpr size_t kBodyReadBytes = 64 << 10;
constexpr int kMaxReadsInTurn = 16;

// Memory of a request besides its head and body: with what the handler keeps of
// it.
constexpr size_t kRequestBytes = 4 << 10;

// A head is held twice, as received and as read.
constexpr size_t kHeadCopies = 2;

// Raw bytes of a head, as a multiple of max_head_bytes: white space and line
// ends do not count as the head's.
constexpr size_t kRawHeadFactor = 2;

// The head of an ordinary request that has arrived in part is smaller.
constexpr size_t kLargeHeadBytes = 4 << 10;

// For all servers, as each read is handled before the next one.
std::array<char, kBodyReadBytes>& ReadBuffer() {
  static std::array<char, kBodyReadBytes> buffer;
  return buffer;
}

}  // namespace

bool EpollServer::WantsBytes(const Connection& connection) {
  return !connection.closed && connection.readable &&
         connection.phase != Phase::kBodyWaits &&
         connection.phase != Phase::kResponse;
}

void EpollServer::Read(Connection& connection) {
  for (int i = 0; i < kMaxReadsInTurn && WantsBytes(connection); ++i)
    ReadOnce(connection);
  if (WantsBytes(connection)) Queue(connection);
}

void EpollServer::ReadOnce(Connection& connection) {
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
  const std::string_view bytes(ReadBuffer().data(), static_cast<size_t>(size));
  // Less than asked for: nothing is left, but maybe the end.
  if (bytes.size() < room && !connection.caller_closed)
    connection.readable = false;
  if (connection.phase == Phase::kBody) connection.last_received = m_loop.Now();
  Take(connection, bytes);
}

void EpollServer::OnReadEnd(Connection& connection) {
  connection.readable = false;
  connection.caller_closed = true;
  const bool has_last_words = connection.phase == Phase::kDiscarding &&
                              connection.written < connection.out.size();
  if (!has_last_words) Close(connection);
}

void EpollServer::Take(Connection& connection, std::string_view bytes) {
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

void EpollServer::TakeHeads(Connection& connection) {
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

void EpollServer::BeginHead(Connection& connection) {
  connection.head_begun = true;
  EndIdle(connection);
  m_deadlines.Set(connection, m_loop.Now() + m_times.head);
}

void EpollServer::TakeHead(Connection& connection) {
  const size_t size = connection.scanner.Size();
  const std::string_view received = connection.in;
  HeadResult read = ReadHead(received.substr(0, size));
  if (read.malformed != Malformed::kNone)
    return Reject(connection, read.malformed);
  connection.in.erase(0, size);
  OnHead(connection, std::move(read.head));
}

void EpollServer::OnHead(Connection& connection, RequestHead head) {
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

}  // namespace dotterelshift::http
