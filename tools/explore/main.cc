// Runs seeded schedules of faults over simulated control groups that bootstrap,
// recover and replace their members, and prints totals. Prints the seed of each
// schedule that violates a rule, and exits with 1 if there was one.

#include <tclap/CmdLine.h>  // for CmdLine

#include <cstdlib>    // for EXIT_FAILURE
#include <exception>  // for exception
#include <iostream>   // for cout

#include "dotterelshift/replication/membership_simulation.h"  // for MembershipSimulation

namespace {

using dotterelshift::replication::MembershipSimulation;
using dotterelshift::replication::MembershipSimulationCounts;
using dotterelshift::replication::MembershipSimulationRules;
using dotterelshift::replication::Violation;

int Explore(uint64_t first, uint64_t schedules, int steps) {
  MembershipSimulationCounts sum;
  uint64_t violations = 0;
  for (uint64_t seed = first; seed < first + schedules; ++seed) {
    try {
      sum.Add(MembershipSimulation<MembershipSimulationRules>(seed).Run(steps));
    } catch (const Violation& violation) {
      ++violations;
      std::cout << "seed " << seed << ": " << violation.what() << "\n";
    }
  }
  std::cout << schedules << " schedules from seed " << first << " of " << steps
            << " steps: " << violations << " violations; " << sum.founded
            << " groups founded, " << sum.committed << " entries committed, "
            << sum.wipes << " folders lost, " << sum.removals
            << " members taken out, " << sum.additions << " added, " << sum.cuts
            << " cuts\n";
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Explores the membership of control groups.");
    TCLAP::ValueArg<uint64_t> first("", "first", "first seed", false, 1, "seed",
                                    command);
    TCLAP::ValueArg<uint64_t> schedules("", "schedules", "how many schedules",
                                        false, 1000, "count", command);
    TCLAP::ValueArg<int> steps("", "steps", "steps of each schedule", false,
                               1500, "count", command);
    command.parse(argc, argv);
    return Explore(first.getValue(), schedules.getValue(), steps.getValue());
  } catch (const std::exception& error) {
    std::cerr << "explore_membership: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
