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

// What the runner reports of an attempt, on the loop's thread; nothing after
// Cancel().
struct AttemptEvents {
  std::function<void(AttemptId, int status, std::string_view content_type)>
      on_head;
  // One piece whole by the protocol (for a stream: events without the end mark,
  // which is withheld). Returns false to pause the endpoint, until Resume().
  std::function<bool(AttemptId, const serving::Chunk&, std::string_view bytes)>
      on_chunk;
  std::function<void(AttemptId, serving::AttemptEnd)> on_end;
};

struct AttemptRunnerOptions {
  Duration connect_timeout = 1s;
  size_t max_whole_answer_bytes = 16
                                  << 20;  // of an answer that is not streamed
};

// Carries attempts to endpoints over HTTP: sends the request, reads server-sent
// events or a whole body, counts tokens, finds the usage and the end mark.
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
