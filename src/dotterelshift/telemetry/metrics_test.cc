#include "dotterelshift/telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <set>      // for set
#include <sstream>  // for istringstream
#include <string>   // for string

namespace dotterelshift::telemetry {
namespace {

using serving::RequestSummary;

RequestSummary Make(const TeamId& team, ErrorKind error = ErrorKind::kNone) {
  RequestSummary summary;
  summary.team = team;
  summary.request_class = "interactive";
  summary.error = error;
  summary.queue_wait = 3ms;
  summary.first_token = 40ms;
  summary.total = 2s;
  summary.spent = 10;
  return summary;
}

// The lines of a text that start with a name.
std::vector<std::string> LinesOf(const std::string& text,
                                 const std::string& name) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);)
    if (line.starts_with(name + "{") || line.starts_with(name + " "))
      lines.push_back(line);
  return lines;
}

double SumOf(const std::string& text, const std::string& name) {
  double sum = 0;
  for (const std::string& line : LinesOf(text, name))
    sum += std::stod(line.substr(line.rfind(' ')));
  return sum;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(HistogramsPerTeamAndClass);
  CPPUNIT_TEST(OutcomesAreCounted);
  CPPUNIT_TEST(TeamLabelsAreBoundedAt37000Teams);
  CPPUNIT_TEST(BusiestTeamsAreNamed);
  CPPUNIT_TEST(ClassLabelsAreBounded);
  CPPUNIT_TEST(TeamNamedOtherIsCountedWithTheOthers);
  CPPUNIT_TEST(CountersAndGaugesByName);
  CPPUNIT_TEST(CountersAndGaugesByServiceAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HistogramsPerTeamAndClass() {
    m_metrics->OnFinished(Make("dakar"));
    m_metrics->OnTokenGap("interactive", 20ms);
    const std::string text = m_metrics->Text();
    for (
        const char* line :
        {"dotterelshift_queue_wait_seconds_bucket{team=\"dakar\",le=\"0.005\"} "
         "1",
         "dotterelshift_first_token_seconds_bucket{team=\"dakar\",le=\"0.05\"} "
         "1",
         "dotterelshift_whole_answer_seconds_bucket{team=\"dakar\",le=\"2.5\"} "
         "1",
         "dotterelshift_whole_answer_seconds_bucket{class=\"interactive\",le="
         "\"1\"} 0",
         "dotterelshift_token_gap_seconds_bucket{class=\"interactive\",le=\"0."
         "025\"} 1",
         "dotterelshift_tokens_spent_total{team=\"dakar\"} 10"})
      CPPUNIT_ASSERT_MESSAGE(std::string(line) + "\n" + text, Has(text, line));
  }

  void OutcomesAreCounted() {
    m_metrics->OnFinished(Make("dakar"));
    m_metrics->OnFinished(Make("dakar", ErrorKind::kBudgetExhausted));
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT_EQUAL(2.0, SumOf(text, "dotterelshift_requests_total"));
    CPPUNIT_ASSERT(Has(text, "outcome=\"answered\""));
    CPPUNIT_ASSERT(Has(text, "outcome=\"budget_exhausted\""));
    // Only complete responses have a total time.
    CPPUNIT_ASSERT_EQUAL(
        2.0, SumOf(text, "dotterelshift_whole_answer_seconds_count"));
  }

  void TeamLabelsAreBoundedAt37000Teams() {
    constexpr int kTeams = 37000;
    m_metrics = MakeMetrics({.max_team_labels = 200});
    for (int round = 0; round < 2; ++round)
      for (int team = 0; team < kTeams; ++team)
        m_metrics->OnFinished(Make("team-" + std::to_string(team)));
    const std::string text = m_metrics->Text();
    const size_t by_team =
        LinesOf(text, "dotterelshift_tokens_spent_total").size();
    CPPUNIT_ASSERT_EQUAL(size_t{201}, by_team);
    CPPUNIT_ASSERT(LinesOf(text, "dotterelshift_requests_total").size() <= 201);
    // One series per class, besides those of the teams.
    CPPUNIT_ASSERT_EQUAL(
        size_t{202},
        LinesOf(text, "dotterelshift_queue_wait_seconds_count").size());
    // Merging series loses no counts.
    CPPUNIT_ASSERT_EQUAL(2.0 * kTeams,
                         SumOf(text, "dotterelshift_requests_total"));
    CPPUNIT_ASSERT_EQUAL(20.0 * kTeams,
                         SumOf(text, "dotterelshift_tokens_spent_total"));
    CPPUNIT_ASSERT_EQUAL(
        2 * 2.0 * kTeams,
        SumOf(text, "dotterelshift_first_token_seconds_count"));
  }

  void BusiestTeamsAreNamed() {
    m_metrics = MakeMetrics({.max_team_labels = 2});
    for (int i = 0; i < 10; ++i) {
      m_metrics->OnFinished(Make("early-" + std::to_string(i)));
    }
    for (int i = 0; i < 20000; ++i) m_metrics->OnFinished(Make("busy"));
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT(Has(text, "team=\"busy\""));
    CPPUNIT_ASSERT_EQUAL(
        size_t{3}, LinesOf(text, "dotterelshift_tokens_spent_total").size());
    CPPUNIT_ASSERT_EQUAL(20010.0, SumOf(text, "dotterelshift_requests_total"));
  }

  void ClassLabelsAreBounded() {
    m_metrics = MakeMetrics({.max_class_labels = 4});
    for (int i = 0; i < 100; ++i)
      m_metrics->OnTokenGap("class-" + std::to_string(i), 1ms);
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT_EQUAL(
        size_t{5},
        LinesOf(text, "dotterelshift_token_gap_seconds_count").size());
    CPPUNIT_ASSERT_EQUAL(100.0,
                         SumOf(text, "dotterelshift_token_gap_seconds_count"));
  }

  void TeamNamedOtherIsCountedWithTheOthers() {
    m_metrics->OnFinished(Make("other"));
    m_metrics->OnFinished(Make(""));
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, LinesOf(text, "dotterelshift_tokens_spent_total").size());
    CPPUNIT_ASSERT_EQUAL(2.0, SumOf(text, "dotterelshift_requests_total"));
  }

  void CountersAndGaugesByName() {
    m_metrics->SetCounter("dotterelshift_retries_total", "Retries.", 3);
    m_metrics->SetCounter("dotterelshift_retries_total", "Retries.", 5);
    m_metrics->SetGauge("dotterelshift_open_requests", "Open.", 7);
    m_metrics->SetGauge("dotterelshift_open_requests", "Open.", 2);
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT(Has(text, "# TYPE dotterelshift_retries_total counter\n"));
    CPPUNIT_ASSERT(Has(text, "\ndotterelshift_retries_total 5\n"));
    CPPUNIT_ASSERT(Has(text, "\ndotterelshift_open_requests 2\n"));
  }

  void CountersAndGaugesByServiceAreBounded() {
    m_metrics = MakeMetrics({.max_class_labels = 4});
    for (int i = 0; i < 10; ++i) {
      const std::string service = "service-" + std::to_string(i);
      m_metrics->SetServiceCounter("dotterelshift_denied_total", "Denied.",
                                   service, 2 * i);
      m_metrics->SetServiceGauge("dotterelshift_used", "Used.", service, i);
    }
    m_metrics->SetServiceGauge("dotterelshift_used", "Used.", "service-1", 8);
    const std::string text = m_metrics->Text();
    CPPUNIT_ASSERT(
        Has(text, "dotterelshift_denied_total{service=\"service-3\"} 6\n"));
    CPPUNIT_ASSERT(Has(text, "dotterelshift_used{service=\"service-1\"} 8\n"));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, LinesOf(text, "dotterelshift_used").size());
  }

 private:
  std::unique_ptr<Metrics> m_metrics = MakeMetrics();
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace dotterelshift::telemetry
