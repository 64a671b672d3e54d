#ifndef DOTTERELSHIFT_ENDPOINTS_ATTEMPT_RUNNER_H_
#define DOTTERELSHIFT_ENDPOINTS_ATTEMPT_RUNNER_H_

#include <functional>   // for function
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/base/ids.h"                // for AttemptId
#include "dotterelshift/callers/caller_request.h"  // for CallerRequest
#include "dotterelshift/http/client.h"             // for Client
#include "dotterelshift/serving/request_core.h"    // for Chunk, AttemptEnd

namespace dotterelshift::endpoints {

// Progress of an attempt, reported on the event loop's thread. Nothing is
// reported after Cancel().
struct AttemptEvents {
  std::function<void(AttemptId, int status, std::string_view content_type)>
      on_head;
  // A chunk of complete protocol units: for a stream, complete events without
  // the end marker; otherwise the complete body. Return false to pause the
  // endpoint until Resume().
  std::function<bool(AttemptId, const serving::Chunk&, std::string_view bytes)>
      on_chunk;
  std::function<void(AttemptId, serving::AttemptEnd)> on_end;
};

struct AttemptRunnerOptions {
  Duration connect_timeout = 1s;
  // Limit for a response that is not streamed.
  size_t max_response_bytes = 16 << 20;
};

// Runs attempts on endpoints over HTTP: sends the request, reads server-sent
// events or a complete body, counts tokens, and detects the usage and the end
// marker.
class AttemptRunner {
 public:
  virtual ~AttemptRunner() = default;
  virtual void Start(AttemptId attempt, const std::string& address,
                     const callers::CallerRequest& request,
                     Duration time_left) = 0;
  virtual void Cancel(AttemptId attempt) = 0;
  virtual void Resume(AttemptId attempt) = 0;
  virtual size_t Open() const = 0;
};

std::unique_ptr<AttemptRunner> MakeAttemptRunner(
    http::Client& client, const AttemptRunnerOptions& options,
    AttemptEvents events);

}  // namespace dotterelshift::endpoints

#endif  // DOTTERELSHIFT_ENDPOINTS_ATTEMPT_RUNNER_H_
