// Runs the scripts in scenarios/ that concern budgets under each policy and
// grant mode, and prints a table of what was overspent, refused and stranded.
// The numbers are the same in each run.
#include <algorithm>  // for find
#include <array>      // for array
#include <iostream>   // for cout

#include "scenarios/script.h"  // for RunScript

namespace {

using dotterelshift::scenarios::Coverage;
using dotterelshift::scenarios::Measures;
using dotterelshift::scenarios::PolicyOverride;

const std::array kChoices = {
    PolicyOverride{"overspend_first", "witnessed"},
    PolicyOverride{"overspend_first", "clock_lease"},
    PolicyOverride{"overspend_first", "unwitnessed"},
    PolicyOverride{"refusals_first", "witnessed"},
    PolicyOverride{"refusals_first", "clock_lease"},
    PolicyOverride{"refusals_first", "unwitnessed"},
};

bool ConcernsBudgets(const Coverage& coverage) {
  const auto& promises = coverage.promises;
  return std::find(promises.begin(), promises.end(), "never_exceeds_budget") !=
         promises.end();
}

void Add(const Measures& measures, Measures* sum) {
  sum->consumed += measures.consumed;
  sum->charged += measures.charged;
  sum->overspend += measures.overspend;
  sum->stranded += measures.stranded;
  sum->answered += measures.answered;
  sum->refused += measures.refused;
  sum->false_refusals += measures.false_refusals;
}

void PrintRow(const std::string& name, const PolicyOverride& choice,
              const Measures& measures) {
  std::cout << "| " << name << " | " << choice.policy << " | "
            << choice.grant_way << " | " << measures.answered << " | "
            << measures.refused << " | " << measures.false_refusals << " | "
            << measures.overspend << " | " << measures.stranded << " | "
            << measures.consumed << " | " << measures.charged << " |\n";
}

}  // namespace

int main() {
  std::cout << "| script | policy | grant way | answered | refused | false "
               "refusals | overspend | stranded | consumed | charged |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n";
  std::array<Measures, kChoices.size()> sums{};
  for (const std::string& file : dotterelshift::scenarios::ScriptFiles()) {
    if (!ConcernsBudgets(dotterelshift::scenarios::ReadCoverage(file)))
      continue;
    for (size_t i = 0; i < kChoices.size(); ++i) {
      const auto result =
          dotterelshift::scenarios::RunScript(file, kChoices.at(i));
      PrintRow("`" + file + "`", kChoices.at(i), result.measures);
      Add(result.measures, &sums.at(i));
    }
  }
  for (size_t i = 0; i < kChoices.size(); ++i)
    PrintRow("all", kChoices.at(i), sums.at(i));
}
