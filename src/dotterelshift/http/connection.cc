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
      "caller_closed", "caller_closed_first", "caller_stalled",
      "aborted",       "own_shutdown",        "write_failed"};
  return kNames.at(static_cast<size_t>(cause));
}

int DefaultStatusOf(ServerRefusal refusal) {
  constexpr int kBadRequest = 400;
  constexpr int kRequestTimeout = 408;
  constexpr int kContentTooLarge = 413;
  constexpr int kFieldsTooLarge = 431;
  constexpr int kServiceUnavailable = 503;
  switch (refusal) {
    case ServerRefusal::kMalformed:
      return kBadRequest;
    case ServerRefusal::kBodyTooLarge:
      return kContentTooLarge;
    case ServerRefusal::kHeadTooLarge:
      return kFieldsTooLarge;
    case ServerRefusal::kSlowCaller:
      return kRequestTimeout;
    case ServerRefusal::kTooManyConnections:
    case ServerRefusal::kCallerClosed:
    case ServerRefusal::kNoMemory:
      break;
  }
  return kServiceUnavailable;
}

bool HasUnread(const Connection& connection) {
  char byte = 0;
  return ::recv(connection.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

UnansweredCause CauseOf(const Connection& connection, bool stopping,
                        bool stalled) {
  if (!connection.handed_over && connection.caller_closed)
    return UnansweredCause::kCallerClosedFirst;
  if (connection.exchange->IsCallerGone())
    return UnansweredCause::kCallerClosed;
  if (stopping) return UnansweredCause::kOwnShutdown;
  if (connection.exchange->IsAborted()) return UnansweredCause::kAborted;
  if (stalled) return UnansweredCause::kCallerStalled;
  if (HasCallerClosed(connection.descriptor))
    return UnansweredCause::kCallerClosed;
  return UnansweredCause::kWriteFailed;
}

}  // namespace dotterelshift::http
