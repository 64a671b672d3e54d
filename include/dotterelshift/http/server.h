#ifndef DOTTERELSHIFT_HTTP_SERVER_H_
#define DOTTERELSHIFT_HTTP_SERVER_H_

#include <cstdint>      // for uint16_t, uint64_t
#include <functional>   // for function
#include <memory>       // for shared_ptr, unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair
#include <vector>       // for vector

#include "dotterelshift/base/time.h"  // for Duration

namespace dotterelshift::loop {
class Loop;
}
namespace dotterelshift::memory {
class Account;
}

namespace dotterelshift::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Total size in bytes of all names and values.
size_t BytesOf(const Headers& headers);

// A completely received request.
struct Request {
  std::string method;
  std::string path;   // without the query
  std::string query;  // without the '?'
  Headers headers;    // names in lower case
  std::string body;
  Instant begun{};    // when the head was complete
  bool kept = false;  // not the first request of its connection

  // Returns the value of a header by its lower-case name, empty if absent.
  std::string_view Header(std::string_view name) const;
};

// The server side of one request and its response. All calls are made on the
// loop's thread. Calls after the end of the response, or after the caller has
// disconnected, have no effect.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const Request& GetRequest() const = 0;

  // Sends a complete response.
  virtual void Answer(int status, const Headers& headers, std::string body) = 0;

  // Sends a response in chunks: the head, any number of chunks, then Finish()
  // to end it properly.
  virtual void SendHead(int status, const Headers& headers) = 0;
  virtual void WriteChunk(std::string_view chunk) = 0;
  virtual void Finish() = 0;

  // Closes the connection without the protocol's end mark, so that the caller
  // can tell that the response is incomplete.
  virtual void Abort() = 0;

  // Response bytes that have not been written to the connection yet. The sender
  // should pause above a limit of its own.
  virtual size_t Backlog() const = 0;

  // OnGone() sets a callback that is called once if the caller disconnects
  // before the end of the response; OnDrained() sets one that is called each
  // time the backlog becomes empty.
  virtual void OnGone(std::function<void()> callback) = 0;
  virtual void OnDrained(std::function<void()> callback) = 0;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

// Why the server itself refuses a request, without calling the handler.
enum class ServerRefusal {
  kHeadTooLarge,
  kBodyTooLarge,
  kTooManyConnections,
  kSlowCaller,
  kCallerClosed,  // its sending side, before the request was handed over
  kMalformed,     // it could be read in several ways, or in none
  kNoMemory,      // for the request, with what the process holds already
};

// Called for connections that have not delivered a request yet. The first
// request itself is reported by the handler.
struct ConnectionCallbacks {
  std::function<void()> on_accepted;
  std::function<void()> on_rejected;
  std::function<void()> on_closed_unused;  // closed without a request
};

// Why a request that was received in full ended without a complete response.
enum class UnansweredCause {
  kCallerClosed,       // the caller closed its sending side, or reset
  kCallerClosedFirst,  // the same before the request was handed over
  kCallerStalled,      // the caller did not read its response
  kAborted,            // by the handler
  kOwnShutdown,        // the server was destroyed
  kWriteFailed,        // not because of the caller
};
inline constexpr size_t kUnansweredCauses = 6;
std::string_view NameOf(UnansweredCause cause);
// Whether this server is to blame, and not the caller or the handler.
constexpr bool IsOwnFault(UnansweredCause cause) {
  return cause >= UnansweredCause::kOwnShutdown;
}

// A request that ended without a complete response.
struct Unanswered {
  const Request& request;  // valid during the call
  UnansweredCause cause;
  bool handed_over;  // to the handler
};

struct ServerOptions {
  std::string address = "127.0.0.1";  // an IP address
  uint16_t port = 0;                  // 0: chosen by the system
  size_t max_head_bytes = 4 << 10;
  size_t max_body_bytes = 8 << 20;
  size_t max_connections = 4096;
  // Maximum number of connections that the system queues for accept().
  int listen_backlog = 1024;
  // To receive a head, once it has begun; to receive a body; and for idle
  // connections. SetCallerTimes() changes the first and the last.
  Duration receive_timeout = 10s;
  // Returns status and body of the server's own refusals. If empty, they have a
  // default status and no body.
  std::function<std::pair<int, std::string>(ServerRefusal)> refusal;
  ConnectionCallbacks connections;
  // What the process may hold in memory; nullptr: no limit. Must outlive the
  // server.
  memory::Account* memory = nullptr;
  // Called for each request that is rejected as malformed, with the reason.
  std::function<void(std::string_view why)> on_malformed;
  // Called once for each request that was received in full and whose connection
  // ends without a complete response.
  std::function<void(const Unanswered&)> on_unanswered;
};

// How long callers may take.
struct CallerTimes {
  Duration head;  // to send a head, from its first line on
  Duration idle;  // between a response and the next request
};

// An HTTP/1.1 server on the event loop. A request that different readers could
// take for different requests is rejected, and nothing behind it on its
// connection is read.
class Server {
 public:
  virtual ~Server() = default;
  // The listening port.
  virtual uint16_t Port() const = 0;
  // Number of exchanges in progress.
  virtual size_t OpenExchanges() const = 0;
  virtual size_t OpenConnections() const = 0;
  // Bytes of request heads and bodies received since the server was created,
  // including those of incomplete requests.
  virtual uint64_t BytesReceived() const = 0;
  // Stops listening; open connections continue. The system refuses new
  // connections before their callers have sent a request.
  virtual void StopAccepting() = 0;
  // Listens again on the same port. Returns false if that fails now.
  virtual bool ResumeAccepting() = 0;
  // While on, closes new connections without reading from them, so that callers
  // know that nothing has run and can retry elsewhere at once.
  virtual void SetRejectConnections(bool on) = 0;
  // Sets the times for heads that begin from now on, and for idle connections,
  // which are not closed before their time as set now or as set when they
  // became idle, whichever is longer.
  virtual void SetCallerTimes(const CallerTimes& times) = 0;
  // Closes keep-alive connections that are waiting for their next request. If
  // it has arrived, it is served first.
  virtual void CloseIdle() = 0;
};

// Throws Error(kBadSettings) if the address cannot be bound.
std::unique_ptr<Server> MakeServer(loop::Loop& loop,
                                   const ServerOptions& options,
                                   Handler handler);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_SERVER_H_
