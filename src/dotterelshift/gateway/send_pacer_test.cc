#include "dotterelshift/gateway/send_pacer.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max

namespace dotterelshift::gateway {
namespace {

constexpr double kSlowLink = 1'250'000;  // 10 Mbit/s
constexpr uint64_t kPrompt = 6'000;

class SendPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SendPacerTest);
  CPPUNIT_TEST(PromptsAreSentAtTheLinkRate);
  CPPUNIT_TEST(LongPromptIsSentEventually);
  CPPUNIT_TEST(OtherTrafficDelaysPrompts);
  CPPUNIT_TEST(NextIsTheEarliestSendTime);
  CPPUNIT_TEST(OnlyQueuedBytesAreReturned);
  CPPUNIT_TEST(UnknownLinkRateDelaysNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_now = Instant(1000s); }

  // Guards against prompts that are written faster than the link carries them.
  void PromptsAreSentAtTheLinkRate() {
    SendPacer pacer = Pacer();
    uint64_t sent = 0;
    Duration most{};
    for (const Instant end = m_now + 2s; m_now < end; m_now += 1ms) {
      while (pacer.MaySend(kPrompt, m_now)) {
        pacer.OnPrompt(++m_attempt, kPrompt, m_now);
        sent += kPrompt;
      }
      most = std::max(most, pacer.Held(m_now));
    }
    CPPUNIT_ASSERT(most <= SendPacerOptions().max_queued + 1ms);
    CPPUNIT_ASSERT(static_cast<double>(sent) > 0.85 * 2 * kSlowLink);
  }

  // Guards against a prompt that exceeds the limit and would never be sent.
  void LongPromptIsSentEventually() {
    SendPacer pacer = Pacer();
    constexpr uint64_t kLong = 1'000'000;
    CPPUNIT_ASSERT(pacer.MaySend(kLong, m_now));
    pacer.OnPrompt(++m_attempt, kLong, m_now);
    CPPUNIT_ASSERT(!pacer.MaySend(1, m_now));
    const Instant next = pacer.Next(kLong);
    CPPUNIT_ASSERT(next > m_now + 800ms && next < m_now + 900ms);
    CPPUNIT_ASSERT(pacer.MaySend(kLong, next));
  }

  // Guards against prompts that queue in front of responses and control frames.
  void OtherTrafficDelaysPrompts() {
    SendPacer pacer = Pacer();
    pacer.OnBytes(200'000, m_now);
    CPPUNIT_ASSERT(!pacer.MaySend(kPrompt, m_now));
    const Duration wait = pacer.WaitBehind(0, kPrompt, m_now);
    CPPUNIT_ASSERT(wait > 100ms && wait < 140ms);
    const Duration behind = pacer.WaitBehind(112'500, kPrompt, m_now);
    CPPUNIT_ASSERT(behind > wait + 99ms && behind < wait + 101ms);
    CPPUNIT_ASSERT(pacer.MaySend(kPrompt, m_now + wait));
  }

  // Guards against a timer that fires repeatedly without a prompt being sent.
  void NextIsTheEarliestSendTime() {
    SendPacer pacer = Pacer();
    for (uint64_t bytes = 1; bytes < 100'000; bytes += 997) {
      pacer.OnBytes(bytes, m_now);
      const Instant next = pacer.Next(bytes);
      CPPUNIT_ASSERT(pacer.MaySend(bytes, next));
      CPPUNIT_ASSERT(next <= m_now || !pacer.MaySend(bytes, next - 100us));
      m_now += 3ms;
    }
  }

  // Guards against returning room for bytes that the link has already carried.
  void OnlyQueuedBytesAreReturned() {
    SendPacer pacer = Pacer();
    pacer.OnPrompt(1, 22'500, m_now);  // 20 ms
    pacer.OnPrompt(2, 22'500, m_now);
    pacer.OnNotSent(2, m_now);
    CPPUNIT_ASSERT_EQUAL(int64_t{20}, ToMs(pacer.Held(m_now) + 1us));
    pacer.OnPrompt(3, 22'500, m_now);
    m_now += 30ms;
    pacer.OnNotSent(1, m_now);
    pacer.OnNotSent(1, m_now);
    CPPUNIT_ASSERT_EQUAL(int64_t{10}, ToMs(pacer.Held(m_now) + 1us));
    pacer.OnNotSent(3, m_now);
    CPPUNIT_ASSERT(pacer.Held(m_now) == 0s);
  }

  // Guards against delaying prompts when the link's rate is not known.
  void UnknownLinkRateDelaysNothing() {
    SendPacer pacer((SendPacerOptions()));
    pacer.OnBytes(1 << 30, m_now);
    pacer.OnPrompt(1, 1 << 30, m_now);
    CPPUNIT_ASSERT(pacer.MaySend(1 << 30, m_now));
    CPPUNIT_ASSERT(pacer.WaitBehind(1 << 30, 1, m_now) == 0s);
    CPPUNIT_ASSERT(pacer.Held(m_now) == 0s);
  }

 private:
  static SendPacer Pacer() {
    SendPacerOptions options;
    options.bytes_per_second = kSlowLink;
    return SendPacer(options);
  }

  Instant m_now;
  AttemptId m_attempt = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(SendPacerTest);

}  // namespace
}  // namespace dotterelshift::gateway
