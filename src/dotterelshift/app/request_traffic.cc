#include "dotterelshift/app/request_traffic.h"

#include <utility>  // for move
#include <variant>  // for visit

namespace dotterelshift::app {

RequestTraffic::RequestTraffic(
    loop::Loop& loop, const callers::FrontOptions& front_options,
    const endpoints::AttemptRunnerOptions& runner_options,
    serving::RequestCore& core, telemetry::Metrics& metrics,
    Callbacks callbacks)
    : m_loop(loop),
      m_core(core),
      m_metrics(metrics),
      m_callbacks(std::move(callbacks)),
      m_client(http::MakeClient(loop)),
      m_front(callers::MakeFront(front_options, MakeFrontEvents())),
      m_runner(endpoints::MakeAttemptRunner(*m_client, runner_options,
                                            MakeAttemptEvents())),
      m_timer(loop, [this] {
        m_timer_at = {};
        m_core.OnTimer(m_loop.Now());
        Pump();
      }) {}

callers::FrontEvents RequestTraffic::MakeFrontEvents() {
  callers::FrontEvents events;
  events.on_request = [this](RequestId request,
                             callers::CallerRequest caller_request) {
    m_core.OnRequest(request, std::move(caller_request), m_loop.Now());
    Pump();
  };
  events.on_refused = [this](RequestId request,
                             const callers::Refusal& refusal) {
    serving::RequestSummary summary;
    summary.request = request;
    summary.error = refusal.kind;
    m_metrics.OnFinished(summary);
  };
  events.on_gone = [this](RequestId request) {
    m_core.OnCallerGone(request, m_loop.Now());
    Forget(request);
    Pump();
  };
  events.on_drained = [this](RequestId request) { OnDrained(request); };
  return events;
}

endpoints::AttemptEvents RequestTraffic::MakeAttemptEvents() {
  endpoints::AttemptEvents events;
  events.on_head = [this](AttemptId attempt, int status,
                          std::string_view content_type) {
    const auto flight = m_active.find(attempt);
    if (flight == m_active.end()) return;
    flight->second.status = status;
    flight->second.content_type = content_type;
    m_core.OnAttemptHead(attempt, status, m_loop.Now());
    Pump();
  };
  events.on_chunk = [this](AttemptId attempt, const serving::Chunk& piece,
                           std::string_view bytes) {
    return OnChunk(attempt, piece, bytes);
  };
  events.on_end = [this](AttemptId attempt, serving::AttemptEnd end) {
    m_core.OnAttemptEnd(attempt, end, m_loop.Now());
    Pump();
  };
  return events;
}

bool RequestTraffic::OnChunk(AttemptId attempt, const serving::Chunk& piece,
                             std::string_view bytes) {
  const Instant now = m_loop.Now();
  const serving::ChunkVerdict verdict = m_core.OnChunk(attempt, piece, now);
  bool go_on = true;
  const auto found = m_active.find(attempt);
  if (verdict == serving::ChunkVerdict::kForward && found != m_active.end()) {
    ActiveRequest& flight = found->second;
    if (flight.streamed) {
      SendHead(flight);
      go_on = m_front->WriteChunk(flight.request, bytes);
      flight.paused = !go_on;
    } else {
      flight.held.append(bytes);
    }
  }
  Pump();
  return go_on;
}

void RequestTraffic::SendHead(ActiveRequest& flight) {
  if (flight.head_sent) return;
  flight.head_sent = true;
  m_front->SendHead(flight.request, flight.status, flight.content_type);
}

void RequestTraffic::OnDrained(RequestId request) {
  const auto attempt = m_attempt_by_request.find(request);
  if (attempt == m_attempt_by_request.end()) return;
  const auto flight = m_active.find(attempt->second);
  if (flight == m_active.end() || !flight->second.paused) return;
  flight->second.paused = false;
  m_runner->Resume(attempt->second);
}

void RequestTraffic::Forget(RequestId request) {
  const auto attempt = m_attempt_by_request.find(request);
  if (attempt == m_attempt_by_request.end()) return;
  m_active.erase(attempt->second);
  m_attempt_by_request.erase(attempt);
}

void RequestTraffic::Execute(serving::StartAttempt& start) {
  const callers::CallerRequest* request = m_core.RequestOf(start.attempt);
  if (request == nullptr) return;
  Forget(start.request);
  ActiveRequest& flight = m_active[start.attempt];
  flight.request = start.request;
  flight.streamed = request->stream;
  m_attempt_by_request[start.request] = start.attempt;
  m_runner->Start(start.attempt, start.address, *request, start.time_left);
}

void RequestTraffic::Execute(const serving::CancelAttempt& cancel) {
  m_runner->Cancel(cancel.attempt);
  m_active.erase(cancel.attempt);
}

void RequestTraffic::Execute(const serving::FinishResponse& finish) {
  const auto attempt = m_attempt_by_request.find(finish.request);
  if (attempt != m_attempt_by_request.end()) {
    const auto found = m_active.find(attempt->second);
    if (found != m_active.end()) {
      SendHead(found->second);
      if (!found->second.held.empty())
        m_front->WriteChunk(finish.request, found->second.held);
    }
  }
  m_front->Finish(finish.request);
  Forget(finish.request);
}

void RequestTraffic::Execute(const serving::FailResponse& fail) {
  m_front->Fail(fail.request, fail.kind, fail.detail, fail.retry_after_seconds);
  Forget(fail.request);
}

void RequestTraffic::Execute(serving::Action& action) {
  std::visit([this](auto& chosen) { Execute(chosen); }, action);
}

void RequestTraffic::Pump() {
  // An action may cause another event, which calls Pump() again. The outer call
  // executes the actions of that event.
  if (m_pumping) return;
  m_pumping = true;
  while (true) {
    std::vector<serving::Action> actions = m_core.TakeActions();
    if (actions.empty()) break;
    for (serving::Action& action : actions) Execute(action);
  }
  for (const serving::RequestSummary& summary : m_core.TakeSummaries())
    m_metrics.OnFinished(summary);
  m_pumping = false;
  const std::optional<Instant> next = m_core.NextTimer();
  if (next.has_value() && *next != m_timer_at) {
    m_timer_at = *next;
    m_timer.ArmAt(*next);
  }
}

}  // namespace dotterelshift::app
