#ifndef DOTTERELSHIFT_QUARANTINE_EVIDENCE_H_
#define DOTTERELSHIFT_QUARANTINE_EVIDENCE_H_

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <string>   // for string

namespace dotterelshift::quarantine {

// Runs of endpoints that crashed while they wrote a response, each with the
// hash of the team that had sent the request; 0: all evidence is of one team.
using CrashedRuns = std::map<std::string, uint64_t>;

// The key of an endpoint's run in CrashedRuns.
std::string RunKeyOf(const std::string& endpoint, uint64_t incarnation);

// Whether a prompt segment may have caused these crashes, so that requests with
// it are sent one at a time. What a segment's id stands for is a caller's word:
// one team must not get requests of others held back by naming their segments
// in requests that crash endpoints. Evidence against a segment whoever sends it
// therefore has to come from two teams.
bool IsSuspect(const CrashedRuns& runs);

// Whether that is shown well enough to send no request with it. `needed`: runs.
// Without the team that has most of them, at least two must be left.
bool IsProven(const CrashedRuns& runs, uint32_t needed);

}  // namespace dotterelshift::quarantine

#endif  // DOTTERELSHIFT_QUARANTINE_EVIDENCE_H_
