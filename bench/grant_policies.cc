// Compares the grant modes under the load of two deployments, using the real
// State, Ledger and RecallCore with a simulated clock. Prints a Markdown table
// for docs/MEASURES.md; the numbers are the same in each run.
#include <algorithm>  // for sort
#include <cstdio>     // for snprintf
#include <iostream>   // for cout
#include <string>     // for string

#include "grant_simulation.h"  // for Simulation

namespace dotterelshift::bench {
namespace {

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Fixed(double value, int digits) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

void Print(const Deployment& deployment, const Variant& variant,
           Figures figures) {
  std::sort(figures.waits.begin(), figures.waits.end());
  const auto at = [&figures](double part) {
    if (figures.waits.empty()) return 0.0;
    const auto last = static_cast<double>(figures.waits.size() - 1);
    return Ms(figures.waits[static_cast<size_t>(part * last)]);
  };
  const auto started = static_cast<double>(figures.waits.size());
  const double commits =
      static_cast<double>(figures.commits_before_dispatch) / started;
  const double stranded = 100.0 * static_cast<double>(figures.stranded) /
                          static_cast<double>(figures.purchased);
  std::cout << "| " << deployment.name << " | " << variant.name << " | "
            << variant.partition_seconds << " | "
            << (variant.recall ? "on" : "off") << " | " << figures.served
            << " | " << figures.refused << " | " << figures.overspend << " | "
            << figures.false_refusals << " | "
            << figures.false_while_partitioned << " | " << figures.avoidable
            << " | " << figures.stranded << " (" << Fixed(stranded, 2)
            << "%) | " << Fixed(commits, 2) << " | " << Fixed(at(0.5), 1)
            << " | " << Fixed(at(0.99), 1) << " |\n";
}

}  // namespace
}  // namespace dotterelshift::bench

int main() {
  using namespace dotterelshift;         // NOLINT(google-build-using-namespace)
  using namespace dotterelshift::bench;  // NOLINT(google-build-using-namespace)
  const Deployment deployments[] = {
      {"Association", wire::TeamPolicy::RefusalsFirst, 8, 2, 6, 3, 0.5, 600,
       3000, 5s},
      {"Kestrelbay", wire::TeamPolicy::OverspendFirst, 8, 2, 4, 2, 0.4, 1000,
       6000, 2s},
  };
  const Variant variants[] = {
      {"unwitnessed", wire::GrantWay::Unwitnessed, 5, true},
      {"unwitnessed", wire::GrantWay::Unwitnessed, 60, true},
      {"clock lease", wire::GrantWay::ClockLease, 60, true},
      {"witnessed", wire::GrantWay::Witnessed, 15, true},
      {"witnessed", wire::GrantWay::Witnessed, 60, true},
      {"witnessed", wire::GrantWay::Witnessed, 60, false},
      {"witnessed", wire::GrantWay::Witnessed, 300, true},
      {"witnessed", wire::GrantWay::Witnessed, 300, false},
  };
  std::cout << "| deployment | way | partition covered (s) | recall | served | "
               "refused | overspend | false refusals | of them cut off | "
               "of them avoidable | "
               "stranded tokens | commits before dispatch | wait p50 (ms) | "
               "wait p99 (ms) |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Deployment& deployment : deployments)
    for (const Variant& variant : variants)
      Print(deployment, variant, Simulation(deployment, variant).Run());
  return 0;
}
