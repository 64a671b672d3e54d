#ifndef DOTTERELSHIFT_LOOP_TURN_WATCH_H_
#define DOTTERELSHIFT_LOOP_TURN_WATCH_H_

#include <ev.h>  // for ev_check

#include <functional>  // for function

#include "dotterelshift/base/time.h"  // for Duration
#include "dotterelshift/loop/loop.h"  // for Loop, PrepareWatcher

namespace dotterelshift::loop {

// Calls back at the end of each iteration of the loop that took at least
// `limit`. During that time, no descriptor was read and no timer was served.
class IterationWatcher {
 public:
  using Callback = std::function<void(Duration took)>;
  IterationWatcher(Loop& loop, Duration limit, Callback callback);
  ~IterationWatcher();
  IterationWatcher(const IterationWatcher&) = delete;
  IterationWatcher& operator=(const IterationWatcher&) = delete;

 private:
  static void OnBegin(struct ev_loop*, ev_check* watcher, int events);
  void OnEnd();

  Loop& m_loop;
  const Duration m_limit;
  Callback m_callback;
  Instant m_begin;
  ev_check m_begins;
  PrepareWatcher m_ends;  // lowest priority: called after all others
};

}  // namespace dotterelshift::loop

#endif  // DOTTERELSHIFT_LOOP_TURN_WATCH_H_
