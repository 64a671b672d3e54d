#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>   // for max
#include <deque>       // for deque
#include <functional>  // for greater
#include <queue>       // for priority_queue
#include <random>      // for mt19937_64
#include <vector>      // for vector

#include "dotterelshift/gateway/link_admission.h"  // for LinkAdmission

namespace dotterelshift::gateway {
namespace {

constexpr double kLink = 1'250'000;  // 10 Mbit/s
constexpr size_t kPromptBytes = 6'000;

// Responses, control updates and closes are delayed behind admitted requests.
constexpr Duration kMaxQueue = 300ms;
constexpr Duration kStep = 1ms;

// From a connection's first packet to its prompt.
constexpr Duration kHandshake = 4ms;

struct CallersOptions {
  // Fraction of the link for payload; the rest is packet headers and
  // handshakes.
  double payload_fraction = 1;
  double demand = 1;  // multiple of the link's rate, if all were admitted
  Duration service = 300ms;  // mean, from the complete prompt to the response
  Duration pause = 300ms;    // mean, from the response to the next prompt
  // Callers that start with an established connection.
  size_t initial_connections = 0;
};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Callers that send one request at a time, on the connection that they were
// allowed to keep alive, else on a new one. The link is first-in, first-out and
// also carries the prompts of rejected callers. A caller that is not admitted
// pauses and tries again.
class Callers {
 public:
  explicit Callers(const CallersOptions& options)
      : m_options(options), m_admission(AdmissionOptions()) {
    const double cycle = Seconds(options.service + options.pause);
    const auto count = static_cast<size_t>(options.demand * kLink * cycle /
                                           static_cast<double>(kPromptBytes));
    m_has_connection.resize(count);
    for (size_t i = 0; i < count; ++i) {
      m_has_connection[i] = i < options.initial_connections;
      Plan(Step::kBeginRequest, i, Draw(options.pause));
    }
    m_open_connections = options.initial_connections;
  }

  void SetPause(Duration pause) { m_options.pause = pause; }

  void Run(Duration time) {
    for (const Instant end = m_now + time; m_now < end; m_now += kStep) {
      TakeSteps();
      Deliver();
      if (m_admission.IsDrainingQueue()) CloseIdle();
      const Duration queue = m_free_at - m_now;
      m_max_wait = std::max(m_max_wait, queue);
      if (queue > kMaxQueue) m_last_over = m_now;
    }
  }

  Duration MaxQueueTime() const { return m_max_wait; }
  // Time from the start to the last moment at which the queue was too long.
  Duration OverUntil() const { return m_last_over - kStart; }
  // Admitted bytes as a fraction of what the link could have carried.
  double UsedFraction() const {
    const double most =
        m_options.payload_fraction * kLink * Seconds(m_now - kStart);
    return m_admitted_bytes / most;
  }

 private:
  static constexpr Instant kStart{1000s};

  enum class Step { kBeginRequest, kSendPrompt, kReceiveResponse };
  struct Planned {
    Instant at;
    Step step;
    size_t caller;
    bool operator>(const Planned& other) const { return at > other.at; }
  };
  struct Prompt {
    Instant complete_at;
    size_t caller;
    bool first;
    bool rejected;
  };

  static LinkAdmissionOptions AdmissionOptions() {
    LinkAdmissionOptions options;
    options.bytes_per_second = kLink;
    return options;
  }

  Duration Draw(Duration mean) {
    std::exponential_distribution<double> draw(1 / Seconds(mean));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(draw(m_random)));
  }

  void Plan(Step step, size_t caller, Duration after) {
    m_planned.push({m_now + after, step, caller});
  }

  void TakeSteps() {
    while (!m_planned.empty() && m_planned.top().at <= m_now) {
      const Planned planned = m_planned.top();
      m_planned.pop();
      switch (planned.step) {
        case Step::kBeginRequest:
          StartRequest(planned.caller);
          break;
        case Step::kSendPrompt:
          SendPrompt({{}, planned.caller, true, false});
          break;
        case Step::kReceiveResponse:
          OnAnswered(planned.caller);
          break;
      }
    }
  }

  void StartRequest(size_t caller) {
    if (m_has_connection[caller]) {
      m_has_connection[caller] = false;
      --m_open_connections;
      return SendPrompt({{}, caller, false, false});
    }
    switch (m_admission.Decide(m_now)) {
      case AdmissionDecision::kAccept:
        m_admission.OnConnected();
        ++m_open_connections;
        return Plan(Step::kSendPrompt, caller, kHandshake);
      case AdmissionDecision::kReject:
        m_admission.OnRejected();
        SendPrompt({{}, caller, true, true});
        break;
      case AdmissionDecision::kStopAccepting:
        break;
    }
    Plan(Step::kBeginRequest, caller, Draw(m_options.pause));
  }

  void SendPrompt(Prompt prompt) {
    const double rate = m_options.payload_fraction * kLink;
    const auto time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kPromptBytes / rate));
    m_free_at = std::max(m_free_at, m_now) + time;
    prompt.complete_at = m_free_at;
    m_prompts.push_back(prompt);
    if (!prompt.rejected) m_admitted_bytes += kPromptBytes;
  }

  void Deliver() {
    uint64_t bytes = 0;
    while (!m_prompts.empty() && m_prompts.front().complete_at <= m_now) {
      const Prompt prompt = m_prompts.front();
      m_prompts.pop_front();
      if (prompt.rejected) continue;
      bytes += kPromptBytes;
      if (prompt.first) {
        --m_open_connections;
        m_admission.OnFirstRequest(kPromptBytes);
      } else {
        m_admission.OnKeepAliveRequest(kPromptBytes);
      }
      Plan(Step::kReceiveResponse, prompt.caller, Draw(m_options.service));
    }
    m_admission.OnBytes({bytes, 0}, m_now);
    m_admission.Decide(m_now);
  }

  void OnAnswered(size_t caller) {
    m_has_connection[caller] = m_admission.MayKeep(m_open_connections);
    if (m_has_connection[caller]) ++m_open_connections;
    Plan(Step::kBeginRequest, caller, Draw(m_options.pause));
  }

  void CloseIdle() {
    for (size_t i = 0; i < m_has_connection.size(); ++i) {
      if (!m_has_connection[i]) continue;
      m_has_connection[i] = false;
      --m_open_connections;
    }
  }

  CallersOptions m_options;
  LinkAdmission m_admission;
  std::mt19937_64 m_random{1};
  Instant m_now = kStart;
  std::priority_queue<Planned, std::vector<Planned>, std::greater<>> m_planned;
  std::vector<bool> m_has_connection;  // per caller: has an idle connection
  size_t m_open_connections = 0;       // connections that may send a prompt
  std::deque<Prompt> m_prompts;
  Instant m_free_at = kStart;
  Duration m_max_wait = 0s;
  Instant m_last_over = kStart;
  double m_admitted_bytes = 0;
};

class KeptConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptConnectionsTest);
  CPPUNIT_TEST(QueueStaysShortOnASaturatedLink);
  CPPUNIT_TEST(LongPausesDoNotLengthenTheQueue);
  CPPUNIT_TEST(LoadSpikeOnKeptConnectionsDoesNotLengthenTheQueue);
  CPPUNIT_TEST(StandingQueueDrainsAtTheLinkRate);
  CPPUNIT_TEST(LoadWithinTheLinkRateIsAdmitted);
  CPPUNIT_TEST_SUITE_END();

 private:
  // Guards against responses and control updates that are delayed for seconds
  // behind prompts on kept-alive connections. The queue cannot be measured
  // directly, as no more than the link's rate ever arrives.
  void QueueStaysShortOnASaturatedLink() {
    for (const double payload_fraction : {0.92, 1.0}) {
      for (const double demand : {3.0, 10.0}) {
        Callers callers(
            {.payload_fraction = payload_fraction, .demand = demand});
        callers.Run(20s);
        CPPUNIT_ASSERT(callers.MaxQueueTime() <= kMaxQueue);
        CPPUNIT_ASSERT(callers.UsedFraction() >= 0.8);
      }
    }
  }

  void LongPausesDoNotLengthenTheQueue() {
    for (const double payload_fraction : {0.92, 1.0}) {
      Callers callers(
          {.payload_fraction = payload_fraction, .demand = 3, .pause = 1500ms});
      callers.Run(20s);
      CPPUNIT_ASSERT(callers.MaxQueueTime() <= kMaxQueue);
      CPPUNIT_ASSERT(callers.UsedFraction() >= 0.8);
    }
  }

  // Guards against a team that sends ten times its usual load on connections
  // that it was allowed to keep while its load was low.
  void LoadSpikeOnKeptConnectionsDoesNotLengthenTheQueue() {
    Callers callers({.payload_fraction = 0.92, .demand = 0.5, .pause = 3s});
    callers.Run(10s);
    callers.SetPause(100ms);
    callers.Run(10s);
    CPPUNIT_ASSERT(callers.MaxQueueTime() <= kMaxQueue);
  }

  // Requests that are sent all at once on kept-alive connections take a while
  // to be carried; nothing may be admitted on top of them meanwhile.
  void StandingQueueDrainsAtTheLinkRate() {
    constexpr size_t kKept = 330;
    Callers callers(
        {.payload_fraction = 0.92, .demand = 5, .initial_connections = kKept});
    callers.Run(10s);
    const double carried_in = kKept * kPromptBytes / (0.92 * kLink);
    CPPUNIT_ASSERT(Seconds(callers.OverUntil()) <= carried_in);
  }

  void LoadWithinTheLinkRateIsAdmitted() {
    Callers callers({.payload_fraction = 0.92, .demand = 0.5});
    callers.Run(20s);
    CPPUNIT_ASSERT(callers.UsedFraction() >= 0.45);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeptConnectionsTest);

}  // namespace
}  // namespace dotterelshift::gateway
