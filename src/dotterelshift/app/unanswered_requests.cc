#include "dotterelshift/app/unanswered_requests.h"

#include <string>  // for string, to_string

#include "dotterelshift/telemetry/log.h"  // for LogDecision

namespace dotterelshift::app {
namespace {

// Whether the core has logged why the request ended: it was told that the
// caller had disconnected, or aborted the response itself.
bool IsLoggedByCore(const http::Unanswered& unanswered) {
  return unanswered.handed_over &&
         (unanswered.cause == http::UnansweredCause::kCallerClosed ||
          unanswered.cause == http::UnansweredCause::kAborted);
}

}  // namespace

void UnansweredRequests::OnUnanswered(const http::Unanswered& unanswered,
                                      Instant now) {
  ++m_counts.at(static_cast<size_t>(unanswered.cause));
  if (IsLoggedByCore(unanswered)) return;
  const http::Request& request = unanswered.request;
  telemetry::LogDecision(
      "request_unanswered", m_dialect.ReadRequestInfo(request).caller_id,
      {{"cause", std::string(http::NameOf(unanswered.cause))},
       {"own_fault", http::IsOwnFault(unanswered.cause) ? "yes" : "no"},
       {"handed_over", unanswered.handed_over ? "yes" : "no"},
       {"connection", request.kept ? "kept" : "new"},
       {"since_head_ms", std::to_string(ToMs(now - request.begun))}});
}

void UnansweredRequests::SetMetrics(telemetry::Metrics& metrics) const {
  for (size_t i = 0; i < m_counts.size(); ++i) {
    const auto cause = static_cast<http::UnansweredCause>(i);
    metrics.SetCounter("dotterelshift_requests_unanswered_" +
                           std::string(http::NameOf(cause)) + "_total",
                       "Received in full, ended without a whole response",
                       static_cast<double>(Count(cause)));
  }
}

}  // namespace dotterelshift::app
