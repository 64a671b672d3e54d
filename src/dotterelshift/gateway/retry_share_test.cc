#include "dotterelshift/gateway/retry_share.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max
#include <deque>      // for deque
#include <vector>     // for vector

#include "dotterelshift/gateway/retry_share_testing.h"  // for MakeLeasedShare

namespace dotterelshift::gateway {
namespace {

class RetryShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryShareTest);
  CPPUNIT_TEST(AllSharesTogetherStayWithinTheAllowance);
  CPPUNIT_TEST(CalmFleetMayUseItsAllowance);
  CPPUNIT_TEST(ServicesAreCountedSeparately);
  CPPUNIT_TEST(DecisionsNameTheirInputsAndAreCounted);
  CPPUNIT_TEST_SUITE_END();

  // Eight entries, each of which retries as often as it may, under a load with
  // steps: in no window does the fleet exceed its allowance, which is that of
  // the requests of the window, of the one half a window before it or of the
  // one before it. With a margin and without one.
  void AllSharesTogetherStayWithinTheAllowance() {
    for (const double used_fraction :
         {RetryShareOptions().used_fraction, 1.0}) {
      RetryShareOptions options;
      options.slack = 56;
      options.used_fraction = used_fraction;
      const auto requests_at = [](int step) { return step % 200 < 40 ? 9 : 1; };
      const std::vector<Step> steps = Run(options, 600, requests_at);
      const int window = static_cast<int>(options.window / kStep);
      for (int start = window; start + window <= 600; ++start) {
        uint32_t most = 0;
        for (const int back : {0, window / 2, window})
          most = std::max(most, SumOf(steps, start - back, &Step::requests));
        const double allowed = options.ratio * most + options.slack;
        const uint32_t retries = SumOf(steps, start, &Step::retries);
        CPPUNIT_ASSERT(retries <= allowed);
        CPPUNIT_ASSERT(retries > 0);
      }
    }
  }

  // Under a constant load the fleet may use its allowance, less the margin and
  // the part of a retry that each share rounds down.
  void CalmFleetMayUseItsAllowance() {
    RetryShareOptions options;
    options.slack = 56;
    const std::vector<Step> steps = Run(options, 600, [](int) { return 2; });
    const uint32_t requests = SumOf(steps, 400, &Step::requests);
    const uint32_t retries = SumOf(steps, 400, &Step::retries);
    const double allowed = options.ratio * requests + options.slack;
    CPPUNIT_ASSERT(retries >=
                   0.95 * options.used_fraction * allowed - kEntries);
  }

  void ServicesAreCountedSeparately() {
    RetryShareOptions options;
    options.slack = 2;
    options.used_fraction = 1;
    const Instant now(1000s);
    RetryShare share = MakeLeasedShare(options, 1, now);
    CPPUNIT_ASSERT(share.Take("a", now).granted);
    CPPUNIT_ASSERT(share.Take("a", now).granted);
    CPPUNIT_ASSERT(!share.Take("a", now).granted);
    CPPUNIT_ASSERT(share.Take("b", now).granted);
  }

  void DecisionsNameTheirInputsAndAreCounted() {
    RetryShareOptions options;
    options.slack = 4;
    options.used_fraction = 1;
    RetryShare share = MakeLeasedShare(options, 4, Instant(1000s));
    const Instant now(1002s);
    for (int i = 0; i < 5; ++i) share.OnRequest("a", now);
    share.Take("a", now);
    const RetryDecision denied = share.Take("a", now + 1s);
    CPPUNIT_ASSERT(!denied.granted);
    CPPUNIT_ASSERT_EQUAL(1U, denied.used);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0 / 2, denied.requests, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 2 + 1, denied.allowed, 1e-9);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, denied.sharers);
    CPPUNIT_ASSERT(denied.count_age == 3s);
    CPPUNIT_ASSERT(denied.run_age == 1s);
    const std::vector<RetryUse> uses = share.UseByService(now + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, uses.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, uses[0].granted_total);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, uses[0].denied_total);
    CPPUNIT_ASSERT_EQUAL(1U, uses[0].used);
  }

 private:
  static constexpr int kEntries = 8;
  static constexpr Duration kStep = 100ms;
  struct Step {
    uint32_t requests = 0;
    uint32_t retries = 0;
  };

  // Entries that receive `requests_at(step)` requests each and retry as often
  // as they may.
  template <typename RequestsAt>
  static std::vector<Step> Run(const RetryShareOptions& options, int count,
                               RequestsAt requests_at) {
    std::deque<RetryShare> entries;
    for (int i = 0; i < kEntries; ++i) {
      entries.push_back(MakeLeasedShare(options, kEntries, Instant(1000s)));
    }
    std::vector<Step> steps(count);
    for (int step = 0; step < count; ++step) {
      const Instant now = Instant(1000s) + step * kStep;
      for (RetryShare& entry : entries) {
        entry.OnEntryCount(kEntries, now, now);
        for (int i = 0; i < requests_at(step); ++i) entry.OnRequest("s", now);
        steps[step].requests += requests_at(step);
        for (int i = 0; i < 20; ++i)
          steps[step].retries += entry.Take("s", now).granted;
      }
    }
    return steps;
  }

  // Sum over the window that begins at a step.
  static uint32_t SumOf(const std::vector<Step>& steps, int start,
                        uint32_t Step::*field) {
    uint32_t sum = 0;
    const int window = static_cast<int>(RetryShareOptions().window / kStep);
    for (int i = start; i < start + window; ++i) sum += steps.at(i).*field;
    return sum;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryShareTest);

}  // namespace
}  // namespace dotterelshift::gateway
