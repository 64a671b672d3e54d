#include "dotterelshift/gateway/link_admission.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max
#include <deque>      // for deque
#include <random>     // for mt19937_64

namespace dotterelshift::gateway {
namespace {

// A link of 10 Mbit/s, and short prompts, one per connection.
constexpr double kLink = 1'250'000;
constexpr size_t kPromptBytes = 6'000;

// Responses, control updates and closes are delayed behind admitted requests.
constexpr Duration kMaxQueue = 300ms;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// A first-in, first-out link. Callers connect at random times and send their
// prompt as soon as they are admitted.
class Link {
 public:
  Link(LinkAdmission& admission, double bytes_per_second)
      : m_admission(admission), m_rate(bytes_per_second) {}

  // Callers send `demand` times the link's rate for this time.
  void Run(double demand, size_t prompt_bytes, Duration time) {
    const double per_second =
        demand * m_rate / static_cast<double>(prompt_bytes);
    std::exponential_distribution<double> gap(per_second);
    const Instant end = m_now + time;
    while (m_now < end) {
      m_now += Seconds(gap(m_random));
      Deliver();
      Connect(prompt_bytes);
    }
  }

  // An admitted caller sends its prompt; returns whether it was admitted.
  bool Connect(size_t prompt_bytes) {
    if (m_admission.Decide(m_now) != AdmissionDecision::kAccept) return false;
    m_admission.OnConnected();
    SendPrompt(prompt_bytes, true);
    return true;
  }

  // A caller that was admitted earlier sends a prompt on its connection.
  void SendOnKeptConnection(size_t prompt_bytes) {
    SendPrompt(prompt_bytes, false);
  }

  // Lets time pass without new callers.
  void Rest(Duration time) {
    m_now += time;
    Deliver();
  }

  Instant Now() const { return m_now; }
  bool IsIdle() const { return m_prompts.empty(); }
  Duration MaxQueueTime() const { return m_max_wait; }
  double Carried() const { return m_carried; }

 private:
  struct Prompt {
    Instant complete_at;
    size_t bytes;
    bool first;
  };

  void SendPrompt(size_t bytes, bool first) {
    m_free_at = std::max(m_free_at, m_now) +
                Seconds(static_cast<double>(bytes) / m_rate);
    m_carried += static_cast<double>(bytes);
    m_prompts.push_back({m_free_at, bytes, first});
    m_max_wait = std::max(m_max_wait, m_free_at - m_now);
  }

  // Bytes are counted once per iteration, even if there are none.
  void Deliver() {
    uint64_t bytes = 0;
    while (!m_prompts.empty() && m_prompts.front().complete_at <= m_now) {
      const Prompt prompt = m_prompts.front();
      m_prompts.pop_front();
      bytes += prompt.bytes;
      if (prompt.first)
        m_admission.OnFirstRequest(prompt.bytes);
      else
        m_admission.OnKeepAliveRequest(prompt.bytes);
    }
    m_admission.OnBytes({bytes, 0}, m_now);
  }

  LinkAdmission& m_admission;
  const double m_rate;
  std::mt19937_64 m_random{1};
  Instant m_now{1000s};
  Instant m_free_at{};
  std::deque<Prompt> m_prompts;
  Duration m_max_wait{};
  double m_carried = 0;
};

class LinkAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkAdmissionTest);
  CPPUNIT_TEST(QueueStaysShortOnASaturatedLink);
  CPPUNIT_TEST(LongPromptsDoNotLengthenTheQueue);
  CPPUNIT_TEST(LoadWithinTheLinkRateIsAdmitted);
  CPPUNIT_TEST(UnusedConnectionsBlockCallersOnlyBriefly);
  CPPUNIT_TEST(UnusedConnectionReleasesItsReservation);
  CPPUNIT_TEST(RejectsWhileAQueueStands);
  CPPUNIT_TEST(SustainedLoadDoesNotBlockAnEntryForever);
  CPPUNIT_TEST(RejectsWhileTheOutboundLinkIsFull);
  CPPUNIT_TEST(RejectsWhileRequestsQueueForTheOutboundLink);
  CPPUNIT_TEST(UnknownLinkRateDisablesTheLimit);
  CPPUNIT_TEST_SUITE_END();

 private:
  static bool Takes(LinkAdmission& admission, Instant now) {
    return admission.Decide(now) == AdmissionDecision::kAccept;
  }

  static LinkAdmission Make(double bytes_per_second) {
    LinkAdmissionOptions options;
    options.bytes_per_second = bytes_per_second;
    return LinkAdmission(options);
  }

  // Guards against responses and control updates that are delayed for seconds
  // behind prompts.
  void QueueStaysShortOnASaturatedLink() {
    for (const double demand : {3.0, 10.0}) {
      LinkAdmission admission = Make(kLink);
      Link link(admission, kLink);
      link.Run(demand, kPromptBytes, 20s);
      CPPUNIT_ASSERT(link.MaxQueueTime() <= kMaxQueue);
      CPPUNIT_ASSERT(link.Carried() >= 0.8 * 20 * kLink);
    }
  }

  void LongPromptsDoNotLengthenTheQueue() {
    LinkAdmission admission = Make(kLink);
    Link link(admission, kLink);
    link.Run(1, 60'000, 5s);
    link.Run(3, 60'000, 20s);
    CPPUNIT_ASSERT(link.MaxQueueTime() <= kMaxQueue);
  }

  void LoadWithinTheLinkRateIsAdmitted() {
    LinkAdmission admission = Make(kLink);
    Link link(admission, kLink);
    link.Run(0.5, kPromptBytes, 20s);
    CPPUNIT_ASSERT(link.Carried() >= 0.45 * 20 * kLink);
  }

  // Guards against an entry that is blocked for all callers by connections on
  // which no request is ever sent.
  void UnusedConnectionsBlockCallersOnlyBriefly() {
    LinkAdmission admission = Make(kLink);
    Instant now(1000s);
    while (Takes(admission, now)) admission.OnConnected();
    CPPUNIT_ASSERT(!Takes(admission, now));
    now += 2 * LinkAdmissionOptions().burst;
    CPPUNIT_ASSERT(Takes(admission, now));
  }

  void UnusedConnectionReleasesItsReservation() {
    LinkAdmission admission = Make(kLink);
    const Instant now(1000s);
    int connections = 0;
    for (; Takes(admission, now); ++connections) admission.OnConnected();
    for (; connections > 0; --connections) admission.OnClosedUnused();
    CPPUNIT_ASSERT(Takes(admission, now));
  }

  // Guards against an entry that admits callers while five seconds of prompts
  // are still queued in front of its link, and against one that stays closed
  // afterwards.
  void RejectsWhileAQueueStands() {
    LinkAdmission admission = Make(kLink);
    Link link(admission, kLink);
    for (int i = 0; i < 1'000; ++i) link.SendOnKeptConnection(kPromptBytes);
    link.Rest(500ms);
    while (!link.IsIdle()) {
      CPPUNIT_ASSERT(!Takes(admission, link.Now()));
      link.Rest(20ms);
    }
    link.Rest(LinkAdmissionOptions().max_debt * 2);
    CPPUNIT_ASSERT(Takes(admission, link.Now()));
  }

  // A caller that overloads any entry it reaches must not keep all entries out
  // of rotation.
  void SustainedLoadDoesNotBlockAnEntryForever() {
    LinkAdmission admission = Make(kLink);
    Link link(admission, kLink);
    for (int second = 0; second < 20; ++second) {
      const double before = link.Carried();
      link.Run(5, kPromptBytes, 1s);
      CPPUNIT_ASSERT(link.Carried() > before);
    }
  }

  // Outbound traffic is bounded like inbound traffic.
  void RejectsWhileTheOutboundLinkIsFull() {
    LinkAdmission admission = Make(kLink);
    const Instant now(1000s);
    CPPUNIT_ASSERT(Takes(admission, now));
    admission.OnBytes({0, static_cast<uint64_t>(kLink)}, now);
    CPPUNIT_ASSERT(!Takes(admission, now));
  }

  // Guards against admitting callers that would wait here although another
  // entry could serve them at once.
  void RejectsWhileRequestsQueueForTheOutboundLink() {
    LinkAdmission admission = Make(kLink);
    const Instant now(1000s);
    admission.SetQueuedOutbound(static_cast<uint64_t>(0.05 * kLink));
    CPPUNIT_ASSERT(Takes(admission, now));
    admission.SetQueuedOutbound(static_cast<uint64_t>(0.2 * kLink));
    CPPUNIT_ASSERT(admission.Decide(now) == AdmissionDecision::kReject);
    admission.SetQueuedOutbound(0);
    CPPUNIT_ASSERT(Takes(admission, now));
  }

  void UnknownLinkRateDisablesTheLimit() {
    LinkAdmission admission = Make(0);
    const Instant now(1000s);
    for (int i = 0; i < 10'000; ++i) admission.OnConnected();
    CPPUNIT_ASSERT(Takes(admission, now));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkAdmissionTest);

}  // namespace
}  // namespace dotterelshift::gateway
