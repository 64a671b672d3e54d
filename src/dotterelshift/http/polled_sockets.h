#ifndef DOTTERELSHIFT_SRC_HTTP_POLLED_SOCKETS_H_
#define DOTTERELSHIFT_SRC_HTTP_POLLED_SOCKETS_H_

#include <functional>     // for function
#include <memory>         // for unique_ptr
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/http/client.h"         // for DueResponse
#include "dotterelshift/http/response_gate.h"  // for ResponseGate
#include "dotterelshift/loop/loop.h"           // for IoWatcher

namespace dotterelshift::http {

// Waits for the sockets that libcurl wants to read or write, and lets it read a
// reused connection only when the response that is due is there.
class PolledSockets {
 public:
  // `drive` is called with CURL_CSELECT_IN, CURL_CSELECT_OUT or both, `give_up`
  // when a connection brings bytes without end instead of the response that is
  // due.
  PolledSockets(loop::Loop& loop,
                std::function<void(int descriptor, int events)> drive,
                std::function<void(int descriptor)> give_up);

  // `what` is what libcurl waits for: CURL_POLL_IN, CURL_POLL_REMOVE and so on.
  void Watch(int descriptor, int what);
  // See ResponseGate::Begin().
  bool BeginToAwait(int descriptor, const DueResponse& due) {
    return m_gate.Begin(descriptor, due);
  }
  // The descriptor is closed.
  void Forget(int descriptor) { m_gate.Forget(descriptor); }

 private:
  struct Watched {
    std::unique_ptr<loop::IoWatcher> watcher;
    int events = 0;  // that libcurl waits for
  };

  void OnReady(int descriptor, int ready_events);
  void Poll(int descriptor);

  loop::Loop& m_loop;
  const std::function<void(int descriptor, int events)> m_drive;
  const std::function<void(int descriptor)> m_give_up;
  ResponseGate m_gate;
  // Watchers are kept per descriptor number and never removed, so that none is
  // destroyed during its own callback.
  std::unordered_map<int, Watched> m_watched;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_POLLED_SOCKETS_H_
