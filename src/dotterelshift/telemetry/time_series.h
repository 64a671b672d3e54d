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

// The label value that stands for all past a bound.
inline constexpr std::string_view kOther = "other";

struct StringHash : std::hash<std::string_view> {
  using is_transparent = void;
};

// A map that is looked up without making a string.
template <typename Value>
using ByName =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

double AsSeconds(Duration duration);

// Upper bounds in seconds: from a wait that nobody feels to an answer of
// minutes.
const prometheus::Histogram::BucketBoundaries& TimeBuckets();

// The time histograms of one label value.
struct Times {
  prometheus::Histogram* queue_wait = nullptr;
  prometheus::Histogram* first_token = nullptr;
  prometheus::Histogram* whole_answer = nullptr;
};

void Observe(const Times& times, const serving::RequestSummary& summary);

// The families of the time histograms, labelled by class and by team.
class TimeFamilies {
 public:
  explicit TimeFamilies(prometheus::Registry& registry);
  Times Add(const prometheus::Labels& labels);
  // Ends the series of a label value; what they counted is added to `heir`.
  void MergeAndRemove(const Times& times, const Times& target);

 private:
  prometheus::Family<prometheus::Histogram>& m_queue_wait;
  prometheus::Family<prometheus::Histogram>& m_first_token;
  prometheus::Family<prometheus::Histogram>& m_whole_answer;
};

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_SRC_TELEMETRY_TIME_SERIES_H_
