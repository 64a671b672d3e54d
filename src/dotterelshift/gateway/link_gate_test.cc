#include "dotterelshift/gateway/link_gate.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

namespace dotterelshift::gateway {
namespace {

// A link of 10 Mbit/s, and requests with long prompts.
constexpr double kLink = 1'250'000;
constexpr size_t kRequestBytes = 70'000;

class LinkGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkGateTest);
  CPPUNIT_TEST(AHotCallerSendsTheEntryAwayAndItComesBack);
  CPPUNIT_TEST(ASteadyShareOfTheLinkIsServed);
  CPPUNIT_TEST(LoadThatDoesNotEndKeepsNoEntryAwayForGood);
  CPPUNIT_TEST(WithoutAKnownLinkNothingIsDecided);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_now = Instant(1000s); }

 private:
  static LinkGate Make(double bytes_per_second) {
    LinkGateOptions options;
    options.bytes_per_second = bytes_per_second;
    return LinkGate(options);
  }

  // Requests at an even rate; whether the gate was away at any of them.
  bool Load(LinkGate& gate, double requests_per_second, Duration time) {
    const Duration gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / requests_per_second));
    bool away = false;
    for (const Instant end = m_now + time; m_now < end; m_now += gap) {
      gate.OnRequest(kRequestBytes, m_now);
      away = gate.IsAway(m_now) || away;
    }
    return away;
  }

  // 25 long prompts a second are more than the link carries.
  void AHotCallerSendsTheEntryAwayAndItComesBack() {
    LinkGate gate = Make(kLink);
    CPPUNIT_ASSERT(Load(gate, 25, 1s));
    m_now += LinkGateOptions().away_least - 1s;
    CPPUNIT_ASSERT(gate.IsAway(m_now));
    m_now += 1s;
    CPPUNIT_ASSERT(!gate.IsAway(m_now));
  }

  void ASteadyShareOfTheLinkIsServed() {
    LinkGate gate = Make(kLink);
    CPPUNIT_ASSERT(!Load(gate, 8, 30s));
    CPPUNIT_ASSERT(gate.FilledPart(m_now) > 0.3);
  }

  void LoadThatDoesNotEndKeepsNoEntryAwayForGood() {
    LinkGate gate = Make(kLink);
    CPPUNIT_ASSERT(Load(gate, 25, 1s));
    bool back = false;
    for (int i = 0; i < 200 && !back; ++i) {
      m_now += 40ms;
      gate.OnRequest(kRequestBytes, m_now);
      back = !gate.IsAway(m_now);
    }
    CPPUNIT_ASSERT(back);
  }

  void WithoutAKnownLinkNothingIsDecided() {
    LinkGate gate = Make(0);
    CPPUNIT_ASSERT(!Load(gate, 100, 5s));
  }

  Instant m_now;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkGateTest);

}  // namespace
}  // namespace dotterelshift::gateway
