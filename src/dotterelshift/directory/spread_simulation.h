#ifndef DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_
#define DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_

// Daemons that disseminate their directories over simulated links; for tests
// only.

#include <algorithm>   // for max, stable_partition
#include <cstddef>     // for size_t
#include <functional>  // for function
#include <iterator>    // for make_move_iterator
#include <memory>      // for unique_ptr
#include <set>         // for set
#include <string>      // for string
#include <utility>     // for move
#include <vector>      // for vector

#include "dotterelshift/directory/departures.h"  // for Departures
#include "dotterelshift/directory/directory.h"   // for Directory
#include "dotterelshift/directory/spread.h"      // for Spread

namespace dotterelshift::directory {

// The fan-out of a control host: it sends to all others.
inline constexpr size_t kToAll = 1000;

// The options of an entry, which only receives, and drops nothing while it is
// cut off.
inline DirectoryOptions EntryOptions() {
  DirectoryOptions options;
  options.silent_after = 60s;
  options.forget_after = 120s;
  return options;
}

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
    Departures departures;
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
    std::erase_if(m_in_flight, [&](const Frame& frame) {
      return frame.from == daemon.host || frame.to == daemon.host;
    });
    for (const auto& other : daemons) {
      if (other.get() == &daemon) continue;
      LosePeer(*other, daemon);
      LosePeer(daemon, *other);
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
    daemon.departures = Departures();
  }

  // Connects two hosts of which at least one was disconnected from all.
  void ConnectPair(size_t a, size_t b) {
    daemons[a]->connected = daemons[b]->connected = true;
    Connect(*daemons[a], *daemons[b]);
  }

  void RunFor(Duration duration) {
    for (const Instant end = now + duration; now < end;) {
      now += step;
      DeliverDue();
      for (const auto& daemon : daemons) {
        daemon->departures.OnTimer(now);
        for (Outgoing& outgoing : daemon->spread->OnTimer(now))
          Send(*daemon, std::move(outgoing));
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

  // The endpoint leaves, and calls back when that is acknowledged or refused.
  void Leave(size_t at, uint64_t sequence, const EndpointId& id, size_t holders,
             Departures::Callback callback) {
    Announce(at, sequence, true, id);
    Daemon& daemon = *daemons[at];
    const uint64_t key = DepartureKey(daemon.directory.Find(id)->record);
    if (daemon.departures.Await(key, holders, now, std::move(callback)))
      daemon.spread->RequestConfirmation(id, now);
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
  // How long a frame from one host to another takes. Frames of a connection
  // keep their order, and are lost with it.
  std::function<Duration(const HostId& from, const HostId& to)> delay;

 private:
  struct Frame {
    HostId from;
    HostId to;
    Instant arrives;
    wire::DirectoryDeltaT delta;
  };

  void ConnectAll(Daemon& daemon) {
    for (const auto& other : daemons) {
      if (other.get() != &daemon && other->connected) Connect(*other, daemon);
    }
  }

  // Daemons that only receive have no connections among each other.
  void Connect(Daemon& a, Daemon& b) {
    if (a.only_receives && b.only_receives) return;
    MeetPeer(a, b);
    MeetPeer(b, a);
  }

  void MeetPeer(Daemon& daemon, const Daemon& peer) const {
    if (!peer.only_receives) daemon.departures.OnPeerUp(peer.host);
    daemon.spread->OnPeerUp(peer.host, now);
  }

  void LosePeer(Daemon& daemon, const Daemon& peer) const {
    daemon.spread->OnPeerDown(peer.host, now);
    daemon.departures.OnPeerDown(peer.host, now);
  }

  void Send(const Daemon& from, Outgoing outgoing) {
    Frame frame{from.host, outgoing.host, now, std::move(outgoing.delta)};
    if (!delay) return Deliver(frame);
    frame.arrives += delay(frame.from, frame.to);
    for (const Frame& earlier : m_in_flight) {
      if (earlier.from == frame.from && earlier.to == frame.to)
        frame.arrives = std::max(frame.arrives, earlier.arrives);
    }
    m_in_flight.push_back(std::move(frame));
  }

  void DeliverDue() {
    const auto due = std::stable_partition(
        m_in_flight.begin(), m_in_flight.end(),
        [this](const Frame& frame) { return frame.arrives > now; });
    const std::vector<Frame> arrived(
        std::make_move_iterator(due),
        std::make_move_iterator(m_in_flight.end()));
    m_in_flight.erase(due, m_in_flight.end());
    for (const Frame& frame : arrived) Deliver(frame);
  }

  void Deliver(const Frame& frame) {
    if (cut.contains(frame.from) || cut.contains(frame.to)) return;
    for (const auto& daemon : daemons) {
      if (daemon->host != frame.to) continue;
      daemon->records_received += frame.delta.records.size();
      daemon->pulses_received += frame.delta.pulses.size();
      daemon->requests_received += frame.delta.pull ? 1 : 0;
      daemon->spread->OnDelta(frame.from, frame.delta, now);
      daemon->departures.OnConfirmed(frame.from, frame.delta.confirmed, now);
      for (Outgoing& outgoing : daemon->spread->TakeConfirmations())
        Send(*daemon, std::move(outgoing));
    }
  }

  std::vector<Frame> m_in_flight;
};

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_SRC_DIRECTORY_SPREAD_SIMULATION_H_
