#include "dotterelshift/http/receive_deadlines.h"

namespace dotterelshift::http {

void ReceiveDeadlines::Set(Connection& connection, Instant deadline) {
  Remove(connection);
  connection.receiving = true;
  connection.receive_deadline = deadline;
  const auto [position, added] = m_waiting.emplace(deadline, &connection);
  if (position == m_waiting.begin()) m_timer.ArmAt(deadline);
}

void ReceiveDeadlines::Remove(Connection& connection) {
  if (!std::exchange(connection.receiving, false)) return;
  m_waiting.erase({connection.receive_deadline, &connection});
}

void ReceiveDeadlines::OnTimer() {
  const Instant now = m_loop.Now();
  while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
    Connection& connection = *m_waiting.begin()->second;
    Remove(connection);
    m_on_passed(connection);
  }
  if (!m_waiting.empty()) m_timer.ArmAt(m_waiting.begin()->first);
}

}  // namespace dotterelshift::http
