#ifndef DOTTERELSHIFT_APP_SIMULATED_LOOP_H_
#define DOTTERELSHIFT_APP_SIMULATED_LOOP_H_

// Event loops of several hosts on one simulated clock, on which work takes
// time. For tests only.

#include <algorithm>   // for max
#include <cstdint>     // for uint64_t
#include <deque>       // for deque
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for shared_ptr
#include <utility>     // for pair

#include "dotterelshift/base/time.h"  // for Instant, Duration

namespace dotterelshift::app {

class SimulatedLoop;

// The pending events of all hosts, in order of time.
class SimulatedTime {
 public:
  using Event = std::function<void()>;

  Instant Now() const { return m_now; }

  // Adds an event. It belongs to no host if `host` is null.
  void Add(Instant when, SimulatedLoop* host, Event event) {
    Add(when, Due{host, true, std::move(event)});
  }
  // Adds work of a host that is idle at that time.
  void AddWork(Instant when, SimulatedLoop* host, Event work) {
    Add(when, Due{host, false, std::move(work)});
  }

  // Drops all pending events of a host.
  void Forget(const SimulatedLoop* host) {
    std::erase_if(m_events,
                  [&](const auto& due) { return due.second.host == host; });
  }

  // Advances to the next event and runs it; returns false if there is none.
  bool Step();

 private:
  using Key = std::pair<Instant, uint64_t>;  // time and insertion order
  struct Due {
    SimulatedLoop* host = nullptr;
    bool waits = false;  // until its host is idle
    Event event;
  };
  void Add(Instant when, Due due) {
    m_events.emplace(Key{std::max(when, m_now), ++m_last}, std::move(due));
  }

  Instant m_now{};
  uint64_t m_last = 0;
  std::map<Key, Due> m_events;
};

// The event loop of one host. Its clock runs ahead of the others' while it
// works. Events that become due in the meantime wait in order, as on a single
// thread.
class SimulatedLoop {
 public:
  explicit SimulatedLoop(SimulatedTime& time) : m_time(time) {}

  Instant Now() const { return std::max(m_time.Now(), m_busy_until); }
  WallMs WallNow() const { return ToMs(Now().time_since_epoch()); }
  // Simulates work that takes this long.
  void Spend(Duration work) { m_busy_until = Now() + work; }

  SimulatedTime& Time() { return m_time; }

  // Queues an event that has become due.
  void Take(SimulatedTime::Event event) {
    m_due.push_back(std::move(event));
    if (m_due.size() == 1) RunNext();
  }

 private:
  // The running event stays at the front of the queue until its work is done.
  void RunNext() {
    m_time.AddWork(m_busy_until, this, [this] {
      m_due.front()();
      m_due.pop_front();
      if (!m_due.empty()) RunNext();
    });
  }

  SimulatedTime& m_time;
  Instant m_busy_until{};
  std::deque<SimulatedTime::Event> m_due;
};

inline bool SimulatedTime::Step() {
  if (m_events.empty()) return false;
  auto next = m_events.extract(m_events.begin());
  m_now = next.key().first;
  Due& due = next.mapped();
  if (due.host != nullptr && due.waits)
    due.host->Take(std::move(due.event));
  else
    due.event();
  return true;
}

// A timer on a SimulatedLoop.
class SimulatedTimer {
 public:
  SimulatedTimer(SimulatedLoop& loop, std::function<void()> callback)
      : m_loop(loop), m_callback(std::move(callback)) {}
  ~SimulatedTimer() { Cancel(); }
  SimulatedTimer(const SimulatedTimer&) = delete;
  SimulatedTimer& operator=(const SimulatedTimer&) = delete;

  // As on a real loop, a timer that is already due fires after those armed
  // earlier.
  void ArmAt(Instant when) {
    Cancel();
    m_armed = std::make_shared<bool>(true);
    const Instant due = std::max(when, m_loop.Now());
    m_loop.Time().Add(due, &m_loop, [this, armed = m_armed] {
      if (std::exchange(*armed, false)) m_callback();
    });
  }
  void ArmIn(Duration delay) { ArmAt(m_loop.Now() + delay); }
  void Cancel() {
    if (m_armed) *m_armed = false;
  }

 private:
  SimulatedLoop& m_loop;
  std::function<void()> m_callback;
  std::shared_ptr<bool> m_armed;  // false: cancelled
};

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_APP_SIMULATED_LOOP_H_
