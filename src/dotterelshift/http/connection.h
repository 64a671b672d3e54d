#ifndef DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_
#define DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_

#include <microhttpd.h>  // for MHD_Connection

#include <cstddef>   // for size_t
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/base/time.h"      // for Instant
#include "dotterelshift/http/exchange.h"  // for MhdExchange
#include "dotterelshift/http/server.h"    // for UnansweredCause

namespace dotterelshift::http {

// State of a connection, stored as its socket context in the library.
struct Connection {
  MHD_Connection* handle = nullptr;
  int descriptor = -1;
  bool over_limit = false;  // accepted only to send a refusal
  bool caller_closed = false;
  bool head_begun = false;
  std::string uri;  // of the current request, not decoded
  std::shared_ptr<MhdExchange> exchange;
  size_t body_bytes = 0;
  bool used = false;  // has completed a request
  bool refused = false;
  bool complete = false;         // the current request was received in full
  bool handed_over = false;      // to the handler
  bool any_handed_over = false;  // this request or an earlier one
  bool close_after_response = false;
  bool refused_as_slow = false;  // written directly to the socket
  // Why this server has shut the connection down, if it has.
  std::optional<UnansweredCause> own_close;

  Instant idle_since;  // its start, or the end of its last request
  Instant receive_deadline;
  bool receiving = false;
  bool extended = false;  // its deadline, once for the current request
};

// Status of a refusal for which the server's options set none.
int DefaultStatusOf(ServerRefusal refusal);

// Whether bytes of the caller have arrived that the library has not read yet.
bool HasUnread(const Connection& connection);

// Writes the refusal of an incomplete request to the socket, past the library.
void WriteTimeoutRefusal(const Connection& connection, int status,
                         const std::string& body);

// Why the connection's complete request has ended without a complete response.
// `code` is the library's reason; `stopping`: the server is being destroyed.
UnansweredCause CauseOf(const Connection& connection,
                        MHD_RequestTerminationCode code, bool stopping);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_
