// Measures what looking up origins of streams in other data centres costs a
// large fleet: bytes, frames and time to answer, while nothing breaks and when
// a data centre or a host fails. Simulated: real cores and frames, modelled
// links.
#include <chrono>      // for duration
#include <cstdio>      // for printf
#include <functional>  // for function
#include <string>      // for string
#include <vector>      // for vector

#include "scenarios/origin_fleet.h"  // for OriginFleet

namespace dotterelshift::testing {
namespace {

constexpr size_t kStreamsOfEntry = 100;
constexpr size_t kEntryIn1 = 1;  // in data centre 1

double Ms(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

size_t CountOf(const OriginFleetTotals& totals,
               origins::LookupOutcome outcome) {
  const auto found = totals.ended.find(outcome);
  return found == totals.ended.end() ? 0 : found->second.size();
}

void Print(const std::string& what, const OriginFleetOptions& options,
           const OriginFleetTotals& totals, Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  const double entries = static_cast<double>(options.entries);
  // Each byte is sent by one entry and received by another.
  const double shared = 2.0 * static_cast<double>(totals.Bytes()) / entries;
  std::printf(
      "%-34s %4zu %2zu %3.0f  %7zu %7zu %6zu %6zu  %5.1f %5.1f %5.1f"
      "  %9.1f %9.1f %8.2f %8.2f\n",
      what.c_str(), options.entries, options.data_centres,
      Ms(options.delay_between_regions), totals.Ended(), totals.Learned(),
      CountOf(totals, origins::LookupOutcome::kNowhere),
      CountOf(totals, origins::LookupOutcome::kIncomplete),
      Ms(totals.TookAt(0.5)), Ms(totals.TookAt(0.99)), Ms(totals.TookAt(1)),
      shared / seconds,
      static_cast<double>(totals.MostBytesOfEntry()) / seconds,
      2.0 * static_cast<double>(totals.Frames()) / entries / seconds,
      static_cast<double>(totals.MostFramesOfEntry()) / seconds);
  for (const auto& [kind, bytes] : totals.bytes) {
    std::printf("    %s: %llu bytes in %llu frames\n",
                std::string(NameOf(kind)).c_str(),
                static_cast<unsigned long long>(bytes),
                static_cast<unsigned long long>(totals.frames.at(kind)));
  }
}

std::vector<origins::StreamKey> BeginIn(OriginFleet& fleet, size_t entries,
                                        size_t data_centre) {
  std::vector<origins::StreamKey> streams;
  for (size_t i = 0; i < entries; ++i) {
    if (fleet.DataCentreOf(i) != data_centre) continue;
    const auto begun = fleet.Begin(i, kStreamsOfEntry);
    streams.insert(streams.end(), begun.begin(), begun.end());
  }
  return streams;
}

// `resumed_a_second`: by each entry, of streams that began elsewhere.
void Quiet(const OriginFleetOptions& options, double resumed_a_second) {
  OriginFleet fleet(options);
  fleet.Run(5s);
  Print("start of all", options, fleet.TakeTotals(), 5s);
  // Origins are kept for 60 s; connections become as many as they will be
  // within the first 60 s.
  const auto count = static_cast<size_t>(
      resumed_a_second * 50 * static_cast<double>(options.entries) /
      static_cast<double>(options.data_centres));
  for (int round = 0; round < 2; ++round) {
    fleet.TakeTotals();
    for (size_t i = 0; i < options.data_centres; ++i)
      fleet.ResumeElsewhere(fleet.Begin(i, count), i, 50s);
    fleet.Run(50s);
  }
  char what[64];
  std::snprintf(what, sizeof(what), "quiet, %.3f a second resumed",
                resumed_a_second);
  Print(what, options, fleet.TakeTotals(), 50s);
}

// All streams of a data centre that dies are resumed in the others, where
// nobody can know them, and some that began elsewhere beside them.
void DataCentreDies(const OriginFleetOptions& options, bool connected) {
  OriginFleet fleet(options);
  fleet.Run(5s);
  if (connected) {
    for (size_t i = 0; i < options.data_centres; ++i)
      fleet.ResumeElsewhere(fleet.Begin(i, 50 * options.entries), i, 20s);
    fleet.Run(30s);
  }
  const auto streams = BeginIn(fleet, options.entries, 0);
  for (size_t i = 0; i < options.entries; ++i)
    if (fleet.DataCentreOf(i) == 0) fleet.Fail(i);
  fleet.TakeTotals();
  fleet.ResumeElsewhere(streams, 0, 1s);
  fleet.Run(2s);
  Print(connected ? "a data centre dies, connected" : "a data centre dies",
        options, fleet.TakeTotals(), 1s);
}

// `storm`: all streams of another data centre, which dies, are resumed too.
void HostDies(const OriginFleetOptions& options, bool storm) {
  OriginFleet fleet(options);
  fleet.Run(5s);
  const size_t host = kEntryIn1;
  const auto streams = fleet.Begin(host, kStreamsOfEntry);
  const auto lost = BeginIn(fleet, options.entries, 0);
  fleet.Fail(host);
  if (storm) {
    for (size_t i = 0; i < options.entries; ++i)
      if (fleet.DataCentreOf(i) == 0) fleet.Fail(i);
    fleet.ResumeElsewhere(lost, 0, 1s);
  }
  fleet.TakeTotals();
  fleet.ResumeElsewhere(streams, 1, 1s);
  fleet.Run(2s);
  Print(storm ? "a host, and a data centre" : "a host that is asked dies",
        options, fleet.TakeTotals(), 1s);
}

// Streams of the data centres that are not cut off are resumed in each other
// all the while.
void DataCentreCutOff(const OriginFleetOptions& options, bool unknown) {
  OriginFleet fleet(options);
  fleet.Run(5s);
  const auto cut_off = BeginIn(fleet, options.entries, 0);
  const auto others = BeginIn(fleet, options.entries, 1);
  fleet.CutOff(0);
  for (int second = 0; second < 3; ++second) {
    fleet.TakeTotals();
    const auto third = static_cast<std::ptrdiff_t>(others.size() / 3);
    const auto part = static_cast<std::ptrdiff_t>(cut_off.size() / 3);
    fleet.ResumeElsewhere({others.begin() + third * second,
                           others.begin() + third * (second + 1)},
                          1, 900ms);
    if (unknown) {
      fleet.ResumeElsewhere({cut_off.begin() + part * second,
                             cut_off.begin() + part * (second + 1)},
                            0, 900ms);
    }
    fleet.Run(1s);
    Print((unknown ? "one cut off, its streams too, " : "one cut off, ") +
              std::to_string(second + 1) + " s",
          options, fleet.TakeTotals(), 1s);
  }
}

void AskedOneStarts(const OriginFleetOptions& options) {
  OriginFleet fleet(options);
  fleet.Run(5s);
  const auto streams = BeginIn(fleet, options.entries, 1);
  fleet.Start(kEntryIn1);
  fleet.TakeTotals();
  fleet.ResumeElsewhere(streams, 1, 1s);
  fleet.Run(2s);
  Print("an asked entry has just started", options, fleet.TakeTotals(), 1s);
}

void MeasureAll(const OriginFleetOptions& options) {
  Quiet(options, 0);
  Quiet(options, 0.06);
  DataCentreDies(options, false);
  DataCentreDies(options, true);
  HostDies(options, false);
  HostDies(options, true);
  DataCentreCutOff(options, false);
  DataCentreCutOff(options, true);
  AskedOneStarts(options);
}

}  // namespace
}  // namespace dotterelshift::testing

int main(int argc, char** argv) {
  using dotterelshift::testing::MeasureAll;
  using namespace std::chrono_literals;
  const uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
  std::printf(
      "%-34s %4s %2s %3s  %7s %7s %6s %6s  %5s %5s %5s  %9s %9s %8s %8s\n",
      "what", "n", "dc", "ms", "lookups", "learned", "none", "incomp", "half",
      "99%", "most", "B/s", "most B/s", "frames/s", "most");
  MeasureAll({.seed = seed, .entries = 73, .data_centres = 4});
  MeasureAll({.seed = seed, .entries = 373, .data_centres = 7});
  MeasureAll({.seed = seed,
              .entries = 373,
              .data_centres = 7,
              .regions = 3,
              .delay_between_regions = 30ms});
}
