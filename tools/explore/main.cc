// Runs seeded schedules of faults over simulated control groups that bootstrap,
// recover and replace their members, and prints totals. Prints the seed of each
// schedule that violates a rule, and exits with 1 if there was one. With
// --replacements, hosts of a running group are replaced in series instead.

#include <tclap/CmdLine.h>  // for CmdLine

#include <chrono>     // for milliseconds
#include <cstdlib>    // for EXIT_FAILURE
#include <exception>  // for exception
#include <iostream>   // for cout

#include "dotterelshift/app/replacement_simulation.h"  // for ReplacementSimulation
#include "dotterelshift/replication/membership_simulation.h"  // for MembershipSimulation

namespace {

using dotterelshift::app::BrokenPromise;
using dotterelshift::app::ReplacementOptions;
using dotterelshift::app::ReplacementSimulation;
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

int ExploreReplacements(uint64_t schedules, ReplacementOptions options) {
  const uint64_t first = options.seed;
  uint64_t broken = 0;
  for (; options.seed < first + schedules; ++options.seed) {
    try {
      ReplacementSimulation(options).Run();
    } catch (const BrokenPromise& promise) {
      ++broken;
      std::cout << promise.what() << "\n";
    }
  }
  std::cout << schedules << " schedules from seed " << first << ", "
            << options.tolerated << " of " << options.hosts
            << " hosts lost at a time: " << broken << " broken\n";
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
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
    TCLAP::SwitchArg replacements("", "replacements",
                                  "replace hosts of a running group", command);
    TCLAP::ValueArg<size_t> hosts("", "hosts", "hosts of that group", false, 5,
                                  "count", command);
    TCLAP::ValueArg<size_t> tolerated("", "tolerated",
                                      "hosts lost at the same time", false, 1,
                                      "count", command);
    TCLAP::ValueArg<int64_t> pause("", "pause-ms", "longest pause of a series",
                                   false, 4000, "ms", command);
    TCLAP::ValueArg<int64_t> absence("", "absence-ms", "longest absence", false,
                                     3000, "ms", command);
    command.parse(argc, argv);
    if (replacements.getValue()) {
      ReplacementOptions options;
      options.seed = first.getValue();
      options.hosts = hosts.getValue();
      options.tolerated = tolerated.getValue();
      options.max_pause = std::chrono::milliseconds(pause.getValue());
      options.max_absence = std::chrono::milliseconds(absence.getValue());
      return ExploreReplacements(schedules.getValue(), options);
    }
    return Explore(first.getValue(), schedules.getValue(), steps.getValue());
  } catch (const std::exception& error) {
    std::cerr << "explore_membership: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
