#ifndef DOTTERELSHIFT_TESTS_SCENARIOS_NETWORK_H_
#define DOTTERELSHIFT_TESTS_SCENARIOS_NETWORK_H_

#include <functional>  // for function
#include <map>         // for map
#include <random>      // for mt19937_64
#include <set>         // for set
#include <string>      // for string
#include <utility>     // for pair

#include "dotterelshift/base/time.h"  // for Instant

namespace dotterelshift::scenarios {

// Delay and faults of a link.
struct LinkFault {
  Duration delay = 1500us;
  Duration jitter = 0s;  // bound of a random extra delay; reorders messages
  int double_every = 0;  // every n-th message is delivered twice; 0: none
};

// A simulated clock and the links between hosts. All later actions are events,
// run in order of time and, at the same time, of creation.
class Network {
 public:
  explicit Network(uint64_t seed) : m_random(seed) {}

  Instant Now() const { return m_now; }
  void After(Duration delay, std::function<void()> event);
  // Runs all events up to and including `until`, then sets the clock to it.
  void RunUntil(Instant until);

  // Calls `deliver` after the link's delay, unless the link is cut when the
  // message is sent or when it arrives.
  void Send(const std::string& from, const std::string& to,
            const std::function<void()>& deliver);
  void Cut(const std::string& one, const std::string& other);
  void Heal(const std::string& one, const std::string& other);
  void HealAll();
  bool IsCut(const std::string& one, const std::string& other) const;
  void SetFault(const std::string& one, const std::string& other,
                const LinkFault& fault);

 private:
  using Pair = std::pair<std::string, std::string>;
  static Pair PairOf(const std::string& one, const std::string& other);
  void Deliver(const Pair& pair, Duration delay,
               const std::function<void()>& deliver);

  Instant m_now{};
  std::multimap<Instant, std::function<void()>> m_events;
  std::set<Pair> m_cut;
  std::map<Pair, LinkFault> m_faults;
  std::map<Pair, int> m_sent;
  std::mt19937_64 m_random;
};

}  // namespace dotterelshift::scenarios

#endif  // DOTTERELSHIFT_TESTS_SCENARIOS_NETWORK_H_
