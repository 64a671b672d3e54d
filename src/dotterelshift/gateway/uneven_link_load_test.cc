#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max, min
#include <deque>      // for deque
#include <random>     // for mt19937_64

#include "dotterelshift/gateway/link_admission.h"
#include "dotterelshift/gateway/link_busy_time.h"
#include "dotterelshift/gateway/send_pacer.h"

namespace dotterelshift::gateway {
namespace {

constexpr double kLink = 1'250'000;
constexpr Duration kMaxQueue = 300ms;

// Uneven load on an entry's link: prompts of mixed sizes, a process that gets
// its processor time in bursts, and connections that are established together.
class UnevenLinkLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnevenLinkLoadTest);
  CPPUNIT_TEST(ReleasedReservationsMatchWhatWasReserved);
  CPPUNIT_TEST(MixedPromptSizesDoNotLengthenTheQueue);
  CPPUNIT_TEST(PacedPromptsDoNotStopAccepting);
  CPPUNIT_TEST(ThrottledProcessStillSeesAFullLink);
  CPPUNIT_TEST(PromptsAwaitingConnectionsAreNotSentInABurst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reservations that were made for short prompts and released
  // at the size of long ones: admission would then behave as if the link were
  // idle. Callers connect 40 times a second; the link is first-in, first-out.
  void ReleasedReservationsMatchWhatWasReserved() {
    LinkAdmissionOptions options;
    options.bytes_per_second = kLink;
    LinkAdmission admission(options);
    Instant now(1000s);
    admission.Decide(now);
    for (int i = 0; i < 200; ++i) admission.OnKeepAliveRequest(600);
    constexpr double kLong = 60'000;
    std::deque<double> link;  // remaining bytes of each prompt
    double queued = 0;
    Duration longest_after = 0s;
    const Instant begin = now;
    for (int ms = 0; ms < 8'000; ++ms) {
      now += 1ms;
      double room = kLink / 1000 * 0.95;
      double inbound = 0;
      while (room > 0 && !link.empty()) {
        const double some = std::min(room, link.front());
        link.front() -= some;
        room -= some;
        inbound += some;
        queued -= some;
        if (link.front() > 0) break;
        link.pop_front();
        admission.OnFirstRequest(static_cast<uint64_t>(kLong));
      }
      admission.OnBytes({static_cast<uint64_t>(inbound), 0}, now);
      const bool comes = ms % 25 == 0 || ms < 80;
      if (admission.Decide(now) == AdmissionDecision::kAccept && comes) {
        admission.OnConnected();
        link.push_back(kLong);
        queued += kLong;
      }
      const Duration wait = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(queued / (kLink * 0.95)));
      if (now - begin > 6s) longest_after = std::max(longest_after, wait);
    }
    CPPUNIT_ASSERT(longest_after <= kMaxQueue);
  }

  // The same with a steady demand of three times the link's rate on new
  // connections, where one prompt in ten is long: the more the average size
  // grows between reservation and release, the more is admitted. Rejected
  // callers send nothing here.
  void MixedPromptSizesDoNotLengthenTheQueue() {
    LinkAdmissionOptions options;
    options.bytes_per_second = kLink;
    LinkAdmission admission(options);
    Instant now(1000s);
    admission.Decide(now);
    struct Prompt {
      double left;
      double bytes;
    };
    std::mt19937_64 random(7);
    std::exponential_distribution<double> spread(1);
    std::deque<Prompt> link;
    double queued = 0;
    double longest = 0;
    double demanded = 0;
    double next = 0;
    constexpr int kMs = 30'000;
    for (int ms = 0; ms < kMs; ++ms) {
      now += 1ms;
      double room = kLink / 1000 * 0.95;
      double inbound = 0;
      while (room > 0 && !link.empty()) {
        const double some = std::min(room, link.front().left);
        link.front().left -= some;
        room -= some;
        inbound += some;
        queued -= some;
        if (link.front().left > 0) break;
        admission.OnFirstRequest(static_cast<uint64_t>(link.front().bytes));
        link.pop_front();
      }
      admission.OnBytes({static_cast<uint64_t>(inbound), 0}, now);
      for (demanded += 3 * kLink / 1000; next < demanded;) {
        const double bytes = random() % 10 == 0 ? 60'000 : 2'000;
        next += bytes * spread(random);
        if (admission.Decide(now) == AdmissionDecision::kAccept) {
          admission.OnConnected();
          link.push_back({bytes, bytes});
          queued += bytes;
        } else if (admission.Decide(now) == AdmissionDecision::kReject) {
          admission.OnRejected();
        }
      }
      const double wait = queued / (kLink * 0.95);
      longest = std::max(longest, wait);
    }
    CPPUNIT_ASSERT(longest <= std::chrono::duration<double>(kMaxQueue).count());
  }

  // Guards against a listener that is closed because of prompts queued in this
  // entry: pacer and admission use different fractions of the link.
  void PacedPromptsDoNotStopAccepting() {
    LinkAdmissionOptions options;
    options.bytes_per_second = kLink;
    LinkAdmission admission(options);
    Instant now(1000s);
    admission.Decide(now);
    const double out = kLink * SendPacerOptions().used_fraction;
    for (int ms = 0; ms < 20'000; ms += 10) {
      now += 10ms;
      const auto bytes = static_cast<uint64_t>(out / 100);
      // Half as much arrives inbound, so no queue forms there.
      admission.OnBytes({bytes / 2, bytes}, now);
      admission.SetQueuedOutbound(500'000);
      const AdmissionDecision entrance = admission.Decide(now);
      CPPUNIT_ASSERT(entrance != AdmissionDecision::kStopAccepting);
    }
  }

  // Guards against a queue that is not detected because a throttled process
  // does not read all received data in each iteration: it runs for 12 ms in 100
  // ms, and the content of its socket buffers is counted over two iterations.
  void ThrottledProcessStillSeesAFullLink() {
    LinkBusyTimeOptions options;
    options.bytes_per_second = kLink;
    LinkBusyTime busy(options);
    Instant now(1000s);
    busy.OnBytes(0, now);
    Duration longest = 0s;
    for (int i = 0; i < 30; ++i) {
      now += 88ms;
      busy.OnBytes(0.95 * kLink * 0.050, now);
      longest = std::max(longest, busy.BusyFor());
      now += 12ms;
      busy.OnBytes(0.95 * kLink * 0.050, now);
      longest = std::max(longest, busy.BusyFor());
    }
    CPPUNIT_ASSERT(longest >= 300ms);
  }

  // Guards against prompts that count as carried while they wait for their
  // connections (300 ms at most) and are then sent all together.
  void PromptsAwaitingConnectionsAreNotSentInABurst() {
    SendPacerOptions options;
    options.bytes_per_second = kLink;
    SendPacer pacer(options);
    Instant now(1000s);
    AttemptId attempt = 0;
    uint64_t burst_bytes = 0;
    for (int ms = 0; ms < 290; ++ms, now += 1ms) {
      while (pacer.MaySend(6'000, now)) {
        pacer.OnPrompt(++attempt, 6'000, now);
        burst_bytes += 6'000;
      }
    }
    const double held = static_cast<double>(burst_bytes) / kLink;
    CPPUNIT_ASSERT(held <= 0.1);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnevenLinkLoadTest);

}  // namespace
}  // namespace dotterelshift::gateway
