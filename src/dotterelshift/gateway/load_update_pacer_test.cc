#include "dotterelshift/gateway/load_update_pacer.h"

#include <cppunit/extensions/HelperMacros.h>  // for CPPUNIT_TEST

#include <algorithm>  // for max, min

namespace dotterelshift::gateway {
namespace {

constexpr double kSlowLink = 1'250'000;    // 10 Mbit/s
constexpr double kFastLink = 125'000'000;  // 1 Gbit/s
constexpr size_t kEntries = 20;

class LoadUpdatePacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadUpdatePacerTest);
  CPPUNIT_TEST(UpdatesStayWithinTheirFractionOfASlowLink);
  CPPUNIT_TEST(UpdatesWaitAtMostATenthOfASecond);
  CPPUNIT_TEST(UpdatesAreNotDelayedOnAFastLink);
  CPPUNIT_TEST_SUITE_END();

 private:
  // Runs for ten seconds with one update per `gap`.
  struct Result {
    double bytes = 0;
    Duration max_wait{};
  };
  static Result Run(double bytes_per_second, Duration gap) {
    LoadUpdatePacerOptions options;
    options.bytes_per_second = bytes_per_second;
    LoadUpdatePacer pacer(options);
    Result result;
    size_t notes = 0;
    Instant oldest{};
    for (Instant now(1000s); now < Instant(1010s); now += gap) {
      if (notes++ == 0) oldest = now;
      if (!pacer.MaySend(now)) continue;
      result.max_wait = std::max(result.max_wait, now - oldest);
      const size_t sent = std::min(notes, pacer.Most(kEntries));
      result.bytes += static_cast<double>(
          kEntries * (options.frame_bytes + sent * options.update_bytes));
      pacer.OnSent(sent, kEntries, now);
      notes = 0;
    }
    return result;
  }

  // Guards against a heavily loaded entry whose updates fill its host's
  // outbound link.
  void UpdatesStayWithinTheirFractionOfASlowLink() {
    const Result result = Run(kSlowLink, 2ms);
    CPPUNIT_ASSERT(result.bytes <= LoadUpdatePacerOptions().link_fraction * 10 *
                                       kSlowLink * 1.01);
  }

  void UpdatesWaitAtMostATenthOfASecond() {
    CPPUNIT_ASSERT(Run(kSlowLink, 10ms).max_wait <= 100ms);
    CPPUNIT_ASSERT(Run(kSlowLink, 1ms).max_wait <= 100ms);
  }

  void UpdatesAreNotDelayedOnAFastLink() {
    CPPUNIT_ASSERT(Run(kFastLink, 2ms).max_wait == 0ms);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadUpdatePacerTest);

}  // namespace
}  // namespace dotterelshift::gateway
