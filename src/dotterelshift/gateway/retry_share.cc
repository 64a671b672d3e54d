#include "dotterelshift/gateway/retry_share.h"

#include <algorithm>  // for sort

namespace dotterelshift::gateway {

RetryShare::Service& RetryShare::ServiceOf(const std::string& name) {
  return m_services.try_emplace(name, m_options.window).first->second;
}

void RetryShare::OnRequest(const std::string& service, Instant now) {
  if (m_first_request == Instant{}) m_first_request = now;
  ServiceOf(service).windows.OnRequest(now);
}

RetryDecision RetryShare::Take(const std::string& name, Instant now) {
  Service& service = ServiceOf(name);
  RetryDecision decision = Position(service, now);
  decision.granted = decision.used + 1 <= decision.allowed;
  ++(decision.granted ? service.granted_total : service.denied_total);
  if (decision.granted) service.windows.OnRetry(now);
  return decision;
}

bool RetryShare::MayTake(const std::string& name, Instant now) {
  const RetryDecision position = Position(ServiceOf(name), now);
  return position.used + 1 <= position.allowed;
}

RetryDecision RetryShare::Position(Service& service, Instant now) const {
  RetryDecision position;
  position.sharers = m_lease.Sharers(now).value_or(0);
  if (m_lease.ConfirmedAt()) position.count_age = now - *m_lease.ConfirmedAt();
  if (m_first_request != Instant{}) position.run_age = now - m_first_request;
  const double slack =
      position.sharers == 0
          ? 0
          : m_options.slack / static_cast<double>(position.sharers);
  const RetryWindows::Tightest tightest =
      service.windows.FindTightest(m_options.used_fraction * m_options.ratio,
                                   m_options.used_fraction * slack, now);
  position.allowed = tightest.allowed;
  position.used = tightest.retries;
  position.requests = tightest.requests;
  return position;
}

std::vector<RetryUse> RetryShare::UseByService(Instant now) {
  std::vector<RetryUse> uses;
  for (auto& [name, service] : m_services) {
    const RetryDecision position = Position(service, now);
    uses.push_back({name, position.allowed, position.used,
                    service.granted_total, service.denied_total});
  }
  std::ranges::sort(uses, {}, &RetryUse::service);
  return uses;
}

}  // namespace dotterelshift::gateway
