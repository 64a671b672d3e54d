// Measures the cost of a change of the published routes by document size: bytes
// and time to encode the change as a delta, to apply the delta and to parse the
// document. Also measures the full document, which is sent to receivers that
// have no earlier version.
#include <chrono>   // for steady_clock
#include <cstdio>   // for printf
#include <string>   // for string
#include <utility>  // for move

#include "dotterelshift/gateway/routes.h"                 // for RouteTable
#include "dotterelshift/state/packed_document.h"          // for PackDocument
#include "dotterelshift/state/routes_document_testing.h"  // for RoutesDocument
#include "platform/document.h"                            // for ReadDocument

namespace dotterelshift {
namespace {

// Returns the shortest duration of 20 runs, in milliseconds.
template <typename Work>
double MinMilliseconds(Work work) {
  constexpr int kRuns = 20;
  double best = 0;
  for (int run = 0; run < kRuns; ++run) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    best = run == 0 ? took.count() : std::min(best, took.count());
  }
  return best;
}

void Measure(size_t routes) {
  const std::string base =
      state::RoutesDocument({.version = 7, .routes = routes});
  const std::string next = state::RoutesDocument(
      {.version = 8, .routes = routes, .changed = routes / 2});
  const auto step = state::PackDocument(next, base);
  const auto whole = state::PackDocument(next, {});
  std::string why;
  const double read =
      MinMilliseconds([&] { adapter::ReadDocument(next, &why); });
  const double table = MinMilliseconds(
      [&] { gateway::RouteTable(*adapter::ReadDocument(next, &why)); });
  std::printf("%8zu %9zu %7zu %7.2f %7.2f %9zu %7.2f %7.2f %7.2f %7.2f\n",
              routes, next.size(), step.size(),
              MinMilliseconds([&] { state::PackDocument(next, base); }),
              MinMilliseconds([&] { state::UnpackDocument(step, base); }),
              whole.size(),
              MinMilliseconds([&] { state::PackDocument(next, {}); }),
              MinMilliseconds([&] { state::UnpackDocument(whole, {}); }), read,
              table - read);
}

}  // namespace
}  // namespace dotterelshift

int main() {
  std::printf("%8s %9s %7s %7s %7s %9s %7s %7s %7s %7s\n", "routes", "bytes",
              "step", "pack", "unpack", "whole", "pack", "unpack", "read",
              "table");
  std::printf("%8s %9s %7s %7s %7s %9s %7s %7s %7s %7s\n", "", "", "bytes",
              "ms", "ms", "bytes", "ms", "ms", "ms", "ms");
  for (const size_t routes : {100, 1'400, 5'000, 19'000})
    dotterelshift::Measure(routes);
  return 0;
}
