#ifndef DOTTERELSHIFT_CALLERS_FRONT_H_
#define DOTTERELSHIFT_CALLERS_FRONT_H_

#include <functional>   // for function
#include <memory>       // for shared_ptr, unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for pair

#include "dotterelshift/base/error.h"              // for ErrorKind
#include "dotterelshift/base/ids.h"                // for RequestId
#include "dotterelshift/callers/caller_request.h"  // for CallerRequest
#include "dotterelshift/http/server.h"             // for Exchange

namespace dotterelshift::callers {

struct FrontEvents {
  // `request` may be moved from.
  std::function<void(RequestId, CallerRequest request)> on_request;
  // A request refused by its own checks; it has been answered already.
  std::function<void(RequestId, const Refusal&)> on_refused;
  std::function<void(RequestId)> on_gone;
  // The caller has taken what was handed over: the endpoint may go on.
  std::function<void(RequestId)> on_drained;
};

struct FrontOptions {
  CallerLimits limits;
  std::string fleet_secret;
  size_t pause_above_bytes =
      256
      << 10;  // backlog of one slow reader above which its endpoint is paused
};

// The callers' side of an entry: parses requests, writes heads, pieces, ends
// and errors. Errors are JSON:
//   {"error": {"kind", "message", "detail", "ran": "no|yes|unknown", "retry":
//   "never|later|now", "request_id"}}
// with the table's status, Retry-After, and the headers Dotterelshift-Ran and
// Dotterelshift-Request-Id. After pieces have gone out the error is a last
// event of the stream, without the end mark.
class Front {
 public:
  virtual ~Front() = default;
  // Takes over an exchange whose path begins with /v1/.
  virtual void Accept(std::shared_ptr<http::Exchange> exchange) = 0;
  virtual void SendHead(RequestId request, int status,
                        std::string_view content_type) = 0;
  // False when the caller's backlog is above the bound: pause the endpoint
  // until on_drained.
  virtual bool WriteChunk(RequestId request, std::string_view bytes) = 0;
  // Writes the end mark (for a stream) and ends the answer.
  virtual void Finish(RequestId request) = 0;
  virtual void Fail(RequestId request, ErrorKind kind, std::string_view detail,
                    int retry_after_seconds) = 0;
  virtual size_t Open() const = 0;
};

std::unique_ptr<Front> MakeFront(const FrontOptions& options,
                                 FrontEvents events);

// The JSON body of an error, as all of the daemon's HTTP interfaces use it.
std::string ErrorBody(ErrorKind kind, std::string_view detail,
                      std::string_view request_id = {});

// Answers an exchange with an error by its row of the table.
void AnswerError(http::Exchange& exchange, ErrorKind kind,
                 std::string_view detail, int retry_after_seconds = 0);

// The status and the JSON body of what the callers' server refuses by itself:
// for ServerOptions::refusal.
std::pair<int, std::string> RefusalAnswer(http::ServerRefusal refusal);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_CALLERS_FRONT_H_
