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
  // A valid request has arrived. The callback may move from `request`.
  std::function<void(RequestId, CallerRequest request)> on_request;
  // A request failed validation. The error response has already been sent.
  std::function<void(RequestId, const Refusal&)> on_refused;
  // The caller disconnected before its response was complete.
  std::function<void(RequestId)> on_gone;
  // The caller has read its backlog, so a paused endpoint may resume.
  std::function<void(RequestId)> on_drained;
};

struct FrontOptions {
  CallerLimits limits;
  std::string fleet_secret;
  // A caller's unread backlog above which its endpoint is paused.
  size_t pause_above_bytes = 256 << 10;
};

// The caller-facing side of an entry: parses requests and writes response
// heads, chunks, end markers and errors. Errors are JSON:
//   {"error": {"kind", "message", "detail", "ran": "no|yes|unknown", "retry":
//   "never|later|now", "request_id"}}
// with the status and Retry-After of the error table, and the headers
// Dotterelshift-Ran and Dotterelshift-Request-Id. Once the head of a stream has
// been sent, the error is the last event of the stream, and no end marker
// follows.
class Front {
 public:
  virtual ~Front() = default;
  // Handles an exchange whose path begins with /v1/.
  virtual void Accept(std::shared_ptr<http::Exchange> exchange) = 0;
  virtual void SendHead(RequestId request, int status,
                        std::string_view content_type) = 0;
  // Returns false if the caller's backlog exceeds pause_above_bytes: the
  // endpoint must then be paused until on_drained.
  virtual bool WriteChunk(RequestId request, std::string_view bytes) = 0;
  // Completes the response; a stream gets its end marker first.
  virtual void Finish(RequestId request) = 0;
  virtual void Fail(RequestId request, ErrorKind kind, std::string_view detail,
                    int retry_after_seconds) = 0;
  virtual size_t Open() const = 0;
};

std::unique_ptr<Front> MakeFront(const FrontOptions& options,
                                 FrontEvents events);

// The JSON error body that all HTTP interfaces of the daemon use.
std::string MakeErrorBody(ErrorKind kind, std::string_view detail,
                          std::string_view request_id = {});

// Responds with the status, headers and body that the error table defines for
// `kind`. Retry-After, if sent, is the larger of the table's value and
// `retry_after_seconds`.
void SendErrorResponse(http::Exchange& exchange, ErrorKind kind,
                       std::string_view detail, int retry_after_seconds = 0);

// Status and JSON body for requests that the HTTP server itself refuses; used
// as ServerOptions::refusal.
std::pair<int, std::string> ServerRefusalResponse(http::ServerRefusal refusal);

}  // namespace dotterelshift::callers

#endif  // DOTTERELSHIFT_CALLERS_FRONT_H_
