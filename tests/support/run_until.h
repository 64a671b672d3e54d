#ifndef DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_
#define DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_

#include <cppunit/TestAssert.h>  // for CPPUNIT_FAIL
#include <ev.h>                  // for ev_run

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// Timeout after which a waiting test fails; far longer than any awaited event
// takes.
inline constexpr Duration kHangGuard = 60s;

// Runs the event loop until `reached` returns true. Fails the test after
// kHangGuard, naming `what`.
inline void RunUntil(loop::Loop& loop, const std::string& what,
                     const std::function<bool()>& reached) {
  const Instant start = loop.Now();
  // Some conditions depend on another process, whose changes do not wake this
  // loop, so they are checked at this interval.
  constexpr Duration kRetryInterval = 20ms;
  std::unique_ptr<loop::Timer> wake;
  wake =
      std::make_unique<loop::Timer>(loop, [&] { wake->ArmIn(kRetryInterval); });
  wake->ArmIn(kRetryInterval);
  while (!reached()) {
    if (loop.Now() - start >= kHangGuard)
      CPPUNIT_FAIL("timed out waiting for: " + what);
    ev_run(loop.Raw(), EVRUN_ONCE);
  }
}

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_
