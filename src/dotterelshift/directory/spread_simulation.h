#ifndef DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_
#define DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_

// Daemons that disseminate their directories over simulated links; for tests
// only.

#include <cstddef>  // for size_t
#include <memory>   // for unique_ptr
#include <set>      // for set
#include <string>   // for string
#include <utility>  // for move
#include <vector>   // for vector

#include "dotterelshift/directory/directory.h"  // for Directory
#include "dotterelshift/directory/spread.h"     // for Spread

namespace dotterelshift::directory {

// A few daemons on a hand-moved clock. It moves in steps of `step`, and what is
// sent in a step arrives in it. Links of hosts in `cut` lose everything while
// their connections stay up; Disconnect() also ends the connections.
class SimulatedFleet {
 public:
  struct Daemon {
    HostId host;
    bool only_receives = false;
    bool connected = true;
    DirectoryOptions directory_options;
    SpreadOptions options;
    Directory directory;
    std::unique_ptr<Spread> spread;
    size_t records_received = 0;
    size_t pulses_received = 0;
    size_t requests_received = 0;
  };

  explicit SimulatedFleet(size_t count = 0) {
    for (size_t i = 0; i < count; ++i) Add();
  }

  static HostId HostOf(size_t number) {
    return "h" + std::to_string(1000 + number);
  }

  void Add(size_t fan_out = SpreadOptions{}.fan_out,
           const DirectoryOptions& options = {},
           Duration min_pulse_interval = SpreadOptions{}.min_pulse_interval) {
    auto daemon = std::make_unique<Daemon>();
    daemon->host = HostOf(daemons.size());
    daemon->only_receives = fan_out == 0;
    daemon->directory_options = options;
    daemon->directory = Directory(options);
    daemon->options.self = daemon->host;
    daemon->options.fan_out = fan_out;
    daemon->options.min_pulse_interval = min_pulse_interval;
    daemon->spread =
        std::make_unique<Spread>(daemon->options, &daemon->directory);
    daemons.push_back(std::move(daemon));
    ConnectAll(*daemons.back());
  }

  void Disconnect(size_t number) {
    Daemon& daemon = *daemons[number];
    daemon.connected = false;
    for (const auto& other : daemons) {
      if (other.get() == &daemon) continue;
      other->spread->OnPeerDown(daemon.host, now);
      daemon.spread->OnPeerDown(other->host, now);
    }
  }

  void Reconnect(size_t number) {
    daemons[number]->connected = true;
    ConnectAll(*daemons[number]);
  }

  // The daemon loses its connections and its records.
  void RestartEmpty(size_t number) {
    Disconnect(number);
    Daemon& daemon = *daemons[number];
    daemon.directory = Directory(daemon.directory_options);
    daemon.spread = std::make_unique<Spread>(daemon.options, &daemon.directory);
  }

  // Connects two hosts of which at least one was disconnected from all.
  void ConnectPair(size_t a, size_t b) {
    daemons[a]->connected = daemons[b]->connected = true;
    Connect(*daemons[a], *daemons[b]);
  }

  void RunFor(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      now += step;
      for (const auto& daemon : daemons) {
        for (const Outgoing& outgoing : daemon->spread->OnTimer(now))
          Deliver(*daemon, outgoing);
      }
    }
  }

  void Announce(size_t at, uint64_t sequence, bool draining = false,
                const EndpointId& id = "e") {
    wire::EndpointRecordT record;
    record.id = id;
    record.address = id + ":1";
    record.incarnation = 1;
    record.sequence = sequence;
    record.draining = draining;
    record.running = static_cast<uint32_t>(sequence);
    daemons[at]->spread->OnAnnounced(record, now);
  }

  // Whether the daemon knows that the endpoint is draining.
  bool KnowsDraining(size_t number, const EndpointId& id = "e") const {
    const Endpoint* endpoint = daemons[number]->directory.Find(id);
    return endpoint != nullptr && endpoint->record.draining;
  }

  // The number of daemons that consider the endpoint usable.
  size_t Usable() const {
    size_t count = 0;
    for (const auto& daemon : daemons) {
      const Endpoint* endpoint = daemon->directory.Find("e");
      if (endpoint != nullptr && endpoint->usable) ++count;
    }
    return count;
  }

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::set<HostId> cut;  // hosts that neither send nor receive
  Instant now = Instant{} + 1000s;
  Duration step = 100ms;

 private:
  void ConnectAll(Daemon& daemon) {
    for (const auto& other : daemons) {
      if (other.get() != &daemon && other->connected) Connect(*other, daemon);
    }
  }

  // Daemons that only receive have no connections among each other.
  void Connect(Daemon& a, Daemon& b) {
    if (a.only_receives && b.only_receives) return;
    a.spread->OnPeerUp(b.host, now);
    b.spread->OnPeerUp(a.host, now);
  }

  void Deliver(const Daemon& from, const Outgoing& outgoing) {
    if (cut.contains(from.host) || cut.contains(outgoing.host)) return;
    for (const auto& daemon : daemons) {
      if (daemon->host != outgoing.host) continue;
      daemon->records_received += outgoing.delta.records.size();
      daemon->pulses_received += outgoing.delta.pulses.size();
      daemon->requests_received += outgoing.delta.pull ? 1 : 0;
      daemon->spread->OnDelta(from.host, outgoing.delta, now);
    }
  }
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_
