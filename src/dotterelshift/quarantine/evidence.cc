#include "dotterelshift/quarantine/evidence.h"

#include <algorithm>  // for max
#include <cstddef>    // for size_t

namespace dotterelshift::quarantine {
namespace {

constexpr size_t kMinRunsOfOthers = 2;

std::map<uint64_t, size_t> CountByTeam(const CrashedRuns& runs) {
  std::map<uint64_t, size_t> counts;
  for (const auto& [run, team] : runs) ++counts[team];
  return counts;
}

bool IsOfOneTeam(const CrashedRuns& runs) {
  return !runs.empty() && runs.begin()->second == 0;
}

}  // namespace

std::string RunKeyOf(const std::string& endpoint, uint64_t incarnation) {
  return endpoint + "/" + std::to_string(incarnation);
}

bool IsSuspect(const CrashedRuns& runs) {
  return IsOfOneTeam(runs) || CountByTeam(runs).size() > 1;
}

bool IsProven(const CrashedRuns& runs, uint32_t needed) {
  if (runs.size() < needed) return false;
  if (IsOfOneTeam(runs)) return true;
  size_t most = 0;
  for (const auto& [team, count] : CountByTeam(runs))
    most = std::max(most, count);
  return runs.size() - most >= kMinRunsOfOthers;
}

}  // namespace dotterelshift::quarantine
