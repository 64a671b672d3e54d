#ifndef DOTTERELSHIFT_SRC_TELEMETRY_TIME_SERIES_H_
#define DOTTERELSHIFT_SRC_TELEMETRY_TIME_SERIES_H_

#include <prometheus/counter.h>    // for BuildCounter
#include <prometheus/family.h>     // for Family
#include <prometheus/gauge.h>      // for BuildGauge
#include <prometheus/histogram.h>  // for BuildHistogram
#include <prometheus/registry.h>   // for Registry

#include <functional>     // for hash
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/time.h"             // for Duration
#include "dotterelshift/serving/request_core.h"  // for RequestSummary

namespace dotterelshift::telemetry {

// The label value shared by all teams or classes beyond the limit.
inline constexpr std::string_view kOther = "other";

struct StringHash : std::hash<std::string_view> {
  using is_transparent = void;
};

// A map with lookup by string_view, without creating a string.
template <typename Value>
using ByName =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

double AsSeconds(Duration duration);

// Upper bounds of the buckets in seconds: from imperceptible waits to responses
// that take minutes.
const prometheus::Histogram::BucketBoundaries& TimeBuckets();

// The latency histograms of one label value.
struct Times {
  prometheus::Histogram* queue_wait = nullptr;
  prometheus::Histogram* first_token = nullptr;
  prometheus::Histogram* whole_answer = nullptr;
};

void Observe(const Times& times, const serving::RequestSummary& summary);

// The families of the latency histograms, labelled by class and by team.
class TimeFamilies {
 public:
  explicit TimeFamilies(prometheus::Registry& registry);
  Times Add(const prometheus::Labels& labels);
  // Adds the counts of the series `times` to `target` and removes `times`.
  void MergeAndRemove(const Times& times, const Times& target);

 private:
  prometheus::Family<prometheus::Histogram>& m_queue_wait;
  prometheus::Family<prometheus::Histogram>& m_first_token;
  prometheus::Family<prometheus::Histogram>& m_whole_answer;
};

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_SRC_TELEMETRY_TIME_SERIES_H_
