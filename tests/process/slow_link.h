#ifndef DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_
#define DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// The two directions of a host's link: inbound and outbound.
enum class LinkDirection : uint8_t { kIn, kOut };

// An event of one connection through the link. kBytes and kEnd are reported
// when they leave the far end of the link.
struct LinkEvent {
  enum class What : uint8_t {
    kAccepted,  // by the listening socket, before anything passes the link
    kBytes,
    kEnd,  // one side has closed or reset the connection
  };
  What what = What::kBytes;
  uint64_t connection = 0;  // counted from 1
  uint16_t port = 0;        // local port of the connecting side
  LinkDirection way = LinkDirection::kIn;
  size_t bytes = 0;
};

struct SlowLinkOptions {
  double bytes_per_second = 1'250'000;  // in each direction
  // Maximum payload of a packet, and the bytes of headers added to each.
  size_t packet_bytes = 1448;
  size_t packet_overhead = 66;
  // Maximum bytes in transit per connection and direction, like a TCP window.
  size_t window = 16 << 10;
  std::function<void(const LinkEvent&)> on_event;
};

// Simulates the link of one host at a limited rate. All connections through its
// listening addresses share it, with one FIFO queue per direction. Opening,
// closing and resetting a connection are queued like bytes. Queued data is held
// here, not in the kernel. One difference from a real slow link: connect()
// succeeds at once. The bytes that the connecting side then sends are forwarded
// only after the target has accepted the connection and the acceptance has
// returned over the link. If that takes longer than the connect timeout, the
// connection is reset with nothing sent.
class SlowLink {
 public:
  virtual ~SlowLink() = default;
  // Listens on a new address and forwards its connections to the target, into
  // the host or out of it. A connection that is not open after
  // `connect_timeout` is reset. Returns the address.
  virtual std::string AddForwarder(const std::string& target, LinkDirection way,
                                   Duration connect_timeout) = 0;
  // How long data queued now would wait.
  virtual Duration QueueDelay(LinkDirection way) const = 0;
};

std::unique_ptr<SlowLink> MakeSlowLink(loop::Loop& loop,
                                       const SlowLinkOptions& options);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_
