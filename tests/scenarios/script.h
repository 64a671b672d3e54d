#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift::scenarios {

// The coverage that a script declares, for the table of docs/SCENARIOS.md.
struct Coverage {
  std::string file;
  std::string title;
  std::vector<std::string> promises;
  std::vector<std::string> failures;
};

// Measurements of one run of a script, over all budgets.
struct Measures {
  Tokens consumed = 0;  // by the engines
  Tokens charged = 0;   // by settlements
  Tokens overspend = 0;
  Tokens stranded = 0;
  int answered = 0;
  int refused = 0;
  int false_refusals = 0;
};

// The result of running a script.
struct ScriptResult {
  std::vector<std::string> broken;  // violated promises and failed expectations
  std::string trace;
  Measures measures;
};

// Overrides the policy and grant mode of a script, for measurements. An empty
// field keeps the script's own value.
struct PolicyOverride {
  std::string policy;
  std::string grant_way;
};

// The names of the .yaml files of scenarios/, sorted.
std::vector<std::string> ScriptFiles();
Coverage ReadCoverage(const std::string& file);
// The table of docs/SCENARIOS.md: for each promise and failure, the scripts
// that cover both.
std::string CoverageTable();
// Throws Error(kBadField) for a script that cannot be read.
ScriptResult RunScript(const std::string& file,
                       const PolicyOverride& choice = {});

// The words allowed in a script's `promises` and `failures`.
const std::vector<std::string>& Promises();
const std::vector<std::string>& Failures();

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_
