#ifndef DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_
#define DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_

#include <cppunit/TestAssert.h>  // for CPPUNIT_FAIL
#include <ev.h>                  // for ev_run

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// How long a test waits for an event that never comes before it fails; far
// above what any event takes.
inline constexpr Duration kHangGuard = 60s;

// Turns the loop until `reached` says so.
inline void RunUntil(loop::Loop& loop, const std::string& what,
                     const std::function<bool()>& reached) {
  const Instant start = loop.Now();
  // Some conditions ask another process, whose change wakes nothing here.
  constexpr Duration kRetryInterval = 20ms;
  std::unique_ptr<loop::Timer> wake;
  wake =
      std::make_unique<loop::Timer>(loop, [&] { wake->ArmIn(kRetryInterval); });
  wake->ArmIn(kRetryInterval);
  while (!reached()) {
    if (loop.Now() - start >= kHangGuard) CPPUNIT_FAIL("never came: " + what);
    ev_run(loop.Raw(), EVRUN_ONCE);
  }
}

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_SUPPORT_RUN_UNTIL_H_
