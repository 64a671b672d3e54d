#include "dotterelshift/http/connection.h"

#include <poll.h>        // for poll
#include <sys/socket.h>  // for recv

#include <array>  // for array

namespace dotterelshift::http {
namespace {

// Whether the caller has closed its sending side, or reset the connection. The
// event that reports it may not have been handled yet.
bool HasCallerClosed(int descriptor) {
  pollfd ends{.fd = descriptor, .events = POLLRDHUP, .revents = 0};
  return ::poll(&ends, 1, 0) > 0 && (ends.revents & (POLLRDHUP | POLLERR)) != 0;
}

}  // namespace

std::string_view NameOf(UnansweredCause cause) {
  constexpr std::array<std::string_view, kUnansweredCauses> kNames = {
      "caller_closed", "caller_closed_first", "caller_stalled", "aborted",
      "idle_close",    "receive_deadline",    "own_shutdown",   "library"};
  return kNames.at(static_cast<size_t>(cause));
}

int DefaultStatusOf(ServerRefusal refusal) {
  switch (refusal) {
    case ServerRefusal::kBodyTooLarge:
      return MHD_HTTP_CONTENT_TOO_LARGE;
    case ServerRefusal::kHeadTooLarge:
      return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case ServerRefusal::kSlowCaller:
      return MHD_HTTP_REQUEST_TIMEOUT;
    case ServerRefusal::kTooManyConnections:
    case ServerRefusal::kCallerClosed:
      break;
  }
  return MHD_HTTP_SERVICE_UNAVAILABLE;
}

bool HasUnread(const Connection& connection) {
  char byte = 0;
  return ::recv(connection.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void WriteTimeoutRefusal(const Connection& connection, int status,
                         const std::string& body) {
  const std::string answer =
      "HTTP/1.1 " + std::to_string(status) +
      " Request Timeout\r\nConnection: close\r\nContent-Type: "
      "application/json\r\nDotterelshift-Ran: no\r\nRetry-After: "
      "1\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  [[maybe_unused]] const ssize_t sent =
      ::send(connection.descriptor, answer.data(), answer.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
}

UnansweredCause CauseOf(const Connection& connection,
                        MHD_RequestTerminationCode code, bool stopping) {
  if (connection.own_close) return *connection.own_close;
  if (!connection.handed_over && connection.caller_closed)
    return UnansweredCause::kCallerClosedFirst;
  if (connection.exchange->IsCallerGone())
    return UnansweredCause::kCallerClosed;
  if (stopping) return UnansweredCause::kOwnShutdown;
  if (connection.exchange->IsAborted()) return UnansweredCause::kAborted;
  if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED)
    return UnansweredCause::kCallerStalled;
  if (HasCallerClosed(connection.descriptor))
    return UnansweredCause::kCallerClosed;
  return UnansweredCause::kLibrary;
}

}  // namespace dotterelshift::http
