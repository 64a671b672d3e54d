#include "dotterelshift/telemetry/time_series.h"

#include <vector>  // for vector

namespace dotterelshift::telemetry {
namespace {

using prometheus::Family;
using prometheus::Histogram;

Family<Histogram>& MakeFamily(prometheus::Registry& registry, const char* name,
                              const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

void MergeAndRemoveHistogram(Family<Histogram>& family, Histogram* from,
                             Histogram* target) {
  const auto counted = from->Collect().histogram;
  std::vector<double> increments;
  uint64_t below = 0;
  for (const auto& bucket : counted.bucket) {
    increments.push_back(static_cast<double>(bucket.cumulative_count - below));
    below = bucket.cumulative_count;
  }
  target->ObserveMultiple(increments, counted.sample_sum);
  family.Remove(from);
}

}  // namespace

double AsSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

const Histogram::BucketBoundaries& TimeBuckets() {
  static const Histogram::BucketBoundaries buckets = {
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
      0.5,    1,     2.5,    5,     10,   30,    60,   120, 300};
  return buckets;
}

void Observe(const Times& times, const serving::RequestSummary& summary) {
  times.queue_wait->Observe(AsSeconds(summary.queue_wait));
  if (summary.first_token > 0s)
    times.first_token->Observe(AsSeconds(summary.first_token));
  if (summary.error == ErrorKind::kNone)
    times.whole_answer->Observe(AsSeconds(summary.total));
}

TimeFamilies::TimeFamilies(prometheus::Registry& registry)
    : m_queue_wait(MakeFamily(registry, "dotterelshift_queue_wait_seconds",
                              "Time a request waited for an endpoint.")),
      m_first_token(MakeFamily(registry, "dotterelshift_first_token_seconds",
                               "Time from arrival to the first token.")),
      m_whole_answer(MakeFamily(registry, "dotterelshift_whole_answer_seconds",
                                "Time from arrival to the whole answer.")) {}

Times TimeFamilies::Add(const prometheus::Labels& labels) {
  return {&m_queue_wait.Add(labels, TimeBuckets()),
          &m_first_token.Add(labels, TimeBuckets()),
          &m_whole_answer.Add(labels, TimeBuckets())};
}

void TimeFamilies::MergeAndRemove(const Times& times, const Times& target) {
  MergeAndRemoveHistogram(m_queue_wait, times.queue_wait, target.queue_wait);
  MergeAndRemoveHistogram(m_first_token, times.first_token, target.first_token);
  MergeAndRemoveHistogram(m_whole_answer, times.whole_answer,
                          target.whole_answer);
}

}  // namespace dotterelshift::telemetry
