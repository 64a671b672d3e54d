#include "dotterelshift/telemetry/team_series.h"

#include <algorithm>  // for min_element

namespace dotterelshift::telemetry {
namespace {

// Number of requests after which the busiest teams are determined again.
constexpr uint64_t kRequestsPerRound = 4096;

// A team without a label replaces one with a label when it is busier by this
// factor. Otherwise two similarly busy teams would swap the label in each
// round.
constexpr uint64_t kPromotionFactor = 2;

// Number of teams tracked without a label for each team that may have one.
constexpr size_t kTrackedPerNamed = 4;

constexpr auto kLessRecent = [](const auto& a, const auto& b) {
  return a.second.recent < b.second.recent;
};

constexpr auto kLessCount = [](const auto& a, const auto& b) {
  return a.second < b.second;
};

}  // namespace

TeamSeries::TeamSeries(prometheus::Registry& registry, TimeFamilies& times,
                       size_t max_teams)
    : m_times(times),
      m_requests(prometheus::BuildCounter()
                     .Name("dotterelshift_requests_total")
                     .Help("Finished requests by outcome.")
                     .Register(registry)),
      m_tokens(prometheus::BuildCounter()
                   .Name("dotterelshift_tokens_spent_total")
                   .Help("Tokens spent.")
                   .Register(registry)),
      m_max_teams(max_teams),
      m_others(MakeSeries(std::string(kOther))) {}

void TeamSeries::OnFinished(const serving::RequestSummary& summary) {
  Series& series = SeriesOf(summary.team);
  ++series.recent;
  Observe(series.times, summary);
  series.tokens->Increment(static_cast<double>(summary.spent));
  const bool named = &series != &m_others;
  RequestsOf(series, named ? summary.team : std::string(kOther), summary.error)
      .Increment();
  if (!named) CountUnlabelled(summary.team);
  if (++m_requests_in_round >= kRequestsPerRound) RebalanceLabels();
}

TeamSeries::Series& TeamSeries::SeriesOf(const TeamId& team) {
  const auto found = m_labelled.find(team);
  if (found != m_labelled.end()) return found->second;
  // A team may itself be named "other". `team` is empty if the key is unknown.
  if (m_labelled.size() >= m_max_teams || team.empty() || team == kOther)
    return m_others;
  return m_labelled.emplace(team, MakeSeries(team)).first->second;
}

TeamSeries::Series TeamSeries::MakeSeries(const std::string& label) {
  Series series;
  series.times = m_times.Add({{"team", label}});
  series.tokens = &m_tokens.Add({{"team", label}});
  return series;
}

prometheus::Counter& TeamSeries::RequestsOf(Series& series,
                                            const std::string& label,
                                            ErrorKind error) {
  prometheus::Counter*& counter = series.requests[error];
  if (counter == nullptr) {
    const std::string_view outcome =
        error == ErrorKind::kNone ? "answered" : RowOf(error).name;
    counter =
        &m_requests.Add({{"team", label}, {"outcome", std::string(outcome)}});
  }
  return *counter;
}

// Counts the busiest teams without a label in bounded memory (Space-Saving
// algorithm): a new team replaces the one with the lowest count and inherits
// that count.
void TeamSeries::CountUnlabelled(const TeamId& team) {
  if (team.empty() || team == kOther) return;
  const auto found = m_unlabelled.find(team);
  if (found != m_unlabelled.end()) {
    ++found->second;
    return;
  }
  uint64_t count = 1;
  if (m_unlabelled.size() >= m_max_teams * kTrackedPerNamed) {
    if (m_unlabelled.empty()) return;
    const auto smallest = std::ranges::min_element(m_unlabelled, kLessCount);
    count += smallest->second;
    m_unlabelled.erase(smallest);
  }
  m_unlabelled.emplace(team, count);
}

void TeamSeries::RebalanceLabels() {
  m_requests_in_round = 0;
  Promote();
  for (auto& [team, series] : m_labelled) series.recent /= 2;
  for (auto& [team, count] : m_unlabelled) count /= 2;
  std::erase_if(m_unlabelled,
                [](const auto& team) { return team.second == 0; });
}

void TeamSeries::Promote() {
  while (!m_unlabelled.empty() && !m_labelled.empty()) {
    const auto busiest = std::ranges::max_element(m_unlabelled, kLessCount);
    const auto quietest = std::ranges::min_element(m_labelled, kLessRecent);
    const uint64_t count = busiest->second;
    if (count <= quietest->second.recent * kPromotionFactor) return;
    const TeamId promoted = busiest->first;
    MergeAndRemove(quietest->first);
    m_unlabelled.erase(promoted);
    m_labelled.emplace(promoted, MakeSeries(promoted)).first->second.recent =
        count;
  }
}

void TeamSeries::MergeAndRemove(const TeamId& team) {
  auto node = m_labelled.extract(team);
  Series& series = node.mapped();
  m_times.MergeAndRemove(series.times, m_others.times);
  m_others.tokens->Increment(series.tokens->Value());
  m_tokens.Remove(series.tokens);
  for (const auto& [error, counter] : series.requests) {
    RequestsOf(m_others, std::string(kOther), error)
        .Increment(counter->Value());
    m_requests.Remove(counter);
  }
}

}  // namespace dotterelshift::telemetry
