#ifndef DOTTERELSHIFT_SERVING_REFUSAL_TALLY_H_
#define DOTTERELSHIFT_SERVING_REFUSAL_TALLY_H_

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <vector>   // for vector

#include "dotterelshift/base/error.h"               // for ErrorKind
#include "dotterelshift/base/ids.h"                 // for TeamId
#include "dotterelshift/base/time.h"                // for Instant
#include "dotterelshift/wire/commands_generated.h"  // for RecordRefusalsT

namespace dotterelshift::serving {

// Counts refusals since they were last recorded, so that any number of refusals
// costs control at most one command per second for each team and kind.
class RefusalTally {
 public:
  void Count(const TeamId& team, ErrorKind kind, bool budget_remained,
             Instant now);
  std::vector<wire::RecordRefusalsT> Take();
  bool empty() const { return m_counts.empty(); }
  // The time at which the counts should be recorded.
  Instant Due() const { return m_due; }

 private:
  struct Line {
    TeamId team;
    ErrorKind kind;
    bool budget_remained;
    auto operator<=>(const Line&) const = default;
  };
  std::map<Line, uint64_t> m_counts;
  Instant m_due{};
};

}  // namespace dotterelshift::serving

#endif  // DOTTERELSHIFT_SERVING_REFUSAL_TALLY_H_
