#ifndef DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
#define DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_

#include <cstdint>  // for uint16_t
#include <memory>   // for unique_ptr
#include <string>   // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// A TCP proxy between two daemons that a test can cut or freeze. It forwards
// connections to Address() to the target. It runs on the test's event loop, so
// it forwards only while the test runs that loop.
class LinkProxy {
 public:
  virtual ~LinkProxy() = default;
  virtual std::string Address() const = 0;
  // Closes all connections, and closes new ones at once until Heal().
  virtual void Cut() = 0;
  // Forwards new connections again.
  virtual void Heal() = 0;
  // Stops forwarding but leaves the connections open, as in a silent partition.
  // Heal() resumes forwarding.
  virtual void Freeze() = 0;
};

std::unique_ptr<LinkProxy> MakeLinkProxy(loop::Loop& loop,
                                         const std::string& target);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
