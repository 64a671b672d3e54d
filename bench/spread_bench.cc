// Measures how fast a change of an endpoint reaches all daemons, and the
// traffic that this costs each daemon, at several fleet sizes. Runs the
// directory's gossip core with a simulated clock and links of 2 ms. Prints a
// Markdown table, which is the same in each run.
#include <flatbuffers/flatbuffers.h>  // for FlatBufferBuilder

#include <algorithm>  // for max, max_element
#include <cstdio>     // for printf
#include <map>        // for multimap
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/directory/spread.h"       // for Spread
#include "dotterelshift/wire/frames_generated.h"  // for FrameT

namespace dotterelshift::directory {
namespace {

constexpr Duration kLink = 2ms;
constexpr Duration kStep = 10ms;
constexpr Duration kWarmUp = 12s;
constexpr Duration kMeasurementDuration = 17s;
constexpr Duration kUnusableTimeout = 40s;
constexpr size_t kLengthBytes = 4;

struct Daemon {
  HostId host;
  Directory directory;
  std::unique_ptr<Spread> spread;
  uint64_t bytes = 0;  // sent and received
};

struct InFlightDelta {
  size_t to;
  HostId from;
  wire::DirectoryDeltaT delta;
};

struct Size {
  size_t daemons;
  size_t endpoints;
};

std::string Name(const char* kind, size_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%s-%04zu", kind, number);
  return text;
}

size_t FrameBytes(const wire::DirectoryDeltaT& delta) {
  wire::FrameT frame;
  frame.body.Set(wire::DirectoryDeltaT(delta));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Frame::Pack(builder, &frame));
  return builder.GetSize() + kLengthBytes;
}

// A fleet in which endpoint e announces itself once a second to daemon
// e % daemons.
class Fleet {
 public:
  explicit Fleet(Size size) : m_size(size) {
    for (size_t i = 0; i < size.daemons; ++i) {
      auto daemon = std::make_unique<Daemon>();
      daemon->host = Name("entry", i);
      SpreadOptions options;
      options.self = daemon->host;
      daemon->spread = std::make_unique<Spread>(options, &daemon->directory);
      m_daemons.push_back(std::move(daemon));
    }
    for (const auto& daemon : m_daemons) {
      for (const auto& other : m_daemons) {
        if (daemon != other) daemon->spread->OnPeerUp(other->host, m_now);
      }
    }
    m_sequences.resize(size.endpoints);
  }

  void RunFor(Duration duration) {
    for (const Instant end = m_now + duration; m_now < end;) Step();
  }

  void Step() {
    m_now += kStep;
    Announce();
    Deliver();
    for (size_t i = 0; i < m_daemons.size(); ++i) {
      // The gossip rounds of the daemons are staggered.
      if ((m_now.time_since_epoch() / kStep + i) % 10 == 0) Send(i);
    }
  }

  // Returns the time until all daemons consider the endpoint unusable, at most
  // kGiveUp.
  Duration UntilUnusable(size_t endpoint) {
    const Instant start = m_now;
    while (m_now - start < kUnusableTimeout) {
      Step();
      const EndpointId id = Name("engine", endpoint);
      bool all = true;
      for (const auto& daemon : m_daemons) {
        const Endpoint* known = daemon->directory.Find(id);
        all = all && known != nullptr && !known->usable;
      }
      if (all) return m_now - start;
    }
    return kUnusableTimeout;
  }

  void Drain(size_t endpoint) {
    m_draining = endpoint;
    AnnounceOne(endpoint);
  }
  void Kill(size_t endpoint) { m_killed = endpoint; }

  void ResetBytes() {
    for (const auto& daemon : m_daemons) daemon->bytes = 0;
  }
  const std::vector<std::unique_ptr<Daemon>>& Daemons() const {
    return m_daemons;
  }

 private:
  void Announce() {
    for (size_t e = 0; e < m_size.endpoints; ++e) {
      const Duration offset = 1ms * static_cast<int64_t>(e * 37 % 1000);
      const int64_t steps = (m_now.time_since_epoch() - offset) / kStep;
      if (steps % 100 == 0 && e != m_killed) AnnounceOne(e);
    }
  }

  void AnnounceOne(size_t e) {
    wire::EndpointRecordT record;
    record.id = Name("engine", e);
    record.incarnation = 1'700'000'000'000 + e;
    record.sequence = ++m_sequences[e];
    record.address = "10.0.0.1:" + std::to_string(e);
    record.data_centre = "plateau";
    record.slots = 64;
    record.running = static_cast<uint32_t>((e + m_sequences[e]) % 64);
    record.draining = e == m_draining;
    record.models.push_back(std::make_unique<wire::ModelStateT>());
    record.models.back()->model = "draft-large";
    m_daemons[e % m_size.daemons]->spread->OnAnnounced(record, m_now);
  }

  void Deliver() {
    while (!m_links.empty() && m_links.begin()->first <= m_now) {
      const InFlightDelta item = std::move(m_links.begin()->second);
      m_links.erase(m_links.begin());
      m_daemons[item.to]->spread->OnDelta(item.from, item.delta, m_now);
    }
  }

  void Send(size_t from) {
    Daemon& sender = *m_daemons[from];
    for (Outgoing& outgoing : sender.spread->OnTimer(m_now)) {
      const size_t to =
          std::stoul(outgoing.host.substr(outgoing.host.find('-') + 1));
      const size_t bytes = FrameBytes(outgoing.delta);
      sender.bytes += bytes;
      m_daemons[to]->bytes += bytes;
      m_links.emplace(m_now + kLink, InFlightDelta{to, sender.host,
                                                   std::move(outgoing.delta)});
    }
  }

  Size m_size;
  Instant m_now = Instant{} + 1000s;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<uint64_t> m_sequences;
  std::multimap<Instant, InFlightDelta> m_links;
  size_t m_draining = SIZE_MAX;
  size_t m_killed = SIZE_MAX;
};

void Measure(Size size) {
  Fleet fleet(size);
  fleet.RunFor(kWarmUp);
  fleet.ResetBytes();
  fleet.RunFor(kMeasurementDuration);
  uint64_t total = 0;
  uint64_t most = 0;
  size_t min_known_endpoints = SIZE_MAX;
  for (const auto& daemon : fleet.Daemons()) {
    total += daemon->bytes;
    most = std::max(most, daemon->bytes);
    min_known_endpoints =
        std::min(min_known_endpoints, daemon->directory.All().size());
  }
  const double seconds =
      std::chrono::duration<double>(kMeasurementDuration).count();
  const double mean = static_cast<double>(total) /
                      static_cast<double>(size.daemons) / seconds / 1000;
  const double interval =
      std::chrono::duration<double>(fleet.Daemons()[0]->spread->PulseInterval())
          .count();
  fleet.Drain(3);
  const Duration drained = fleet.UntilUnusable(3);
  fleet.Kill(5);
  const Duration silent = fleet.UntilUnusable(5);
  std::printf("| %zu | %zu | %zu | %.2f | %.2f | %.1f | %.2f | %.2f |\n",
              size.daemons, size.endpoints, min_known_endpoints, mean,
              static_cast<double>(most) / seconds / 1000, interval,
              static_cast<double>(ToMs(drained)) / 1000,
              static_cast<double>(ToMs(silent)) / 1000);
}

}  // namespace
}  // namespace dotterelshift::directory

int main() {
  std::printf(
      "| daemons | endpoints | least known | KB/s a daemon, mean | most | "
      "load reports, s apart | all know of a drain, s | of a death, s |\n"
      "|---|---|---|---|---|---|---|---|\n");
  using dotterelshift::directory::Measure;
  Measure({8, 24});
  Measure({8, 710});
  Measure({50, 710});
  Measure({380, 710});
  return 0;
}
