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

// How a transfer ended.
enum class TransferEnd {
  kWhole,             // the answer's own end mark was seen
  kNotSent,           // no byte of the request left this host
  kFailedBeforeHead,  // some of the request left, no head came back
  kCut,               // the answer broke off after its head
  kTimedOut,          // the time given ran out
};

struct ClientRequest {
  std::string method = "POST";
  std::string url;  // with an IP number, so that nothing is resolved
  Headers headers;
  std::string body;
  Duration connect_timeout = 1s;
  Duration total_timeout = 0s;  // 0: none
};

// A request's bytes as they are handed to its connection.
struct HandOver {
  size_t bytes = 0;
  bool new_connection = false;
  Duration connected_in = 0s;  // of a new one: what it took to be made
};

// What a transfer reports, on the loop's thread. None is called after Cancel().
// Those that are empty are left out.
struct TransferCallbacks {
  // Just before the request is handed over; nothing may be started or cancelled
  // from it.
  std::function<void(const HandOver& what)> on_handed_over;
  std::function<void(int status, const Headers& headers)> on_head;
  // Returns false to pause the transfer until Resume(); the piece is taken all
  // the same.
  std::function<bool(std::string_view chunk)> on_chunk;
  std::function<void(TransferEnd end)> on_end;
};

using TransferId = uint64_t;

// An HTTP/1.1 client on the loop (libcurl multi); keeps connections to reuse.
// No callback comes from within Start() or Resume(). A request is sent at most
// once: a kept connection that turns out to be closed ends the transfer.
class Client {
 public:
  virtual ~Client() = default;
  virtual TransferId Start(ClientRequest request,
                           TransferCallbacks callbacks) = 0;
  // Resets the transfer's connection: the other side sees the caller go, and
  // what this host still holds of the request is not sent any more.
  virtual void Cancel(TransferId transfer) = 0;
  // Takes a transfer back while no byte of its request has been handed to a
  // connection: then none ever will be, and nothing more is reported. False,
  // and the transfer goes on, once any may have been, or when it has ended.
  virtual bool Withdraw(TransferId transfer) = 0;
  virtual void Resume(TransferId transfer) = 0;
  virtual size_t OpenTransfers() const = 0;
  // Bytes that were handed to a transfer's connection and that the other side
  // has not acknowledged; none when it has no connection, or where the system
  // does not say.
  virtual std::optional<size_t> Unsent(TransferId transfer) const = 0;
  // Of requests that have been handed to a connection, since the start.
  virtual uint64_t BytesSent() const = 0;
};

struct ClientOptions {
  // An idle connection older than this is not used again: engines commonly
  // close theirs after five seconds, and a request sent into that close has an
  // unknown outcome.
  Duration max_idle = 3s;
};

std::unique_ptr<Client> MakeClient(loop::Loop& loop,
                                   const ClientOptions& options = {});

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_HTTP_CLIENT_H_
