#include "dotterelshift/routing/seat.h"

#include <algorithm>  // for max

namespace dotterelshift::routing {
namespace {

// Age in seconds at which a report has half its weight.
constexpr double kReportHalfLife = 0.3;

constexpr double kHoldGuess = 1.0;

// After this many ended requests the older measurements are halved in weight.
constexpr double kHoldWindow = 64;

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void HoldMeter::OnChange(int in_flight, Instant now) {
  if (m_last != Instant{})
    m_busy_seconds += in_flight * InSeconds(now - m_last);
  m_last = now;
}

void HoldMeter::OnEnded() {
  m_ended += 1;
  if (m_ended < kHoldWindow) return;
  m_ended /= 2;
  m_busy_seconds /= 2;
}

double HoldMeter::Seconds() const {
  return m_ended < 1 ? kHoldGuess : m_busy_seconds / m_ended;
}

void Seat::TakeReport(const directory::Endpoint& endpoint) {
  if (endpoint.last_news <= reported) return;
  reported = endpoint.last_news;
  const double total = static_cast<double>(endpoint.record.running) +
                       static_cast<double>(endpoint.record.waiting);
  others = std::max(0.0, total - in_flight);
}

double Seat::OthersNow(Instant now) const {
  const double age = std::max(0.0, InSeconds(now - reported));
  return others * kReportHalfLife / (kReportHalfLife + age);
}

double Seat::Load(Instant now) const { return in_flight + OthersNow(now); }

}  // namespace dotterelshift::routing
