#ifndef DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
#define DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_

#include <cstdint>  // for uint16_t
#include <memory>   // for unique_ptr
#include <string>   // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// A TCP link between two daemons that a test can cut: what connects to the
// proxy reaches the target. Runs on the test's loop, so it forwards only while
// the test turns it.
class LinkProxy {
 public:
  virtual ~LinkProxy() = default;
  virtual std::string Address() const = 0;
  // Closes what is open and lets nothing through any more.
  virtual void Cut() = 0;
  // Lets new connections through again.
  virtual void Heal() = 0;
  // Holds all bytes back, with the connections left open: a silent partition.
  // Heal() ends it too.
  virtual void Freeze() = 0;
};

std::unique_ptr<LinkProxy> MakeLinkProxy(loop::Loop& loop,
                                         const std::string& target);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
