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

namespace dotterelshift::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Of the names and values.
size_t BytesOf(const Headers& headers);

// A request that has arrived whole.
struct Request {
  std::string method;
  std::string path;   // without the query
  std::string query;  // without the '?'
  Headers headers;    // names in lower case
  std::string body;
  Instant begun{};    // when the head had come in
  bool kept = false;  // its connection has carried a request before

  // The value of a header by its lower-case name; empty when it is not there.
  std::string_view Header(std::string_view name) const;
};

// The server's side of one request and its answer. Every call is made on the
// loop's thread; after the end or the caller's going the calls do nothing.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual const Request& GetRequest() const = 0;

  // Answers with a whole body at once.
  virtual void Answer(int status, const Headers& headers, std::string body) = 0;

  // Answers piece by piece: the head, any number of pieces, then Finish() for a
  // proper end.
  virtual void SendHead(int status, const Headers& headers) = 0;
  virtual void WriteChunk(std::string_view chunk) = 0;
  virtual void Finish() = 0;

  // Ends the connection without the protocol's end mark, so that the caller
  // sees that the answer is not whole.
  virtual void Abort() = 0;

  // Bytes handed over that the caller has not taken yet; the sender pauses
  // above a bound of its own.
  virtual size_t Backlog() const = 0;

  // Called once when the caller has gone before the end; and each time the
  // backlog has been taken.
  virtual void OnGone(std::function<void()> callback) = 0;
  virtual void OnDrained(std::function<void()> callback) = 0;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

// What a request that the server itself refuses is answered with (too large,
// too slow, too many).
enum class ServerRefusal {
  kHeadTooLarge,
  kBodyTooLarge,
  kTooManyConnections,
  kSlowCaller,
};

// Told of connections that have not brought a request yet. Their first request
// comes to the handler.
struct ConnectionCallbacks {
  std::function<void()> on_accepted;
  std::function<void()> on_rejected;
  std::function<void()> on_closed_unused;  // ended without a request
};

struct ServerOptions {
  std::string address = "127.0.0.1";  // an IP number
  uint16_t port = 0;                  // 0: the system chooses
  size_t max_head_bytes = 4 << 10;
  size_t max_body_bytes = 8 << 20;
  size_t max_connections = 4096;
  // Connections that the system holds until the server takes them.
  int listen_backlog = 1024;
  Duration receive_timeout =
      10s;  // for the whole head and body to arrive, and for idle connections
  // Makes the body of the server's own refusals; empty: a bare status.
  std::function<std::pair<int, std::string>(ServerRefusal)> refusal;
  ConnectionCallbacks connections;
};

// An HTTP/1.1 server on the loop (libmicrohttpd, no threads of its own).
class Server {
 public:
  virtual ~Server() = default;
  // The port it listens on.
  virtual uint16_t Port() const = 0;
  // Exchanges begun and not ended.
  virtual size_t OpenExchanges() const = 0;
  virtual size_t OpenConnections() const = 0;
  // Of requests' heads and bodies, as they come, since the start.
  virtual uint64_t BytesReceived() const = 0;
  // Takes no more connections; those open go on. Who connects is turned away by
  // the system, before a request is sent.
  virtual void StopAccepting() = 0;
  // Takes connections again, on the same port; false when it cannot now.
  virtual bool ResumeAccepting() = 0;
  // While on, closes connections as they come, unread, so that callers know
  // that nothing has run and may ask elsewhere at once.
  virtual void SetRejectConnections(bool on) = 0;
  // Ends connections that wait for their caller's next request.
  virtual void CloseIdle() = 0;
};

// Throws Error(kBadSettings) when the address cannot be bound.
std::unique_ptr<Server> MakeServer(loop::Loop& loop,
                                   const ServerOptions& options,
                                   Handler handler);

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_SERVER_H_
