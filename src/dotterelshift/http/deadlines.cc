#include "dotterelshift/http/deadlines.h"

namespace dotterelshift::http {

void Deadlines::Set(Connection& connection, Instant deadline) {
  Remove(connection);
  connection.has_deadline = true;
  connection.deadline = deadline;
  const auto [position, added] = m_waiting.emplace(deadline, &connection);
  if (position == m_waiting.begin()) m_timer.ArmAt(deadline);
}

void Deadlines::Remove(Connection& connection) {
  if (!std::exchange(connection.has_deadline, false)) return;
  m_waiting.erase({connection.deadline, &connection});
}

void Deadlines::OnTimer() {
  const Instant now = m_loop.Now();
  while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
    Connection& connection = *m_waiting.begin()->second;
    Remove(connection);
    m_on_passed(connection);
  }
  if (!m_waiting.empty()) m_timer.ArmAt(m_waiting.begin()->first);
}

}  // namespace dotterelshift::http
