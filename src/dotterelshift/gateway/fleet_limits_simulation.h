#ifndef DOTTERELSHIFT_SRC_GATEWAY_FLEET_LIMITS_SIMULATION_H_
#define DOTTERELSHIFT_SRC_GATEWAY_FLEET_LIMITS_SIMULATION_H_

#include <algorithm>  // for erase_if, max
#include <cstdint>    // for uint64_t
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <random>     // for mt19937_64
#include <set>        // for set
#include <string>     // for string
#include <utility>    // for pair
#include <vector>     // for vector

#include "dotterelshift/directory/spread.h"      // for PulseKey
#include "dotterelshift/gateway/entry_roster.h"  // for EntryRoster
#include "dotterelshift/gateway/fleet_limits.h"  // for FleetLimits

namespace dotterelshift::gateway {

struct LimitFleetOptions {
  uint64_t seed = 1;
  int entries = 6;
  int data_centres = 1;
  int endpoints = 2;  // in each data centre
  double limit = 1;   // requests a second, of each endpoint
  // Refusals that an endpoint bears in a second; it refuses `refused` of 100.
  std::optional<uint32_t> refusal_limit;
  int refused = 0;
  double demand = 20;  // requests a second of all callers, for each endpoint
  Duration max_wait = 300ms;
  // Between two faults; up to twice as long.
  Duration fault_interval = 600ms;
  bool deaths = false;
  bool partitions = false;    // of entries from each other
  bool control_away = false;  // for most of the run
  bool restarts = false;      // of endpoints, under their ids
  bool varies = false;        // the limit changes
};

// Entries with their FleetLimits, connections with delays, and endpoints that
// name limits, under a manual clock and faults drawn from a seed. An entry that
// is not connected to another can still reach the endpoints.
class LimitFleet {
 public:
  explicit LimitFleet(const LimitFleetOptions& options)
      : m_options(options), m_random(options.seed), m_roster(10s) {
    for (int i = 0; i < options.data_centres; ++i)
      for (int k = 0; k < options.endpoints; ++k) AddEndpoint(i, k);
    for (int i = 0; i < options.entries; ++i) m_entries.emplace_back();
    for (int i = 0; i < options.entries; ++i) Start(i);
  }

  void RunFor(Duration time) {
    const Instant end = m_now + time;
    while (m_now < end) Step();
  }
  void NameLimits() {
    m_limited_at = m_now;
    ChangeLimits();
  }

  // The most requests at an endpoint in a window that began `after` the limits
  // were named, and what the highest limit in that window allows.
  struct Worst {
    size_t count = 0;
    double allowed = 0;
    double Excess() const { return static_cast<double>(count) - allowed; }
  };
  Worst WorstWindow(Duration after, Duration window) const {
    Worst worst = {0, 1e9};
    for (const SimulatedEndpoint& endpoint : m_endpoints)
      for (size_t i = 0; i < endpoint.arrivals.size(); ++i) {
        const Instant first = endpoint.arrivals[i];
        if (first < m_limited_at + after) continue;
        size_t count = 0;
        for (size_t k = i; k < endpoint.arrivals.size() &&
                           endpoint.arrivals[k] <= first + window;
             ++k)
          ++count;
        const double seconds = std::chrono::duration<double>(window).count();
        // Entries know what the last response named that they had time to tell
        // each other.
        Instant known = first - 500ms;
        if (i > 0) known = std::min(known, endpoint.arrivals[i - 1]);
        const double limit = HighestLimit(known, first + window);
        const Worst found = {count, limit * seconds + 1};
        if (worst.count == 0 || found.Excess() > worst.Excess()) worst = found;
      }
    return worst;
  }
  size_t MostRefusalsPerSecond() const {
    size_t most = 0;
    for (const SimulatedEndpoint& endpoint : m_endpoints) {
      size_t first = 0;
      for (size_t i = 0; i < endpoint.refusals.size(); ++i) {
        while (endpoint.refusals[i] - endpoint.refusals[first] > 1s) ++first;
        most = std::max(most, i - first + 1);
      }
    }
    return most;
  }
  // Requests at all endpoints since then.
  size_t Sent(Duration after) const {
    size_t sent = 0;
    for (const SimulatedEndpoint& endpoint : m_endpoints)
      for (const Instant at : endpoint.arrivals)
        sent += at >= m_limited_at + after ? 1 : 0;
    return sent;
  }
  void ForgetRefusals() {
    for (SimulatedEndpoint& endpoint : m_endpoints) endpoint.refusals.clear();
  }
  size_t Endpoints() const { return m_endpoints.size(); }
  // Bytes that all entries have sent to each other since the start.
  size_t Messages() const { return m_messages_sent; }

 private:
  struct SimulatedEndpoint {
    EndpointId id;
    uint64_t incarnation = 1;
    int data_centre = 0;
    std::vector<Instant> arrivals;  // at all incarnations
    std::vector<Instant> refusals;
    EndpointKey Key() const { return directory::PulseKey(id, incarnation); }
  };
  struct Call {
    size_t endpoint = 0;
    PermitDemand demand;
  };
  struct Entry {
    std::unique_ptr<FleetLoad> load;
    std::unique_ptr<FleetLimits> limits;
    uint64_t run = 0;
    std::set<int> connected;
    bool ready = false;  // control has answered
    Instant next_beat{};
    std::map<RequestId, Call> waiting;
  };
  struct Event {
    int from = 0;
    int to = 0;
    uint64_t from_run = 0;
    uint64_t to_run = 0;
    wire::LimitExchangeT message;
  };
  struct Arrival {
    size_t endpoint = 0;
    uint64_t incarnation = 0;
    int entry = 0;
    uint64_t run = 0;
    RequestId request = 0;
  };

  uint64_t Draw(uint64_t below) { return m_random() % below; }
  Duration DrawTime(Duration below) {
    return Duration(
        static_cast<int64_t>(Draw(static_cast<uint64_t>(below.count()))));
  }
  static HostId HostOf(int entry) { return "h" + std::to_string(100 + entry); }
  int DataCentreOf(int entry) const { return entry % m_options.data_centres; }
  static DataCentreId NameOfDataCentre(int number) {
    return "z" + std::to_string(number);
  }
  bool IsWholeFleet() const { return m_options.entries <= 16; }

  void AddEndpoint(int data_centre, int number) {
    SimulatedEndpoint endpoint;
    endpoint.id = NameOfDataCentre(data_centre) + "-" + std::to_string(number);
    endpoint.data_centre = data_centre;
    Announce(endpoint);
    m_endpoints.push_back(std::move(endpoint));
  }

  void Announce(const SimulatedEndpoint& endpoint) {
    wire::EndpointRecordT record;
    record.id = endpoint.id;
    record.sequence = 1;
    record.incarnation = endpoint.incarnation;
    record.address = record.id + ":80";
    record.data_centre = NameOfDataCentre(endpoint.data_centre);
    record.services = {"llm"};
    record.slots = 1000;
    m_directory.OnRecord(record, m_now);
  }

  void Restart(SimulatedEndpoint& endpoint) {
    ++endpoint.incarnation;
    Announce(endpoint);
    for (Entry& entry : m_entries)
      if (entry.limits != nullptr) TakeDirectory(entry);
  }

  void TakeDirectory(Entry& entry) {
    entry.load->OnDirectory(m_directory);
    for (const EndpointKey key : entry.load->TakeArrivals())
      entry.limits->OnArrival(key, entry.load->Find(key)->id, m_now);
  }

  void Start(int number) {
    Entry& entry = m_entries[number];
    entry = {};
    entry.run = ++m_last_run;
    FleetLoadOptions load;
    load.data_centre = NameOfDataCentre(DataCentreOf(number));
    entry.load = std::make_unique<FleetLoad>(load);
    FleetLimitsOptions limits;
    limits.self = HostOf(number);
    limits.data_centre = load.data_centre;
    entry.limits = std::make_unique<FleetLimits>(limits, *entry.load, m_now);
    TakeDirectory(entry);
    entry.next_beat = m_now + DrawTime(200ms);
    if (!m_control_away) m_roster.OnConnected(HostOf(number), load.data_centre);
  }

  void Kill(int number) {
    Entry& entry = m_entries[number];
    for (const int other : entry.connected) Disconnect(other, number);
    entry = {};
    if (!m_control_away) m_roster.OnDisconnected(HostOf(number), m_now);
  }

  bool IsUp(int number) const { return m_entries[number].limits != nullptr; }

  void Disconnect(int at, int from) {
    if (m_entries[at].connected.erase(from) == 0) return;
    m_entries[at].limits->OnEntryDown(HostOf(from));
  }

  void ConnectAll() {
    for (int a = 0; a < m_options.entries; ++a)
      for (int b = 0; b < m_options.entries; ++b) {
        const bool linked =
            a != b && IsUp(a) && IsUp(b) && !m_cut.contains({a, b}) &&
            (IsWholeFleet() || DataCentreOf(a) == DataCentreOf(b));
        if (!linked) continue;
        if (!m_entries[a].connected.insert(b).second) continue;
        m_entries[a].limits->OnEntryUp(
            HostOf(b), NameOfDataCentre(DataCentreOf(b)), m_now);
      }
  }

  void Beat(int number) {
    Entry& entry = m_entries[number];
    entry.next_beat = m_now + 1s;
    if (m_control_away) return;
    const EntryRoster::Place place = m_roster.PlaceOf(HostOf(number), m_now);
    FleetCount count;
    count.entries = place.count;
    count.in_data_centre = place.in_data_centre;
    count.counted_for = place.counted_for;
    count.confirmed = m_now;
    entry.limits->OnCount(count, m_now);
    for (const wire::LimitNote& note : entry.limits->OwnNotes(2s, m_now))
      m_control.OnNote(note, m_now);
    entry.limits->OnNotes(m_control.Notes(m_now), "control", m_now);
    entry.ready = true;
  }

  double LimitAt() const { return m_limits.back().second; }
  double HighestLimit(Instant since, Instant until) const {
    double highest = 0;
    for (size_t i = 0; i < m_limits.size(); ++i) {
      const bool ended =
          i + 1 < m_limits.size() && m_limits[i + 1].first <= since;
      if (!ended && m_limits[i].first <= until)
        highest = std::max(highest, m_limits[i].second);
    }
    return highest;
  }
  void ChangeLimits() {
    const double factor =
        m_options.varies
            ? std::uniform_real_distribution<double>(0.3, 3)(m_random)
            : 1;
    m_limits.emplace_back(m_now, m_options.limit * factor);
    m_next_change = m_now + 3s;
  }

  // A request arrives at some entry for some endpoint that it may use.
  void CallSomebody() {
    const int number = static_cast<int>(Draw(m_options.entries));
    if (!IsUp(number) || !m_entries[number].ready) return;
    // In a large fleet, entries use the endpoints of their data centre.
    size_t endpoint = Draw(m_endpoints.size());
    while (!IsWholeFleet() &&
           m_endpoints[endpoint].data_centre != DataCentreOf(number))
      endpoint = Draw(m_endpoints.size());
    PermitDemand demand;
    demand.request = ++m_last_request;
    demand.endpoint = m_endpoints[endpoint].Key();
    demand.max_wait = m_options.max_wait;
    demand.time_left = 2s;
    demand.priority = static_cast<int>(Draw(3));
    Try(number, {endpoint, demand});
  }

  void Try(int number, const Call& call) {
    Entry& entry = m_entries[number];
    const PermitDemand& demand = call.demand;
    switch (entry.limits->Ask(demand, m_now)) {
      case PermitState::kDenied:
        entry.limits->OnOutcome(demand.request, false, m_now);
        entry.waiting.erase(demand.request);
        return;
      case PermitState::kAsked:
        entry.waiting[demand.request] = call;
        return;
      case PermitState::kNotNeeded:
      case PermitState::kGranted:
        entry.limits->Use(demand.request);
        entry.waiting.erase(demand.request);
        m_arrivals.emplace(
            m_now + DrawTime(20ms),
            Arrival{call.endpoint, m_endpoints[call.endpoint].incarnation,
                    number, entry.run, demand.request});
    }
  }

  void Deliver(const Arrival& arrival) {
    SimulatedEndpoint& endpoint = m_endpoints[arrival.endpoint];
    if (arrival.incarnation != endpoint.incarnation) return Lose(arrival);
    endpoint.arrivals.push_back(m_now);
    const bool refuses = !m_limits.empty() &&
                         Draw(100) < static_cast<uint64_t>(m_options.refused);
    if (refuses) endpoint.refusals.push_back(m_now);
    Entry& entry = m_entries[arrival.entry];
    if (!IsUp(arrival.entry) || entry.run != arrival.run) return;
    EndpointLimits limits;
    if (!m_limits.empty() && !m_options.refusal_limit)
      limits.requests_per_second = LimitAt();
    if (!m_limits.empty()) limits.refusals_per_second = m_options.refusal_limit;
    entry.limits->OnResponse(endpoint.Key(), limits, m_now);
    entry.limits->OnOutcome(arrival.request, refuses, m_now);
  }

  // The endpoint has started again, so that the connection is broken.
  void Lose(const Arrival& arrival) {
    const Entry& entry = m_entries[arrival.entry];
    if (IsUp(arrival.entry) && entry.run == arrival.run)
      entry.limits->OnOutcome(arrival.request, false, m_now);
  }

  void Deliver(const Event& event) {
    const Entry& from = m_entries[event.from];
    Entry& to = m_entries[event.to];
    const bool same_runs = to.run == event.to_run && from.run == event.from_run;
    if (!IsUp(event.to) || !same_runs || !to.connected.contains(event.from))
      return;
    to.limits->OnMessage(HostOf(event.from), event.message, m_now);
  }

  void Step() {
    m_now += 1ms;
    Faults();
    while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now) {
      const auto node = m_arrivals.extract(m_arrivals.begin());
      Deliver(node.mapped());
    }
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto node = m_events.extract(m_events.begin());
      Deliver(node.mapped());
    }
    const double calls =
        m_options.demand * static_cast<double>(m_endpoints.size()) / 1000;
    for (m_calls += calls; m_calls >= 1; m_calls -= 1) CallSomebody();
    for (int i = 0; i < m_options.entries; ++i)
      if (IsUp(i)) StepEntry(i);
  }

  void StepEntry(int number) {
    Entry& entry = m_entries[number];
    if (m_now >= entry.next_beat) Beat(number);
    if (entry.limits->NextTimer(m_now) <= m_now) entry.limits->OnTimer(m_now);
    for (const RequestId request : entry.limits->TakeAnswers()) {
      const auto waiting = entry.waiting.find(request);
      if (waiting != entry.waiting.end()) Try(number, Call(waiting->second));
    }
    entry.limits->TakeEvents();
    for (auto& [host, message] : entry.limits->TakeMessages()) {
      const int to = std::stoi(host.substr(1)) - 100;
      ++m_messages_sent;
      // Messages on one connection keep their order.
      Instant& last = m_last_delivery[{number, to}];
      last = std::max(last, m_now + 200us + DrawTime(5ms));
      m_events.emplace(last, Event{number, to, entry.run, m_entries[to].run,
                                   std::move(message)});
    }
  }

  void Faults() {
    if (m_now >= m_next_connect) {
      ConnectAll();
      m_next_connect = m_now + 50ms;
    }
    if (m_limits.empty()) return;
    m_control_away = m_options.control_away && m_now >= m_limited_at + 1s;
    if (m_options.varies && m_now >= m_next_change) ChangeLimits();
    if (m_now < m_next_fault) return;
    m_next_fault =
        m_now + m_options.fault_interval + DrawTime(m_options.fault_interval);
    const int victim = static_cast<int>(Draw(m_options.entries));
    if (m_options.deaths && IsUp(victim)) {
      Kill(victim);
      m_down[victim] = m_now + 50ms + DrawTime(1500ms);
    }
    for (auto down = m_down.begin(); down != m_down.end();) {
      if (m_now < down->second) {
        ++down;
        continue;
      }
      Start(down->first);
      down = m_down.erase(down);
    }
    if (m_options.partitions) Partition();
    if (m_options.restarts) Restart(m_endpoints[Draw(m_endpoints.size())]);
  }

  // Sometimes the entries fall into two parts, sometimes single links fail.
  void Partition() {
    m_cut.clear();
    const uint64_t kind = Draw(3);
    for (int a = 0; a < m_options.entries; ++a)
      for (int b = 0; b < a; ++b) {
        const bool apart = kind == 0 && a % 2 != b % 2;
        const bool lost = kind == 1 && Draw(4) == 0;
        if (!apart && !lost) continue;
        for (const auto& link : {std::pair(a, b), std::pair(b, a)}) {
          m_cut.insert(link);
          if (IsUp(link.first)) Disconnect(link.first, link.second);
        }
      }
  }

  const LimitFleetOptions m_options;
  std::mt19937_64 m_random;
  Instant m_now{1000s};
  directory::Directory m_directory;
  EntryRoster m_roster;
  NamedLimits m_control;  // as control knows them
  std::vector<SimulatedEndpoint> m_endpoints;
  std::vector<Entry> m_entries;
  std::multimap<Instant, Event> m_events;
  std::multimap<Instant, Arrival> m_arrivals;
  std::map<std::pair<int, int>, Instant> m_last_delivery;
  std::set<std::pair<int, int>> m_cut;
  std::map<int, Instant> m_down;  // until when
  std::vector<std::pair<Instant, double>> m_limits;
  Instant m_limited_at{};
  Instant m_next_change{};
  Instant m_next_connect{};
  Instant m_next_fault{};
  bool m_control_away = false;
  double m_calls = 0;
  uint64_t m_last_run = 0;
  RequestId m_last_request = 0;
  size_t m_messages_sent = 0;
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_FLEET_LIMITS_SIMULATION_H_
