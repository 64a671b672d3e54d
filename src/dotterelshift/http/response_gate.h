#ifndef DOTTERELSHIFT_SRC_HTTP_RESPONSE_GATE_H_
#define DOTTERELSHIFT_SRC_HTTP_RESPONSE_GATE_H_

#include <cstdint>        // for uint8_t
#include <functional>     // for function
#include <unordered_map>  // for unordered_map
#include <utility>        // for move

#include "dotterelshift/base/time.h"             // for Instant
#include "dotterelshift/http/response_filter.h"  // for ResponseFilter
#include "dotterelshift/loop/loop.h"             // for Timer

namespace dotterelshift::http {

// What may be done with a readable connection.
enum class ReadDecision : uint8_t {
  kHold,    // nothing is to be read yet
  kRead,    // libcurl may read
  kGiveUp,  // it brings bytes without end that answer nothing
};

// Decides when libcurl, which takes the first response on a connection for the
// one that is due, may read from a connection that is reused. By descriptor.
class ResponseGate {
 public:
  // `look_again` is called when bytes that were held back may be read, or are
  // to be looked at again.
  ResponseGate(loop::Loop& loop, std::function<void(int descriptor)> look_again)
      : m_loop(loop),
        m_look_again(std::move(look_again)),
        m_timer(loop, [this] { LookAgain(); }) {}

  // A request is about to be sent on a connection that was used before. Returns
  // false if the connection has ended, or holds bytes that cannot be skipped:
  // none of what it holds can be a response to this request. Without
  // `due.is_due`, libcurl may read all that arrives from then on.
  bool Begin(int descriptor, const DueResponse& due);
  // The connection is readable.
  ReadDecision OnReadable(int descriptor);
  // Whether the connection is not to be polled for reading for now, as it holds
  // a part of a head.
  bool IsHeld(int descriptor) const;
  // The request has ended, or the descriptor has another use.
  void Forget(int descriptor) { m_awaited.erase(descriptor); }

 private:
  struct Awaited {
    ResponseFilter filter;
    DueResponse due;
    Instant partial_since{};  // the epoch: no part of a head is there
  };

  void LookAgain();

  loop::Loop& m_loop;
  const std::function<void(int descriptor)> m_look_again;
  // Connections whose response has not begun.
  std::unordered_map<int, Awaited> m_awaited;
  loop::Timer m_timer;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_RESPONSE_GATE_H_
