#ifndef DOTTERELSHIFT_SRC_APP_UNANSWERED_REQUESTS_H_
#define DOTTERELSHIFT_SRC_APP_UNANSWERED_REQUESTS_H_

#include <array>    // for array
#include <cstdint>  // for uint64_t

#include "dotterelshift/gateway/dialect.h"    // for Dialect
#include "dotterelshift/http/server.h"        // for Unanswered
#include "dotterelshift/telemetry/metrics.h"  // for Metrics

namespace dotterelshift::app {

// Counts callers' requests that were received in full and ended without a
// complete response, by cause, and logs those that no other line explains.
class UnansweredRequests {
 public:
  explicit UnansweredRequests(const gateway::Dialect& dialect)
      : m_dialect(dialect) {}

  // To be called when a server reports such a request.
  void OnUnanswered(const http::Unanswered& unanswered, Instant now);
  void SetMetrics(telemetry::Metrics& metrics) const;
  uint64_t Count(http::UnansweredCause cause) const {
    return m_counts.at(static_cast<size_t>(cause));
  }

 private:
  const gateway::Dialect& m_dialect;
  std::array<uint64_t, http::kUnansweredCauses> m_counts{};
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_UNANSWERED_REQUESTS_H_
