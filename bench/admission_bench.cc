// Measures admission under overload: one team sends ten times what an engine
// can serve, nine other teams send little. The simulated clock and the seeded
// arrivals make the output the same in each run.
#include <algorithm>  // for sort
#include <cstdio>     // for printf
#include <map>        // for map
#include <queue>      // for priority_queue
#include <random>     // for mt19937_64
#include <string>     // for string
#include <vector>     // for vector

#include "dotterelshift/admission/fair_queue.h"      // for MakeFairQueue
#include "dotterelshift/admission/wait_estimator.h"  // for WaitEstimator

namespace dotterelshift::admission {
namespace {

constexpr int kSlots = 16;  // requests that the engine runs concurrently
constexpr double kPrefill = 0.030;  // seconds to the first token
constexpr double kDecode = 0.400;   // mean seconds from first token to end
constexpr double kFloodRate = 370;  // requests per second
constexpr double kQuietRate = 1;    // requests per second of each quiet team
constexpr int kQuietTeams = 9;
constexpr double kRunSeconds = 120;
constexpr Duration kDeadline = 5s;
const std::string kTarget = "m";
constexpr int kAdaptiveLimit = 0;  // adapts to first-token latency

struct Policy {
  const char* name;
  bool fair;
  int limit;  // a fixed limit, or kAdaptiveLimit
  bool refuse_early;
};

enum class EventKind { kArrival, kFirstToken, kEnd };

struct Event {
  double when = 0;
  EventKind kind = EventKind::kArrival;
  RequestId request = 0;
  int team = 0;
  bool operator<(const Event& other) const { return when > other.when; }
};

struct Sent {
  int team = 0;
  double arrived = 0;
  double dispatched = 0;
};

struct Totals {
  std::vector<double> first_token;  // seconds from arrival
  int arrived = 0;
  int served = 0;
  int refused = 0;  // rejected on arrival
  int expired = 0;  // still queued at the deadline
};

Instant At(double seconds) {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds + 1)));
}

// Simulates one entry with a fair queue in front of one engine, which has slots
// and its own queue.
class Run {
 public:
  explicit Run(const Policy& policy) : m_policy(policy) {
    for (int team = 0; team <= kQuietTeams; ++team) Arrive(team, 0);
  }

  void RunToEnd() {
    while (!m_events.empty() && m_events.top().when < kRunSeconds) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.when;
      for (const RequestId late : m_queue->TakeExpired(At(m_now)))
        ++m_totals[m_sent[late].team != 0].expired;
      switch (event.kind) {
        case EventKind::kArrival:
          OnArrival(event.team);
          break;
        case EventKind::kFirstToken:
          OnFirstToken(event.request);
          break;
        case EventKind::kEnd:
          OnEnd();
          break;
      }
      Dispatch();
    }
  }

  void Print() {
    Totals& quiet = m_totals[true];
    const Totals& flood = m_totals[false];
    std::ranges::sort(quiet.first_token);
    const auto quantile = [&quiet](double q) {
      const auto size = static_cast<double>(quiet.first_token.size());
      return 1e3 * quiet.first_token.at(static_cast<size_t>(q * size));
    };
    std::printf(
        "%-28s quiet: served %4d of %4d, first token median %6.0f ms, 99%% "
        "%6.0f ms | flood: served %5.1f/s, refused %5d, expired %5d | limit "
        "%d\n",
        m_policy.name, quiet.served, quiet.arrived, quantile(0.5),
        quantile(0.99), flood.served / kRunSeconds, flood.refused,
        flood.expired, Limit());
  }

 private:
  void Arrive(int team, double after) {
    const double rate = team == 0 ? kFloodRate : kQuietRate;
    const double gap = std::exponential_distribution<>(rate)(m_random);
    m_events.push({after + gap, EventKind::kArrival, 0, team});
  }

  void OnArrival(int team) {
    Arrive(team, m_now);
    Totals& totals = m_totals[team != 0];
    ++totals.arrived;
    Waiting waiting;
    waiting.request = ++m_last;
    waiting.team = m_policy.fair ? std::to_string(team) : "all";
    waiting.target = kTarget;
    waiting.deadline = At(m_now) + kDeadline;
    const bool refuse_now =
        m_policy.refuse_early &&
        m_estimator.RefuseFor(kTarget, m_queue->CostAhead(waiting), kDeadline,
                              At(m_now));
    const bool first = m_queue->Size() == 0;
    if (refuse_now || !m_queue->Push(waiting)) {
      ++totals.refused;
      return;
    }
    m_estimator.OnWaiting(kTarget, first, At(m_now));
    m_sent[m_last] = {team, m_now, 0};
  }

  int Limit() const {
    return m_policy.limit == kAdaptiveLimit ? m_adaptive_limit.Current()
                                            : m_policy.limit;
  }

  void Dispatch() {
    m_queue->Offer([this](const Waiting& waiting) {
      if (m_in_flight >= Limit()) return false;
      ++m_in_flight;
      m_sent[waiting.request].dispatched = m_now;
      m_estimator.OnStarted(kTarget, waiting.cost, m_queue->Size() > 1,
                            At(m_now));
      m_engine_queue.push(waiting.request);
      return true;
    });
    while (m_running < kSlots && !m_engine_queue.empty()) {
      ++m_running;
      m_events.push(
          {m_now + kPrefill, EventKind::kFirstToken, m_engine_queue.front()});
      m_engine_queue.pop();
    }
  }

  void OnFirstToken(RequestId request) {
    const Sent& sent = m_sent[request];
    m_adaptive_limit.OnFirstToken(
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(m_now - sent.dispatched)),
        At(m_now), m_in_flight);
    Totals& totals = m_totals[sent.team != 0];
    ++totals.served;
    totals.first_token.push_back(m_now - sent.arrived);
    const double decode =
        std::exponential_distribution<>(1 / kDecode)(m_random);
    m_events.push({m_now + decode, EventKind::kEnd, request});
  }

  void OnEnd() {
    --m_running;
    --m_in_flight;
  }

  const Policy m_policy;
  std::mt19937_64 m_random{42};
  std::priority_queue<Event> m_events;
  std::unique_ptr<FairQueue> m_queue = MakeFairQueue();
  WaitEstimator m_estimator;
  ConcurrencyLimit m_adaptive_limit;
  std::queue<RequestId> m_engine_queue;
  std::map<RequestId, Sent> m_sent;
  std::map<bool, Totals> m_totals;  // key: whether the team is a quiet one
  double m_now = 0;
  int m_in_flight = 0;
  int m_running = 0;
  RequestId m_last = 0;
};

}  // namespace
}  // namespace dotterelshift::admission

int main() {
  using dotterelshift::admission::kAdaptiveLimit;
  using dotterelshift::admission::Policy;
  for (const Policy& policy :
       {Policy{"one queue, fixed 16", false, 16, false},
        Policy{"one queue, fixed 256", false, 256, false},
        Policy{"fair, fixed 4", true, 4, false},
        Policy{"fair, fixed 16", true, 16, false},
        Policy{"fair, fixed 64", true, 64, false},
        Policy{"fair, fixed 256", true, 256, false},
        Policy{"fair, learned", true, kAdaptiveLimit, false},
        Policy{"fair, learned, early refusal", true, kAdaptiveLimit, true}}) {
    dotterelshift::admission::Run run(policy);
    run.RunToEnd();
    run.Print();
  }
  return 0;
}
