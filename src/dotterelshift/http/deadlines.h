#ifndef DOTTERELSHIFT_SRC_HTTP_DEADLINES_H_
#define DOTTERELSHIFT_SRC_HTTP_DEADLINES_H_

#include <functional>  // for function
#include <set>         // for set
#include <utility>     // for move

#include "dotterelshift/base/time.h"        // for Instant
#include "dotterelshift/http/connection.h"  // for Connection
#include "dotterelshift/loop/loop.h"        // for Loop

namespace dotterelshift::http {

// The deadlines of connections: until when a caller is to send or to read. One
// timer serves all of them.
class Deadlines {
 public:
  using Callback = std::function<void(Connection&)>;
  // Calls back for each connection whose deadline has passed, after it was
  // taken out. The callback may set it again.
  Deadlines(loop::Loop& loop, Callback on_passed)
      : m_loop(loop),
        m_on_passed(std::move(on_passed)),
        m_timer(loop, [this] { OnTimer(); }) {}

  // Adds a connection, or changes its deadline.
  void Set(Connection& connection, Instant deadline);
  // Takes a connection out, if it is in.
  void Remove(Connection& connection);

 private:
  void OnTimer();

  loop::Loop& m_loop;
  const Callback m_on_passed;
  std::set<std::pair<Instant, Connection*>> m_waiting;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_DEADLINES_H_
