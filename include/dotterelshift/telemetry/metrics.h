#ifndef DOTTERELSHIFT_TELEMETRY_METRICS_H_
#define DOTTERELSHIFT_TELEMETRY_METRICS_H_

#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/base/error.h"            // for ErrorKind
#include "dotterelshift/base/time.h"             // for Duration
#include "dotterelshift/serving/request_core.h"  // for RequestSummary

namespace dotterelshift::telemetry {

struct MetricsOptions {
  // The busiest teams are labelled by name; the rest share the label "other".
  size_t max_team_labels = 200;
  size_t max_class_labels = 32;
};

// The counters and histograms of one daemon, kept in a prometheus-cpp registry
// and rendered in its text format. Does not run a server.
class Metrics {
 public:
  virtual ~Metrics() = default;
  virtual void OnFinished(const serving::RequestSummary& summary) = 0;
  virtual void OnTokenGap(std::string_view request_class, Duration gap) = 0;
  // Set an unlabelled counter or gauge, which is created at its first use.
  virtual void SetCounter(std::string_view name, std::string_view help,
                          double value) = 0;
  virtual void SetGauge(std::string_view name, std::string_view help,
                        double value) = 0;
  // The same with a label that names a service. Services beyond
  // `max_class_labels` have no series.
  virtual void SetServiceCounter(std::string_view name, std::string_view help,
                                 std::string_view service, double value) = 0;
  virtual void SetServiceGauge(std::string_view name, std::string_view help,
                               std::string_view service, double value) = 0;
  // The same with a second label, a software version of the service.
  virtual void SetVersionGauge(std::string_view name, std::string_view help,
                               std::string_view service,
                               std::string_view version, double value) = 0;
  virtual std::string Text() const = 0;
};

std::unique_ptr<Metrics> MakeMetrics(const MetricsOptions& options = {});

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_TELEMETRY_METRICS_H_
