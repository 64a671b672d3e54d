#ifndef DOTTERELSHIFT_SRC_TELEMETRY_TEAM_SERIES_H_
#define DOTTERELSHIFT_SRC_TELEMETRY_TEAM_SERIES_H_

#include <cstdint>        // for uint64_t
#include <string>         // for string
#include <unordered_map>  // for unordered_map

#include "dotterelshift/base/error.h"             // for ErrorKind
#include "dotterelshift/base/ids.h"               // for TeamId
#include "dotterelshift/telemetry/time_series.h"  // for Times

namespace dotterelshift::telemetry {

// The series labelled by team: the busiest teams by name, all others together.
// The busiest teams are determined again after each round of requests. When a
// team loses its label, its counts are added to those of the others, so that
// sums over all teams stay correct.
class TeamSeries {
 public:
  TeamSeries(prometheus::Registry& registry, TimeFamilies& times,
             size_t max_teams);
  void OnFinished(const serving::RequestSummary& summary);

 private:
  struct Series {
    Times times;
    prometheus::Counter* tokens = nullptr;
    std::unordered_map<ErrorKind, prometheus::Counter*> requests;
    uint64_t recent = 0;  // count of requests, halved after each round
  };

  Series& SeriesOf(const TeamId& team);
  Series MakeSeries(const std::string& label);
  prometheus::Counter& RequestsOf(Series& series, const std::string& label,
                                  ErrorKind error);
  void CountUnlabelled(const TeamId& team);
  void RebalanceLabels();
  void Promote();
  void MergeAndRemove(const TeamId& team);

  TimeFamilies& m_times;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Counter>& m_tokens;
  size_t m_max_teams;
  uint64_t m_requests_in_round = 0;
  Series m_others;
  std::unordered_map<TeamId, Series> m_labelled;
  std::unordered_map<TeamId, uint64_t>
      m_unlabelled;  // recent requests; bounded
};

}  // namespace dotterelshift::telemetry

#endif  // DOTTERELSHIFT_SRC_TELEMETRY_TEAM_SERIES_H_
