#ifndef DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_
#define DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_

#include <cstddef>   // for size_t
#include <cstdint>   // for uint8_t
#include <list>      // for list
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "dotterelshift/base/time.h"          // for Instant
#include "dotterelshift/http/body_reader.h"   // for BodyReader
#include "dotterelshift/http/exchange.h"      // for ServerExchange
#include "dotterelshift/http/request_head.h"  // for HeadScanner
#include "dotterelshift/http/server.h"        // for UnansweredCause
#include "dotterelshift/memory/account.h"     // for Holding

namespace dotterelshift::http {

// A caller's connection.
struct Connection {
  enum class Phase : uint8_t {
    kHead,        // waits for a head, or receives it
    kBodyWaits,   // its body is not read, as there is no memory for it
    kBody,        // receives it
    kResponse,    // the request was handed over
    kDiscarding,  // it ends; what still arrives is discarded
  };

  Connection(memory::Account* account, int socket)
      : descriptor(socket),
        itself(account, memory::Use::kConnections),
        head_bytes(account, memory::Use::kHeads),
        body_bytes(account, memory::Use::kBodies),
        unread_bytes(account, memory::Use::kUnread) {}

  int descriptor;
  bool over_limit = false;  // accepted only to send a refusal
  bool closed = false;
  bool caller_closed = false;
  bool readable = false;  // bytes may be there that were not read
  bool queued = false;    // to be written to, or read from, in the next turn
  bool used = false;      // has completed a request
  bool any_handed_over = false;  // this request or an earlier one
  bool close_after_response = false;
  bool awaits_continue = false;  // before it sends the body
  bool write_ended = false;

  Phase phase = Phase::kHead;
  HeadScanner scanner;
  std::string in;  // received, and not taken yet
  BodyReader body;
  std::shared_ptr<ServerExchange> exchange;
  bool head_begun = false;
  bool head_complete = false;
  bool complete = false;     // the current request was received in full
  bool handed_over = false;  // to the handler
  bool extended = false;     // its deadline, once for the current request
  uint64_t discarded_bytes = 0;
  Instant last_received{};

  std::string out;  // to be written
  size_t written = 0;

  Instant idle_since;  // its start, or the end of its last request
  // Its place among those that are idle, while it is.
  std::optional<std::list<Connection*>::iterator> idle_place;
  Instant deadline;
  bool has_deadline = false;

  memory::Holding itself;
  memory::Holding head_bytes;
  memory::Holding body_bytes;
  memory::Holding unread_bytes;
};

// Empties a text and returns its memory, which an assignment would keep.
inline void FreeText(std::string& text) { std::string().swap(text); }

// Status of a refusal for which the server's options set none.
int DefaultStatusOf(ServerRefusal refusal);

// Whether bytes of the caller have arrived that were not read yet.
bool HasUnread(const Connection& connection);

// Why the connection's complete request has ended without a complete response.
// `stopping`: the server is being destroyed; `stalled`: its caller did not read
// in time.
UnansweredCause CauseOf(const Connection& connection, bool stopping,
                        bool stalled);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_CONNECTION_H_
