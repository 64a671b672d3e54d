#include "dotterelshift/gateway/retry_share.h"

#include <algorithm>  // for max
#include <numeric>    // for accumulate

namespace dotterelshift::gateway {

void RetryShare::SetEntries(size_t entries) {
  m_entries = std::max<size_t>(1, entries);
}

// Returns the counts of a service after clearing the buckets that have expired.
RetryShare::Counts& RetryShare::Turn(const std::string& service, Instant now) {
  Counts& counts = m_services[service];
  const int64_t number = now.time_since_epoch() / (m_options.window / kBuckets);
  const int64_t first =
      std::max(counts.newest + 1, number - static_cast<int64_t>(kBuckets) + 1);
  for (int64_t passed = first; passed <= number; ++passed) {
    counts.requests.at(passed % kBuckets) = 0;
    counts.repeats.at(passed % kBuckets) = 0;
  }
  counts.newest = std::max(counts.newest, number);
  return counts;
}

void RetryShare::OnRequest(const std::string& service, Instant now) {
  Counts& counts = Turn(service, now);
  ++counts.requests.at(counts.newest % kBuckets);
}

bool RetryShare::Take(const std::string& service, Instant now) {
  Counts& counts = Turn(service, now);
  const auto sum = [](const auto& buckets) {
    return std::accumulate(buckets.begin(), buckets.end(), uint32_t{0});
  };
  const double slack =
      static_cast<double>(m_options.slack) / static_cast<double>(m_entries);
  const double allowed = m_options.used_fraction *
                         (m_options.ratio * sum(counts.requests) + slack);
  if (sum(counts.repeats) + 1 > allowed) return false;
  ++counts.repeats.at(counts.newest % kBuckets);
  return true;
}

}  // namespace dotterelshift::gateway
