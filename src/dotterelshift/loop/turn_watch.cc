#include "dotterelshift/loop/turn_watch.h"

#include <utility>  // for move

namespace dotterelshift::loop {

IterationWatcher::IterationWatcher(Loop& loop, Duration limit,
                                   Callback callback)
    : m_loop(loop),
      m_limit(limit),
      m_callback(std::move(callback)),
      m_begin(loop.Now()),
      m_begins(),
      m_ends(
          loop, [this] { OnEnd(); }, EV_MINPRI) {
  ev_check_init(&m_begins, OnBegin);
  ev_set_priority(&m_begins, EV_MAXPRI);
  m_begins.data = this;
  ev_check_start(m_loop.Raw(), &m_begins);
}

IterationWatcher::~IterationWatcher() {
  ev_check_stop(m_loop.Raw(), &m_begins);
}

void IterationWatcher::OnBegin(struct ev_loop*, ev_check* watcher, int) {
  auto* self = static_cast<IterationWatcher*>(watcher->data);
  self->m_begin = self->m_loop.Now();
}

void IterationWatcher::OnEnd() {
  const auto took =
      std::chrono::duration_cast<Duration>(m_loop.Now() - m_begin);
  if (took >= m_limit) m_callback(took);
}

}  // namespace dotterelshift::loop
