// Measures what the origins of streams cost an entry: bytes on the wire, time
// to take them over and to find one, and memory, by the number held.
#include <malloc.h>  // for mallinfo2

#include <chrono>  // for steady_clock
#include <cstdio>  // for printf
#include <memory>  // for make_unique
#include <vector>  // for vector

#include "dotterelshift/origins/stream_origins.h"  // for StreamOrigins

namespace dotterelshift::gateway {
namespace {

constexpr size_t kBatch = 100;  // origins in one update

void Measure(size_t held) {
  const Instant now{1000s};
  auto origins = std::make_unique<origins::StreamOrigins>(
      origins::StreamOriginsOptions{.max_age = 60s, .max_count = held});
  std::vector<std::vector<wire::StreamOrigin>> updates(held / kBatch);
  origins::StreamKey stream = 0;
  for (std::vector<wire::StreamOrigin>& update : updates)
    for (size_t i = 0; i < kBatch; ++i)
      update.emplace_back(++stream * 0x9e3779b97f4a7c15, 1);
  const size_t of_updates = mallinfo2().uordblks;
  const auto start = std::chrono::steady_clock::now();
  for (const std::vector<wire::StreamOrigin>& update : updates)
    origins->OnUpdates("other", update, now);
  const auto taken = std::chrono::steady_clock::now();
  const size_t after = mallinfo2().uordblks;
  size_t found = 0;
  for (origins::StreamKey key = 1; key <= stream; ++key) {
    const origins::KnownOrigin known =
        origins->Find(key * 0x9e3779b97f4a7c15, now);
    found += known.state == origins::OriginState::kKnown ? 1 : 0;
  }
  const auto looked_up = std::chrono::steady_clock::now();
  const auto nanoseconds = [held](auto duration) {
    return std::chrono::duration<double, std::nano>(duration).count() /
           static_cast<double>(held);
  };
  std::printf("%8zu %8zu %10.0f %10.0f %10zu %8zu\n", held,
              sizeof(wire::StreamOrigin), nanoseconds(taken - start),
              nanoseconds(looked_up - taken), (after - of_updates) / held,
              found);
}

}  // namespace
}  // namespace dotterelshift::gateway

int main() {
  std::printf("%8s %8s %10s %10s %10s %8s\n", "held", "bytes", "take_ns",
              "find_ns", "memory", "found");
  for (const size_t held : {1'000, 10'000, 100'000})
    dotterelshift::gateway::Measure(held);
}
