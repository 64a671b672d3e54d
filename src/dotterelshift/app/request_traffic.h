#ifndef DOTTERELSHIFT_APP_REQUEST_TRAFFIC_H_
#define DOTTERELSHIFT_APP_REQUEST_TRAFFIC_H_

#include <functional>     // for function
#include <memory>         // for unique_ptr
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "dotterelshift/callers/front.h"             // for Front
#include "dotterelshift/endpoints/attempt_runner.h"  // for AttemptRunner
#include "dotterelshift/http/client.h"               // for Client
#include "dotterelshift/loop/loop.h"                 // for Loop
#include "dotterelshift/serving/request_core.h"      // for RequestCore
#include "dotterelshift/telemetry/metrics.h"         // for Metrics

namespace dotterelshift::app {

// Transfers bytes between the callers' front and the attempts at endpoints, as
// decided by the request core.
class RequestTraffic {
 public:
  struct Callbacks {
    std::function<void(wire::CommandT)> propose;
    std::function<void(wire::CommandT)> spool;
  };
  RequestTraffic(loop::Loop& loop, const callers::FrontOptions& front_options,
                 const endpoints::AttemptRunnerOptions& runner_options,
                 serving::RequestCore& core, telemetry::Metrics& metrics,
                 Callbacks callbacks);

  void Accept(std::shared_ptr<http::Exchange> exchange) {
    m_front->Accept(std::move(exchange));
  }

  // Executes the core's pending actions. To be called after every event that
  // the core received from elsewhere.
  void Pump();

  size_t OpenResponses() const { return m_front->Open(); }

 private:
  // The response of one attempt while it is relayed to the caller.
  struct ActiveRequest {
    RequestId request = 0;
    int status = 0;
    std::string content_type;
    bool streamed = false;
    bool head_sent = false;
    bool paused = false;
    std::string held;  // a response that is not streamed, until it is billed
    Instant last_chunk{};
  };

  callers::FrontEvents MakeFrontEvents();
  endpoints::AttemptEvents MakeAttemptEvents();
  bool OnChunk(AttemptId attempt, const serving::Chunk& piece,
               std::string_view bytes);
  void OnDrained(RequestId request);
  void SendHead(ActiveRequest& flight);
  void Forget(RequestId request);
  void Execute(serving::Action& action);
  void Execute(serving::StartAttempt& start);
  void Execute(const serving::CancelAttempt& cancel);
  void Execute(const serving::FinishResponse& finish);
  void Execute(const serving::FailResponse& fail);
  void Execute(serving::ProposeCommand& propose) {
    m_callbacks.propose(std::move(propose.command));
  }
  void Execute(serving::SpoolCommand& spool) {
    m_callbacks.spool(std::move(spool.command));
  }

  loop::Loop& m_loop;
  serving::RequestCore& m_core;
  telemetry::Metrics& m_metrics;
  Callbacks m_callbacks;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<callers::Front> m_front;
  std::unique_ptr<endpoints::AttemptRunner> m_runner;
  std::unordered_map<AttemptId, ActiveRequest> m_active;
  std::unordered_map<RequestId, AttemptId> m_attempt_by_request;
  loop::Timer m_timer;
  Instant m_timer_at{};
  bool m_pumping = false;
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_REQUEST_TRAFFIC_H_
