#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_

#include <string>  // for string
#include <vector>  // for vector

#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift::scenarios {

// What a script says it covers, for the table of docs/SCENARIOS.md.
struct Coverage {
  std::string file;
  std::string title;
  std::vector<std::string> promises;
  std::vector<std::string> failures;
};

// What a run of a script measured, over all budgets.
struct Measures {
  Tokens consumed = 0;  // at the engines
  Tokens charged = 0;   // as spent
  Tokens overspend = 0;
  Tokens stranded = 0;
  int answered = 0;
  int refused = 0;
  int false_refusals = 0;
};

// What became of a run.
struct ScriptResult {
  std::vector<std::string> broken;  // promises and expectations
  std::string trace;
  Measures measures;
};

// Overrides of a script's own choice, for the measures; empty: the script's.
struct PolicyChoice {
  std::string policy;
  std::string grant_way;
};

// The files of scenarios/, in order.
std::vector<std::string> ScriptFiles();
Coverage ReadCoverage(const std::string& file);
// Promise by failure with the scripts that cover them, as docs/SCENARIOS.md has
// it.
std::string CoverageTable();
// Throws Error(kBadField) for a script that cannot be read.
ScriptResult RunScript(const std::string& file,
                       const PolicyChoice& choice = {});

// The words that a script's `promises` and `failures` may hold.
const std::vector<std::string>& Promises();
const std::vector<std::string>& Failures();

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_SCRIPT_H_
