#ifndef DOTTERELSHIFT_LOOP_LOOP_H_
#define DOTTERELSHIFT_LOOP_LOOP_H_

#include <ev.h>  // for ev_io, ev_timer, ev_signal

#include <functional>  // for function

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::loop {

// The event loop of a process. All callbacks run on the thread that calls
// Run().
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs until Stop() is called from a callback.
  void Run();
  void Stop();

  // Current time of the monotonic clock, not cached.
  Instant Now() const { return std::chrono::steady_clock::now(); }

  // Milliseconds since 1970.
  WallMs WallNow() const;

  struct ev_loop* Raw() {
    return m_loop;
  }

 private:
  struct ev_loop* m_loop;
};

// Calls back while a file descriptor is readable or writable. Does not own the
// descriptor.
class IoWatcher {
 public:
  using Callback = std::function<void(int events)>;
  // `events` is EV_READ, EV_WRITE or both; with 0, nothing is watched until
  // SetEvents().
  IoWatcher(Loop& loop, int descriptor, int events, Callback callback);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  void SetEvents(int events);

 private:
  static void OnEvent(struct ev_loop*, ev_io* watcher, int events);
  Loop& m_loop;
  ev_io m_watcher;
  Callback m_callback;
};

// One-shot timer. The callback may rearm or destroy it.
class Timer {
 public:
  using Callback = std::function<void()>;
  Timer(Loop& loop, Callback callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void ArmAt(Instant when);
  void ArmIn(Duration delay);
  void Cancel();

 private:
  static void OnEvent(struct ev_loop*, ev_timer* watcher, int events);
  Loop& m_loop;
  ev_timer m_watcher;
  Callback m_callback;
};

// Calls back in each iteration of the loop, just before it waits for events, so
// that the work of one iteration can be sent as a batch.
class PrepareWatcher {
 public:
  using Callback = std::function<void()>;
  // Watchers with a higher priority (EV_MINPRI to EV_MAXPRI) are called first.
  PrepareWatcher(Loop& loop, Callback callback, int priority = 0);
  ~PrepareWatcher();
  PrepareWatcher(const PrepareWatcher&) = delete;
  PrepareWatcher& operator=(const PrepareWatcher&) = delete;

 private:
  static void OnEvent(struct ev_loop*, ev_prepare* watcher, int events);
  Loop& m_loop;
  ev_prepare m_watcher;
  Callback m_callback;
};

// Calls back on the loop's thread when a signal arrives.
class SignalWatcher {
 public:
  using Callback = std::function<void()>;
  SignalWatcher(Loop& loop, int signal, Callback callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  static void OnEvent(struct ev_loop*, ev_signal* watcher, int events);
  Loop& m_loop;
  ev_signal m_watcher;
  Callback m_callback;
};

}  // namespace dotterelshift::loop

#endif  // DOTTERELSHIFT_LOOP_LOOP_H_
