#ifndef DOTTERELSHIFT_HTTP_CLIENT_H_
#define DOTTERELSHIFT_HTTP_CLIENT_H_

#include <cstdint>      // for uint64_t
#include <functional>   // for function
#include <memory>       // for unique_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/http/server.h"  // for Headers

namespace dotterelshift::loop {
class Loop;
}

namespace dotterelshift::http {

// Outcome of a transfer.
enum class TransferEnd {
  kWhole,             // the response is complete, as its framing says
  kNotSent,           // the request was not sent
  kRelayFailed,       // not sent either: the relay did not try its server
  kFailedBeforeHead,  // request sent in part or whole, no head received
  kCut,               // the response ended early, after its head
  kTimedOut,          // total_timeout expired
  kTooLarge,          // body or head larger than may be held; left
};

// A relay through which a connection is made (HTTP CONNECT).
struct Relay {
  std::string address;  // IP:port
  std::string token;    // sent to the relay as proof of authorisation
};

struct ClientRequest {
  std::string method = "POST";
  std::string url;  // the host is an IP address; names are not resolved
  Headers headers;
  std::string body;
  // Is sent instead of `body`, unless it is null.
  std::shared_ptr<const std::string> shared_body;
  Duration connect_timeout = 1s;
  Duration total_timeout = 0s;  // 0: no limit
  std::optional<Relay> relay;   // nullopt: a direct connection
  // By which the server's response names the request. Two requests of one id
  // are never sent on the same connection: the response to the first, sent once
  // more, would be taken for that to the second. Empty: it has none.
  std::string id;

  const std::string& Body() const { return shared_body ? *shared_body : body; }
};

// Describes how a request was handed over to its connection.
struct HandOver {
  size_t bytes = 0;
  bool new_connection = false;
  Duration connected_in = 0s;     // time to connect; 0 for a reused connection
  int local_port = 0;             // of the connection
  uint32_t earlier_requests = 0;  // sent on the connection before
  // Since the last response with an error status; nullopt: it had none.
  std::optional<Duration> since_error;
};

// Tells the response that is due on a connection from others.
struct DueResponse {
  // Whether a response with this head is due.
  std::function<bool(int status, const Headers& headers)> is_due;
  // A response that is not due was discarded. Empty: nobody wants to know.
  std::function<void(int status, const Headers& headers)> on_skipped;
};

// Callbacks of a transfer, called on the loop's thread and never after
// Cancel(). Empty callbacks are skipped.
struct TransferCallbacks {
  // Called just before the request is handed over to its connection. Must not
  // start or cancel transfers.
  std::function<void(const HandOver& what)> on_handed_over;
  std::function<void(int status, const Headers& headers)> on_head;
  // Which response is due, on a connection that is reused: others are skipped.
  // Without it the first one is.
  DueResponse due;
  // Returns false to pause the transfer until Resume(). The chunk counts as
  // consumed in both cases.
  std::function<bool(std::string_view chunk)> on_chunk;
  std::function<void(TransferEnd end)> on_end;
};

using TransferId = uint64_t;

// An HTTP/1.1 client on the event loop (libcurl multi) that reuses connections.
// Start() and Resume() never call back directly. A request is sent at most
// once: if a reused connection turns out to be closed, the transfer ends.
class Client {
 public:
  virtual ~Client() = default;
  virtual TransferId Start(ClientRequest request,
                           TransferCallbacks callbacks) = 0;
  // Resets the transfer's connection, so that the server notices the disconnect
  // and the unsent bytes of the request are discarded. Returns whether that has
  // happened: there may be no connection, and from within a callback of a
  // transfer the reset follows once the callback has returned.
  virtual bool Cancel(TransferId transfer) = 0;
  // Cancels a transfer if no byte of its request has been handed over to a
  // connection; then nothing is sent and no callback follows. Returns false if
  // bytes may have been handed over, and the transfer continues, or if it has
  // already ended.
  virtual bool Withdraw(TransferId transfer) = 0;
  virtual void Resume(TransferId transfer) = 0;
  virtual size_t OpenTransfers() const = 0;
  // Bytes written to the transfer's connection that the peer has not
  // acknowledged. nullopt without a connection, or if the system does not
  // report it.
  virtual std::optional<size_t> Unsent(TransferId transfer) const = 0;
  // Bytes of all requests that were handed over to a connection since the
  // client was created.
  virtual uint64_t BytesSent() const = 0;
  // How often a request was about to be sent on a connection that had carried
  // one of its id before.
  virtual uint64_t RepeatedIds() const = 0;
};

struct ClientOptions {
  // Connections that were idle for longer are not reused: engines commonly
  // close idle connections after five seconds, and a request sent while the
  // server closes the connection has an unknown outcome.
  Duration max_idle = 3s;
  // Local IP address of the connections; empty: the system chooses.
  std::string source_address;
  // The server (IP:port) closed a direct connection that had been kept for
  // reuse and was idle for so long. Empty: idle connections are not watched.
  std::function<void(const std::string& server, Duration idle)> on_idle_closed;
};

std::unique_ptr<Client> MakeClient(loop::Loop& loop,
                                   const ClientOptions& options = {});

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_CLIENT_H_
