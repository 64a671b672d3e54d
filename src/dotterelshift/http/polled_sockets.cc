#include "dotterelshift/http/polled_sockets.h"

#include <curl/curl.h>  // for CURL_POLL_IN

namespace dotterelshift::http {
namespace {

int EventsOf(int what) {
  if (what == CURL_POLL_REMOVE) return 0;
  return ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
         ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
}

}  // namespace

PolledSockets::PolledSockets(
    loop::Loop& loop, std::function<void(int descriptor, int events)> drive,
    std::function<void(int descriptor)> give_up)
    : m_loop(loop),
      m_drive(std::move(drive)),
      m_give_up(std::move(give_up)),
      m_gate(loop, [this](int descriptor) { OnReady(descriptor, EV_READ); }) {}

void PolledSockets::Watch(int descriptor, int what) {
  Watched& watched = m_watched[descriptor];
  watched.events = EventsOf(what);
  if (!watched.watcher && watched.events != 0) {
    watched.watcher =
        std::make_unique<loop::IoWatcher>(m_loop, descriptor, watched.events,
                                          [this, descriptor](int ready_events) {
                                            OnReady(descriptor, ready_events);
                                          });
  }
  Poll(descriptor);
}

void PolledSockets::Poll(int descriptor) {
  const Watched& watched = m_watched[descriptor];
  if (!watched.watcher) return;
  watched.watcher->SetEvents(
      m_gate.IsHeld(descriptor) ? watched.events & ~EV_READ : watched.events);
}

void PolledSockets::OnReady(int descriptor, int ready_events) {
  bool readable = (ready_events & EV_READ) != 0;
  if (readable) {
    const ReadDecision decision = m_gate.OnReadable(descriptor);
    if (decision == ReadDecision::kGiveUp) return m_give_up(descriptor);
    readable = decision == ReadDecision::kRead;
    Poll(descriptor);
  }
  const bool writable = (ready_events & EV_WRITE) != 0;
  if (readable || writable)
    m_drive(descriptor, (readable ? CURL_CSELECT_IN : 0) |
                            (writable ? CURL_CSELECT_OUT : 0));
}

}  // namespace dotterelshift::http
