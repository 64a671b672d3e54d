#ifndef DOTTERELSHIFT_SRC_GATEWAY_SYSTEM_QUEUE_TESTING_H_
#define DOTTERELSHIFT_SRC_GATEWAY_SYSTEM_QUEUE_TESTING_H_

#include <algorithm>  // for max, min
#include <cstddef>    // for size_t

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::gateway {

// Model of the system's send queue of a link, with the bytes transmitted so
// far.
class SystemQueue {
 public:
  // `rate`: payload bytes per second.
  explicit SystemQueue(double rate) : m_rate(rate) {}
  void Add(size_t bytes, Instant now) {
    Transmit(now);
    m_waiting += static_cast<double>(bytes);
    m_max_waiting = std::max(m_max_waiting, m_waiting);
  }
  void Transmit(Instant now) {
    const Duration passed = m_since == Instant{} ? 0s : now - m_since;
    m_since = now;
    const double maximum =
        m_rate * std::chrono::duration<double>(passed).count();
    const double carried = std::min(m_waiting, maximum);
    m_waiting -= carried;
    m_carried += carried;
  }
  double Transmitted() const { return m_carried; }
  // The longest queueing delay of any byte.
  Duration MaxDelay() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_max_waiting / m_rate));
  }

 private:
  double m_rate;
  double m_waiting = 0;
  double m_max_waiting = 0;
  double m_carried = 0;
  Instant m_since{};
};

}  // namespace dotterelshift::gateway

#endif  // DOTTERELSHIFT_SRC_GATEWAY_SYSTEM_QUEUE_TESTING_H_
