#include "dotterelshift/telemetry/metrics.h"

#include <prometheus/registry.h>         // for Registry
#include <prometheus/text_serializer.h>  // for TextSerializer

#include <cstdlib>  // for abs
#include <map>      // for map
#include <utility>  // for move

#include "dotterelshift/telemetry/team_series.h"  // for TeamSeries
#include "dotterelshift/telemetry/time_series.h"  // for TimeFamilies

namespace dotterelshift::telemetry {
namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

class PrometheusMetrics : public Metrics {
 public:
  explicit PrometheusMetrics(const MetricsOptions& options)
      : m_max_classes(options.max_class_labels),
        m_times(m_registry),
        m_token_gap(prometheus::BuildHistogram()
                        .Name("dotterelshift_token_gap_seconds")
                        .Help("Time between two pieces of an answer.")
                        .Register(m_registry)),
        m_teams(m_registry, m_times, options.max_team_labels),
        m_usage_difference(
            prometheus::BuildCounter()
                .Name("dotterelshift_usage_difference_tokens_total")
                .Help("Tokens between the engines' usage and the entry's own "
                      "count.")
                .Register(m_registry)
                .Add({})) {}

  void OnFinished(const serving::RequestSummary& summary) override {
    Observe(ClassOf(summary.request_class).times, summary);
    m_teams.OnFinished(summary);
    m_usage_difference.Increment(
        static_cast<double>(std::abs(summary.usage_difference)));
  }

  void OnTokenGap(std::string_view request_class, Duration gap) override {
    ClassOf(request_class).token_gap->Observe(AsSeconds(gap));
  }

  void SetCounter(std::string_view name, std::string_view help,
                  double value) override {
    Set(m_counters, prometheus::BuildCounter(), name, help, LabelsOf({}),
        value);
  }

  void SetGauge(std::string_view name, std::string_view help,
                double value) override {
    Set(m_gauges, prometheus::BuildGauge(), name, help, LabelsOf({}), value);
  }

  void SetServiceCounter(std::string_view name, std::string_view help,
                         std::string_view service, double value) override {
    Set(m_counters, prometheus::BuildCounter(), name, help, LabelsOf(service),
        value);
  }

  void SetServiceGauge(std::string_view name, std::string_view help,
                       std::string_view service, double value) override {
    Set(m_gauges, prometheus::BuildGauge(), name, help, LabelsOf(service),
        value);
  }

  void SetVersionGauge(std::string_view name, std::string_view help,
                       std::string_view service, std::string_view version,
                       double value) override {
    prometheus::Labels labels = LabelsOf(service);
    labels["version"] = version;
    Set(m_gauges, prometheus::BuildGauge(), name, help, labels, value);
  }

  std::string Text() const override {
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
  }

 private:
  struct ClassSeries {
    Times times;
    Histogram* token_gap = nullptr;
  };

  // The series of one counter or gauge.
  template <typename Value>
  struct NamedFamily {
    prometheus::Family<Value>* family = nullptr;
    std::map<prometheus::Labels, Value*> series;
  };

  static void SetValue(Counter& counter, double value) {
    counter.Increment(value - counter.Value());
  }
  static void SetValue(Gauge& gauge, double value) { gauge.Set(value); }

  template <typename Value, typename Builder>
  void Set(ByName<NamedFamily<Value>>& families, Builder builder,
           std::string_view name, std::string_view help,
           const prometheus::Labels& labels, double value) {
    NamedFamily<Value>& named = Named(families, name);
    if (named.family == nullptr) {
      named.family = &builder.Name(std::string(name))
                          .Help(std::string(help))
                          .Register(m_registry);
    }
    const auto found = named.series.find(labels);
    if (found != named.series.end()) return SetValue(*found->second, value);
    if (named.series.size() >= m_max_classes) return;
    Value& series = named.family->Add(labels);
    named.series[labels] = &series;
    SetValue(series, value);
  }

  static prometheus::Labels LabelsOf(std::string_view service) {
    if (service.empty()) return {};
    return {{"service", std::string(service)}};
  }

  template <typename Value>
  static Value& Named(ByName<Value>& values, std::string_view name) {
    const auto found = values.find(name);
    if (found != values.end()) return found->second;
    return values[std::string(name)];
  }

  // The series of a class. Classes beyond the limit share the label kOther.
  ClassSeries& ClassOf(std::string_view name) {
    const auto found = m_classes.find(name);
    if (found != m_classes.end()) return found->second;
    if (m_classes.size() >= m_max_classes && name != kOther)
      return ClassOf(kOther);
    const prometheus::Labels labels = {{"class", std::string(name)}};
    ClassSeries& series = m_classes[std::string(name)];
    series.times = m_times.Add(labels);
    series.token_gap = &m_token_gap.Add(labels, TimeBuckets());
    return series;
  }

  const size_t m_max_classes;
  prometheus::Registry m_registry;
  TimeFamilies m_times;
  prometheus::Family<Histogram>& m_token_gap;
  TeamSeries m_teams;
  Counter& m_usage_difference;
  ByName<ClassSeries> m_classes;
  ByName<NamedFamily<Counter>> m_counters;
  ByName<NamedFamily<Gauge>> m_gauges;
};

}  // namespace

std::unique_ptr<Metrics> MakeMetrics(const MetricsOptions& options) {
  return std::make_unique<PrometheusMetrics>(options);
}

}  // namespace dotterelshift::telemetry
