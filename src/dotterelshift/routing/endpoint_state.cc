#include "dotterelshift/routing/endpoint_state.h"

#include <algorithm>  // for max

namespace dotterelshift::routing {
namespace {

// Age in seconds at which a report has half its weight.
constexpr double kReportHalfLife = 0.3;

constexpr double kDefaultServiceSeconds = 1.0;

// After this many ended requests the older measurements are halved in weight.
constexpr double kServiceTimeWindow = 64;

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceTimeMeter::OnChange(int in_flight, Instant now) {
  if (m_last != Instant{})
    m_busy_seconds += in_flight * InSeconds(now - m_last);
  m_last = now;
}

void ServiceTimeMeter::OnEnded() {
  m_ended += 1;
  if (m_ended < kServiceTimeWindow) return;
  m_ended /= 2;
  m_busy_seconds /= 2;
}

double ServiceTimeMeter::Seconds() const {
  return m_ended < 1 ? kDefaultServiceSeconds : m_busy_seconds / m_ended;
}

void EndpointState::TakeReport(const directory::Endpoint& endpoint) {
  if (endpoint.last_news <= reported) return;
  reported = endpoint.last_news;
  const double total = static_cast<double>(endpoint.record.running) +
                       static_cast<double>(endpoint.record.waiting);
  other_load = std::max(0.0, total - in_flight);
}

double EndpointState::OtherLoadAt(Instant now) const {
  const double age = std::max(0.0, InSeconds(now - reported));
  return other_load * kReportHalfLife / (kReportHalfLife + age);
}

double EndpointState::Load(Instant now) const {
  return in_flight + OtherLoadAt(now);
}

}  // namespace dotterelshift::routing
