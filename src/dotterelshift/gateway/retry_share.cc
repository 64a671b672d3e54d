#include "dotterelshift/gateway/retry_share.h"

#include <algorithm>  // for max, sort
#include <numeric>    // for accumulate

namespace dotterelshift::gateway {
namespace {

template <typename Buckets>
uint32_t Sum(const Buckets& buckets) {
  return std::accumulate(buckets.begin(), buckets.end(), uint32_t{0});
}

}  // namespace

void RetryShare::OnEntryCount(size_t entries, Instant confirmed) {
  m_entries = std::max<size_t>(1, entries);
  m_count_confirmed = confirmed;
}

// Clears the buckets that have expired.
void RetryShare::Turn(Counts& counts, Instant now) const {
  const int64_t number = now.time_since_epoch() / (m_options.window / kBuckets);
  const int64_t first =
      std::max(counts.newest + 1, number - static_cast<int64_t>(kBuckets) + 1);
  for (int64_t passed = first; passed <= number; ++passed) {
    counts.requests.at(passed % kBuckets) = 0;
    counts.repeats.at(passed % kBuckets) = 0;
  }
  counts.newest = std::max(counts.newest, number);
}

void RetryShare::OnRequest(const std::string& service, Instant now) {
  if (m_first_request == Instant{}) m_first_request = now;
  Counts& counts = m_services[service];
  Turn(counts, now);
  ++counts.requests.at(counts.newest % kBuckets);
}

RetryDecision RetryShare::Take(const std::string& service, Instant now) {
  Counts& counts = m_services[service];
  Turn(counts, now);
  RetryDecision decision = Position(counts, now);
  decision.granted = decision.used + 1 <= decision.allowed;
  ++(decision.granted ? counts.granted_total : counts.denied_total);
  if (decision.granted) ++counts.repeats.at(counts.newest % kBuckets);
  return decision;
}

RetryDecision RetryShare::Position(const Counts& counts, Instant now) const {
  RetryDecision position;
  position.requests = Sum(counts.requests);
  position.used = Sum(counts.repeats);
  position.entries = m_entries;
  if (m_count_confirmed != Instant{})
    position.count_age = now - m_count_confirmed;
  if (m_first_request != Instant{}) position.run_age = now - m_first_request;
  const double slack =
      static_cast<double>(m_options.slack) / static_cast<double>(m_entries);
  position.allowed =
      m_options.used_fraction * (m_options.ratio * position.requests + slack);
  return position;
}

std::vector<RetryUse> RetryShare::UseByService(Instant now) {
  std::vector<RetryUse> uses;
  for (auto& [service, counts] : m_services) {
    Turn(counts, now);
    const RetryDecision position = Position(counts, now);
    uses.push_back({service, position.allowed, position.used,
                    counts.granted_total, counts.denied_total});
  }
  std::ranges::sort(uses, {}, &RetryUse::service);
  return uses;
}

}  // namespace dotterelshift::gateway
