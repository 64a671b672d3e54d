#ifndef DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_
#define DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "dotterelshift/loop/loop.h"  // for Loop

namespace dotterelshift::testing {

// The two ways of a host's link.
enum class LinkWay : uint8_t { kIn, kOut };

// What has come out at the far end of the link, of one connection through it.
struct LinkEvent {
  enum class What : uint8_t {
    kAccepted,  // at the door, before anything has passed the link
    kBytes,
    kEnd,  // the close, or the reset, of one side
  };
  What what = What::kBytes;
  uint64_t connection = 0;  // counted from 1
  uint16_t port = 0;        // of the side that connected
  LinkWay way = LinkWay::kIn;
  size_t bytes = 0;
};

struct SlowLinkOptions {
  double bytes_per_second = 1'250'000;  // each way
  // Packets carry this much, and cost so much more.
  size_t packet_bytes = 1448;
  size_t packet_overhead = 66;
  // What one connection may have on its way in one direction, as TCP's window.
  size_t window = 16 << 10;
  std::function<void(const LinkEvent&)> on_event;
};

// The link of one host, as slow as said: all connections through its doors
// share it, first in first out, each way by itself. Opening, closing and
// resetting a connection take their place in the queue like bytes. What waits
// stands here and not in the kernel. One thing is not as behind a slow link:
// whoever connects is told so at once. What it then sends leaves only when the
// other side's consent has come back over the link, and it is reset, with
// nothing sent, where behind a real link it would have given up by then.
class SlowLink {
 public:
  virtual ~SlowLink() = default;
  // An address that leads to the target: into the host, or out of it. Who
  // connects there gives up after the time given.
  virtual std::string AddDoor(const std::string& target, LinkWay way,
                              Duration gives_up_after) = 0;
  // How long what comes now will wait.
  virtual Duration QueueOf(LinkWay way) const = 0;
};

std::unique_ptr<SlowLink> MakeSlowLink(loop::Loop& loop,
                                       const SlowLinkOptions& options);

}  // namespace dotterelshift::testing

#endif  // DOTTERELSHIFT_TESTS_PROCESS_SLOW_LINK_H_
