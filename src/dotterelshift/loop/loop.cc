#include "dotterelshift/loop/loop.h"

#include <algorithm>  // for max
#include <utility>    // for move

#include "dotterelshift/base/error.h"  // for Error

namespace dotterelshift::loop {

Loop::Loop() : m_loop(ev_loop_new(EVFLAG_AUTO)) {
  if (m_loop == nullptr)
    throw Error(ErrorKind::kInternal, "cannot create the event loop");
}

Loop::~Loop() { ev_loop_destroy(m_loop); }

void Loop::Run() { ev_run(m_loop, 0); }

void Loop::Stop() { ev_break(m_loop, EVBREAK_ALL); }

WallMs Loop::WallNow() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

IoWatcher::IoWatcher(Loop& loop, int descriptor, int events, Callback callback)
    : m_loop(loop), m_watcher(), m_callback(std::move(callback)) {
  ev_io_init(&m_watcher, OnEvent, descriptor, events);
  m_watcher.data = this;
  if (events != 0) ev_io_start(m_loop.Raw(), &m_watcher);
}

IoWatcher::~IoWatcher() { ev_io_stop(m_loop.Raw(), &m_watcher); }

void IoWatcher::SetEvents(int events) {
  ev_io_stop(m_loop.Raw(), &m_watcher);
  ev_io_set(&m_watcher, m_watcher.fd, events);
  if (events != 0) ev_io_start(m_loop.Raw(), &m_watcher);
}

void IoWatcher::OnEvent(struct ev_loop*, ev_io* watcher, int events) {
  static_cast<IoWatcher*>(watcher->data)->m_callback(events);
}

Timer::Timer(Loop& loop, Callback callback)
    : m_loop(loop), m_watcher(), m_callback(std::move(callback)) {
  ev_timer_init(&m_watcher, OnEvent, 0., 0.);
  m_watcher.data = this;
}

Timer::~Timer() { Cancel(); }

void Timer::ArmAt(Instant when) { ArmIn(when - m_loop.Now()); }

void Timer::ArmIn(Duration delay) {
  Cancel();
  // libev starts timers from its cached time, the start of the iteration.
  // Update it, so that time already spent in this iteration does not shorten
  // the delay.
  const double seconds =
      std::max(0., std::chrono::duration<double>(delay).count());
  ev_timer_set(&m_watcher, seconds, 0.);
  ev_now_update(m_loop.Raw());
  ev_timer_start(m_loop.Raw(), &m_watcher);
}

void Timer::Cancel() { ev_timer_stop(m_loop.Raw(), &m_watcher); }

void Timer::OnEvent(struct ev_loop*, ev_timer* watcher, int) {
  static_cast<Timer*>(watcher->data)->m_callback();
}

PrepareWatcher::PrepareWatcher(Loop& loop, Callback callback, int priority)
    : m_loop(loop), m_watcher(), m_callback(std::move(callback)) {
  ev_prepare_init(&m_watcher, OnEvent);
  ev_set_priority(&m_watcher, priority);
  m_watcher.data = this;
  ev_prepare_start(m_loop.Raw(), &m_watcher);
}

PrepareWatcher::~PrepareWatcher() { ev_prepare_stop(m_loop.Raw(), &m_watcher); }

void PrepareWatcher::OnEvent(struct ev_loop*, ev_prepare* watcher, int) {
  static_cast<PrepareWatcher*>(watcher->data)->m_callback();
}

SignalWatcher::SignalWatcher(Loop& loop, int signal, Callback callback)
    : m_loop(loop), m_watcher(), m_callback(std::move(callback)) {
  ev_signal_init(&m_watcher, OnEvent, signal);
  m_watcher.data = this;
  ev_signal_start(m_loop.Raw(), &m_watcher);
}

SignalWatcher::~SignalWatcher() { ev_signal_stop(m_loop.Raw(), &m_watcher); }

void SignalWatcher::OnEvent(struct ev_loop*, ev_signal* watcher, int) {
  static_cast<SignalWatcher*>(watcher->data)->m_callback();
}

}  // namespace dotterelshift::loop
