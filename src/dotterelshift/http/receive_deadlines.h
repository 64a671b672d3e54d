#ifndef DOTTERELSHIFT_SRC_HTTP_RECEIVE_DEADLINES_H_
#define DOTTERELSHIFT_SRC_HTTP_RECEIVE_DEADLINES_H_

#include <functional>  // for function
#include <set>         // for set
#include <utility>     // for pair

#include "dotterelshift/base/time.h"        // for Instant
#include "dotterelshift/http/connection.h"  // for Connection
#include "dotterelshift/loop/loop.h"        // for Timer

namespace dotterelshift::http {

// The connections that are idle or receive a request, by their deadlines.
class ReceiveDeadlines {
 public:
  using Callback = std::function<void(Connection&)>;
  // Calls back for each connection whose deadline has passed, after it was
  // taken out. The callback may set it again.
  ReceiveDeadlines(loop::Loop& loop, Callback on_passed)
      : m_loop(loop),
        m_on_passed(std::move(on_passed)),
        m_timer(loop, [this] { OnTimer(); }) {}

  // Adds a connection, or changes its deadline.
  void Set(Connection& connection, Instant deadline);
  // Takes a connection out, if it is in.
  void Remove(Connection& connection);

  auto begin() const { return m_waiting.begin(); }
  auto end() const { return m_waiting.end(); }

 private:
  void OnTimer();

  loop::Loop& m_loop;
  const Callback m_on_passed;
  std::set<std::pair<Instant, Connection*>> m_waiting;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RECEIVE_DEADLINES_H_
