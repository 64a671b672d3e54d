#ifndef DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
#define DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_

#include <cstdint>  // for uint16_t
#include <memory>   // for unique_ptr
#include <string>   // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// How connections from one source address to a proxy are cut.
enum class SourceCut : uint8_t {
  kNone,
  kSilent,   // no packet arrives: bytes stay unacknowledged, connects time out
  kReset,    // open connections are reset, connects time out
  kNewOnly,  // open connections live on, connects time out
};

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
  // Cuts the connections from one IP address, or with kNone restores them.
  virtual void SetSourceCut(const std::string& source, SourceCut cut) = 0;
};

std::unique_ptr<LinkProxy> MakeLinkProxy(loop::Loop& loop,
                                         const std::string& target);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_LINK_PROXY_H_
